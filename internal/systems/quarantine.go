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
	// ReasonRepeatedFailures is the cause of a quarantine.
	ReasonRepeatedFailures = "fails-what-it-starts"
	// minFailedWorkers is the number of workers on which a job without any
	// successful task must fail before the job is considered faulty and not the
	// workers.
	minFailedWorkers = 3
	// maxQuarantineDoublings bounds how often the length of a worker's quarantine
	// doubles.
	maxQuarantineDoublings = 8
	// probationMillis is how long a task must run on a worker on probation for
	// the worker to pass.
	probationMillis = 10_000
)

// detectFaults distinguishes workers that fail all tasks from jobs that fail on
// all workers. It quarantines the former and fails the latter.
func (t *tick) detectFaults() {
	for _, j := range t.State.Jobs() {
		// The cause of the failures may be temporary, so the rest of the job fails
		// only after one of its tasks has used up its retries.
		partlyEnded := j.Ended() > 0 && j.Ended() < len(j.Tasks())
		if partlyEnded && j.Outcome == model.OutcomeNone && t.failsEverywhere(j) {
			t.failJob(j)
		}
	}
	after, decision := t.View.Tree.Int(t.dcScope(), settings.QuarantineAfter)
	for _, w := range t.State.Workers() {
		t.checkWorker(w, after, decision)
	}
}

// failsEverywhere reports whether a job is faulty: none of its tasks succeeded,
// and tasks failed on at least minFailedWorkers workers that are neither
// quarantined nor on probation.
func (t *tick) failsEverywhere(j *work.Job) bool {
	if j.Succeeded > 0 || len(j.FailedOn) < minFailedWorkers {
		return false
	}
	healthy := 0
	for _, id := range j.FailedOn {
		w := t.State.Worker(id)
		if w != nil && w.State != model.WorkerQuarantined && !w.Probation {
			healthy++
		}
	}
	return healthy >= minFailedWorkers
}

func (t *tick) failJob(j *work.Job) {
	t.cmd.Fail = append(t.cmd.Fail, work.FailJob{
		Job: j.Spec.ID, Outcome: model.OutcomeFailed, Reason: work.ReasonFailsEverywhere,
	})
	detail := fmt.Sprintf("no task succeeded and tasks failed on %d workers", len(j.FailedOn))
	t.recordJob(EventJobFailed, &j.Spec, work.ReasonFailsEverywhere, detail, nil)
}

// checkWorker starts or ends the worker's quarantine or probation if it is time.
func (t *tick) checkWorker(w *work.Worker, after int64, d settings.EffectiveValue) {
	switch w.State {
	case model.WorkerQuarantined:
		if t.NowMillis >= w.QuarantineMillis {
			t.startProbation(w)
		}
	case model.WorkerReady:
		if w.Probation && passedProbation(w, t.NowMillis) {
			t.cmd.Quarantine = append(t.cmd.Quarantine, work.SetQuarantine{Worker: w.ID, Passed: true})
			return
		}
		t.quarantineIfFailing(w, after, d)
	}
}

// quarantineIfFailing quarantines a ready worker after that many consecutive
// failures of its own, or after one while it is on probation. Each quarantine is
// twice as long as the one before, up to maxQuarantineDoublings.
func (t *tick) quarantineIfFailing(w *work.Worker, after int64, d1 settings.EffectiveValue) {
	if len(w.FailedRuns) == 0 {
		return
	}
	faults := t.countWorkerFaults(w)
	if faults < int(after) && !(w.Probation && faults > 0) {
		return
	}
	first, d2 := t.View.Tree.Duration(t.dcScope(), settings.QuarantineFor)
	length := first.Milliseconds() << min(w.Quarantines, maxQuarantineDoublings)
	t.cmd.Quarantine = append(t.cmd.Quarantine, work.SetQuarantine{
		Worker: w.ID, UntilMillis: t.NowMillis + length, Reason: ReasonRepeatedFailures,
	})
	x := &placement.Explanation{
		Decisions: []settings.EffectiveValue{d1, d2},
		Detail:    fmt.Sprintf("%d failed runs in a row are the worker's; no new work for %d ms", faults, length),
	}
	t.record(&eventlog.Event{Kind: EventQuarantined, Worker: w.ID, Cause: ReasonRepeatedFailures, Detail: x.Detail}, x)
}

// countWorkerFaults counts the worker's consecutive failed runs that are not the
// fault of a job. Failures of a job that has succeeded elsewhere count each time,
// those of other jobs once per job.
func (t *tick) countWorkerFaults(w *work.Worker) int {
	n := 0
	counted := map[model.JobID]bool{}
	for _, id := range w.FailedRuns {
		j := t.State.Job(id)
		succeeded := j != nil && j.Succeeded > 0
		faulty := j != nil && t.failsEverywhere(j)
		if faulty || !succeeded && counted[id] {
			continue
		}
		counted[id] = true
		n++
	}
	return n
}

func (t *tick) startProbation(w *work.Worker) {
	t.cmd.Quarantine = append(t.cmd.Quarantine, work.SetQuarantine{Worker: w.ID, Reason: "probation"})
	t.record(&eventlog.Event{
		Kind: EventProbation, Worker: w.ID, Cause: "quarantine-over",
		Detail: "gets one task at a time until one succeeds",
	}, nil)
}

// passedProbation reports whether a task has run on the worker for at least
// probationMillis.
func passedProbation(w *work.Worker, nowMillis int64) bool {
	for _, task := range w.Tasks() {
		if task.State == model.TaskRunning && nowMillis-task.StartedMillis >= probationMillis {
			return true
		}
	}
	return false
}
