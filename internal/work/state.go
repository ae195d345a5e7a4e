// Package work implements the replicated state of a data centre group: its
// jobs, tasks and workers. State is a deterministic state machine that reads no
// clock and does no I/O: the same commands produce the same state on every
// member. Applying a placement checks again every invariant that the placement
// could violate: the worker's free capacity, the workspace's grant, that a gang
// starts as a whole, that the data centre is in service, and that the epoch of
// the leader that decided is current.
package work

import (
	"slices"
	"strings"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement/estimate"
)

// Job is a job of which the fleet has assigned all or some tasks to this data
// centre.
type Job struct {
	Spec model.JobSpec `msgpack:"s"`
	// Seq increases in the order in which jobs arrive.
	Seq           uint64 `msgpack:"q"`
	ArrivedMillis int64  `msgpack:"a"`
	// Assignment is the newest fleet revision that assigned tasks of the job to
	// this data centre.
	Assignment uint64 `msgpack:"as"`
	// Outcome is set as soon as the job has to end: its active tasks are stopped
	// and none of its tasks is placed again.
	Outcome model.Outcome `msgpack:"o,omitempty"`
	Reason  string        `msgpack:"r,omitempty"`
	// FailedOn lists distinct workers on which tasks of the job failed, at most
	// maxFailedOn; the oldest entry is removed first.
	FailedOn  []model.WorkerID `msgpack:"f,omitempty"`
	Succeeded int              `msgpack:"ok,omitempty"`

	tasks   []*Task // sorted by index
	pending int
	active  int
	ended   int
}

// Tasks returns the job's tasks in this data centre, sorted by index. Callers
// must not modify them.
func (j *Job) Tasks() []*Task { return j.tasks }

// Pending returns the number of tasks that wait for a placement.
func (j *Job) Pending() int { return j.pending }

// ActiveTasks returns the number of active tasks, those that occupy capacity on a
// worker.
func (j *Job) ActiveTasks() int { return j.active }

// Ended returns the number of tasks with a final outcome.
func (j *Job) Ended() int { return j.ended }

// Task is a task with its scheduling state.
type Task struct {
	model.Task `msgpack:",inline"`
	// Reserved is the capacity reserved for the run: the larger of the declared size
	// and the reported usage with headroom.
	Reserved model.Resources `msgpack:"h"`
	// PlacedMillis and StartedMillis are when the newest run was placed and when
	// its worker confirmed its start.
	PlacedMillis  int64 `msgpack:"pm,omitempty"`
	StartedMillis int64 `msgpack:"sm,omitempty"`
	// ResumedFromMillis is the checkpointed progress from which the newest run
	// resumed; CheckpointedAtMillis is when its newest checkpoint was reported.
	ResumedFromMillis    int64 `msgpack:"fm,omitempty"`
	CheckpointedAtMillis int64 `msgpack:"sv,omitempty"`
	// Peak is the maximum usage reported for the newest run.
	Peak model.Resources `msgpack:"pk"`
	// RequiredCapacity is the largest capacity that was reserved for an earlier
	// run when that run was stopped for exceeding its declared size.
	RequiredCapacity model.Resources `msgpack:"nd"`
	// NotBeforeMillis is the end of the back-off after a failure.
	NotBeforeMillis int64 `msgpack:"nb,omitempty"`
	Failures        int   `msgpack:"fl,omitempty"`
	// Avoid lists the workers on which the task failed most recently, at most
	// maxAvoid.
	Avoid []model.WorkerID `msgpack:"av,omitempty"`
	// StopCheckpoint requests a checkpoint before the run is stopped.
	StopCheckpoint bool `msgpack:"sc,omitempty"`
	Throttled      bool `msgpack:"th,omitempty"`
	// UsageSeq is the sequence number of the usage report that set Reported.
	UsageSeq uint64 `msgpack:"us,omitempty"`
	// Released is set while the task waits to be assigned to another data centre.
	Released bool `msgpack:"rl,omitempty"`
	// Unaccounted is set for a task admitted during a rebuild until a worker
	// reports a run of it or the rebuild ends.
	Unaccounted bool `msgpack:"ua,omitempty"`

	job *Job
}

// ParentJob returns the task's job.
func (t *Task) ParentJob() *Job { return t.job }

