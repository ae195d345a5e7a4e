package cell

import (
	"slices"
	"sync"

	"kumquatwing/internal/consensus"
	"kumquatwing/internal/model"
)

// Allocation is one run that holds room on a worker.
type Allocation struct {
	Task TaskKey
	Run  int64
	Need model.Resources
	// Filler allocations don't count against the capacity.
	Filler    bool
	Workspace string
}

// Incarnation names one life of a worker.
type Incarnation struct {
	ID   WorkerID
	Born int64
}

// Worker is what a worker said of itself.
type Worker struct {
	ID WorkerID
	// Born is the Unix millisecond of the incarnation's start.
	Born     int64
	Addr     string
	DC       string
	Pool     string
	Labels   []string
	Capacity model.Resources
	// Draining workers take no new tasks.
	Draining bool
}

// Has reports whether the worker has a label; every worker has "".
func (w *Worker) Has(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// WorkerState is a worker with what it holds.
type WorkerState struct {
	Worker
	// Held maps tasks to the runs that hold room.
	Held map[TaskKey]Allocation
	// Used sums the allocations that count against the capacity.
	Used model.Resources
}

// Free is the room that is left.
func (w *WorkerState) Free() model.Resources { return w.Capacity.Sub(w.Used) }

// tables is the encoded part of the state.
type tables struct {
	Leadership uint64
	Config     Config
	Document   []byte
	Former     []Queue
	Out        []string
	Workers    []Worker
	Held       [][]Allocation
	Jobs       []*Job
}

// State is the cell's tables. Apply, Snapshot and Restore are called by the
// group's goroutine; readers hold the lock.
type State struct {
	mu sync.Mutex

	// Leadership is the term of the newest scheduler.
	Leadership uint64
	Config     Config
	Document   []byte
	// Former holds queues that newer configurations dropped, for the jobs that
	// were accepted before.
	Former map[string]Queue
	// Out holds the data centres that are taken out of service.
	Out     map[string]bool
	Workers map[WorkerID]*WorkerState
	Jobs    map[JobID]*Job
	// Active holds the jobs that have not ended.
	Active map[JobID]*Job
	// queues indexes the queues by name, those of former configurations too.
	queues map[string]*Queue
	// Used sums what each workspace holds.
	Used map[string]model.Resources
	// Applied is the index of the last command.
	Applied uint64
	// touched holds the workers whose runs changed since TakeTouched was called.
	touched map[WorkerID]bool
	// sorted holds the workers in the order of their IDs, nil after a change.
	sorted []*WorkerState
	// notify is called after each change, without the lock.
	notify func()
}

// NewState returns empty tables; notify may be nil and must not block.
func NewState(notify func()) *State {
	s := &State{notify: notify}
	s.reset()
	return s
}

func (s *State) reset() {
	s.Leadership, s.Config, s.Document = 0, Config{}, nil
	s.Former = map[string]Queue{}
	s.Out = map[string]bool{}
	s.Workers = map[WorkerID]*WorkerState{}
	s.Jobs = map[JobID]*Job{}
	s.Active = map[JobID]*Job{}
	s.Used = map[string]model.Resources{}
	s.touched, s.sorted = map[WorkerID]bool{}, nil
}

// TakeTouched returns the workers that commands changed, or of which a job with
// runs there ended, since it was called last. The caller holds the lock.
func (s *State) TakeTouched() map[WorkerID]bool {
	t := s.touched
	if len(t) > 0 {
		s.touched = map[WorkerID]bool{}
	}
	return t
}

// SortedWorkers returns the workers in the order of their IDs. The caller holds
// the lock and must not change the slice.
func (s *State) SortedWorkers() []*WorkerState {
	if s.sorted == nil {
		s.sorted = make([]*WorkerState, 0, len(s.Workers))
		for _, id := range sortedKeys(s.Workers) {
			s.sorted = append(s.sorted, s.Workers[id])
		}
	}
	return s.sorted
}

// Read runs fn under the lock; fn must not keep references to what it changes.
func (s *State) Read(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

// Snapshot implements replica.Machine.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := tables{Leadership: s.Leadership, Config: s.Config, Document: s.Document}
	for dc := range s.Out {
		t.Out = append(t.Out, dc)
	}
	slices.Sort(t.Out)
	for _, name := range sortedKeys(s.Former) {
		t.Former = append(t.Former, s.Former[name])
	}
	for _, w := range s.SortedWorkers() {
		t.Workers = append(t.Workers, w.Worker)
		t.Held = append(t.Held, w.allocations())
	}
	for _, id := range sortedKeys(s.Jobs) {
		t.Jobs = append(t.Jobs, s.Jobs[id])
	}
	return consensus.Encode(&t)
}

// Restore implements replica.Machine.
func (s *State) Restore(data []byte) error {
	var t tables
	if err := consensus.Decode(data, &t); err != nil {
		return err
	}
	s.mu.Lock()
	s.reset()
	s.Leadership, s.Config, s.Document = t.Leadership, t.Config, t.Document
	for _, q := range t.Former {
		s.Former[q.Name] = q
	}
	s.indexQueues()
	for _, dc := range t.Out {
		s.Out[dc] = true
	}
	for i, w := range t.Workers {
		ws := &WorkerState{Worker: w, Held: map[TaskKey]Allocation{}}
		s.Workers[w.ID] = ws
		s.touched[w.ID] = true
		for _, a := range t.Held[i] {
			s.hold(ws, a)
		}
	}
	for _, j := range t.Jobs {
		s.Jobs[j.ID] = j
		if !j.State.Ended() {
			s.Active[j.ID] = j
		}
	}
	s.mu.Unlock()
	s.changed()
	return nil
}

func (s *State) changed() {
	if s.notify != nil {
		s.notify()
	}
}

// hold adds an allocation without touching the job's counters.
func (s *State) hold(w *WorkerState, a Allocation) {
	s.touched[w.ID] = true
	w.Held[a.Task] = a
	if !a.Filler {
		w.Used = w.Used.Add(a.Need)
	}
	s.Used[a.Workspace] = s.Used[a.Workspace].Add(a.Need)
}

// release removes an allocation without touching the job's counters.
func (s *State) release(w *WorkerState, a Allocation) {
	s.touched[w.ID] = true
	delete(w.Held, a.Task)
	if !a.Filler {
		w.Used = w.Used.Sub(a.Need)
	}
	s.Used[a.Workspace] = s.Used[a.Workspace].Sub(a.Need)
}

// allocations returns what the worker holds in the order of the tasks.
func (w *WorkerState) allocations() []Allocation {
	out := make([]Allocation, 0, len(w.Held))
	for _, a := range w.Held {
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

// QueueOf returns the queue of a job, also if the newest configuration dropped
// it, or nil if it was never known.
func (s *State) QueueOf(j *Job) *Queue {
	return s.queues[j.Queue]
}

// indexQueues makes QueueOf know the present queues.
func (s *State) indexQueues() {
	s.queues = make(map[string]*Queue, len(s.Config.Queues)+len(s.Former))
	for name, q := range s.Former {
		s.queues[name] = &q
	}
	for i := range s.Config.Queues {
		s.queues[s.Config.Queues[i].Name] = &s.Config.Queues[i]
	}
}

// Task returns a task and its step, or nil if there is none.
func (s *State) Task(k TaskKey) (*Job, *StepState, *Task) {
	j := s.Jobs[k.Job]
	if j == nil || k.Occurrence >= len(j.Occurrences) || k.Step >= len(j.Steps) {
		return j, nil, nil
	}
	st := &j.Occurrences[k.Occurrence].Steps[k.Step]
	if k.Index >= len(st.Tasks) {
		return j, st, nil
	}
	return j, st, &st.Tasks[k.Index]
}

// Ready reports whether all steps before the given one are done.
func (j *Job) Ready(occurrence, step int) bool {
	o := &j.Occurrences[occurrence]
	for _, before := range j.Steps[step].After {
		if st := &o.Steps[before]; st.Done < len(st.Tasks) {
			return false
		}
	}
	return true
}
