package api

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

// Announcement is what a backend server sends to any entry VM of its data
// centre about every half second. Silence counts as leaving.
type Announcement struct {
	Server model.ServerID `json:"server" msgpack:"s"`
	// Addr is host:port of the server's HTTP interface.
	Addr  string          `json:"addr" msgpack:"a"`
	DC    model.DCID      `json:"dc" msgpack:"d"`
	Queue model.QueueName `json:"queue" msgpack:"q"`
	// Slots is how many requests the server runs at the same time.
	Slots int `json:"slots" msgpack:"n"`
	// Connections is how many connections the server takes.
	Connections int `json:"connections" msgpack:"c"`
	// Incarnation is drawn anew when the server's process starts.
	Incarnation string `json:"incarnation" msgpack:"i"`
	Leaving     bool   `json:"leaving" msgpack:"l"`
}

// EntrySync is sent by a kqentry to the kqcontrol of its VM a few times a
// second. It renews the entry's settings lease and its slot leases.
type EntrySync struct {
	Entry model.VMID `msgpack:"e"`
	// Incarnation is drawn anew when the kqentry process starts.
	Incarnation string `msgpack:"i"`
	// Revision is the newest view the entry has in force.
	Revision uint64 `msgpack:"r"`
	// Announcements received since the last sync that was answered.
	Announcements []Announcement `msgpack:"a,omitempty"`
	// Demand is the number of requests waiting or running per queue.
	Demand []QueueDemand `msgpack:"d,omitempty"`
	// Returned gives back slots that are free at the entry; Slots is their
	// number. It is repeated until a sync that carried it is answered, also when
	// the slot lease ends meanwhile, since an earlier sync may still arrive.
	Returned []SlotGrant `msgpack:"g,omitempty"`
	// Stopping hands back everything: the entry takes no more requests.
	Stopping bool `msgpack:"x,omitempty"`
	// LongestMillis bounds the time left of any request that the entry sends to
	// a server before its next sync is answered. The slots of an entry that
	// falls silent are kept back for that long after its slot lease.
	LongestMillis int64 `msgpack:"b,omitempty"`
}

// QueueDemand is the number of slots an entry VM could use for a queue.
type QueueDemand struct {
	Queue model.QueueName `msgpack:"q"`
	Slots int             `msgpack:"n"`
}

// EntryState answers an EntrySync.
type EntryState struct {
	// LeaseMillis is what is left of the settings lease, counted by the entry
	// from the moment it sent the sync. 0 means no lease.
	LeaseMillis int64  `msgpack:"l"`
	Revision    uint64 `msgpack:"r"`
	// View is set when the entry's revision is older than Revision.
	View *EntryView `msgpack:"v,omitempty"`
	// Slots lists all the entry holds, replacing what it held, if SlotsValid.
	Slots      []SlotGrant `msgpack:"s,omitempty"`
	SlotsValid bool        `msgpack:"sv"`
	// SlotLeaseMillis counts like LeaseMillis.
	SlotLeaseMillis int64 `msgpack:"sl"`
	// Generation and GroupMillis are the data centre group's ledger generation
	// and its clock, for minting request ids.
	Generation  uint64 `msgpack:"g"`
	GroupMillis int64  `msgpack:"t"`
	// Refusal says why slots or lease are missing, if they are.
	Refusal *verdict.Refusal `msgpack:"e,omitempty"`
	// Remote lists entry VMs of other data centres, for overflow.
	Remote []RemoteEntry `msgpack:"o,omitempty"`
}

// RemoteEntry is an entry VM of another data centre.
type RemoteEntry struct {
	VM   model.VMID `msgpack:"v"`
	DC   model.DCID `msgpack:"d"`
	Addr string     `msgpack:"a"`
	// Out is set while the data centre is out: it sends requests and takes none.
	Out bool `msgpack:"o,omitempty"`
}

// EntryView is the part of the fleet's state that traffic needs.
type EntryView struct {
	Revision    uint64             `msgpack:"r"`
	Keys        []model.Key        `msgpack:"k"`
	Workspaces  []model.Workspace  `msgpack:"t"`
	Queues      []model.Queue      `msgpack:"q"`
	DataCentres []model.DataCentre `msgpack:"d"`
	Tree        *settings.Tree     `msgpack:"s"`
}

// SlotGrant is a number of slots of one backend server lent to one entry VM.
type SlotGrant struct {
	Server      model.ServerID  `msgpack:"s"`
	Incarnation string          `msgpack:"i"`
	Addr        string          `msgpack:"a"`
	Queue       model.QueueName `msgpack:"q"`
	Slots       int             `msgpack:"n"`
	Connections int             `msgpack:"c"`
	// Epoch changes with every change of the holding. Slots are returned under
	// the epoch they were held by, so that a return counts once.
	Epoch model.Epoch `msgpack:"e"`
	// Leaving servers finish what runs and get nothing new.
	Leaving bool `msgpack:"l,omitempty"`
	// Recall is how many of Slots the entry should return once they are free.
	Recall int `msgpack:"r,omitempty"`
}

// RecordBegin asks the data centre group to record a request that is not
// idempotent before it is sent.
type RecordBegin struct {
	ID        model.RequestID   `msgpack:"i"`
	Workspace model.WorkspaceID `msgpack:"t"`
	Queue     model.QueueName   `msgpack:"q"`
	Entry     model.VMID        `msgpack:"e"`
	Digest    uint64            `msgpack:"h"`
	// LifeMillis is how long the record is kept, from the minting of the id.
	LifeMillis int64 `msgpack:"l"`
	// Attempt names the one sending that this call is for. The same attempt may
	// ask again after a lost reply and is told the same.
	Attempt string `msgpack:"a"`
}

// RecordState is where a record stands.
type RecordState string

// The states of a record.
const (
	// RecordFresh was made by this call: the request may be sent, once.
	RecordFresh RecordState = "fresh"
	// RecordOpen was made by an earlier call whose outcome is not known.
	RecordOpen RecordState = "open"
	// RecordAnswered has its answer stored.
	RecordAnswered RecordState = "answered"
	// RecordNotRun was closed without a byte sent; the id is used up.
	RecordNotRun RecordState = "not-run"
	// RecordExpired is past its life, or its group has lost its records.
	RecordExpired RecordState = "expired"
	// RecordMismatch was made for a different request.
	RecordMismatch RecordState = "mismatch"
)

// RecordReply answers a RecordBegin.
type RecordReply struct {
	State  RecordState   `msgpack:"s"`
	Answer *StoredAnswer `msgpack:"a,omitempty"`
}

// StoredAnswer is a backend server's answer as kept for repeats.
type StoredAnswer struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"c"`
	// Body is absent when it was over the setting's size; Whole is then false.
	Body  []byte `msgpack:"b"`
	Whole bool   `msgpack:"w"`
}

// RecordFinish closes a record with its answer, or as not run.
type RecordFinish struct {
	ID     model.RequestID `msgpack:"i"`
	Entry  model.VMID      `msgpack:"e"`
	NotRun bool            `msgpack:"n"`
	Answer *StoredAnswer   `msgpack:"a,omitempty"`
	// Attempt is the one that opened the record; no other can close it.
	Attempt string `msgpack:"t"`
}
