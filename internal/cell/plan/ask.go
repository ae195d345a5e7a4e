package plan

import (
	"cmp"
	"slices"

	"kumquatwing/internal/cell"
)

const (
	// maxAsked bounds the workers named in one call.
	maxAsked = 100
	// askSpare is how many times the expected need is asked for.
	askSpare = 2.0
	// askMin is the least number of workers named in a call.
	askMin = 6
	// defaultGoodShare is used until a queue's share has been learnt.
	defaultGoodShare = 0.5
)

// ask puts a question to the placement policy for the tasks that found no
// place. It names workers with room that are not known to be unfit.
func (p *planner) ask(s *Pending, missing int) {
	if s.Advice == nil || s.Advice.InFlight || p.in.Advisers <= 0 {
		return
	}
	able := p.askable(s)
	workers, seats := p.choose(s, able, missing)
	if len(workers) == 0 || (s.Step.Gang && seats+p.ticketed(s) < missing) {
		return
	}
	p.in.Advisers--
	s.Advice.InFlight = true
	p.out.Questions = append(p.out.Questions, Question{s.Key, s.Queue.Name, workers})
}

// ticketed is how many tasks the workers with a ticket could take now.
func (p *planner) ticketed(s *Pending) int {
	n := 0
	for _, w := range p.pools[s.Pool] {
		if p.eligible(s, w) {
			n += capacityFor(s, w)
		}
	}
	return n
}

// askable returns the workers with room that hold no ticket and are not unfit,
// those known to be good first, then the ones with most room.
func (p *planner) askable(s *Pending) []*Worker {
	var able []*Worker
	for _, w := range p.pools[s.Pool] {
		_, good := s.Advice.Good[w.ID]
		if fits(s, w) && (good || !s.Advice.Asked[w.ID]) && !p.hasTicket(s, w) {
			able = append(able, w)
		}
	}
	slices.SortStableFunc(able, func(a, b *Worker) int {
		return cmp.Compare(p.askOrder(s, b), p.askOrder(s, a))
	})
	return able
}

func (p *planner) askOrder(s *Pending, w *Worker) float64 {
	v := float64(capacityFor(s, w))
	if _, good := s.Advice.Good[w.ID]; good {
		v += 1000
	}
	if w.Suspect {
		v -= 500
	}
	return v
}

// choose returns the workers to name and how many tasks they could take if all
// of them were good.
func (p *planner) choose(s *Pending, able []*Worker, missing int) ([]cell.WorkerID, int) {
	share := p.in.GoodShare[s.Queue.Name]
	if share <= 0 {
		share = defaultGoodShare
	}
	var ids []cell.WorkerID
	seats, expected := 0, 0.0
	want := askSpare * float64(missing)
	for _, w := range able {
		if len(ids) == maxAsked || (expected >= want && len(ids) >= askMin) {
			break
		}
		n := capacityFor(s, w)
		seats += n
		if _, good := s.Advice.Good[w.ID]; good {
			expected += float64(n)
		} else {
			expected += share * float64(n)
		}
		ids = append(ids, w.ID)
	}
	return ids, seats
}
