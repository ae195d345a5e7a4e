package cell

import (
	"errors"
	"slices"
	"sync"

	"kumquatwing/internal/consensus"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement/estimate"
)

// Allocation is one run that occupies capacity on a worker.
type Allocation struct {
	Task TaskKey
	Run  int64
	Need model.Resources
	// Filler allocations don't count against the worker's CPU capacity.
	Filler    bool
	Workspace string
}

// Incarnation identifies a worker between one start and its end. A worker that
// restarts under its ID has a new incarnation.
type Incarnation struct {
	ID   WorkerID
	Born int64
}

// Worker holds what a worker reported about itself.
type Worker struct {
	ID WorkerID
	// Born is the start time of the incarnation in Unix milliseconds. It identifies
	// the incarnation.
	Born     int64
	Addr     string
	DC       string
	Pool     string
	Labels   []string
	Capacity model.Resources
	// Draining workers take no new tasks.
	Draining bool
	// Leaving says that a worker is draining by a leave call alone, which may have been
	// meant for an earlier incarnation: it has not said itself that it drains.
	Leaving bool
}

// HasLabel reports whether the worker has the label. It returns true for "".
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// WorkerState is a worker with its allocations.
type WorkerState struct {
	Worker
	// Allocations maps tasks to their allocations on the worker.
	Allocations map[TaskKey]Allocation
	// Used is the sum of the allocations that count against the capacity.
	Used model.Resources
	// Speed is the lasting speed of the worker's tasks in thousandths of the nominal
	// speed, 0 if it is unknown. It ends with the incarnation.
	Speed int64
}

// Free returns the free capacity.
func (w *WorkerState) Free() model.Resources { return w.Capacity.Sub(w.Used) }

// snapshot is the part of the state that Snapshot encodes. Former holds the removed
// queues, Out the data centres that are out of service, and Held the allocations and
// Speeds the speed of the worker with the same index in Workers. Speeds is empty if none is
// known, and in snapshots of earlier versions.
type snapshot struct {
	Leadership uint64
	Config     Config
	Document   []byte
	Former     []Queue
	Out        []string
	Workers    []Worker
	Held       [][]Allocation
	Jobs       []*Job
	Tombstones []Tombstone
	RunTimes   estimate.RunTimes
	Speeds     []int64
}

// State is the replicated state of a cell. Apply, Snapshot and Restore are called by
// the goroutine of the consensus group and take the lock. Readers hold the lock, see
// Read.
type State struct {
	mu sync.Mutex

	// Leadership is the term of the newest scheduler.
	Leadership uint64
	Config     Config
	// ConfigDocument is the configuration as the operator sent it, nil before
	// the first.
	ConfigDocument []byte
	// RemovedQueues holds queues that newer configurations removed, by name, for
	// the jobs that were accepted before.
	RemovedQueues map[string]Queue
	// OutOfService holds the data centres that are out of service.
	OutOfService map[string]bool
	Workers      map[WorkerID]*WorkerState
	Jobs         map[JobID]*Job
	// Active holds the jobs that have not ended.
	Active     map[JobID]*Job
	tombstones tombstones
	// RunTimes predicts run times by queue.
	RunTimes estimate.RunTimes
	// queues indexes the queues by name, including RemovedQueues.
	queues map[string]*Queue
	// UsageByWorkspace maps workspaces to the sum of their allocations.
	UsageByWorkspace map[string]model.Resources
	// Applied is the log index of the last applied command.
	Applied uint64
	// changedWorkers holds the workers to return from TakeChangedWorkers.
	changedWorkers map[WorkerID]bool
	// sortedWorkers caches the result of SortedWorkers, nil if it is outdated.
	sortedWorkers []*WorkerState
	// endWaiters holds the readers that wait for the ends of jobs.
	endWaiters endWaiters
	// notify is called after each command or restore, without the lock.
	notify func()
}

