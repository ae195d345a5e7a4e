package plan

import (
	"slices"
	"time"

	"kumquatwing/internal/clock"
)

// rules are the limits by which waiting gangs get advice, gather capacity and preempt.
type rules struct {
	// searchedGangsFactor limits the waiting gangs for which a plan searches runs to
	// preempt, as a multiple of those that may reserve capacity.
	searchedGangsFactor int
	// maxLostShare limits the work that is lost to a preemption, as a share of the work of
	// the gang, and maxLostShareUrgent that for gangs within urgentSlack of their latest
	// start.
	maxLostShare, maxLostShareUrgent float64
	// requestBatch is the number of workers in one advice request for a gang, and
	// minBatches the number of requests that are sent even if few advisers are idle.
	requestBatch, minBatches int
	// requestOversampling is the ratio of the slots that a request is expected to make
	// available to the tasks of the gang.
	requestOversampling float64
	// renewedWorkers is the number of workers up to which eligible workers outside a gang's
	// slots get their tickets renewed too.
	renewedWorkers int
	// reservesWithoutTickets says that a gang whose tickets are being renewed keeps its
	// slots free meanwhile.
	reservesWithoutTickets bool
	// enoughSlotsFactor is the number of task slots of its eligible workers, as a multiple of
	// its tasks, from which on a gang that is not searched requests no further advice, 0 if
	// it always does.
	enoughSlotsFactor int
}

// sufficientRules apply where capacity suffices for the waiting work, and to the order
// LatestStart.
var sufficientRules = rules{
	searchedGangsFactor: searchedGangsFactor, maxLostShare: maxLostWorkShare, maxLostShareUrgent: maxLostWorkShareUrgent,
	requestBatch: gangBatchSize, minBatches: minGangBatches, requestOversampling: gangRequestOversampling,
	renewedWorkers: maxRenewedWorkers, reservesWithoutTickets: true,
}

// scarceRules apply where capacity doesn't suffice. They answer the load of
// TestScarceLoad, in which dozens of gangs wait while less urgent runs hold a third of the
// cores: advisers decide about a gang in more than a second, so that they are as scarce as
// the workers. The design note order-under-scarce-capacity.md has the figures of each
// rule.
var scarceRules = rules{
	// With 6 gangs searched in a plan for 350 workers, runs that lose little work went on
	// while dozens of gangs with eligible workers waited.
	searchedGangsFactor: 8,
	// A preempted run with checkpoints loses its restore time, about an eighth of the
	// work of the gang tasks that take its place. Waiting for capacity costs more.
	maxLostShare: 0.2, maxLostShareUrgent: maxLostWorkShareUrgent,
	// The fixed time of a decision is more than that for 50 workers, so that one request for
	// many workers occupies an adviser for less time than several. A gang that knows many
	// eligible workers finds free slots among them without asking again.
	requestBatch: maxRequestWorkers, minBatches: 2, requestOversampling: 12,
	renewedWorkers: 20,
	// Slots that were kept free while tickets were renewed took up a tenth of the cores.
	reservesWithoutTickets: false,
	enoughSlotsFactor:      3,
}

// rulesFor returns the rules that apply to a gang.
func (p *planner) rulesFor(s *Pending) *rules {
	if p.scarce[s.Pool] {
		return &scarceRules
	}
	return &sufficientRules
}

// adviceRulesFor returns the rules that apply to advice requests for a gang. While enough
// advisers are idle, several requests are answered sooner than a large one.
func (p *planner) adviceRulesFor(s *Pending) *rules {
	if p.advisersIdle(s) {
		return &sufficientRules
	}
	return p.rulesFor(s)
}

// yieldSlackShare is the share of its objective that a less urgent job keeps as slack: with
// less than that it no longer gives way, and gets its turn before its slack is used up. With
// a quarter, the share of the batch jobs of TestScarceLoad that are on time fell from 0.96
// to 0.80; with 0.6 instead of 0.5, that of the gangs from 0.69 to 0.64.
const yieldSlackShare = 0.5

