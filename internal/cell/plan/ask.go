package plan

import (
	"cmp"
	"slices"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/model"
)

const (
	// maxAsked bounds the workers named in one call, and maxAskedGang those that
	// a gang asks about at a time, in calls about gangPart of them each: the calls
	// are answered side by side, and each sooner than one about all.
	maxAsked     = 100
	maxAskedGang = 200
	gangPart     = 50
	// maxRenewed bounds the workers whose tickets are renewed beside those that a
	// gang needs.
	maxRenewed = 40
	// firstParts is how many of a gang's calls are made however busy the advisers
	// are.
	firstParts = 2
	// idleAdvisers is the share of the advisers that must be idle for questions
	// that can wait.
	idleAdvisers = 0.5
	// askSpare and askSpareGang are how many times the expected need is asked
	// for; a gang can choose among more workers to be placed whole.
	askSpare     = 2.0
	askSpareGang = 5.0
	// askMin is the least number of workers named in a call, if there are.
	askMin = 6
	// slowAdvice and mediumAdvice are decision times of the policy, in
	// milliseconds, from which on a share of the advisers is kept free for
	// quicker questions.
	slowAdvice      = 200.0
	slowKeepsFree   = 0.34
	mediumAdvice    = 30.0
	mediumKeepsFree = 0.17
	// defaultGoodShare is used until a queue's share has been learnt.
	defaultGoodShare = 0.5
)

// ask puts a question to the placement policy for tasks that found no place.
// It names workers with room, those with the least first, so that the emptiest
// ones stay free for large tasks.
func (p *planner) ask(s *Pending, missing int) {
	if !p.mayAsk(s) {
		return
	}
	var able []*Worker
	for _, w := range p.pools[s.Pool] {
		if fits(s, w) && p.notUnfit(s, w) && !p.hasTicket(s, w) {
			able = append(able, w)
		}
	}
	slices.SortStableFunc(able, func(a, b *Worker) int {
		if a.Suspect != b.Suspect {
			return boolOrder(a.Suspect, b.Suspect)
		}
		if ga, gb := p.isGood(s, a), p.isGood(s, b); ga != gb {
			return boolOrder(gb, ga)
		}
		return cmp.Compare(a.Free.MilliCPU, b.Free.MilliCPU)
	})
	p.question(s, p.choose(s, able, float64(missing)*askSpare, maxAsked, capacityFor))
}

// boolOrder sorts false before true.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// askGang names the workers that have, or could be given, the most room.
func (p *planner) askGang(s *Pending, able []*Worker) {
	if !p.mayAsk(s) {
		return
	}
	potential := func(s *Pending, w *Worker) int { return seatsIn(s, w, w.potential(s.Queue.Priority)) }
	slices.SortStableFunc(able, func(a, b *Worker) int {
		if a.Suspect != b.Suspect {
			return boolOrder(a.Suspect, b.Suspect)
		}
		return cmp.Compare(potential(s, b), potential(s, a))
	})
	ids := p.choose(s, able, float64(len(s.Waiting))*askSpareGang, maxAskedGang, potential)
	asked := 0
	for part := range slices.Chunk(ids, gangPart) {
		if p.in.Advisers <= p.keptFree(s) || (asked >= firstParts && !p.mayAskMore()) {
			return
		}
		p.question(s, part)
		asked++
	}
}

// potential is the room that a worker could give to work of a priority.
func (w *Worker) potential(priority int) model.Resources {
	room := comingRoom(w)
	for i := range w.Victims {
		if w.Victims[i].Priority > priority {
			room = room.Add(w.Victims[i].Need)
		}
	}
	return room
}

// askAgain renews the tickets of the good workers for a gang that is about to
// be placed.
func (p *planner) askAgain(s *Pending, seats []*Worker) {
	if !p.mayAsk(s) {
		return
	}
	var ids []cell.WorkerID
	for _, w := range seats {
		if !slices.Contains(ids, w.ID) {
			ids = append(ids, w.ID)
		}
	}
	for _, w := range p.good(s) {
		if len(ids) < maxRenewed && !slices.Contains(ids, w.ID) {
			ids = append(ids, w.ID)
		}
	}
	for part := range slices.Chunk(ids, gangPart) {
		p.question(s, part)
	}
}

// mayAskMore reports whether advisers are idle for a question that can wait.
func (p *planner) mayAskMore() bool {
	return float64(p.in.Advisers) > idleAdvisers*float64(p.in.AllAdvisers)
}

// mayAsk reports whether a step may ask now; one that is late lets others go first.
func (p *planner) mayAsk(s *Pending) bool {
	if p.in.Now > s.latestStart() && s.Step.Gang && !p.mayAskMore() {
		return false
	}
	return s.Advice != nil && s.Advice.InFlight == 0 && p.in.Advisers > p.keptFree(s)
}

// keptFree is how many advisers a question about the step must leave free.
func (p *planner) keptFree(s *Pending) int {
	share := 0.0
	switch decide := s.Queue.Advice.DecideMillis; {
	case decide >= slowAdvice:
		share = slowKeepsFree
	case decide >= mediumAdvice:
		share = mediumKeepsFree
	}
	return int(share * float64(p.in.AllAdvisers))
}

func (p *planner) question(s *Pending, workers []cell.WorkerID) {
	if len(workers) == 0 {
		return
	}
	p.in.Advisers--
	s.Advice.InFlight++
	p.out.Questions = append(p.out.Questions, Question{s.Key, s.Queue.Name, workers})
}

// choose returns as many of the workers, in their order, as are expected to
// give want seats, most of them at most.
func (p *planner) choose(s *Pending, able []*Worker, want float64, most int, seats func(*Pending, *Worker) int) []cell.WorkerID {
	share := p.in.GoodShare[s.Queue.Name]
	if share <= 0 {
		share = defaultGoodShare
	}
	var ids []cell.WorkerID
	expected := 0.0
	for _, w := range able {
		if len(ids) == most || (expected >= want && len(ids) >= askMin) {
			break
		}
		n := float64(seats(s, w))
		if !p.isGood(s, w) {
			n *= share
		}
		expected += n
		ids = append(ids, w.ID)
	}
	return ids
}
