package cell

import (
	"bytes"
	"fmt"

	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

// fail records the first violation.
func (s *RandomSim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// compareMembers checks that both members have the same replicated state and the
// same derived indexes.
func (s *RandomSim) compareMembers() {
	if s.Follower == nil {
		return
	}
	leaderData, err1 := s.State.Snapshot()
	followerData, err2 := s.Follower.Snapshot()
	if err1 != nil || err2 != nil || !bytes.Equal(leaderData, followerData) {
		s.fail("replicated states of the members differ")
		return
	}
	for _, w := range s.State.Workers() {
		if other := s.Follower.Worker(w.ID); w.Reserved() != other.Reserved() || len(w.Tasks()) != len(other.Tasks()) {
			s.fail("members differ in the load of worker %s", w.ID)
		}
	}
	for _, j := range s.State.Jobs() {
		other := s.Follower.Job(j.Spec.ID)
		if j.Pending() != other.Pending() || j.ActiveTasks() != other.ActiveTasks() || j.Ended() != other.Ended() {
			s.fail("members differ in the task counts of job %s", j.Spec.ID)
		}
	}
	if s.State.Usage("t1") != s.Follower.Usage("t1") {
		s.fail("members differ in the usage of workspace t1")
	}
}

// commit applies a command and checks the placements that it made.
func (s *RandomSim) commit(cmd *work.Command) work.Result {
	r := s.Propose(cmd)
	refusedTasks := map[model.TaskID]bool{}
	for _, p := range r.Place {
		refusedTasks[p.Task] = true
	}
	if r.Refused != "" {
		return r
	}
	for _, p := range cmd.Place {
		if t := s.State.Task(p.Task); t != nil && !refusedTasks[p.Task] {
			s.checkPlacement(t, s.State.Worker(p.Worker))
		}
	}
	return r
}

func (s *RandomSim) checkPlacement(t *work.Task, w *work.Worker) {
	if w.Free().Negative() {
		s.fail("worker %s is overcommitted by task %s: free %s", w.ID, t.ID, w.Free())
	}
	j := t.ParentJob()
	if j.Spec.Class == model.ClassGang && (j.Pending() > 0 || len(j.Tasks()) != j.Spec.Tasks) {
		s.fail("gang %s was placed in part", j.Spec.ID)
	}
}

// checkInvariants checks the runs on the workers: no worker runs more than its
// size, no task runs twice, and the workspace stays within its grant.
func (s *RandomSim) checkInvariants() {
	now := s.Clock.Now()
	runCounts := map[model.TaskID]int{}
	var total model.Resources
	for _, p := range s.processes {
		p.core.Advance(now)
		var inUse model.Resources
		for _, o := range p.core.Running() {
			runCounts[o.Task]++
			inUse = inUse.Add(o.Size)
		}
		if !inUse.Fits(p.cfg.Size) {
			s.fail("worker %s runs tasks of total size %s, its size is %s", p.cfg.ID, inUse, p.cfg.Size)
		}
		total = total.Add(inUse)
	}
	for _, j := range s.fleet.jobs {
		for _, t := range j.remote {
			runCounts[work.FormatTaskID(j.spec.ID, t.Index)]++
		}
	}
	for _, p := range s.processes {
		for _, o := range p.core.Running() {
			if runCounts[o.Task] > 1 {
				s.fail("task %s has %d runs at the same time", o.Task, runCounts[o.Task])
			}
		}
	}
	if !total.Fits(s.fleet.granted) {
		s.fail("workspace t1 uses %s, its grant is %s", total, s.fleet.granted)
	}
}
