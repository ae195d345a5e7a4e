// Package work holds a data centre group's replicated tables of jobs, tasks and
// workers. State is a deterministic state machine without clock or I/O: the
// same commands give the same tables on each member. Every promise that a
// placement could break is checked again when it is applied: room on the
// worker, the workspace's grant, gangs as a whole, the data centre not out and the
// epoch of the leader that decided.
package work

import (
	"slices"
	"strings"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement/estimate"
)

// Job is a job that the fleet has given to this data centre, wholly or in part.
type Job struct {
	Spec model.JobSpec `msgpack:"s"`
	// Seq orders jobs by arrival.
	Seq           uint64 `msgpack:"q"`
	ArrivedMillis int64  `msgpack:"a"`
	// Assignment is the newest fleet revision that gave tasks of the job.
	Assignment uint64 `msgpack:"as"`
	// Outcome is set once the job is to end: its tasks are stopped and never
	// placed again.
	Outcome model.Outcome `msgpack:"o,omitempty"`
	Reason  string        `msgpack:"r,omitempty"`
	// FailedOn lists distinct workers on which tasks failed, at most maxFailedOn.
	FailedOn  []model.WorkerID `msgpack:"f,omitempty"`
	Succeeded int              `msgpack:"ok,omitempty"`

	tasks   []*Task // sorted by index
	pending int
	held    int
	ended   int
}

// Tasks returns the job's tasks here, sorted by index. They must not be changed.
func (j *Job) Tasks() []*Task { return j.tasks }

// Pending counts the tasks that wait, Held the ones that take room, Ended the rest.
func (j *Job) Pending() int { return j.pending }

// Held counts the tasks that take room on a worker.
func (j *Job) Held() int { return j.held }

// Ended counts the tasks with a final outcome.
func (j *Job) Ended() int { return j.ended }

// Task is a task with what its scheduling needs.
type Task struct {
	model.Task `msgpack:",inline"`
	// Hold is the room the run takes: the larger of its size and its reported
	// use with headroom.
	Hold model.Resources `msgpack:"h"`
	// PlacedMillis and StartedMillis are of the newest run.
	PlacedMillis  int64 `msgpack:"pm,omitempty"`
	StartedMillis int64 `msgpack:"sm,omitempty"`
	// FromMillis is the progress that the newest run began with, and
	// SavedMillis when its newest checkpoint was reported.
	FromMillis  int64 `msgpack:"fm,omitempty"`
	SavedMillis int64 `msgpack:"sv,omitempty"`
	// Peak is the most that the newest run was reported to use.
	Peak model.Resources `msgpack:"pk"`
	// Need is the room that an earlier run took when it was stopped because it
	// outgrew its size.
	Need model.Resources `msgpack:"nd"`
	// NotBeforeMillis holds a task back after a failure.
	NotBeforeMillis int64 `msgpack:"nb,omitempty"`
	Failures        int   `msgpack:"fl,omitempty"`
	// Avoid lists the newest workers on which the task failed, at most maxAvoid.
	Avoid []model.WorkerID `msgpack:"av,omitempty"`
	// StopCheckpoint asks for a checkpoint before a stop.
	StopCheckpoint bool `msgpack:"sc,omitempty"`
	Throttled      bool `msgpack:"th,omitempty"`
	// UsageSeq is the report that Reported is from.
	UsageSeq uint64 `msgpack:"us,omitempty"`
	// Released tasks are on their way to another data centre.
	Released bool `msgpack:"rl,omitempty"`
	// Unaccounted tasks were admitted while the tables were rebuilt.
	Unaccounted bool `msgpack:"ua,omitempty"`

	job *Job
}

// JobRow returns the task's job.
func (t *Task) JobRow() *Job { return t.job }

// Run names the task's newest run.
func (t *Task) Run() RunID { return RunID{Task: t.ID, Attempt: t.Attempt, Worker: t.Worker} }

// Placeable reports whether the task may get a placement.
func (t *Task) Placeable() bool {
	return t.State == model.TaskPending && !t.Released && !t.Unaccounted
}

// Worker is a worker with its load.
type Worker struct {
	model.Worker `msgpack:",inline"`
	// FailedRuns lists the jobs of the newest runs that failed in a row, at
	// most maxFailedRuns.
	FailedRuns []model.JobID `msgpack:"fr,omitempty"`
	// QuarantineMillis is when the quarantine ends, Quarantines counts them
	// since the last success.
	QuarantineMillis int64 `msgpack:"qm,omitempty"`
	Quarantines      int   `msgpack:"qn,omitempty"`
	// Probation workers run one task at a time.
	Probation bool `msgpack:"pb,omitempty"`
	// Past lists earlier incarnations, whose late reports are ignored.
	Past []string `msgpack:"pi,omitempty"`
	// Standing counts how often the worker became ready after it was lost.
	Standing uint64 `msgpack:"sd"`

	tasks []*Task // sorted by id
	held  model.Resources
}

// Tasks returns the runs that take room, sorted by task id. They must not be
// changed.
func (w *Worker) Tasks() []*Task { return w.tasks }

// Held is the room taken by runs that have not provably ended.
func (w *Worker) Held() model.Resources { return w.held }

// Free is the room left; negative if reported use outgrew the worker.
func (w *Worker) Free() model.Resources { return w.Size.Sub(w.held) }

