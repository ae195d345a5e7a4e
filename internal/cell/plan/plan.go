// Package plan decides where waiting tasks run. It is a pure function from a
// snapshot of the cell to a list of starts; the tables check the list again
// when it is applied.
package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

// Ticket lets a worker run the tasks of one step.
type Ticket struct {
	Token string
	// Until is when it is no longer used.
	Until clock.Instant
}

// StepAdvice is what the placement policy has said of one step.
type StepAdvice struct {
	// Good maps the workers that may run the step to their newest tickets.
	Good map[cell.WorkerID]Ticket
	// Asked holds all workers that the policy was asked about.
	Asked map[cell.WorkerID]bool
	// InFlight counts the calls that are on their way.
	InFlight int
}

// Worker is a worker as the plan sees it.
type Worker struct {
	ID   cell.WorkerID
	Born int64
	DC   string
	Rack string
	Pool string
	// Labels are the worker's labels.
	Labels []string
	// Capacity is the room of the empty worker.
	Capacity model.Resources
	// Free is the room that is left; the plan takes from it.
	Free model.Resources
	// Coming is the room of runs that are being stopped.
	Coming model.Resources
	// Victims are the runs that may be stopped for more urgent work.
	Victims []Victim
	// order is the worker's place in the input.
	order int
	// byLoss orders the victims; it is made when it is needed.
	byLoss []*Victim
	// Speed is the learnt speed of the worker's tasks, 1 for the usual.
	Speed float64
	// Suspect workers get work only where no other worker fits.
	Suspect bool
}