// NewState returns an empty state. notify is called after each change; it may be nil
// and must not block.
func NewState(notify func()) *State {
	s := &State{notify: notify, endWaiters: endWaiters{}}
	s.reset()
	return s
}

func (s *State) reset() {
	s.Leadership, s.Config, s.ConfigDocument = 0, Config{}, nil
	s.RemovedQueues = map[string]Queue{}
	s.OutOfService = map[string]bool{}
	s.Workers = map[WorkerID]*WorkerState{}
	s.Jobs = map[JobID]*Job{}
	s.tombstones = newTombstones()
	s.RunTimes = estimate.RunTimes{}
	s.Active = map[JobID]*Job{}
	s.UsageByWorkspace = map[string]model.Resources{}
	s.changedWorkers, s.sortedWorkers = map[WorkerID]bool{}, nil
}

// TakeChangedWorkers returns the workers that have changed since its last call:
// those that reported or disappeared, whose allocations changed, or with tasks
// of a job that ended. The caller holds the lock.
func (s *State) TakeChangedWorkers() map[WorkerID]bool {
	changed := s.changedWorkers
	if len(changed) > 0 {
		s.changedWorkers = map[WorkerID]bool{}
	}
	return changed
}

// SortedWorkers returns the workers in the order of their IDs. The caller holds
// the lock and must not modify the slice.
func (s *State) SortedWorkers() []*WorkerState {
	if s.sortedWorkers == nil {
		s.sortedWorkers = make([]*WorkerState, 0, len(s.Workers))
		for _, id := range sortedKeys(s.Workers) {
			s.sortedWorkers = append(s.sortedWorkers, s.Workers[id])
		}
	}
	return s.sortedWorkers
}

// Read runs fn under the lock. fn must not retain references to state that commands
// may change.
func (s *State) Read(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

// Snapshot implements replica.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := snapshot{Leadership: s.Leadership, Config: s.Config, Document: s.ConfigDocument}
	for dc := range s.OutOfService {
		snap.Out = append(snap.Out, dc)
	}
	slices.Sort(snap.Out)
	for _, name := range sortedKeys(s.RemovedQueues) {
		snap.Former = append(snap.Former, s.RemovedQueues[name])
	}
	for _, w := range s.SortedWorkers() {
		snap.Workers = append(snap.Workers, w.Worker)
		snap.Held = append(snap.Held, w.allocations())
	}
	snap.Speeds = s.knownSpeeds()
	for _, id := range sortedKeys(s.Jobs) {
		snap.Jobs = append(snap.Jobs, s.Jobs[id])
	}
	snap.Tombstones = s.tombstones.all()
	snap.RunTimes = s.RunTimes
	return consensus.Encode(&snap)
}

// errDamagedSnapshot is the error of a snapshot whose parts don't match.
var errDamagedSnapshot = errors.New("cell: snapshot is damaged")

// Restore implements replica.StateMachine.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := consensus.Decode(data, &snap); err != nil {
		return err
	}
	if len(snap.Held) != len(snap.Workers) || slices.Contains(snap.Jobs, nil) {
		return errDamagedSnapshot
	}
	if len(snap.Speeds) != len(snap.Workers) {
		snap.Speeds = make([]int64, len(snap.Workers))
	}
	s.mu.Lock()
	s.endWaiters.wakeAll()
	s.reset()
	s.Leadership, s.Config, s.ConfigDocument = snap.Leadership, snap.Config, snap.Document
	for _, q := range snap.Former {
		s.RemovedQueues[q.Name] = q
	}
	s.indexQueues()
	for _, dc := range snap.Out {
		s.OutOfService[dc] = true
	}
	for i, w := range snap.Workers {
		ws := &WorkerState{Worker: w, Allocations: map[TaskKey]Allocation{}, Speed: validSpeed(snap.Speeds[i])}
		s.Workers[w.ID] = ws
		s.changedWorkers[w.ID] = true
		for _, a := range snap.Held[i] {
			s.addAllocation(ws, a)
		}
	}
	for _, t := range snap.Tombstones {
		s.tombstones.restore(t)
	}
	s.RunTimes = snap.RunTimes
	for _, j := range snap.Jobs {
		s.Jobs[j.ID] = j
		if !j.State.Ended() {
			s.Active[j.ID] = j
		}
	}
	s.mu.Unlock()
	s.notifyChange()
	return nil
}