// mustYield reports whether the step leaves the task slots of a waiting gang to it: the
// step is less urgent, has slack, and would lose its work if it were preempted for the
// gang.
func (p *planner) mustYield(s *Pending) bool {
	g := p.yieldTo[s.Pool]
	if g == nil || g.Queue.Priority >= s.Queue.Priority || s.Step.Gang || s.Step.Checkpoints {
		return false
	}
	return givesWay(s.latestStart(), s.Objective, p.in.Now)
}

// givesWay reports whether a job with the given latest start and objective has so much slack
// that it still gives way to more urgent work.
func givesWay(latestStart clock.Instant, objective time.Duration, now clock.Instant) bool {
	return latestStart.Sub(now) >= time.Duration(yieldSlackShare*float64(objective))
}

// keepRunsWithoutSlack keeps the runs of scarce pools from preemption whose jobs could miss
// their objectives by it.
func (p *planner) keepRunsWithoutSlack() {
	for pool, scarce := range p.scarce {
		if !scarce {
			continue
		}
		for _, w := range p.pools[pool] {
			for i := range w.Victims {
				v := &w.Victims[i]
				v.kept = v.LatestStart >= p.in.Now && !givesWay(v.LatestStart, v.Objective, p.in.Now)
			}
		}
	}
}

// outsideSlots deletes the workers on which a task of the step would take a slot of the gang
// from ws, in place.
func outsideSlots(ws []*Worker, s, gang *Pending) []*Worker {
	return slices.DeleteFunc(ws, func(w *Worker) bool {
		return slotsIn(gang, w, w.Free) > slotsIn(gang, w, w.Free.Sub(s.Step.Reserved()))
	})
}

// useFutureCapacity handles a gang that fits into the free capacity of its eligible workers
// once the tasks that are being stopped have ended, but whose tickets have expired or whose
// capacity isn't free yet. It reports whether the gang is such a gang. Any number of gangs
// may, since none holds capacity that doesn't suffice for it.
func (p *planner) useFutureCapacity(s *Pending) bool {
	if !p.scarce[s.Pool] {
		return false
	}
	slots := p.assignSlots(s, withLabel(s, slices.Clone(p.eligible(s))), futureFreeCapacity)
	if slots == nil {
		return false
	}
	p.holdSlots(s, slots)
	return true
}

// holdSlots reserves the slots of a gang and renews expiring tickets.
func (p *planner) holdSlots(s *Pending, slots []*Worker) {
	if p.reservesWithoutTickets(s) || !p.ticketsExpireWithin(s, slots, 0) {
		p.reserve(s, slots)
	}
	if p.ticketsExpireWithin(s, slots, ticketRenewalMargin) {
		p.renewTickets(s, slots)
	}
}

// reservesWithoutTickets reports whether a gang keeps capacity free although its tickets
// have expired. It does not if the placement policy didn't answer its newest request: the
// capacity would be idle until the policy answers again.
func (p *planner) reservesWithoutTickets(s *Pending) bool {
	return p.rulesFor(s).reservesWithoutTickets && !p.policyFails(s)
}

// policyFails reports whether the placement policy didn't answer the newest request for the
// step. The order LatestStart doesn't take it into account.
func (p *planner) policyFails(s *Pending) bool {
	return p.in.Order != LatestStart && s.Advice != nil && s.Advice.Failed > 0
}

// needsAdvice reports whether a gang that isn't searched in this plan requests advice about
// further workers. It always does while enough advisers are idle: otherwise it could wait
// for its eligible workers while others are free.
func (p *planner) needsAdvice(s *Pending) bool {
	factor := p.adviceRulesFor(s).enoughSlotsFactor
	return factor == 0 || p.emptySlots(s, p.eligible(s)) < factor*len(s.Waiting)
}
