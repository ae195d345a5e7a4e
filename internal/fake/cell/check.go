package cell

import (
	"bytes"
	"fmt"

	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

func (ch *Chaos) fail(format string, args ...any) {
	if ch.violation == "" {
		ch.violation = fmt.Sprintf(format, args...)
	}
}

// compare reports members whose tables differ, in rows or in what the indexes
// derive from them.
func (ch *Chaos) compare() {
	if ch.Follower == nil {
		return
	}
	mine, err1 := ch.State.Snapshot()
	theirs, err2 := ch.Follower.Snapshot()
	if err1 != nil || err2 != nil || !bytes.Equal(mine, theirs) {
		ch.fail("members' tables differ")
		return
	}
	for _, w := range ch.State.Workers() {
		if other := ch.Follower.Worker(w.ID); w.Held() != other.Held() || len(w.Tasks()) != len(other.Tasks()) {
			ch.fail("members' loads of worker %s differ", w.ID)
		}
	}
	for _, j := range ch.State.Jobs() {
		other := ch.Follower.Job(j.Spec.ID)
		if j.Pending() != other.Pending() || j.Held() != other.Held() || j.Ended() != other.Ended() {
			ch.fail("members' counts of job %s differ", j.Spec.ID)
		}
	}
	if ch.State.Usage("t1") != ch.Follower.Usage("t1") {
		ch.fail("members' usage differs")
	}
}

// commit applies a command and checks what its placements did.
func (ch *Chaos) commit(c *work.Command) work.Result {
	r := ch.Propose(c)
	refused := map[model.TaskID]bool{}
	for _, p := range r.Place {
		refused[p.Task] = true
	}
	if r.Refused != "" {
		return r
	}
	for _, p := range c.Place {
		if t := ch.State.Task(p.Task); t != nil && !refused[p.Task] {
			ch.checkPlaced(t, ch.State.Worker(p.Worker))
		}
	}
	return r
}

func (ch *Chaos) checkPlaced(t *work.Task, w *work.Worker) {
	if w.Free().Negative() {
		ch.fail("worker %s is overcommitted by task %s: free %s", w.ID, t.ID, w.Free())
	}
	j := t.JobRow()
	if j.Spec.Class == model.ClassGang && (j.Pending() > 0 || len(j.Tasks()) != j.Spec.Tasks) {
		ch.fail("gang %s started in part", j.Spec.ID)
	}
}

// check looks at what the workers really run.
func (ch *Chaos) check() {
	now := ch.Clock.Now()
	places := map[model.TaskID]int{}
	var used model.Resources
	for _, p := range ch.procs {
		p.core.Advance(now)
		var held model.Resources
		for _, o := range p.core.Running() {
			places[o.Task]++
			held = held.Add(o.Size)
		}
		if !held.Fits(p.cfg.Size) {
			ch.fail("worker %s runs %s of %s", p.cfg.ID, held, p.cfg.Size)
		}
		used = used.Add(held)
	}
	for _, j := range ch.fleet.jobs {
		for _, t := range j.away {
			places[work.TaskName(j.spec.ID, t.Index)]++
		}
	}
	for _, p := range ch.procs {
		for _, o := range p.core.Running() {
			if places[o.Task] > 1 {
				ch.fail("task %s runs in %d places", o.Task, places[o.Task])
			}
		}
	}
	if !used.Fits(ch.fleet.granted) {
		ch.fail("workspace runs %s over its grant %s", used, ch.fleet.granted)
	}
}
