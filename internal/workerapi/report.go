package workerapi

import (
	"slices"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/work"
)

// ReasonNotReported is the reason for ending a run that its worker had confirmed
// and no longer reports.
const ReasonNotReported = "not-reported"

// Reasons for which a report is refused.
const (
	ReasonLateReport     verdict.Reason = "late-report"
	ReasonOldIncarnation verdict.Reason = "old-incarnation"
	ReasonWrongDC        verdict.Reason = "wrong-data-centre"
)

const (
	// usageStep is the reciprocal of the fraction of a task's size that a decrease
	// in its reserved capacity must exceed to be committed. An increase is always
	// committed.
	usageStep = 20
	// checkpointStep is the checkpoint progress, in milliseconds of run time,
	// from which a task's usage is committed. It bounds the work that is run
	// again after a worker is lost, since a planned stop reports the newest
	// checkpoint with the end of the run.
	checkpointStep = 10_000
)

// Report processes a worker's report and returns the resulting command, which may
// be empty. Orders may be called only after the command is applied.
func (l *Leader) Report(dc model.DCID, r *api.WorkerReport) (*work.Command, error) {
	if err := l.check(dc, r); err != nil {
		return nil, err
	}
	r, err := l.fullReport(r)
	if err != nil {
		return nil, err
	}
	s := l.ensureWorker(r.Worker)
	c := &work.Command{Epoch: l.epoch}
	w := l.state.Worker(r.Worker)
	s.setIncarnation(r.Incarnation, s.incarnation, incarnationOf(w))
	s.seq, s.report, s.hasUnknownRuns = r.Seq, r, l.listsUnknownRuns(r)
	if l.mustRegister(w, r) {
		c.Register = append(c.Register, work.Register{
			Worker: r.Worker, DC: r.DC, Rack: r.Rack, Size: r.Size, Incarnation: r.Incarnation,
		})
	}
	for i := range r.Tasks {
		l.addTaskReport(c, r, &r.Tasks[i])
	}
	// A report of another epoch was written before the worker got a response from
	// this leader. It may have been delayed behind newer reports to an earlier
	// leader, whose sequence numbers this leader doesn't know.
	current := r.Epoch == l.epoch || l.skip&skipCurrent != 0
	if w != nil && w.Incarnation == r.Incarnation && current {
		l.endMissingRuns(c, w, r)
	}
	return c, nil
}

// check refuses reports that are malformed, late or duplicates.
func (l *Leader) check(dc model.DCID, r *api.WorkerReport) error {
	switch {
	case r.Worker == "" || r.Incarnation == "" || r.Size.Negative() || r.Size.IsZero():
		return verdict.Refuse(verdict.ReasonBadRequest, "a report names worker, incarnation and size")
	case r.DC != dc:
		return verdict.Refuse(ReasonWrongDC, "worker %s is of data centre %s, this is %s", r.Worker, r.DC, dc)
	}
	if w := l.state.Worker(r.Worker); w != nil && slices.Contains(w.Past, r.Incarnation) {
		return verdict.Refuse(ReasonOldIncarnation, "worker %s has started anew since", r.Worker)
	}
	s := l.workers[r.Worker]
	if s != nil && slices.Contains(s.past, r.Incarnation) {
		return verdict.Refuse(ReasonOldIncarnation, "another process of worker %s has reported since", r.Worker)
	}
	if s != nil && s.incarnation == r.Incarnation && r.Seq <= s.seq && l.skip&skipSeq == 0 {
		return verdict.Refuse(ReasonLateReport, "report %d of worker %s came after report %d", r.Seq, r.Worker, s.seq)
	}
	return nil
}

// incarnationOf returns the worker's incarnation, or "" if w is nil.
func incarnationOf(w *work.Worker) string {
	if w == nil {
		return ""
	}
	return w.Incarnation
}

// mustRegister reports whether the worker must be registered in the replicated
// state: it is new, its size or rack has changed, it has a new incarnation and
// no active tasks of the old one, or it was lost and has no unknown runs. During
// a rebuild a lost worker is registered in any case.
func (l *Leader) mustRegister(w *work.Worker, r *api.WorkerReport) bool {
	switch {
	case w == nil:
		return true
	case w.Incarnation != r.Incarnation:
		return len(w.Tasks()) == 0
	case w.State == model.WorkerLost:
		return l.state.Rebuilding() || !l.listsUnknownRuns(r)
	}
	return w.Size != r.Size || w.Rack != r.Rack
}

// listsUnknownRuns reports whether r lists runs that have not ended and that
// the replicated state doesn't have on this worker.
func (l *Leader) listsUnknownRuns(r *api.WorkerReport) bool {
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State != model.TaskEnded && l.state.Run(workRunID(r, t)) == nil {
			return true
		}
	}
	return false
}

