package work

import "kumquatwing/internal/model"

// Command is one change of the tables. All parts are optional; they are applied
// in the order of the fields. A command decided under an older epoch than the
// newest applied one changes nothing.
type Command struct {
	// Epoch is the one of the leader that decided; 0 skips the fence and is
	// for tests only.
	Epoch model.Epoch `msgpack:"e,omitempty"`
	// View is the fleet revision that Admit, Cancel and Forget follow. They are
	// left out if a newer one has been followed, since a command that was
	// delayed must not bring back what has moved away.
	View uint64 `msgpack:"v,omitempty"`

	Rebuild    *Rebuild        `msgpack:"rb,omitempty"`
	Out        *SetOut         `msgpack:"ou,omitempty"`
	LeaseTerm  *SetLeaseTerm   `msgpack:"lt,omitempty"`
	Lost       []WorkerLost    `msgpack:"lo,omitempty"`
	Register   []Register      `msgpack:"rg,omitempty"`
	Admit      []Admit         `msgpack:"ad,omitempty"`
	Adopt      []Adopt         `msgpack:"ap,omitempty"`
	Started    []Run           `msgpack:"st,omitempty"`
	Usage      []Usage         `msgpack:"us,omitempty"`
	Ended      []Ended         `msgpack:"en,omitempty"`
	Rebuilt    *Rebuilt        `msgpack:"rt,omitempty"`
	Cancel     []model.JobID   `msgpack:"ca,omitempty"`
	Fail       []FailJob       `msgpack:"fa,omitempty"`
	Stop       []Stop          `msgpack:"sp,omitempty"`
	Release    []model.TaskID  `msgpack:"rl,omitempty"`
	Grants     []SetGrant      `msgpack:"gr,omitempty"`
	Quarantine []SetQuarantine `msgpack:"qu,omitempty"`
	Place      []Place         `msgpack:"pl,omitempty"`
	Forget     []model.JobID   `msgpack:"fo,omitempty"`
}

// Empty reports whether c changes nothing.
func (c *Command) Empty() bool {
	return c.Rebuild == nil && c.Out == nil && c.LeaseTerm == nil && c.Rebuilt == nil &&
		len(c.Lost)+len(c.Register)+len(c.Admit)+len(c.Adopt)+len(c.Started) == 0 &&
		len(c.Usage)+len(c.Ended)+len(c.Cancel)+len(c.Fail)+len(c.Stop) == 0 &&
		len(c.Release)+len(c.Grants)+len(c.Quarantine)+len(c.Place)+len(c.Forget) == 0
}

// Rebuild begins the time in which workers' reports fill tables that were lost
// with their whole group. Nothing is placed until Rebuilt.
type Rebuild struct {
	Generation uint64 `msgpack:"g"`
}

// Rebuilt ends it. The proposer guarantees that since Rebuild was applied a
// worker's lease term and the margin have passed. Tasks that no worker
// reported are pending again if idempotent, else their outcome is unknown.
type Rebuilt struct {
	Generation uint64 `msgpack:"g"`
}

// SetOut takes the data centre out or in. An older revision changes nothing.
type SetOut struct {
	Out      bool   `msgpack:"o"`
	Revision uint64 `msgpack:"r"`
}

// SetLeaseTerm sets the longest worker lease in milliseconds that a leader may
// have granted. It is raised before a longer lease is granted and never lowered
// within a generation, since a delayed command could lower it too soon; a new
// leader then waits longer than it had to.
type SetLeaseTerm struct {
	Millis int64 `msgpack:"m"`
}

// WorkerLost ends a worker's standing. The proposer guarantees that its lease
// has provably ended, so that none of its tasks runs any more.
type WorkerLost struct {
	Worker model.WorkerID `msgpack:"w"`
	// Standing must be the worker's, so that a delayed command does not end a
	// lease granted since.
	Standing uint64 `msgpack:"s"`
	Reason   string `msgpack:"r"`
}

// Register enters a worker or its new incarnation. A worker that still holds
// tasks under another incarnation is refused.
type Register struct {
	Worker      model.WorkerID  `msgpack:"w"`
	DC          model.DCID      `msgpack:"d"`
	Rack        string          `msgpack:"k"`
	Size        model.Resources `msgpack:"s"`
	Incarnation string          `msgpack:"i"`
}

// Admit takes in a job, or more tasks of a job, that the fleet has given to
// this data centre.
type Admit struct {
	Spec model.JobSpec `msgpack:"s"`
	// Assignment is the fleet revision that gave the tasks to this data centre.
	Assignment uint64 `msgpack:"a"`
	// Tasks lists the ones given; empty means all of the job.
	Tasks []AdmitTask `msgpack:"t,omitempty"`
}

// AdmitTask is one task with what an earlier data centre left of it.
type AdmitTask struct {
	Index int `msgpack:"i"`
	// Attempt is the newest that another data centre has used.
	Attempt          uint32 `msgpack:"a,omitempty"`
	CheckpointMillis int64  `msgpack:"c,omitempty"`
}

