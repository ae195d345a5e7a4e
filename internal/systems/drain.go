package systems

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/work"
)

// ReasonMoving is the cause of stops and releases while a data centre is out.
const ReasonMoving = "data-centre-out"

// drain moves a data centre's tasks away while operators have it out. Waiting
// tasks are released to the fleet; runs of idempotent jobs are checkpointed and
// stopped at the rate of the settings; services first, and never below their
// minimum; others run to their end.
func (t *tick) drain() {
	t.handOver()
	if !t.View.Out || !t.State.Out().Out || t.State.Rebuilding() {
		t.Memory.moveMillis = t.NowMillis
		t.Memory.moveTokens = 0
		return
	}
	t.refillMoves()
	t.moveClass(func(c model.Class) bool { return c == model.ClassService })
	t.moveClass(func(c model.Class) bool { return c != model.ClassService })
}

// refillMoves adds the moves that the rate allows since the last tick, at most
// one second's worth.
func (t *tick) refillMoves() {
	rate, _ := t.View.Tree.Int(t.dcScope(), settings.MoveRate)
	m := t.Memory
	earned := (t.NowMillis - m.moveMillis) * rate / millisPerSecond
	if earned <= 0 {
		return
	}
	m.moveMillis += earned * millisPerSecond / rate
	m.moveTokens = min(m.moveTokens+earned, max(rate, 1))
}

const millisPerSecond = 1000

func (t *tick) moveClass(match func(model.Class) bool) {
	for _, j := range t.State.Jobs() {
		if t.Memory.moveTokens <= 0 {
			return
		}
		if j.Outcome != model.OutcomeNone || !match(j.Spec.Class) || !t.movable(j) {
			continue
		}
		t.releaseWaiting(j)
		if j.Spec.Idempotent {
			t.stopRunning(j)
		}
	}
}

// movable reports whether the job may run anywhere but here.
func (t *tick) movable(j *work.Job) bool {
	for _, dc := range j.Spec.DataCentres {
		if dc != t.View.DC {
			return true
		}
	}
	return len(j.Spec.DataCentres) == 0
}

// releaseWaiting releases waiting tasks. A gang goes when all of it waits,
// since it can only start whole.
func (t *tick) releaseWaiting(j *work.Job) {
	if j.Spec.Class == model.ClassGang && j.Held() > 0 {
		return
	}
	for _, row := range j.Tasks() {
		if !row.Placeable() {
			continue
		}
		if t.Memory.moveTokens <= 0 && j.Spec.Class != model.ClassGang {
			return
		}
		t.Memory.moveTokens--
		t.cmd.Release = append(t.cmd.Release, row.ID)
		t.recordTask(EventReleased, row, ReasonMoving, "waits for another data centre", t.rateDecision())
	}
}

// stopRunning checkpoints and stops runs as far as the rate and the service's
// minimum allow.
func (t *tick) stopRunning(j *work.Job) {
	spare := t.spare(j)
	for _, row := range j.Tasks() {
		if t.Memory.moveTokens <= 0 || spare <= 0 {
			return
		}
		if row.State != model.TaskRunning && row.State != model.TaskStarting {
			continue
		}
		if !t.stop(row, ReasonMoving, true) {
			continue
		}
		t.Memory.moveTokens--
		spare--
		t.recordTask(EventMoved, row, ReasonMoving, "is checkpointed and stopped to go on in another data centre", t.rateDecision())
	}
}

// rateDecision names the setting behind the pace of moves.
func (t *tick) rateDecision() *placement.Explanation {
	return &placement.Explanation{Decisions: []settings.Decision{t.View.Tree.Lookup(t.dcScope(), settings.MoveRate)}}
}

// spare is how many of the job's runs may stop now.
func (t *tick) spare(j *work.Job) int {
	if j.Spec.Class != model.ClassService {
		return j.Held()
	}
	running := t.runningElsewhere(j.Spec.ID)
	for _, row := range j.Tasks() {
		if row.State == model.TaskRunning && !t.stopped[row.ID] {
			running++
		}
	}
	return running - j.Spec.MinRunning
}

func (t *tick) runningElsewhere(id model.JobID) int {
	for i := range t.View.Jobs {
		if t.View.Jobs[i].Spec.ID == id {
			return t.View.Jobs[i].RunningElsewhere
		}
	}
	return 0
}

// handOver asks the fleet to give released tasks to another data centre, until
// its state shows that it did.
func (t *tick) handOver() {
	for _, j := range t.State.Jobs() {
		if j.Pending() == 0 {
			continue
		}
		released := releasedTasks(j)
		if len(released) == 0 || !t.Memory.mayAsk("move "+string(j.Spec.ID), t.NowMillis) {
			continue
		}
		t.out.Fleet.Reassign = append(t.out.Fleet.Reassign, Reassign{
			Job: j.Spec.ID, Assignment: j.Assignment, Generation: t.Epoch.Generation(),
			To: t.keeper(), Tasks: released, Reason: ReasonMoving,
		})
	}
}

// keeper is this data centre once it is in again.
func (t *tick) keeper() model.DCID {
	if t.View.Out {
		return ""
	}
	return t.View.DC
}

func releasedTasks(j *work.Job) []work.AdmitTask {
	var tasks []work.AdmitTask
	for _, row := range j.Tasks() {
		if row.Released && row.State == model.TaskPending {
			tasks = append(tasks, work.AdmitTask{
				Index: row.Index, Attempt: row.Attempt, CheckpointMillis: row.CheckpointMillis,
			})
		}
	}
	return tasks
}
