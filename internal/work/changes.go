package work

import "kumquatwing/internal/model"

// Change tells what became of a task when its run ended.
type Change struct {
	Run       RunID
	Job       model.JobID
	Workspace model.WorkspaceID
	// RunOutcome is the run's, RunReason what its worker said of it.
	RunOutcome model.Outcome
	RunReason  string
	// State, Outcome and Reason are the task's since then.
	State   model.TaskState
	Outcome model.Outcome
	Reason  string
	// Failures and NotBeforeMillis are of a task that waits for its next try.
	Failures        int
	NotBeforeMillis int64
}

// keptChanges bounds the changes that a member keeps for the account.
const keptChanges = 1024

// changes holds the newest changes of this member's tables. It is no part of
// the replicated state: only a leader that was there when they were applied
// records them.
type changes struct {
	ring []Change
	// next counts all changes so far.
	next uint64
}

func (c *changes) add(ch Change) {
	if len(c.ring) < keptChanges {
		c.ring = append(c.ring, ch)
	} else {
		c.ring[c.next%keptChanges] = ch
	}
	c.next++
}

// Changes returns the changes after the first `after` ones, as far as they are
// kept, and the count of all so far.
func (s *State) Changes(after uint64) ([]Change, uint64) {
	c := &s.changes
	first := max(after, c.next-uint64(len(c.ring)))
	var list []Change
	for i := first; i < c.next; i++ {
		list = append(list, c.ring[i%keptChanges])
	}
	return list, c.next
}

// noteChange keeps what became of t after its run ended by e.
func (s *State) noteChange(run RunID, t *Task, e *Ended) {
	s.changes.add(Change{
		Run: run, Job: t.Job, Workspace: t.job.Spec.Workspace,
		RunOutcome: e.Outcome, RunReason: e.Reason,
		State: t.State, Outcome: t.Outcome, Reason: t.Reason,
		Failures: t.Failures, NotBeforeMillis: t.NotBeforeMillis,
	})
}
