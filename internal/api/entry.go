package api

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

// Announcement is sent by a backend server to any entry VM of its data centre
// about every half second. A server whose announcements stop is treated like one
// that is leaving.
type Announcement struct {
	Server model.ServerID `json:"server" msgpack:"s"`
	// Addr is host:port of the server's HTTP interface.
	Addr  string          `json:"addr" msgpack:"a"`
	DC    model.DCID      `json:"dc" msgpack:"d"`
	Queue model.QueueName `json:"queue" msgpack:"q"`
	// Slots is the number of requests that the server runs concurrently.
	Slots int `json:"slots" msgpack:"n"`
	// Connections is the number of connections that the server accepts.
	Connections int `json:"connections" msgpack:"c"`
	// Incarnation is a new random value each time the server's process starts.
	Incarnation string `json:"incarnation" msgpack:"i"`
	// Leaving is set while the server shuts down.
	Leaving bool `json:"leaving" msgpack:"l"`
}

// EntrySync is sent by a kqentry to the kqcontrol of its VM a few times a
// second. It renews the settings lease and the slot leases of the entry.
type EntrySync struct {
	Entry model.VMID `msgpack:"e"`
	// Incarnation is a new random value each time the kqentry process starts.
	Incarnation string `msgpack:"i"`
	// Revision is that of the newest view in force at the entry.
	Revision uint64 `msgpack:"r"`
	// Announcements lists those received since the last sync that was answered.
	Announcements []Announcement `msgpack:"a,omitempty"`
	// Demand lists, by queue, the number of requests that are waiting or running.
	Demand []QueueDemand `msgpack:"d,omitempty"`
	// Returned lists slots that the entry returns because they are free; the
	// field Slots is their number. It is repeated until a sync that contains it is
	// answered, even if the slot lease expires meanwhile, since an earlier sync may
	// still arrive.
	Returned []SlotGrant `msgpack:"g,omitempty"`
	// Stopping is set while the entry shuts down. It accepts no more requests and
	// returns all slots.
	Stopping bool `msgpack:"x,omitempty"`
	// LongestMillis bounds the remaining time of the requests that the entry sends
	// to servers before its next sync is answered. If no more syncs arrive, the
	// group withholds the entry's slots for that time after the slot lease expires.
	LongestMillis int64 `msgpack:"b,omitempty"`
}

// QueueDemand is the number of slots that an entry VM could use for a queue.
type QueueDemand struct {
	Queue model.QueueName `msgpack:"q"`
	Slots int             `msgpack:"n"`
}

// EntryState answers an EntrySync.
type EntryState struct {
	// LeaseMillis is the remaining time of the settings lease. The entry counts it
	// from when it sent the sync. 0 means no lease.
	LeaseMillis int64  `msgpack:"l"`
	Revision    uint64 `msgpack:"r"`
	// View is set if the entry's revision is older than Revision.
	View *EntryView `msgpack:"v,omitempty"`
	// Slots lists all slots that are granted to the entry from now on. It is valid
	// only if SlotsValid is set.
	Slots      []SlotGrant `msgpack:"s,omitempty"`
	SlotsValid bool        `msgpack:"sv"`
	// SlotLeaseMillis is the remaining time of the slot leases, counted like
	// LeaseMillis.
	SlotLeaseMillis int64 `msgpack:"sl"`
	// Generation and GroupMillis are the ledger generation and the clock of the data
	// centre group. The entry generates request ids from them.
	Generation  uint64 `msgpack:"g"`
	GroupMillis int64  `msgpack:"t"`
	// Refusal is the reason if the slots or the settings lease are missing.
	Refusal *verdict.Refusal `msgpack:"e,omitempty"`
	// Remote lists entry VMs of other data centres, for overflow.
	Remote []RemoteEntry `msgpack:"o,omitempty"`
}

// RemoteEntry is an entry VM of another data centre.
type RemoteEntry struct {
	VM   model.VMID `msgpack:"v"`
	DC   model.DCID `msgpack:"d"`
	Addr string     `msgpack:"a"`
	// Out is set while the data centre is out of service. Its entry VMs forward
	// requests but accept no forwarded ones.
	Out bool `msgpack:"o,omitempty"`
}