func (w *Worker) has(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// Victim is a run that may be stopped for more urgent work.
type Victim struct {
	Task cell.TaskKey
	Run  int64
	Need model.Resources
	// Priority of its queue; only work of a lower number may stop it.
	Priority int
	// Lost is the work that a stop throws away, in core-milliseconds.
	Lost float64
	// stopped says that this plan stops it.
	stopped bool
}

// Stop ends a run to make room.
type Stop struct {
	Worker cell.WorkerID
	Task   cell.TaskKey
	Run    int64
	// For is the step that needs the room.
	For cell.StepKey
}

// Pending is a step with waiting tasks.
type Pending struct {
	Key   cell.StepKey
	Step  *cell.Step
	Queue *cell.Queue
	// Pool names the workers that may run it.
	Pool      string
	Workspace string
	// Waiting lists the tasks to place; NextRun is the number of each one's run.
	Waiting []int
	NextRun []int64
	// OnWorker counts the step's tasks by worker, nil if MaxPerWorker is 0.
	OnWorker map[cell.WorkerID]int
	// Due is when the job should have ended to count as in time.
	Due clock.Instant
	// OverShare says that the job's workspace had submitted more than its share.
	OverShare bool
	// Remaining is the estimated work that is left on the longest chain.
	Remaining time.Duration
	// Advice is nil where no policy needs to be asked.
	Advice *StepAdvice
	// good holds the good workers once they were gathered.
	good []*Worker
}

// Room is what a workspace may still start.
type Room struct {
	Limited bool
	Left    model.Resources
}

// Input is a snapshot of the cell.
type Input struct {
	Now clock.Instant
	// StopTime is how long a stop takes at most.
	StopTime time.Duration
	Workers  []Worker
	Pending  []Pending
	// Rooms holds the room of each workspace.
	Rooms map[string]*Room
	// GoodShare is the share of workers that the policy of a queue lets through.
	GoodShare map[string]float64
	// Advisers is how many more calls for advice may be started now, of
	// AllAdvisers in all.
	Advisers    int
	AllAdvisers int
}

// Question asks the placement policy about workers for a step.
type Question struct {
	Key     cell.StepKey
	Queue   string
	Workers []cell.WorkerID
}

// Output is what the plan decided.
type Output struct {
	Starts []cell.Start
	// Tokens holds the ticket of each start, "" where none is needed.
	Tokens    []string
	Questions []Question
	Stops     []Stop
}

// planner carries one plan's working state.
type planner struct {
	in  *Input
	out Output
	// pools holds the workers by pool.
	pools map[string][]*Worker
	byID  map[cell.WorkerID]*Worker
	// saved counts the gangs for which room is kept that is not enough yet.
	saved int
	// renewed counts the waiting gangs whose tickets are kept valid.
	renewed int
}

// Make returns the plan for a snapshot; it changes in.Workers and in.Rooms.
func Make(in *Input) Output {
	p := &planner{in: in, pools: map[string][]*Worker{}, byID: make(map[cell.WorkerID]*Worker, len(in.Workers))}
	for i := range in.Workers {
		w := &in.Workers[i]
		w.order = i
		p.pools[w.Pool] = append(p.pools[w.Pool], w)
		p.byID[w.ID] = w
	}
	sortPending(in.Pending, in.Now)
	for i := range in.Pending {
		p.place(&in.Pending[i])
	}
	return p.out
}

// sortPending orders steps: those that can still be in time go first, of these
// those within their workspace's share, then by priority and then by the latest start that keeps them in time.
func sortPending(ps []Pending, now clock.Instant) {
	slices.SortStableFunc(ps, func(a, b Pending) int {
		if c := cmp.Compare(rank(&a, now), rank(&b, now)); c != 0 {
			return c
		}
		return cmp.Compare(a.latestStart(), b.latestStart())
	})
}

// lateRank sorts steps that can't be in time behind all others, and
// overShareRank those of jobs beyond their workspace's share behind those within.
const (
	lateRank      = 1000
	overShareRank = 100
)

func rank(p *Pending, now clock.Instant) int {
	r := p.Queue.Priority
	if p.OverShare {
		r += overShareRank
	}
	if now > p.latestStart() {
		r += lateRank
	}
	return r
}

func (p *Pending) latestStart() clock.Instant { return p.Due.Add(-p.Remaining) }

// place starts as many tasks of a step as fit, or asks for advice first.
func (p *planner) place(s *Pending) {
	room := p.in.Rooms[s.Workspace]
	if s.Step.Gang {
		p.placeGang(s, room)
		return
	}
	placed := 0
	ticketed := p.ticketed(s)
	yields := p.leavesHeadroom(s)
	if yields {
		ticketed = slices.DeleteFunc(ticketed, usable)
	}
	for i, index := range s.Waiting {
		if !room.allows(s.Step.Need) {
			return
		}
		w := best(s, ticketed)
		if w == nil {
			break
		}
		p.start(s, index, s.NextRun[i], w)
		placed++
	}
	if placed < len(s.Waiting) && !yields {
		p.ask(s, len(s.Waiting)-placed)
	}
}

const (
	// headroom is the share of a pool's cores, on workers with room for more than
	// splinterShare of their own, that is left to the most urgent work.
	headroom      = 0.04
	splinterShare = 0.15
	// headroomSlack is how much time a step must have left to leave headroom.
	headroomSlack = time.Second
)

// leavesHeadroom reports whether a step that has time left must make do with
// splinters, so that more urgent work finds room at once when it comes.
func (p *planner) leavesHeadroom(s *Pending) bool {
	if s.Queue.Priority == 0 || s.latestStart().Sub(p.in.Now) < headroomSlack {
		return false
	}
	return p.usableShare(s.Pool) < headroom
}

// usableShare is the part of a pool's cores that is free, splinters left out.
func (p *planner) usableShare(pool string) float64 {
	var free, all int64
	for _, w := range p.pools[pool] {
		all += w.Capacity.MilliCPU
		if usable(w) {
			free += w.Free.MilliCPU
		}
	}
	return float64(free) / float64(max(1, all))
}

// usable reports whether a worker has more than a splinter of room.
func usable(w *Worker) bool {
	return float64(w.Free.MilliCPU) > splinterShare*float64(w.Capacity.MilliCPU)
}

// allows reports whether a workspace may start that much more.
func (r *Room) allows(need model.Resources) bool { return r == nil || !r.Limited || need.Fits(r.Left) }

func (r *Room) take(need model.Resources) {
	if r != nil {
		r.Left = r.Left.Sub(need)
	}
}

// best returns the worker with the highest score that may run a task of s.
func best(s *Pending, ws []*Worker) *Worker {
	var best *Worker
	bestScore := math.Inf(-1)
	for _, w := range ws {
		if !fits(s, w) {
			continue
		}
		if score := score(s, w); score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// good returns the workers of the step's pool that the policy lets run it,
// whatever the age of their tickets: all of them where it need not be asked.
func (p *planner) good(s *Pending) []*Worker {
	if s.Advice == nil {
		return p.pools[s.Pool]
	}
	if s.good != nil {
		return s.good
	}
	s.good = make([]*Worker, 0, len(s.Advice.Good))
	for id := range s.Advice.Good {
		if w := p.byID[id]; w != nil && w.Pool == s.Pool {
			s.good = append(s.good, w)
		}
	}
	slices.SortFunc(s.good, func(a, b *Worker) int { return cmp.Compare(a.order, b.order) })
	return s.good
}

// ticketed returns the good workers whose tickets are valid.
func (p *planner) ticketed(s *Pending) []*Worker {
	out := slices.Clone(p.good(s))
	return slices.DeleteFunc(out, func(w *Worker) bool { return !p.hasTicket(s, w) })
}

// fits reports whether the worker can run one more task of the step.
func fits(s *Pending, w *Worker) bool {
	if !s.Step.Filler && !s.Step.Need.Fits(w.Free) {
		return false
	}
	if !w.has(s.Step.Requires) {
		return false
	}
	return s.Step.MaxPerWorker == 0 || s.OnWorker[w.ID] < s.Step.MaxPerWorker
}

func (p *planner) hasTicket(s *Pending, w *Worker) bool {
	if s.Advice == nil {
		return true
	}
	t, ok := s.Advice.Good[w.ID]
	return ok && p.in.Now.Before(t.Until)
}

// Weights of the scorers.
const (
	scoreSuspect  = -100.0
	scoreDataRack = 50.0
	scoreSpeed    = 10.0
	scoreTight    = 1.0
)

// score prefers sound workers, the rack of the data, fast workers, and then
// the least room left over.
func score(s *Pending, w *Worker) float64 {
	v := scoreSpeed * w.Speed
	if w.Suspect {
		v += scoreSuspect
	}
	if s.Step.DataRack != "" && w.Rack == s.Step.DataRack {
		v += scoreDataRack
	}
	left := w.Free.Sub(s.Step.Need)
	v -= scoreTight * float64(left.MilliCPU) / 16000
	return v
}

// start takes the room for one task.
func (p *planner) start(s *Pending, index int, run int64, w *Worker) {
	if !s.Step.Filler {
		w.Free = w.Free.Sub(s.Step.Need)
	}
	if s.OnWorker != nil {
		s.OnWorker[w.ID]++
	}
	p.in.Rooms[s.Workspace].take(s.Step.Need)
	p.out.Starts = append(p.out.Starts, cell.Start{
		Task: cell.TaskKey{Job: s.Key.Job, Occurrence: s.Key.Occurrence, Step: s.Key.Step, Index: index},
		Run:  run, Worker: w.ID, Born: w.Born,
	})
	token := ""
	if s.Advice != nil {
		token = s.Advice.Good[w.ID].Token
	}
	p.out.Tokens = append(p.out.Tokens, token)
}