// Grant is the part of a workspace's limit that this data centre may use.
type Grant struct {
	Version   uint64          `msgpack:"v"`
	Cap       model.Resources `msgpack:"c"`
	Returning bool            `msgpack:"r,omitempty"`
}

// Bounds of the lists kept per row.
const (
	maxFailedOn   = 8
	maxAvoid      = 4
	maxFailedRuns = 16
	maxPast       = 8
)

// State is all tables. It is not safe for concurrent use.
type State struct {
	epoch       model.Epoch
	view        uint64
	generation  uint64
	rebuilding  bool
	out         SetOut
	leaseMillis int64
	seq         uint64

	jobs      map[model.JobID]*Job
	order     []*Job // by Seq
	tasks     map[model.TaskID]*Task
	workers   map[model.WorkerID]*Worker
	sorted    []*Worker // by id
	usage     map[model.WorkspaceID]model.Resources
	grants    map[model.WorkspaceID]Grant
	estimates estimate.Book

	changes changes
	// skip switches single protections off, in tests that show what they are for.
	skip protection
}

// New returns empty tables.
func New() *State {
	return &State{
		jobs:    map[model.JobID]*Job{},
		tasks:   map[model.TaskID]*Task{},
		workers: map[model.WorkerID]*Worker{},
		usage:   map[model.WorkspaceID]model.Resources{},
		grants:  map[model.WorkspaceID]Grant{},
	}
}

// Reset empties the tables, as after the loss of the whole group.
func (s *State) Reset() {
	skip := s.skip
	*s = *New()
	s.skip = skip
}

// Epoch is the newest that a command was decided under.
func (s *State) Epoch() model.Epoch { return s.epoch }

// Rebuilding reports whether the tables are being filled after a loss.
func (s *State) Rebuilding() bool { return s.rebuilding }

// Generation is the one of the last Rebuild.
func (s *State) Generation() uint64 { return s.generation }

// Out reports whether the data centre is taken out, and by which revision.
func (s *State) Out() SetOut { return s.out }

// LeaseMillis is the longest worker lease that may have been granted.
func (s *State) LeaseMillis() int64 { return s.leaseMillis }

// Jobs lists all jobs by arrival. They must not be changed.
func (s *State) Jobs() []*Job { return s.order }

// Job returns a job or nil.
func (s *State) Job(id model.JobID) *Job { return s.jobs[id] }

// Task returns a task or nil.
func (s *State) Task(id model.TaskID) *Task { return s.tasks[id] }

// Worker returns a worker or nil.
func (s *State) Worker(id model.WorkerID) *Worker { return s.workers[id] }

// Workers lists all workers by id. They must not be changed.
func (s *State) Workers() []*Worker { return s.sorted }

// Usage is the declared size of the workspace's tasks that take room here.
func (s *State) Usage(workspace model.WorkspaceID) model.Resources { return s.usage[workspace] }

// Grant returns what this data centre may use of the workspace's limit.
func (s *State) Grant(workspace model.WorkspaceID) Grant { return s.grants[workspace] }

// Workspaces lists, sorted, the workspaces with a grant or usage.
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

// hold puts t on w: from here on it takes room.
func (s *State) hold(t *Task, w *Worker, hold model.Resources) {
	if t.State == model.TaskPending {
		t.job.pending--
	}
	t.job.held++
	t.Worker = w.ID
	t.Hold = hold
	i, _ := slices.BinarySearchFunc(w.tasks, t.ID, compareTask)
	w.tasks = slices.Insert(w.tasks, i, t)
	w.held = w.held.Add(hold)
	workspace := t.job.Spec.Workspace
	s.usage[workspace] = s.usage[workspace].Add(t.job.Spec.Size)
}

// resize changes the room that a held task takes.
func (s *State) resize(t *Task, hold model.Resources) {
	w := s.workers[t.Worker]
	w.held = w.held.Sub(t.Hold).Add(hold)
	t.Hold = hold
}

// unhold takes a proven-ended run off its worker.
func (s *State) unhold(t *Task) {
	w := s.workers[t.Worker]
	if i, ok := slices.BinarySearchFunc(w.tasks, t.ID, compareTask); ok {
		w.tasks = slices.Delete(w.tasks, i, i+1)
	}
	w.held = w.held.Sub(t.Hold)
	t.job.held--
	t.Worker = ""
	t.Hold = model.Resources{}
	t.Reported = model.Resources{}
	t.Throttled = false
	t.UsageSeq = 0
	t.StopCheckpoint = false
	workspace := t.job.Spec.Workspace
	left := s.usage[workspace].Sub(t.job.Spec.Size)
	if left.IsZero() {
		delete(s.usage, workspace)
		return
	}
	s.usage[workspace] = left
}

// toPending makes a task that holds nothing wait for a placement.
func (s *State) toPending(t *Task, reason string) {
	t.State = model.TaskPending
	t.Reason = reason
	t.job.pending++
}

// toEnded gives a task that holds nothing its final outcome.
func (s *State) toEnded(t *Task, o model.Outcome, reason string) {
	t.State = model.TaskEnded
	t.Outcome = o
	t.Reason = reason
	t.Avoid = nil
	t.job.ended++
}

func compareTask(t *Task, id model.TaskID) int { return strings.Compare(string(t.ID), string(id)) }

func compareWorker(w *Worker, id model.WorkerID) int {
	return strings.Compare(string(w.ID), string(id))
}
