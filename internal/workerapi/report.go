package workerapi

import (
	"slices"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/work"
)

// ReasonNotReported is the cause of the end of a run that its worker had
// confirmed and holds no more.
const ReasonNotReported = "not-reported"

// Reasons for which a report is not taken in.
const (
	ReasonLateReport     verdict.Reason = "late-report"
	ReasonOldIncarnation verdict.Reason = "old-incarnation"
	ReasonWrongDC        verdict.Reason = "wrong-data-centre"
)

const (
	// usageStep is the change of use worth a command, one part in so many of
	// the task's size; a step up to the worker's last room always is.
	usageStep = 20
	// checkpointStep is the progress worth a command, in milliseconds.
	checkpointStep = 1000
)

// Report takes in a worker's report and returns the command it leads to, which
// may be empty. Only after the command is applied may Orders be asked for.
func (l *Leader) Report(dc model.DCID, r *api.WorkerReport) (*work.Command, error) {
	if err := l.check(dc, r); err != nil {
		return nil, err
	}
	r, err := l.whole(r)
	if err != nil {
		return nil, err
	}
	s := l.see(r.Worker)
	c := &work.Command{Epoch: l.epoch}
	w := l.state.Worker(r.Worker)
	s.replace(r.Incarnation, s.incarnation, incarnationOf(w))
	s.seq, s.report, s.strays = r.Seq, r, l.runsUnknown(r)
	if l.mustRegister(w, r) {
		c.Register = append(c.Register, work.Register{
			Worker: r.Worker, DC: r.DC, Rack: r.Rack, Size: r.Size, Incarnation: r.Incarnation,
		})
	}
	for i := range r.Tasks {
		l.takeRun(c, r, &r.Tasks[i])
	}
	// A report written before this leader's first answer may be a late one, whose
	// sequence number only an earlier leader could have judged.
	current := r.Epoch == l.epoch || l.skip&skipCurrent != 0
	if w != nil && w.Incarnation == r.Incarnation && current {
		l.takeMissing(c, w, r)
	}
	return c, nil
}

// check refuses malformed reports and ones that arrive late or twice.
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
	s := l.seen[r.Worker]
	if s != nil && slices.Contains(s.past, r.Incarnation) {
		return verdict.Refuse(ReasonOldIncarnation, "another process of worker %s has reported since", r.Worker)
	}
	if s != nil && s.incarnation == r.Incarnation && r.Seq <= s.seq && l.skip&skipSeq == 0 {
		return verdict.Refuse(ReasonLateReport, "report %d of worker %s came after report %d", r.Seq, r.Worker, s.seq)
	}
	return nil
}

func incarnationOf(w *work.Worker) string {
	if w == nil {
		return ""
	}
	return w.Incarnation
}

// mustRegister reports whether the tables need to learn of the worker. A lost
// worker comes back once it runs nothing that the tables don't know of.
func (l *Leader) mustRegister(w *work.Worker, r *api.WorkerReport) bool {
	switch {
	case w == nil:
		return true
	case w.Incarnation != r.Incarnation:
		return len(w.Tasks()) == 0
	case w.State == model.WorkerLost:
		return l.state.Rebuilding() || !l.runsUnknown(r)
	}
	return w.Size != r.Size || w.Rack != r.Rack
}

// runsUnknown reports whether the worker runs what the tables don't hold there.
func (l *Leader) runsUnknown(r *api.WorkerReport) bool {
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State != model.TaskEnded && l.state.Run(runOf(r, t)) == nil {
			return true
		}
	}
	return false
}

func runOf(r *api.WorkerReport, t *api.TaskReport) work.RunID {
	return work.RunID{Task: t.Task, Attempt: t.Attempt, Worker: r.Worker}
}

// takeRun adds to c what one run's report changes.
func (l *Leader) takeRun(c *work.Command, r *api.WorkerReport, t *api.TaskReport) {
	id := runOf(r, t)
	row := l.state.Run(id)
	switch {
	case t.State == model.TaskEnded && row != nil:
		c.Ended = append(c.Ended, l.endOf(id, row.JobRow(), t))
	case t.State == model.TaskEnded:
		l.takeUnknownEnd(c, id, t)
	case row == nil:
		l.takeUnknown(c, id, t)
	default:
		l.takeRunning(c, id, r.Seq, row, t)
	}
}

// takeMissing ends runs that the worker had confirmed and holds no more,
// although their end was never reported.
func (l *Leader) takeMissing(c *work.Command, w *work.Worker, r *api.WorkerReport) {
	for _, row := range w.Tasks() {
		if row.StartedMillis > 0 && !reports(r, row) {
			c.Ended = append(c.Ended, work.Ended{RunID: row.Run(), Reason: ReasonNotReported})
		}
	}
}

func (l *Leader) endOf(id work.RunID, j *work.Job, t *api.TaskReport) work.Ended {
	e := work.Ended{RunID: id, Outcome: t.Outcome, Reason: t.Reason, CheckpointMillis: t.CheckpointMillis}
	if l.policy.Retry != nil {
		var backoff time.Duration
		e.Retries, backoff = l.policy.Retry(j)
		e.BackoffMillis = backoff.Milliseconds()
	}
	return e
}

// takeUnknownEnd matters only while lost tables are rebuilt.
func (l *Leader) takeUnknownEnd(c *work.Command, id work.RunID, t *api.TaskReport) {
	row := l.state.Task(id.Task)
	if row != nil && row.Unaccounted {
		c.Ended = append(c.Ended, l.endOf(id, row.JobRow(), t))
	}
}

func (l *Leader) takeUnknown(c *work.Command, id work.RunID, t *api.TaskReport) {
	row := l.state.Task(id.Task)
	if row == nil || !row.Unaccounted {
		return
	}
	c.Adopt = append(c.Adopt, work.Adopt{
		RunID: id, Hold: l.headroom(t.Used), CheckpointMillis: t.CheckpointMillis,
	})
}

func (l *Leader) takeRunning(c *work.Command, id work.RunID, seq uint64, row *work.Task, t *api.TaskReport) {
	if row.State == model.TaskStarting {
		c.Started = append(c.Started, work.Run{RunID: id})
	}
	if !l.worthUsage(row, t) {
		return
	}
	c.Usage = append(c.Usage, work.Usage{
		RunID:            id,
		Seq:              seq,
		Reported:         t.Used,
		Hold:             l.headroom(t.Used),
		CheckpointMillis: t.CheckpointMillis,
	})
}

// worthUsage leaves out changes that no decision would notice.
func (l *Leader) worthUsage(row *work.Task, t *api.TaskReport) bool {
	if t.CheckpointMillis-row.CheckpointMillis >= checkpointStep {
		return true
	}
	size := row.JobRow().Spec.Size
	hold := size.Max(l.headroom(t.Used))
	if hold == row.Hold {
		return false
	}
	// More room taken always counts; less counts by steps.
	if !hold.Fits(row.Hold) {
		return true
	}
	return !row.Hold.Sub(hold).Scale(usageStep).Fits(size)
}

// headroom returns use with the headroom that reports' lag needs, rounded up.
// Accelerators are whole devices and get none.
func (l *Leader) headroom(used model.Resources) model.Resources {
	p := 100 + l.policy.HeadroomPercent
	return model.Resources{
		MilliCPU:     (used.MilliCPU*p + 99) / 100,
		MemoryMB:     (used.MemoryMB*p + 99) / 100,
		Accelerators: used.Accelerators,
	}
}
