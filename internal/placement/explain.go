package placement

import "fmt"

// maxCountedWaits limits the shapes for which one plan counts the workers that
// reject a waiting job, which bounds the cost. Beyond that, the explanation of a
// wait has no counts.
const maxCountedWaits = 64

// filterCounts returns the filters that rejected any worker, with their counts.
func (r *rejections) filterCounts() []FilterCount {
	n := 0
	for _, count := range r {
		if count > 0 {
			n++
		}
	}
	out := make([]FilterCount, 0, n)
	for i, count := range r {
		if count > 0 {
			out = append(out, FilterCount{filterNames[i], count})
		}
	}
	return out
}

// scoreParts returns the weighted points of worker w for each scorer with a weight.
func (c *workerCapacity) scoreParts(w int, a *taskRequest) []ScorePart {
	p := c.points(w, a)
	out := make([]ScorePart, 0, scorerCount)
	for i := range p {
		if a.weights[i] > 0 {
			out = append(out, ScorePart{scorerNames[i], a.weights[i] * p[i]})
		}
	}
	return out
}

// waitCounts counts the workers that reject and accept the waiting jobs of one
// shape.
type waitCounts struct {
	rejected  []FilterCount
	accepting int
}

// explainWaits adds a wait for every job with tasks left. The counts are for the
// capacity that is free after the whole plan; what the job itself has reserved
// counts as free.
func (p *planner) explainWaits() {
	counted := make(map[shape]waitCounts)
	p.plan.Waits = make([]Wait, 0, p.countWaitingJobs())
	for _, j := range p.jobs {
		if j.remaining == 0 || j.refused {
			continue
		}
		w := Wait{Job: j.view.Spec.ID, Reason: j.reason, Explain: Explanation{
			Decisions: j.view.Policy.Decisions,
			Detail:    reasonDetails[j.reason],
		}}
		if isCapacityReason(j.reason) {
			p.explainRejections(&w, j, counted)
		}
		p.plan.Waits = append(p.plan.Waits, w)
	}
}

// countWaitingJobs returns the number of jobs that still wait after the plan.
func (p *planner) countWaitingJobs() int {
	n := 0
	for _, j := range p.jobs {
		if j.remaining > 0 && !j.refused {
			n++
		}
	}
	return n
}

// isCapacityReason reports whether reason means that the workers lack capacity, so
// that the numbers of rejections explain the wait.
func isCapacityReason(reason string) bool {
	return reason == ReasonNoCapacity || reason == ReasonNoGangCapacity || reason == ReasonReserved
}

// explainRejections adds to w the number of workers that each filter rejects. Jobs
// of the same shape share the counts in counted, unless the job has a reservation
// or its task has workers to avoid.
func (p *planner) explainRejections(w *Wait, j *jobState, counted map[shape]waitCounts) {
	a := p.requestFor(j, p.firstWaiting(j))
	k := a.shape()
	shared := len(a.avoid) == 0 && j.reservation == nil
	c, ok := counted[k]
	switch {
	case shared && ok:
	case len(counted) >= maxCountedWaits:
		w.Explain.Detail = "not counted in this plan; others wait before it"
		return
	default:
		c = p.countWorkersFor(j, a)
	}
	if shared {
		counted[k] = c
	}
	w.Explain.Considered = len(p.c.workers)
	w.Explain.Rejected = c.rejected
	p.explainAccepting(w, j, c.accepting)
}

// firstWaiting returns the index of the task that represents the waiting tasks of
// j: the first one that is not in back-off, or the first one if all are, or -1 if
// none waits.
func (p *planner) firstWaiting(j *jobState) int {
	first := -1
	for i := range j.view.Pending {
		if j.placed[i] {
			continue
		}
		if j.view.Pending[i].NotBeforeMillis <= p.s.NowMillis {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return first
}

// countWorkersFor counts the workers that reject and accept a, a request of j, as
// if the capacity that j has reserved were free.
func (p *planner) countWorkersFor(j *jobState, a *taskRequest) waitCounts {
	if j.reservation != nil {
		p.c.release(j.reservation)
		defer p.c.reserve(j.reservation)
	}
	if t := p.existingTable(a); t != nil {
		return waitCounts{t.counts.filterCounts(), t.accepted}
	}
	counts, accepting := p.c.countRejections(a)
	return waitCounts{counts.filterCounts(), accepting}
}

// explainAccepting explains why j waits although some workers accept a task of
// it. That may change the reason of w to ReasonNextPlan.
func (p *planner) explainAccepting(w *Wait, j *jobState, accepting int) {
	switch {
	case accepting == 0:
	case isGang(j.view):
		w.Explain.Detail = fmt.Sprintf("%d tasks must start together; %d workers have room for one or more", j.remaining, accepting)
	default:
		w.Reason = ReasonNextPlan
		w.Explain.Detail = reasonDetails[ReasonNextPlan]
	}
}

// reasonDetails holds the Explanation.Detail of each reason for a wait.
var reasonDetails = map[string]string{
	ReasonNoCapacity:       "no worker has room",
	ReasonNoGangCapacity:   "not enough workers have room for all tasks at once",
	ReasonReserved:         "room is reserved and not free yet",
	ReasonLimit:            "the workspace's limit here is used up",
	ReasonBackoff:          "a pause after a failure has not ended",
	ReasonOutOfService:     "the data centre is out; nothing starts",
	ReasonPlanFull:         "the plan has as many placements as it may have",
	ReasonNoWorkers:        "no worker is known",
	ReasonUnknownWorkspace: "the workspace is not known here",
	ReasonNextPlan:         "room was released late in this plan",
}
