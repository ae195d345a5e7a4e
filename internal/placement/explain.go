package placement

import "fmt"

// maxCountedWaits bounds the sizes for which one plan counts the rejected
// workers of waiting jobs. Jobs beyond it wait with their reason alone.
const maxCountedWaits = 64

// list returns the filters that rejected any worker.
func (r *rejections) list() []FilterCount {
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

// parts is the score of worker w by scorer, weighted.
func (c *cell) parts(w int, a *ask) []ScorePart {
	p := c.points(w, a)
	out := make([]ScorePart, 0, scorerCount)
	for i := range p {
		if a.weights[i] > 0 {
			out = append(out, ScorePart{scorerNames[i], a.weights[i] * p[i]})
		}
	}
	return out
}

// waitCounts is the account of the waiting jobs of one shape.
type waitCounts struct {
	rejected []FilterCount
	open     int
}

// explainWaits adds a wait for every job with tasks left. Counts are of the
// room as it is after the whole plan, without the job's own reservation.
func (d *decider) explainWaits() {
	counted := make(map[shape]waitCounts)
	d.plan.Waits = make([]Wait, 0, d.countLeft())
	for _, j := range d.jobs {
		if j.left == 0 || j.refused {
			continue
		}
		w := Wait{Job: j.view.Spec.ID, Reason: j.reason, Explain: Explanation{
			Decisions: j.view.Policy.Decisions,
			Detail:    details[j.reason],
		}}
		if countsRoom(j.reason) {
			d.countWait(&w, j, counted)
		}
		d.plan.Waits = append(d.plan.Waits, w)
	}
}

// countLeft is the number of jobs that wait after the plan.
func (d *decider) countLeft() int {
	n := 0
	for _, j := range d.jobs {
		if j.left > 0 && !j.refused {
			n++
		}
	}
	return n
}

// countsRoom reports whether a job that waits for reason asked the workers.
func countsRoom(reason string) bool {
	return reason == ReasonRoom || reason == ReasonGang || reason == ReasonReserved
}

// countWait adds to w how many workers each filter rejects.
func (d *decider) countWait(w *Wait, j *jobState, counted map[shape]waitCounts) {
	a := d.ask(j, d.firstWaiting(j))
	k := a.shape()
	shared := len(a.avoid) == 0 && j.reservation == nil
	c, ok := counted[k]
	switch {
	case shared && ok:
	case len(counted) >= maxCountedWaits:
		w.Explain.Detail = "not counted in this plan; others wait before it"
		return
	default:
		c = d.countOwn(j, a)
	}
	if shared {
		counted[k] = c
	}
	w.Explain.Considered = len(d.c.workers)
	w.Explain.Rejected = c.rejected
	d.explainOpen(w, j, c.open)
}

// firstWaiting is the first task of j that waits and is not held back after a
// failure; it stands for the job's other tasks.
func (d *decider) firstWaiting(j *jobState) int {
	first := -1
	for i := range j.view.Pending {
		if j.placed[i] {
			continue
		}
		if j.view.Pending[i].NotBeforeMillis <= d.s.NowMillis {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return first
}

// countOwn counts the workers for j, with its own reservation released.
func (d *decider) countOwn(j *jobState, a *ask) waitCounts {
	if j.reservation != nil {
		d.c.release(j.reservation)
		defer d.c.hold(j.reservation)
	}
	if t := d.existingTable(a); t != nil {
		return waitCounts{t.counts.list(), t.accepted}
	}
	counts, open := d.c.count(a)
	return waitCounts{counts.list(), open}
}

// explainOpen says why a job waits although some workers would take a task.
func (d *decider) explainOpen(w *Wait, j *jobState, open int) {
	switch {
	case open == 0:
	case isGang(j.view):
		w.Explain.Detail = fmt.Sprintf("%d tasks must start together; %d workers have room for one or more", j.left, open)
	default:
		w.Reason = ReasonNextPlan
		w.Explain.Detail = details[ReasonNextPlan]
	}
}

// details are the sentences for reasons that need no figures.
var details = map[string]string{
	ReasonRoom:             "no worker has room",
	ReasonGang:             "not enough workers have room for all tasks at once",
	ReasonReserved:         "room is reserved and not free yet",
	ReasonLimit:            "the workspace's limit here is used up",
	ReasonBackoff:          "a pause after a failure has not ended",
	ReasonOut:              "the data centre is out; nothing starts",
	ReasonPlanFull:         "the plan has as many placements as it may have",
	ReasonNoWorkers:        "no worker is known",
	ReasonUnknownWorkspace: "the workspace is not known here",
	ReasonNextPlan:         "room was released late in this plan",
}