// workRunID returns the id of a reported run in the replicated state.
func workRunID(r *api.WorkerReport, t *api.TaskReport) work.RunID {
	return work.RunID{Task: t.Task, Attempt: t.Attempt, Worker: r.Worker}
}

// addTaskReport adds the changes that follow from the report of one run to c.
func (l *Leader) addTaskReport(c *work.Command, r *api.WorkerReport, t *api.TaskReport) {
	id := workRunID(r, t)
	task := l.state.Run(id)
	switch {
	case t.State == model.TaskEnded && task != nil:
		c.Ended = append(c.Ended, l.endedRun(id, task.ParentJob(), t))
	case t.State == model.TaskEnded:
		l.endUnaccounted(c, id, t)
	case task == nil:
		l.adoptUnaccounted(c, id, t)
	default:
		l.updateRun(c, id, r.Seq, task, t)
	}
}

// endMissingRuns ends the runs that the worker had confirmed and no longer
// reports, although it never reported their end.
func (l *Leader) endMissingRuns(c *work.Command, w *work.Worker, r *api.WorkerReport) {
	for _, task := range w.Tasks() {
		if task.StartedMillis > 0 && !listsRun(r, task) {
			c.Ended = append(c.Ended, work.Ended{RunID: task.Run(), Reason: ReasonNotReported})
		}
	}
}

// endedRun returns the command part that ends a run, with the retry policy of
// its job.
func (l *Leader) endedRun(id work.RunID, j *work.Job, t *api.TaskReport) work.Ended {
	e := work.Ended{RunID: id, Outcome: t.Outcome, Reason: t.Reason, CheckpointMillis: t.CheckpointMillis}
	if l.policy.Retry != nil {
		var backoff time.Duration
		e.Retries, backoff = l.policy.Retry(j)
		e.BackoffMillis = backoff.Milliseconds()
	}
	return e
}

// endUnaccounted ends a run that the replicated state doesn't have, if its task
// is unaccounted. There are unaccounted tasks only during a rebuild of lost state.
func (l *Leader) endUnaccounted(c *work.Command, id work.RunID, t *api.TaskReport) {
	task := l.state.Task(id.Task)
	if task != nil && task.Unaccounted {
		c.Ended = append(c.Ended, l.endedRun(id, task.ParentJob(), t))
	}
}

// adoptUnaccounted adds a run that the replicated state doesn't have, if its task
// is unaccounted.
func (l *Leader) adoptUnaccounted(c *work.Command, id work.RunID, t *api.TaskReport) {
	task := l.state.Task(id.Task)
	if task == nil || !task.Unaccounted {
		return
	}
	c.Adopt = append(c.Adopt, work.Adopt{
		RunID: id, Reserved: l.withHeadroom(t.Used), CheckpointMillis: t.CheckpointMillis,
	})
}

// updateRun adds the start of a run that the worker reports for the first time,
// and its usage if that has changed enough.
func (l *Leader) updateRun(c *work.Command, id work.RunID, seq uint64, task *work.Task, t *api.TaskReport) {
	if task.State == model.TaskStarting {
		c.Started = append(c.Started, work.Run{RunID: id})
	}
	if !l.usageChanged(task, t) {
		return
	}
	c.Usage = append(c.Usage, work.Usage{
		RunID:            id,
		Seq:              seq,
		Reported:         t.Used,
		Reserved:         l.withHeadroom(t.Used),
		CheckpointMillis: t.CheckpointMillis,
	})
}

// usageChanged reports whether a run's checkpoint or reserved capacity has
// changed enough to be committed. Smaller changes affect no scheduling decision.
func (l *Leader) usageChanged(task *work.Task, t *api.TaskReport) bool {
	if t.CheckpointMillis-task.CheckpointMillis >= checkpointStep {
		return true
	}
	size := task.ParentJob().Spec.Size
	reserved := size.Max(l.withHeadroom(t.Used))
	if reserved == task.Reserved {
		return false
	}
	// Every increase is committed, a decrease only if it exceeds one step.
	if !reserved.Fits(task.Reserved) {
		return true
	}
	return !task.Reserved.Sub(reserved).Scale(usageStep).Fits(size)
}

// withHeadroom returns reported usage plus the headroom that covers the delay of
// reports, rounded up. Accelerators are whole devices and get no headroom.
func (l *Leader) withHeadroom(used model.Resources) model.Resources {
	p := 100 + l.policy.HeadroomPercent
	return model.Resources{
		MilliCPU:     (used.MilliCPU*p + 99) / 100,
		MemoryMB:     (used.MemoryMB*p + 99) / 100,
		Accelerators: used.Accelerators,
	}
}