// EntryView is the part of the fleet's state that entry VMs need to serve requests.
type EntryView struct {
	Revision    uint64             `msgpack:"r"`
	Keys        []model.Key        `msgpack:"k"`
	Workspaces  []model.Workspace  `msgpack:"t"`
	Queues      []model.Queue      `msgpack:"q"`
	DataCentres []model.DataCentre `msgpack:"d"`
	Tree        *settings.Tree     `msgpack:"s"`
}

// SlotGrant grants slots of one backend server to one entry VM.
type SlotGrant struct {
	Server      model.ServerID  `msgpack:"s"`
	Incarnation string          `msgpack:"i"`
	Addr        string          `msgpack:"a"`
	Queue       model.QueueName `msgpack:"q"`
	Slots       int             `msgpack:"n"`
	Connections int             `msgpack:"c"`
	// Epoch changes whenever the granted number changes. Slots are returned with
	// the epoch of their grant, so that a return that arrives twice counts once.
	Epoch model.Epoch `msgpack:"e"`
	// Leaving is set if the server is leaving: running requests finish, and it gets
	// no new ones.
	Leaving bool `msgpack:"l,omitempty"`
	// Recall is the number of slots that the entry should return once they are free.
	Recall int `msgpack:"r,omitempty"`
}

// RecordBegin asks the data centre group to create a record for a request that is
// not idempotent, before the request is sent to a backend server.
type RecordBegin struct {
	ID        model.RequestID   `msgpack:"i"`
	Workspace model.WorkspaceID `msgpack:"t"`
	Queue     model.QueueName   `msgpack:"q"`
	Entry     model.VMID        `msgpack:"e"`
	// Digest is a hash of the request.
	Digest uint64 `msgpack:"h"`
	// LifeMillis is how long the record is kept after the id was generated.
	LifeMillis int64 `msgpack:"l"`
	// Attempt identifies the attempt to send the request. If a reply was lost, the
	// same attempt may repeat the call and gets the same reply.
	Attempt string `msgpack:"a"`
}

// RecordState is the state of a record, as reported in a RecordReply.
type RecordState string

// The states of a record.
const (
	// RecordFresh means that this attempt created the record. It may send the
	// request once.
	RecordFresh RecordState = "fresh"
	// RecordOpen means that another attempt created the record and its outcome is
	// not known.
	RecordOpen RecordState = "open"
	// RecordAnswered means that the response is stored in the record.
	RecordAnswered RecordState = "answered"
	// RecordNotRun means that the record was finished without sending a byte of the
	// request. The id can't be used again.
	RecordNotRun RecordState = "not-run"
	// RecordExpired means that the record may have existed and is gone: its life has
	// ended, or the group has lost its records.
	RecordExpired RecordState = "expired"
	// RecordMismatch means that the record belongs to a different request, or to
	// another attempt than the one that tried to finish it.
	RecordMismatch RecordState = "mismatch"
)

// RecordReply is the reply to a RecordBegin or RecordFinish.
type RecordReply struct {
	State  RecordState   `msgpack:"s"`
	Answer *StoredAnswer `msgpack:"a,omitempty"`
}

// StoredAnswer is a backend server's response, stored for duplicate requests.
type StoredAnswer struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"c"`
	// Body is empty if it was larger than the configured size or the ledger had no
	// room for it. Whole is then false.
	Body  []byte `msgpack:"b"`
	Whole bool   `msgpack:"w"`
}

// RecordFinish finishes a record with its response, or as not run.
type RecordFinish struct {
	ID     model.RequestID `msgpack:"i"`
	Entry  model.VMID      `msgpack:"e"`
	NotRun bool            `msgpack:"n"`
	Answer *StoredAnswer   `msgpack:"a,omitempty"`
	// Attempt is the attempt that created the record. No other can finish it.
	Attempt string `msgpack:"t"`
}
