package cell

import (
	"bytes"
	"fmt"

	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

// fail records the first violation.
func (ch *RandomSim) fail(format string, args ...any) {
	if ch.violation == "" {
		ch.violation = fmt.Sprintf(format, args...)
	}
}

// compareMembers checks that both members have the same replicated state and the
// same derived indexes.
func (ch *RandomSim) compareMembers() {
	if ch.Follower == nil {
		return
	}
	leaderData, err1 := ch.State.Snapshot()
	followerData, err2 := ch.Follower.Snapshot()
	if err1 != nil || err2 != nil || !bytes.Equal(leaderData, followerData) {
		ch.fail("replicated states of the members differ")
		return
	}
	for _, w := range ch.State.Workers() {
		if other := ch.Follower.Worker(w.ID); w.Held() != other.Held() || len(w.Tasks()) != len(other.Tasks()) {
			ch.fail("members differ in the load of worker %s", w.ID)
		}
	}
	for _, j := range ch.State.Jobs() {
		other := ch.Follower.Job(j.Spec.ID)
		if j.Pending() != other.Pending() || j.ActiveTasks() != other.ActiveTasks() || j.Ended() != other.Ended() {
			ch.fail("members differ in the task counts of job %s", j.Spec.ID)
		}
	}
	if ch.State.Usage("t1") != ch.Follower.Usage("t1") {
		ch.fail("members differ in the usage of workspace t1")
	}
}

// commit applies a command and checks the placements that it made.
func (ch *RandomSim) commit(cmd *work.Command) work.Result {
	r := ch.Propose(cmd)
	refusedTasks := map[model.TaskID]bool{}
	for _, p := range r.Place {
		refusedTasks[p.Task] = true
	}
	if r.Refused != "" {
		return r
	}
	for _, p := range cmd.Place {
		if t := ch.State.Task(p.Task); t != nil && !refusedTasks[p.Task] {
			ch.checkPlacement(t, ch.State.Worker(p.Worker))
		}
	}
	return r
}

func (ch *RandomSim) checkPlacement(t *work.Task, w *work.Worker) {
	if w.Free().Negative() {
		ch.fail("worker %s is overcommitted by task %s: free %s", w.ID, t.ID, w.Free())
	}
	j := t.JobRow()
	if j.Spec.Class == model.ClassGang && (j.Pending() > 0 || len(j.Tasks()) != j.Spec.Tasks) {
		ch.fail("gang %s was placed in part", j.Spec.ID)
	}
}

// checkInvariants checks the runs on the workers: no worker runs more than its
// size, no task runs twice, and the workspace stays within its grant.
func (ch *RandomSim) checkInvariants() {
	now := ch.Clock.Now()
	runCounts := map[model.TaskID]int{}
	var total model.Resources
	for _, p := range ch.processes {
		p.core.Advance(now)
		var inUse model.Resources
		for _, o := range p.core.Running() {
			runCounts[o.Task]++
			inUse = inUse.Add(o.Size)
		}
		if !inUse.Fits(p.cfg.Size) {
			ch.fail("worker %s runs tasks of total size %s, its size is %s", p.cfg.ID, inUse, p.cfg.Size)
		}
		total = total.Add(inUse)
	}
	for _, j := range ch.fleet.jobs {
		for _, t := range j.remote {
			runCounts[work.TaskName(j.spec.ID, t.Index)]++
		}
	}
	for _, p := range ch.processes {
		for _, o := range p.core.Running() {
			if runCounts[o.Task] > 1 {
				ch.fail("task %s has %d runs at the same time", o.Task, runCounts[o.Task])
			}
		}
	}
	if !total.Fits(ch.fleet.granted) {
		ch.fail("workspace t1 uses %s, its grant is %s", total, ch.fleet.granted)
	}
}
