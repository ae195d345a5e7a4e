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

// ReasonOverSize is the cause of throttles and stops of tasks that outgrew
// their size.
const ReasonOverSize = work.ReasonOverSize

const (
	// throttleShowsMillis is how long reports lag behind a throttle.
	throttleShowsMillis = 5000
	// throttleKeptMillis bounds the notes of throttles.
	throttleKeptMillis = 60_000
)

// checkUsage keeps reported use from overcommitting a worker. Tasks over their
// size are throttled first where that helps, which is for processors; what
// memory or devices lack is freed by stops, the largest excess first.
func (t *tick) checkUsage() {
	for _, w := range t.State.Workers() {
		if w.State == model.WorkerLost || !w.Free().Negative() {
			continue
		}
		t.shrink(w)
	}
}

func (t *tick) shrink(w *work.Worker) {
	free := w.Free()
	for _, row := range w.Tasks() {
		// What is stopping already comes free soon.
		switch {
		case row.State == model.TaskStopping || t.stopped[row.ID]:
			free = free.Add(row.Hold)
		case t.slowing(row):
			free.MilliCPU += row.Hold.MilliCPU - row.JobRow().Spec.Size.MilliCPU
		}
	}
	if !free.Negative() {
		return
	}
	for _, row := range t.overSize(w) {
		if !free.Negative() {
			return
		}
		free = free.Add(t.shrinkTask(row, free))
	}
	t.evictNewest(w, free)
}

// evictNewest stops runs of their own size on a worker that has become smaller,
// the newest first. Runs that are not idempotent end by themselves.
func (t *tick) evictNewest(w *work.Worker, free model.Resources) {
	rows := slices.Clone(w.Tasks())
	slices.SortStableFunc(rows, func(a, b *work.Task) int { return cmp.Compare(b.PlacedMillis, a.PlacedMillis) })
	for _, row := range rows {
		if !free.Negative() {
			return
		}
		if !row.JobRow().Spec.Idempotent || !t.stop(row, work.ReasonNoRoom, true) {
			continue
		}
		free = free.Add(row.Hold)
		t.recordTask(EventStopped, row, work.ReasonNoRoom, fmt.Sprintf("worker %s has only %s now", w.ID, w.Size), nil)
	}
}

// slowing reports whether a throttle has not yet had the time to show in reports.
func (t *tick) slowing(row *work.Task) bool {
	at, ok := t.Memory.throttled[row.ID]
	return row.Throttled && ok && t.NowMillis-at < throttleShowsMillis
}

// overSize lists the tasks that hold more than their size, largest excess first.
func (t *tick) overSize(w *work.Worker) []*work.Task {
	var over []*work.Task
	for _, row := range w.Tasks() {
		running := row.State == model.TaskRunning || row.State == model.TaskStarting
		if running && !t.stopped[row.ID] && row.Hold != row.JobRow().Spec.Size {
			over = append(over, row)
		}
	}
	slices.SortStableFunc(over, func(a, b *work.Task) int {
		return excess(b, w) - excess(a, w)
	})
	return over
}

// excess is the largest part of the worker that a task takes beyond its size,
// in thousandths.
func excess(row *work.Task, w *work.Worker) int {
	most := int64(0)
	over := row.Hold.Sub(row.JobRow().Spec.Size)
	for i := range model.Dimensions {
		if size := w.Size.At(i); size > 0 {
			most = max(most, over.At(i)*1000/size)
		}
	}
	return int(most)
}

// shrinkTask throttles or stops a task and returns the room that this frees.
func (t *tick) shrinkTask(row *work.Task, free model.Resources) model.Resources {
	size := row.JobRow().Spec.Size
	onlyCPU := free.MemoryMB >= 0 && free.Accelerators >= 0
	if onlyCPU && !row.Throttled {
		t.throttle(row)
		return model.Resources{MilliCPU: row.Hold.MilliCPU - size.MilliCPU}
	}
	if !t.stop(row, ReasonOverSize, true) {
		return model.Resources{}
	}
	detail := fmt.Sprintf("uses %s of a declared %s and its worker lacks the room", row.Reported, size)
	t.recordTask(EventStopped, row, ReasonOverSize, detail, t.headroomDecision())
	return row.Hold
}

func (t *tick) throttle(row *work.Task) {
	t.Memory.throttled[row.ID] = t.NowMillis
	t.cmd.Usage = append(t.cmd.Usage, work.Usage{
		RunID: row.Run(), Throttled: true,
	})
	detail := fmt.Sprintf("uses %s of a declared %s", row.Reported, row.JobRow().Spec.Size)
	t.recordTask(EventThrottled, row, ReasonOverSize, detail, t.headroomDecision())
}

// headroomDecision names the setting behind the room that a run takes.
func (t *tick) headroomDecision() *placement.Explanation {
	return &placement.Explanation{Decisions: []settings.Decision{t.View.Tree.Lookup(t.dcScope(), settings.Headroom)}}
}