// RunID names one run of a task on a worker.
type RunID struct {
	Task    model.TaskID   `msgpack:"t"`
	Attempt uint32         `msgpack:"a"`
	Worker  model.WorkerID `msgpack:"w"`
}

// Run is a run that its worker has confirmed.
type Run struct {
	RunID `msgpack:",inline"`
}

// Adopt enters a run that a worker reports after the tables were lost.
type Adopt struct {
	RunID            `msgpack:",inline"`
	Hold             model.Resources `msgpack:"h"`
	CheckpointMillis int64           `msgpack:"c,omitempty"`
}

// Usage is a change of what a run uses.
type Usage struct {
	RunID `msgpack:",inline"`
	// Seq is the report's. Older use than the tables show is left out; 0
	// changes Throttled only.
	Seq      uint64          `msgpack:"q,omitempty"`
	Reported model.Resources `msgpack:"u"`
	// Hold is Reported with headroom.
	Hold             model.Resources `msgpack:"h"`
	CheckpointMillis int64           `msgpack:"c,omitempty"`
	// Throttled is set while the worker is told to slow the run down.
	Throttled bool `msgpack:"th,omitempty"`
}

// Ended is a worker's word that a run has ended, or never will start.
type Ended struct {
	RunID `msgpack:",inline"`
	// Outcome is refused if the run provably never started, and empty if it was
	// cut short without fault of its own, as by the end of a lease.
	Outcome          model.Outcome `msgpack:"o"`
	Reason           string        `msgpack:"r,omitempty"`
	CheckpointMillis int64         `msgpack:"c,omitempty"`
	// Retries and BackoffMillis are the settings of the task's retry.
	Retries       int   `msgpack:"n"`
	BackoffMillis int64 `msgpack:"b"`
}

// FailJob ends a job; its runs are stopped.
type FailJob struct {
	Job     model.JobID   `msgpack:"j"`
	Outcome model.Outcome `msgpack:"o"`
	Reason  string        `msgpack:"r"`
}

// Stop asks for the end of one run, which then waits for a new placement.
type Stop struct {
	Task       model.TaskID `msgpack:"t"`
	Attempt    uint32       `msgpack:"a"`
	Checkpoint bool         `msgpack:"c,omitempty"`
	Reason     string       `msgpack:"r"`
}

// SetGrant sets the part of a workspace's upper limit that this data centre uses.
// It never goes below what the workspace holds. A cap is raised only by a newer
// version of the fleet's grant than the tables have seen.
type SetGrant struct {
	Workspace model.WorkspaceID `msgpack:"t"`
	Version   uint64            `msgpack:"v"`
	Cap       model.Resources   `msgpack:"c"`
	// Returning is set while the rest is given back to the fleet.
	Returning bool `msgpack:"r,omitempty"`
}

// SetQuarantine begins or ends a worker's quarantine.
type SetQuarantine struct {
	Worker model.WorkerID `msgpack:"w"`
	// UntilMillis is 0 to end it, on probation.
	UntilMillis int64  `msgpack:"u"`
	Reason      string `msgpack:"r"`
	// Passed ends probation.
	Passed bool `msgpack:"p,omitempty"`
}

// Place starts a task on a worker. Items of one gang are applied together or
// not at all.
type Place struct {
	Task   model.TaskID   `msgpack:"t"`
	Worker model.WorkerID `msgpack:"w"`
	// Hold is the room to set aside, at least the declared size.
	Hold model.Resources `msgpack:"h"`
}

// Result is what Apply answers.
type Result struct {
	// Refused is a reason code if the whole command was refused.
	Refused string `msgpack:"r,omitempty"`
	// Place lists the placements that were refused.
	Place []PlaceRefusal `msgpack:"p,omitempty"`
}

// PlaceRefusal says why a placement no longer holds.
type PlaceRefusal struct {
	Task   model.TaskID `msgpack:"t"`
	Reason string       `msgpack:"r"`
}

// Reasons of refusals and of changes of state.
const (
	ReasonOldEpoch      = "old-epoch"
	ReasonUnknownTask   = "unknown-task"
	ReasonNotPending    = "not-pending"
	ReasonReleased      = "released"
	ReasonUnknownWorker = "unknown-worker"
	ReasonNotReady      = "worker-not-ready"
	ReasonNoRoom        = "no-room"
	ReasonGrant         = "over-grant"
	ReasonOut           = "data-centre-out"
	ReasonRebuilding    = "rebuilding"
	ReasonGangPart      = "gang-in-part"
	ReasonProbation     = "probation"
	ReasonCancelled     = "cancelled"
	ReasonWorkerLost    = "worker-lost"
	ReasonRetriesSpent  = "retries-spent"
	ReasonNotIdempotent = "not-idempotent"
	ReasonGroupLost     = "group-lost"
	ReasonGangBroken    = "gang-broken"
	ReasonOverSize      = "over-size"
	ReasonEverywhere    = "fails-everywhere"
)
