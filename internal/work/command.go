package work

import "kumquatwing/internal/model"

// Command is one change of the replicated state. All fields are optional and
// are applied in the order of their declaration. A command with an epoch older
// than the newest applied one changes nothing.
type Command struct {
	// Epoch is the epoch of the leader that proposed the command. 0 bypasses
	// the check against older epochs and is for tests only.
	Epoch model.Epoch `msgpack:"e,omitempty"`
	// FleetRevision is the fleet revision on which Admit, Cancel and Forget are based.
	// They are ignored if a newer revision has been applied, since a delayed
	// command must not bring back tasks that have moved to another data centre.
	FleetRevision uint64 `msgpack:"v,omitempty"`

	Rebuild    *Rebuild         `msgpack:"rb,omitempty"`
	Out        *SetOutOfService `msgpack:"ou,omitempty"`
	LeaseTerm  *SetLeaseTerm    `msgpack:"lt,omitempty"`
	Lost       []WorkerLost     `msgpack:"lo,omitempty"`
	Register   []Register       `msgpack:"rg,omitempty"`
	Admit      []Admit          `msgpack:"ad,omitempty"`
	Adopt      []Adopt          `msgpack:"ap,omitempty"`
	Started    []Run            `msgpack:"st,omitempty"`
	Usage      []Usage          `msgpack:"us,omitempty"`
	Ended      []Ended          `msgpack:"en,omitempty"`
	Rebuilt    *Rebuilt         `msgpack:"rt,omitempty"`
	Cancel     []model.JobID    `msgpack:"ca,omitempty"`
	Fail       []FailJob        `msgpack:"fa,omitempty"`
	Stop       []Stop           `msgpack:"sp,omitempty"`
	Release    []model.TaskID   `msgpack:"rl,omitempty"`
	Grants     []SetGrant       `msgpack:"gr,omitempty"`
	Quarantine []SetQuarantine  `msgpack:"qu,omitempty"`
	Place      []Place          `msgpack:"pl,omitempty"`
	Forget     []model.JobID    `msgpack:"fo,omitempty"`
}

// Empty reports whether c contains no change.
func (c *Command) Empty() bool {
	return c.Rebuild == nil && c.Out == nil && c.LeaseTerm == nil && c.Rebuilt == nil &&
		len(c.Lost)+len(c.Register)+len(c.Admit)+len(c.Adopt)+len(c.Started) == 0 &&
		len(c.Usage)+len(c.Ended)+len(c.Cancel)+len(c.Fail)+len(c.Stop) == 0 &&
		len(c.Release)+len(c.Grants)+len(c.Quarantine)+len(c.Place)+len(c.Forget) == 0
}

// Rebuild starts to rebuild, from workers' reports, the state that was lost with
// the whole group. Nothing is placed until Rebuilt is applied.
type Rebuild struct {
	Generation uint64 `msgpack:"g"`
}

// Rebuilt ends the rebuild. The proposer guarantees that a worker's lease term
// and the margin have passed since Rebuild was applied. Tasks that no worker
// reported become pending again if they are idempotent; otherwise they end with
// an unknown outcome.
type Rebuilt struct {
	Generation uint64 `msgpack:"g"`
}

// SetOutOfService takes the data centre out of service or back into service. A
// revision older than the applied one changes nothing.
type SetOutOfService struct {
	Out      bool   `msgpack:"o"`
	Revision uint64 `msgpack:"r"`
}

// SetLeaseTerm raises the bound on the worker leases, in milliseconds, that a
// leader may have granted. The bound is raised before a longer lease is granted
// and never lowered within a generation, since a delayed command could lower it
// too soon. The cost is that a new leader may wait longer than necessary.
type SetLeaseTerm struct {
	Millis int64 `msgpack:"m"`
}

// WorkerLost declares a worker lost and ends its session. The proposer
// guarantees that the worker's lease has provably ended, so that none of its
// tasks is still running.
type WorkerLost struct {
	Worker model.WorkerID `msgpack:"w"`
	// Session must equal the worker's current session number, so that a delayed
	// command does not end a session that began later.
	Session uint64 `msgpack:"s"`
	Reason  string `msgpack:"r"`
}

// Register adds a worker or its new incarnation. It has no effect for an
// earlier incarnation, and while tasks of the previous incarnation are active.
type Register struct {
	Worker      model.WorkerID  `msgpack:"w"`
	DC          model.DCID      `msgpack:"d"`
	Rack        string          `msgpack:"k"`
	Size        model.Resources `msgpack:"s"`
	Incarnation string          `msgpack:"i"`
}

// Admit adds a job, or more tasks of a job, that the fleet has assigned to this
// data centre.
type Admit struct {
	Spec model.JobSpec `msgpack:"s"`
	// Assignment is the fleet revision that assigned the tasks to this data
	// centre.
	Assignment uint64 `msgpack:"a"`
	// Tasks lists the assigned tasks; empty means all tasks of the job.
	Tasks []AdmitTask `msgpack:"t,omitempty"`
}

// AdmitTask is an assigned task with the progress that it made in other data
// centres.
type AdmitTask struct {
	Index int `msgpack:"i"`
	// Attempt is the highest attempt number used by another data centre.
	Attempt          uint32 `msgpack:"a,omitempty"`
	CheckpointMillis int64  `msgpack:"c,omitempty"`
}

