package systems

import (
	"cmp"
	"fmt"
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/work"
)

// ReasonOverSize is the cause of throttles and stops of tasks that use more than
// their size.
const ReasonOverSize = work.ReasonOverSize

const (
	// throttleLagMillis is how long it takes for a throttle to show in usage
	// reports.
	throttleLagMillis = 5000
	// throttleRetentionMillis is how long LeaderState keeps the time of a throttle.
	throttleRetentionMillis = 60_000
)

// checkUsage frees resources on workers whose tasks use more than the worker has,
// by their reports. Tasks that exceed their size are throttled first, which helps
// only if nothing but CPU is short. Memory and accelerators are freed by stopping
// tasks, starting with those that exceed their size the most.
func (t *tick) checkUsage() {
	for _, w := range t.State.Workers() {
		if w.State == model.WorkerLost || !w.Free().Negative() {
			continue
		}
		t.relieveWorker(w)
	}
}

// relieveWorker throttles or stops tasks until the worker is no longer
// overcommitted.
func (t *tick) relieveWorker(w *work.Worker) {
	free := w.Free()
	for _, task := range w.Tasks() {
		// Resources of tasks that are being stopped or throttled become free soon.
		switch {
		case task.State == model.TaskStopping || t.stopped[task.ID]:
			free = free.Add(task.Reserved)
		case t.throttlePending(task):
			free.MilliCPU += task.Reserved.MilliCPU - task.ParentJob().Spec.Size.MilliCPU
		}
	}
	if !free.Negative() {
		return
	}
	for _, task := range t.oversizedTasks(w) {
		if !free.Negative() {
			return
		}
		free = free.Add(t.reclaim(task, free))
	}
	t.stopNewest(w, free)
}

// stopNewest stops tasks, the newest first, until free is no longer negative. It
// is for a worker that has become smaller than the tasks on it, although these
// keep to their size. Tasks that are not idempotent run to their end.
func (t *tick) stopNewest(w *work.Worker, free model.Resources) {
	tasks := slices.Clone(w.Tasks())
	slices.SortStableFunc(tasks, func(a, b *work.Task) int { return cmp.Compare(b.PlacedMillis, a.PlacedMillis) })
	for _, task := range tasks {
		if !free.Negative() {
			return
		}
		if !task.ParentJob().Spec.Idempotent || !t.stop(task, work.ReasonNoCapacity, true) {
			continue
		}
		free = free.Add(task.Reserved)
		t.recordTask(EventStopped, task, work.ReasonNoCapacity, fmt.Sprintf("worker %s has only %s now", w.ID, w.Size), nil)
	}
}

// throttlePending reports whether the task was throttled so recently that usage
// reports may not show it yet.
func (t *tick) throttlePending(task *work.Task) bool {
	at, ok := t.LeaderState.throttledMillis[task.ID]
	return task.Throttled && ok && t.NowMillis-at < throttleLagMillis
}

// oversizedTasks returns the running tasks that hold more than their size, largest
// excess first.
func (t *tick) oversizedTasks(w *work.Worker) []*work.Task {
	var over []*work.Task
	for _, task := range w.Tasks() {
		running := task.State == model.TaskRunning || task.State == model.TaskStarting
		if running && !t.stopped[task.ID] && task.Reserved != task.ParentJob().Spec.Size {
			over = append(over, task)
		}
	}
	slices.SortStableFunc(over, func(a, b *work.Task) int {
		return excessPerMille(b, w) - excessPerMille(a, w)
	})
	return over
}

// excessPerMille returns how much a task holds beyond its size, in thousandths of
// the worker's size and for the resource where this is largest.
func excessPerMille(task *work.Task, w *work.Worker) int {
	most := int64(0)
	over := task.Reserved.Sub(task.ParentJob().Spec.Size)
	for i := range model.Dimensions {
		if size := w.Size.At(i); size > 0 {
			most = max(most, over.At(i)*1000/size)
		}
	}
	return int(most)
}

// reclaim throttles or stops a task and returns the resources that this frees.
func (t *tick) reclaim(task *work.Task, free model.Resources) model.Resources {
	size := task.ParentJob().Spec.Size
	onlyCPU := free.MemoryMB >= 0 && free.Accelerators >= 0
	if onlyCPU && !task.Throttled {
		t.throttle(task)
		return model.Resources{MilliCPU: task.Reserved.MilliCPU - size.MilliCPU}
	}
	if !t.stop(task, ReasonOverSize, true) {
		return model.Resources{}
	}
	detail := fmt.Sprintf("uses %s of a declared %s and its worker lacks the room", task.Reported, size)
	t.recordTask(EventStopped, task, ReasonOverSize, detail, t.headroomDecision())
	return task.Reserved
}

func (t *tick) throttle(task *work.Task) {
	t.LeaderState.throttledMillis[task.ID] = t.NowMillis
	t.cmd.Usage = append(t.cmd.Usage, work.Usage{
		RunID: task.Run(), Throttled: true,
	})
	detail := fmt.Sprintf("uses %s of a declared %s", task.Reported, task.ParentJob().Spec.Size)
	t.recordTask(EventThrottled, task, ReasonOverSize, detail, t.headroomDecision())
}

// headroomDecision is an explanation that names the setting for the headroom that
// is added to a task's reported usage.
func (t *tick) headroomDecision() *placement.Explanation {
	return &placement.Explanation{Decisions: []settings.EffectiveValue{t.View.Tree.Lookup(t.dcScope(), settings.Headroom)}}
}
