package work

import "kumquatwing/internal/model"

// RunEndChange records the state of a task after one of its runs ended.
type RunEndChange struct {
	Run       RunID
	Job       model.JobID
	Workspace model.WorkspaceID
	// RunOutcome and RunReason describe the end of the run.
	RunOutcome model.Outcome
	RunReason  string
	// State, Outcome and Reason are those of the task after the run.
	State   model.TaskState
	Outcome model.Outcome
	Reason  string
	// Failures and NotBeforeMillis apply to a task that waits for a retry.
	Failures        int
	NotBeforeMillis int64
}

// maxChanges is the number of changes that a member keeps for the event log.
const maxChanges = 1024

// changes is a ring buffer of the newest changes on this member. It is not part
// of the replicated state: only a leader that was running when the changes were
// applied records them.
type changes struct {
	ring []RunEndChange
	// total is the number of changes so far.
	total uint64
}

func (c *changes) add(ch RunEndChange) {
	if len(c.ring) < maxChanges {
		c.ring = append(c.ring, ch)
	} else {
		c.ring[c.total%maxChanges] = ch
	}
	c.total++
}

// Changes returns the changes that follow the first `after` ones and are still in
// the buffer, and the total number of changes so far.
func (s *State) Changes(after uint64) ([]RunEndChange, uint64) {
	c := &s.changes
	first := max(after, c.total-uint64(len(c.ring)))
	var list []RunEndChange
	for i := first; i < c.total; i++ {
		list = append(list, c.ring[i%maxChanges])
	}
	return list, c.total
}

// recordChange records the state of t after its run ended with e.
func (s *State) recordChange(run RunID, t *Task, e *Ended) {
	s.changes.add(RunEndChange{
		Run: run, Job: t.Job, Workspace: t.job.Spec.Workspace,
		RunOutcome: e.Outcome, RunReason: e.Reason,
		State: t.State, Outcome: t.Outcome, Reason: t.Reason,
		Failures: t.Failures, NotBeforeMillis: t.NotBeforeMillis,
	})
}
