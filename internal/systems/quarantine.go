package systems

import (
	"fmt"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/work"
)

const (
	// ReasonFailsStarts is the cause of a quarantine.
	ReasonFailsStarts = "fails-what-it-starts"
	// failedOnWorkers is on how many workers a job that never succeeded has to
	// fail before the job is blamed and not the workers.
	failedOnWorkers = 3
	// maxQuarantineDoublings bounds the growth of a quarantine.
	maxQuarantineDoublings = 8
	// probationMillis is how long a run on probation lasts to be a success.
	probationMillis = 10_000
)

// judge tells workers that fail everything from jobs that fail everywhere.
func (t *tick) judge() {
	for _, j := range t.State.Jobs() {
		// A fault may pass: only once a task has spent its retries is the rest of
		// the job given up too.
		spent := j.Ended() > 0 && j.Ended() < len(j.Tasks())
		if spent && j.Outcome == model.OutcomeNone && t.failsEverywhere(j) {
			t.failJob(j)
		}
	}
	after, decision := t.View.Tree.Int(t.dcScope(), settings.QuarantineAfter)
	for _, w := range t.State.Workers() {
		t.judgeWorker(w, after, decision)
	}
}

// failsEverywhere reports whether the job is at fault: it failed on several
// workers that are not known to be bad and never succeeded.
func (t *tick) failsEverywhere(j *work.Job) bool {
	if j.Succeeded > 0 || len(j.FailedOn) < failedOnWorkers {
		return false
	}
	healthy := 0
	for _, id := range j.FailedOn {
		w := t.State.Worker(id)
		if w != nil && w.State != model.WorkerQuarantined && !w.Probation {
			healthy++
		}
	}
	return healthy >= failedOnWorkers
}

func (t *tick) failJob(j *work.Job) {
	t.cmd.Fail = append(t.cmd.Fail, work.FailJob{
		Job: j.Spec.ID, Outcome: model.OutcomeFailed, Reason: work.ReasonEverywhere,
	})
	detail := fmt.Sprintf("no task succeeded and tasks failed on %d workers", len(j.FailedOn))
	t.recordJob(EventFailed, &j.Spec, work.ReasonEverywhere, detail, nil)
}

func (t *tick) judgeWorker(w *work.Worker, after int64, d settings.Decision) {
	switch w.State {
	case model.WorkerQuarantined:
		if t.NowMillis >= w.QuarantineMillis {
			t.beginProbation(w)
		}
	case model.WorkerReady:
		if w.Probation && passes(w, t.NowMillis) {
			t.cmd.Quarantine = append(t.cmd.Quarantine, work.SetQuarantine{Worker: w.ID, Passed: true})
			return
		}
		t.judgeReady(w, after, d)
	}
}

func (t *tick) judgeReady(w *work.Worker, after int64, d1 settings.Decision) {
	if len(w.FailedRuns) == 0 {
		return
	}
	blame := t.blame(w)
	if blame < int(after) && !(w.Probation && blame > 0) {
		return
	}
	first, d2 := t.View.Tree.Duration(t.dcScope(), settings.QuarantineFor)
	length := first.Milliseconds() << min(w.Quarantines, maxQuarantineDoublings)
	t.cmd.Quarantine = append(t.cmd.Quarantine, work.SetQuarantine{
		Worker: w.ID, UntilMillis: t.NowMillis + length, Reason: ReasonFailsStarts,
	})
	x := &placement.Explanation{
		Decisions: []settings.Decision{d1, d2},
		Detail:    fmt.Sprintf("%d failed runs in a row are the worker's; no new work for %d ms", blame, length),
	}
	t.record(&eventlog.Event{Kind: EventQuarantined, Worker: w.ID, Cause: ReasonFailsStarts, Detail: x.Detail}, x)
}

// blame counts the worker's failures in a row that are not a job's fault. A
// job that has succeeded elsewhere counts each time, another one once.
func (t *tick) blame(w *work.Worker) int {
	n := 0
	counted := map[model.JobID]bool{}
	for _, id := range w.FailedRuns {
		j := t.State.Job(id)
		good := j != nil && j.Succeeded > 0
		bad := j != nil && t.failsEverywhere(j)
		if bad || !good && counted[id] {
			continue
		}
		counted[id] = true
		n++
	}
	return n
}

func (t *tick) beginProbation(w *work.Worker) {
	t.cmd.Quarantine = append(t.cmd.Quarantine, work.SetQuarantine{Worker: w.ID, Reason: "probation"})
	t.record(&eventlog.Event{
		Kind: EventProbation, Worker: w.ID, Cause: "quarantine-over",
		Detail: "gets one task at a time until one succeeds",
	}, nil)
}

// passes reports whether a run on probation has lasted long enough.
func passes(w *work.Worker, nowMillis int64) bool {
	for _, row := range w.Tasks() {
		if row.State == model.TaskRunning && nowMillis-row.StartedMillis >= probationMillis {
			return true
		}
	}
	return false
}