// Run returns the id of the task's newest run.
func (t *Task) Run() RunID { return RunID{Task: t.ID, Attempt: t.Attempt, Worker: t.Worker} }

// Placeable reports whether the task may be placed.
func (t *Task) Placeable() bool {
	return t.State == model.TaskPending && !t.Released && !t.Unaccounted
}

// Worker is a worker with its tasks and the capacity reserved for them.
type Worker struct {
	model.Worker `msgpack:",inline"`
	// FailedRuns lists the jobs of the newest runs that failed on the worker
	// since its last successful run or quarantine, at most maxFailedRuns.
	FailedRuns []model.JobID `msgpack:"fr,omitempty"`
	// QuarantineMillis is when the quarantine ends, 0 without one. Quarantines
	// is the number of quarantines since the last successful run or passed
	// probation.
	QuarantineMillis int64 `msgpack:"qm,omitempty"`
	Quarantines      int   `msgpack:"qn,omitempty"`
	// Probation limits the worker to one task at a time.
	Probation bool `msgpack:"pb,omitempty"`
	// Past lists earlier incarnations of the worker, whose delayed reports are
	// ignored.
	Past []string `msgpack:"pi,omitempty"`
	// Session is the number of the worker's session. It grows each time a lost
	// or new worker registers, and fences a delayed WorkerLost of an earlier
	// session.
	Session uint64 `msgpack:"sd"`

	tasks    []*Task // sorted by id
	reserved model.Resources
}

// Tasks returns the worker's active tasks, sorted by id. Callers must not
// modify them.
func (w *Worker) Tasks() []*Task { return w.tasks }

// Reserved returns the capacity reserved for the runs that have not provably ended.
func (w *Worker) Reserved() model.Resources { return w.reserved }

// Free returns the unreserved capacity. It is negative if the reported usage
// exceeds the worker's size.
func (w *Worker) Free() model.Resources { return w.Size.Sub(w.reserved) }

// Grant is the part of a workspace's limit that this data centre may use.
type Grant struct {
	Version uint64          `msgpack:"v"`
	Cap     model.Resources `msgpack:"c"`
	// Returning is set while the part of the fleet's grant above Cap is being
	// returned to the fleet.
	Returning bool `msgpack:"r,omitempty"`
}

// Maximum lengths of the lists in a Job, Task or Worker.
const (
	maxFailedOn         = 8
	maxAvoid            = 4
	maxFailedRuns       = 16
	maxPastIncarnations = 8
)

// State is the group's replicated state of jobs, tasks and workers. It is not
// safe for concurrent use.
type State struct {
	epoch         model.Epoch
	fleetRevision uint64
	generation    uint64
	rebuilding    bool
	outOfService  SetOutOfService
	leaseMillis   int64
	lastSeq       uint64

	jobs          map[model.JobID]*Job
	jobsByArrival []*Job // by Seq
	tasks         map[model.TaskID]*Task
	workers       map[model.WorkerID]*Worker
	workersByID   []*Worker
	usage         map[model.WorkspaceID]model.Resources
	grants        map[model.WorkspaceID]Grant
	estimates     estimate.Estimates

	changes changes
	// skip disables single checks, in tests that show the failure which a check
	// prevents.
	skip checkSet
}

// New returns an empty state.
func New() *State {
	return &State{
		jobs:    map[model.JobID]*Job{},
		tasks:   map[model.TaskID]*Task{},
		workers: map[model.WorkerID]*Worker{},
		usage:   map[model.WorkspaceID]model.Resources{},
		grants:  map[model.WorkspaceID]Grant{},
	}
}

// Reset empties the state, as the loss of the whole group does.
func (s *State) Reset() {
	skip := s.skip
	*s = *New()
	s.skip = skip
}

// Epoch returns the newest leader epoch of an applied command.
func (s *State) Epoch() model.Epoch { return s.epoch }

// Rebuilding reports whether the state is being rebuilt from workers' reports
// after the whole group lost it.
func (s *State) Rebuilding() bool { return s.rebuilding }

// Generation returns the generation of the last Rebuild.
func (s *State) Generation() uint64 { return s.generation }

// Out returns whether the data centre is out of service, and the revision that
// set this.
func (s *State) Out() SetOutOfService { return s.outOfService }