// notifyChange calls notify, if it is set. The caller doesn't hold the lock.
func (s *State) notifyChange() {
	if s.notify != nil {
		s.notify()
	}
}

// addAllocation adds an allocation to the worker and the workspace's usage. It doesn't
// change the job's counters.
func (s *State) addAllocation(w *WorkerState, a Allocation) {
	s.changedWorkers[w.ID] = true
	w.Allocations[a.Task] = a
	w.Used = w.Used.Add(reserved(a.Need, a.Filler))
	s.UsageByWorkspace[a.Workspace] = s.UsageByWorkspace[a.Workspace].Add(a.Need)
}

// removeAllocation reverses addAllocation. It doesn't change the job's counters.
func (s *State) removeAllocation(w *WorkerState, a Allocation) {
	s.changedWorkers[w.ID] = true
	delete(w.Allocations, a.Task)
	w.Used = w.Used.Sub(reserved(a.Need, a.Filler))
	s.UsageByWorkspace[a.Workspace] = s.UsageByWorkspace[a.Workspace].Sub(a.Need)
}

// allocations returns the worker's allocations in the order of their task keys.
func (w *WorkerState) allocations() []Allocation {
	out := make([]Allocation, 0, len(w.Allocations))
	for _, a := range w.Allocations {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b Allocation) int { return a.Task.Compare(b.Task) })
	return out
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// QueueOf returns the queue of the job, even if the newest configuration has removed
// it, or nil if there is no such queue.
func (s *State) QueueOf(j *Job) *Queue {
	return s.queues[j.Queue]
}

// KnowsPool reports whether a pool is configured, or needed by a queue whose jobs are kept.
// Before the first configuration it is true for all.
func (s *State) KnowsPool(name string) bool {
	if s.ConfigDocument == nil {
		return true
	}
	for i := range s.Config.Pools {
		if s.Config.Pools[i].Name == name {
			return true
		}
	}
	for _, q := range s.RemovedQueues {
		if q.Pool == name {
			return true
		}
	}
	return false
}

// indexQueues rebuilds the index that QueueOf reads. A queue of the present
// configuration takes precedence over a removed one of the same name.
func (s *State) indexQueues() {
	s.queues = make(map[string]*Queue, len(s.Config.Queues)+len(s.RemovedQueues))
	for name, q := range s.RemovedQueues {
		s.queues[name] = &q
	}
	for i := range s.Config.Queues {
		s.queues[s.Config.Queues[i].Name] = &s.Config.Queues[i]
	}
}

// isIndex reports whether i is an index of a slice of length n.
func isIndex(i, n int) bool { return i >= 0 && i < n }

// Task returns a task with its job and step. Those that don't exist are nil.
func (s *State) Task(k TaskKey) (*Job, *StepState, *Task) {
	j := s.Jobs[k.Job]
	if j == nil || !isIndex(k.Occurrence, len(j.Occurrences)) || !isIndex(k.Step, len(j.Steps)) {
		return j, nil, nil
	}
	st := &j.Occurrences[k.Occurrence].Steps[k.Step]
	if !isIndex(k.Index, len(st.Tasks)) {
		return j, st, nil
	}
	return j, st, &st.Tasks[k.Index]
}

// Ready reports whether all steps that the given step depends on are done.
func (j *Job) Ready(occurrence, step int) bool {
	o := &j.Occurrences[occurrence]
	for _, earlier := range j.Steps[step].After {
		if st := &o.Steps[earlier]; st.Done < len(st.Tasks) {
			return false
		}
	}
	return true
}