// RunID identifies one run of a task on a worker.
type RunID struct {
	Task    model.TaskID   `msgpack:"t"`
	Attempt uint32         `msgpack:"a"`
	Worker  model.WorkerID `msgpack:"w"`
}

// Run is a run whose start the worker has confirmed.
type Run struct {
	RunID `msgpack:",inline"`
}

// Adopt adds a run that a worker reports while the state is being rebuilt.
type Adopt struct {
	RunID            `msgpack:",inline"`
	Reserved         model.Resources `msgpack:"h"`
	CheckpointMillis int64           `msgpack:"c,omitempty"`
}

// Usage is a report of the resources that a run uses.
type Usage struct {
	RunID `msgpack:",inline"`
	// Seq is the sequence number of the report. A report older than the applied
	// one is ignored; 0 changes Throttled only.
	Seq      uint64          `msgpack:"q,omitempty"`
	Reported model.Resources `msgpack:"u"`
	// Reserved is the capacity to reserve: Reported with headroom.
	Reserved         model.Resources `msgpack:"h"`
	CheckpointMillis int64           `msgpack:"c,omitempty"`
	// Throttled is set while the worker is told to throttle the run.
	Throttled bool `msgpack:"th,omitempty"`
}

// Ended is a worker's report that a run has ended or will never start.
type Ended struct {
	RunID `msgpack:",inline"`
	// Outcome is model.OutcomeRefused if the run provably never started, and
	// empty if the run was interrupted for a reason outside the task, such as the
	// end of the worker's lease.
	Outcome          model.Outcome `msgpack:"o"`
	Reason           string        `msgpack:"r,omitempty"`
	CheckpointMillis int64         `msgpack:"c,omitempty"`
	// Retries is the maximum number of retries of the task, and BackoffMillis
	// the back-off after its first failure, as set when the run ended.
	Retries       int   `msgpack:"n"`
	BackoffMillis int64 `msgpack:"b"`
}

// FailJob ends a job with an outcome and stops its runs.
type FailJob struct {
	Job     model.JobID   `msgpack:"j"`
	Outcome model.Outcome `msgpack:"o"`
	Reason  string        `msgpack:"r"`
}

// Stop requests that a run be stopped, so that its task can be placed again.
type Stop struct {
	Task       model.TaskID `msgpack:"t"`
	Attempt    uint32       `msgpack:"a"`
	Checkpoint bool         `msgpack:"c,omitempty"`
	Reason     string       `msgpack:"r"`
}

// SetGrant sets the part of a workspace's limit that this data centre may use.
// A Cap below the workspace's usage is raised to the usage. The cap in force is
// raised only by a version of the fleet's grant that is newer than the applied
// one.
type SetGrant struct {
	Workspace model.WorkspaceID `msgpack:"t"`
	Version   uint64            `msgpack:"v"`
	Cap       model.Resources   `msgpack:"c"`
	// Returning is set while the part of the fleet's grant above Cap is being
	// returned to the fleet.
	Returning bool `msgpack:"r,omitempty"`
}

// SetQuarantine starts or ends a worker's quarantine or ends its probation.
type SetQuarantine struct {
	Worker model.WorkerID `msgpack:"w"`
	// UntilMillis is the end of the quarantine; 0 ends the quarantine and puts
	// the worker on probation.
	UntilMillis int64  `msgpack:"u"`
	Reason      string `msgpack:"r"`
	// Passed ends the probation.
	Passed bool `msgpack:"p,omitempty"`
}

// Place places a task on a worker. The placements of one gang are applied
// together or not at all.
type Place struct {
	Task   model.TaskID   `msgpack:"t"`
	Worker model.WorkerID `msgpack:"w"`
	// Reserved is the capacity to reserve; the declared size is the minimum.
	Reserved model.Resources `msgpack:"h"`
}

// Result is the result of Apply.
type Result struct {
	// Refused is the reason code if the whole command was refused.
	Refused string `msgpack:"r,omitempty"`
	// Place lists the placements that were refused.
	Place []PlaceRefusal `msgpack:"p,omitempty"`
}

// PlaceRefusal is a refused placement with the reason code.
type PlaceRefusal struct {
	Task   model.TaskID `msgpack:"t"`
	Reason string       `msgpack:"r"`
}

// Reason codes of refusals and state changes.
const (
	ReasonOldEpoch         = "old-epoch"
	ReasonUnknownTask      = "unknown-task"
	ReasonNotPending       = "not-pending"
	ReasonReleased         = "released"
	ReasonUnknownWorker    = "unknown-worker"
	ReasonWorkerNotReady   = "worker-not-ready"
	ReasonNoCapacity       = "no-room"
	ReasonOverGrant        = "over-grant"
	ReasonOutOfService     = "data-centre-out"
	ReasonRebuilding       = "rebuilding"
	ReasonPartialGang      = "gang-in-part"
	ReasonProbation        = "probation"
	ReasonCancelled        = "cancelled"
	ReasonWorkerLost       = "worker-lost"
	ReasonRetriesExhausted = "retries-spent"
	ReasonNotIdempotent    = "not-idempotent"
	ReasonGroupLost        = "group-lost"
	ReasonGangBroken       = "gang-broken"
	ReasonOverSize         = "over-size"
	ReasonFailsEverywhere  = "fails-everywhere"
)