// LeaseMillis returns the longest worker lease, in milliseconds, that may have
// been granted.
func (s *State) LeaseMillis() int64 { return s.leaseMillis }

// Jobs returns all jobs in the order of their arrival. Callers must not modify
// them.
func (s *State) Jobs() []*Job { return s.jobsByArrival }

// Job returns a job, or nil if it is unknown.
func (s *State) Job(id model.JobID) *Job { return s.jobs[id] }

// Task returns a task, or nil if it is unknown.
func (s *State) Task(id model.TaskID) *Task { return s.tasks[id] }

// Worker returns a worker, or nil if it is unknown.
func (s *State) Worker(id model.WorkerID) *Worker { return s.workers[id] }

// Workers returns all workers, sorted by id. Callers must not modify them.
func (s *State) Workers() []*Worker { return s.workersByID }

// Usage returns the total declared size of the workspace's active tasks in this
// data centre.
func (s *State) Usage(workspace model.WorkspaceID) model.Resources { return s.usage[workspace] }

// Grant returns the part of the workspace's limit that this data centre may use.
func (s *State) Grant(workspace model.WorkspaceID) Grant { return s.grants[workspace] }

// Workspaces returns the ids of the workspaces with a grant or usage, sorted.
func (s *State) Workspaces() []model.WorkspaceID {
	workspaces := make([]model.WorkspaceID, 0, len(s.grants))
	for id := range s.grants {
		workspaces = append(workspaces, id)
	}
	for id := range s.usage {
		if _, ok := s.grants[id]; !ok {
			workspaces = append(workspaces, id)
		}
	}
	slices.Sort(workspaces)
	return workspaces
}

// reserve assigns t to w and reserves capacity for it there. It doesn't change
// the task's state.
func (s *State) reserve(t *Task, w *Worker, size model.Resources) {
	if t.State == model.TaskPending {
		t.job.pending--
	}
	t.job.active++
	t.Worker = w.ID
	t.Reserved = size
	i, _ := slices.BinarySearchFunc(w.tasks, t.ID, compareTaskID)
	w.tasks = slices.Insert(w.tasks, i, t)
	w.reserved = w.reserved.Add(size)
	workspace := t.job.Spec.Workspace
	s.usage[workspace] = s.usage[workspace].Add(t.job.Spec.Size)
}

// resizeReservation changes the capacity reserved for an active task.
func (s *State) resizeReservation(t *Task, size model.Resources) {
	w := s.workers[t.Worker]
	w.reserved = w.reserved.Sub(t.Reserved).Add(size)
	t.Reserved = size
}

// unreserve removes t from its worker and frees its reservation. The run must
// have provably ended.
func (s *State) unreserve(t *Task) {
	w := s.workers[t.Worker]
	if i, ok := slices.BinarySearchFunc(w.tasks, t.ID, compareTaskID); ok {
		w.tasks = slices.Delete(w.tasks, i, i+1)
	}
	w.reserved = w.reserved.Sub(t.Reserved)
	t.job.active--
	t.Worker = ""
	t.Reserved = model.Resources{}
	t.Reported = model.Resources{}
	t.Throttled = false
	t.UsageSeq = 0
	t.StopCheckpoint = false
	workspace := t.job.Spec.Workspace
	remaining := s.usage[workspace].Sub(t.job.Spec.Size)
	if remaining.IsZero() {
		delete(s.usage, workspace)
		return
	}
	s.usage[workspace] = remaining
}

// setPending makes a task without a reservation wait for a placement.
func (s *State) setPending(t *Task, reason string) {
	t.State = model.TaskPending
	t.Reason = reason
	t.job.pending++
}

// setEnded gives a task without a reservation its final outcome. The caller
// decrements the job's pending count if the task was pending.
func (s *State) setEnded(t *Task, o model.Outcome, reason string) {
	t.State = model.TaskEnded
	t.Outcome = o
	t.Reason = reason
	t.Avoid = nil
	t.job.ended++
}

// compareTaskID orders a task against a task id, for binary search.
func compareTaskID(t *Task, id model.TaskID) int { return strings.Compare(string(t.ID), string(id)) }

// compareWorkerID orders a worker against a worker id, for binary search.
func compareWorkerID(w *Worker, id model.WorkerID) int {
	return strings.Compare(string(w.ID), string(id))
}
