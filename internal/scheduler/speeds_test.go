package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/model"
)

// speedRig runs the jobs of a cell of which every fourth worker is slow. The slow workers
// have the label "old", all have the label "linux".
type speedRig struct {
	*rig
	rand *rand.Rand
	jobs int
	// work is the median run time of a task at speed 1, in seconds.
	work float64
	// ends counts the run ends that each worker has listed.
	ends map[cell.WorkerID]int64
	// slowed maps workers to the factor by which they are slower than usual.
	slowed map[cell.WorkerID]float64
}

const (
	slowSpeed, fastSpeed = 0.55, 1.2
	rigWorkers           = 24
	// speedError is the largest error of the ratio of two recorded speeds, each of which may
	// be off by lastingSpeedStep.
	speedError = lastingSpeedStep * lastingSpeedStep
)

func newSpeedRig(t *testing.T) *speedRig {
	r := &speedRig{newRig(t, oneTask), rand.New(rand.NewPCG(3, 4)), 0, 2, map[cell.WorkerID]int64{}, map[cell.WorkerID]float64{}}
	r.apply(&cell.Command{Workers: &cell.Workers{Gone: []cell.Incarnation{{ID: testWorker, Born: 1}}}})
	r.lead()
	for i := range rigWorkers {
		r.report(i, 1)
	}
	return r
}

func rigWorker(i int) cell.WorkerID { return cell.WorkerID(fmt.Sprintf("w%02d", i)) }

func isSlow(i int) bool { return i%4 == 1 }

// report records an incarnation of a worker.
func (r *speedRig) report(i int, born int64) {
	w := cell.Worker{
		ID: rigWorker(i), Born: born, Addr: "10.0.0.1:1", DC: "dc1", Pool: "p", Labels: []string{"linux", "new", "r1"},
		Capacity: model.Resources{MilliCPU: 16000, MemoryMB: 32000},
	}
	if isSlow(i) {
		w.Labels[1] = "old"
	}
	r.apply(&cell.Command{Leadership: r.term.Load(), Workers: &cell.Workers{Seen: []cell.Worker{w}}})
	r.syncSessions(r.ctx)
}

func (r *speedRig) speedOf(i int) float64 {
	speed := fastSpeed
	if isSlow(i) {
		speed = slowSpeed
	}
	if f := r.slowed[rigWorker(i)]; f != 0 {
		speed *= f
	}
	return speed
}

// runJob runs a job of n tasks on different workers, all of a random size. The estimate is
// off by a factor of up to 6; one task in 30 is a straggler.
func (r *speedRig) runJob(n int, gang bool) {
	r.t.Helper()
	r.jobs++
	work := r.work * math.Exp(0.5*r.rand.NormFloat64())
	estimate := work * math.Exp((2*r.rand.Float64()-1)*math.Log(6))
	id := cell.JobID(fmt.Sprintf("%016x", r.jobs))
	r.apply(&cell.Command{Submit: &cell.Submit{Job: cell.Job{ID: id, Queue: "q", Workspace: "a", Steps: []cell.Step{
		{Count: n, Gang: gang, Need: model.Resources{MilliCPU: 1000}, EstimateMillis: int64(1000 * estimate)},
	}}}})
	type runEnd struct {
		worker int
		start  cell.Start
		after  time.Duration
	}
	var ends []runEnd
	var starts []cell.Start
	var slowest time.Duration
	for index, i := range r.rand.Perm(rigWorkers)[:n] {
		seconds := work / r.speedOf(i)
		if !gang && r.rand.IntN(30) == 0 {
			seconds *= 7
		}
		st := cell.Start{Task: cell.TaskKey{Job: id, Index: index}, Run: 1, Worker: rigWorker(i), Born: r.state.Workers[rigWorker(i)].Born}
		starts = append(starts, st)
		ends = append(ends, runEnd{i, st, time.Duration(seconds * float64(time.Second))})
		slowest = max(slowest, ends[index].after)
	}
	r.apply(&cell.Command{Leadership: r.term.Load(), Starts: &cell.Starts{Starts: starts}})
	r.syncSessions(r.ctx)
	for i := range starts {
		se := r.sessions[starts[i].Worker]
		r.startRun(r.ctx, &starts[i], "", "", "")
		r.onStartReply(r.ctx, se, starts[i].Task, se.runs[starts[i].Task], nil)
	}
	begin := r.now()
	slices.SortFunc(ends, func(a, b runEnd) int { return int(a.after - b.after) })
	for _, e := range ends {
		if gang {
			e.after = slowest
		}
		r.clock.Advance(begin.Add(e.after).Sub(r.now()))
		r.listEnd(e.start, begin)
		r.settleSpeeds(r.now())
	}
	r.clock.Advance(settleInterval)
	r.settleSpeeds(r.now())
	r.commitEnds(r.ctx)
	r.runUntil(func() bool { return r.Scheduler.ends.inFlight == 0 && len(r.Scheduler.ends.ends) == 0 })
	r.syncSessions(r.ctx)
}

// listEnd delivers the reply with which a worker tells the end of a run, to a renewal that
// was sent at the given time.
func (r *speedRig) listEnd(st cell.Start, sent clock.Instant) {
	se := r.sessions[st.Worker]
	r.ends[st.Worker]++
	rn := &renewal{target: se.target, order: RenewOrder{Fence: se.fence, Wait: maxRenewalWait}, sent: sent, reply: &RenewReply{
		ClockMillis: 1000,
		Finished:    []FinishedTask{{Number: r.ends[st.Worker], Task: st.Task, Run: st.Run, Outcome: cell.OutcomeDone}},
	}}
	r.onRenewalReply(r.ctx, se, rn)
}

// expected returns the expected speed of a worker, and whether it is slowed.
func (r *speedRig) expected(i int) (speed float64, slowed bool) {
	r.state.Read(func() {
		speed, slowed = r.expectedSpeed(r.sessions[rigWorker(i)], r.state.Workers[rigWorker(i)], r.now())
	})
	return speed, slowed
}

// checkSpeeds checks that the expected speeds of all workers have the ratios of the real
// ones within the tolerance.
func (r *speedRig) checkSpeeds(tolerance float64) {
	r.t.Helper()
	reference, _ := r.expected(0)
	for i := range rigWorkers {
		speed, slowed := r.expected(i)
		want := r.speedOf(i) / fastSpeed
		qt.Check(r.t, math.Abs(math.Log(speed/reference/want)) < math.Log(tolerance), qt.IsTrue, qt.Commentf("worker %d: %.3f, want %.3f", i, speed/reference, want))
		qt.Check(r.t, slowed, qt.IsFalse, qt.Commentf("worker %d", i))
	}
}

// TestSpeedsAreLearnt guards against speeds that follow the error of the estimate, the
// pace of gangs or stragglers, that are forgotten with the leader, and that end with a
// pause between jobs.
func TestSpeedsAreLearnt(t *testing.T) {
	r := newSpeedRig(t)
	for i := range 60 {
		r.runJob(8, false)
		if i%2 == 0 {
			r.runJob(12, true)
		}
	}
	r.checkSpeeds(speedError)
	r.clock.Advance(time.Minute)
	r.checkSpeeds(speedError)
	r.lead()
	r.checkSpeeds(speedError)
	for range 3 {
		r.runJob(8, false)
	}
	r.checkSpeeds(speedError)
}

// TestGangsTellNoSpeeds guards against the pace of a gang being credited to its members.
func TestGangsTellNoSpeeds(t *testing.T) {
	r := newSpeedRig(t)
	for range 30 {
		r.runJob(12, true)
	}
	for i := range rigWorkers {
		qt.Check(t, r.state.Workers[rigWorker(i)].Speed, qt.Equals, int64(0))
		speed, _ := r.expected(i)
		qt.Check(t, speed, qt.Equals, 1.0)
	}
}

// TestKnownSpeedsAreNotSentAgain guards against commands that grow with speeds that have
// not changed.
func TestKnownSpeedsAreNotSentAgain(t *testing.T) {
	r := newSpeedRig(t)
	for range 60 {
		r.runJob(8, false)
	}
	for range 40 {
		r.runJob(8, false)
		r.settleSpeeds(r.now())
		qt.Check(t, len(r.speeds.unrecorded) <= 1, qt.IsTrue, qt.Commentf("%d speeds to send", len(r.speeds.unrecorded)))
	}
}

// TestIncarnationHasSpeedOfGroup guards against the speed of a machine being kept for the
// one that replaces it, and against a group whose workers differ telling a speed.
func TestIncarnationHasSpeedOfGroup(t *testing.T) {
	r := newSpeedRig(t)
	for range 60 {
		r.runJob(8, false)
	}
	r.report(1, 2)
	r.report(2, 2)
	r.clock.Advance(settleInterval)
	r.settleSpeeds(r.now())
	qt.Check(t, r.state.Workers[rigWorker(1)].Speed, qt.Equals, int64(0))
	_, mixed := r.speeds.groups["linux"]
	qt.Check(t, mixed, qt.IsFalse)
	r.checkSpeeds(speedError)
	for i := range rigWorkers {
		if isSlow(i) {
			r.report(i, 3)
		}
	}
	r.clock.Advance(settleInterval)
	r.settleSpeeds(r.now())
	slow, _ := r.expected(1)
	fast, _ := r.expected(0)
	qt.Check(t, slow, qt.Equals, math.Exp(r.speeds.others), qt.Commentf("without a known worker of its kind it counts like most workers"))
	qt.Check(t, math.Abs(slow/fast-1) < 0.1, qt.IsTrue)
}

// TestSlowForAWhile guards against a worker that is slow for some seconds losing its lasting
// speed, and against workers of a slow kind being suspect.
func TestSlowForAWhile(t *testing.T) {
	r := newSpeedRig(t)
	for range 60 {
		r.runJob(8, false)
	}
	recorded := r.state.Workers[rigWorker(2)].Speed
	r.slowed[rigWorker(2)] = 0.2
	slowedAt, suspect := r.now(), false
	r.work = 0.3
	for r.now().Sub(slowedAt) < lastingAfter-5*time.Second {
		r.runJob(rigWorkers, false)
		speed, slowed := r.expected(2)
		suspect = suspect || (slowed && speed < 0.4)
		slowKind, _ := r.expected(1)
		qt.Check(t, slowKind > 0.4, qt.IsTrue)
	}
	qt.Check(t, suspect, qt.IsTrue)
	qt.Check(t, r.state.Workers[rigWorker(2)].Speed, qt.Equals, recorded)
	r.slowed = map[cell.WorkerID]float64{}
	r.clock.Advance(2 * speedSampleMaxAge)
	r.checkSpeeds(speedError)
}

// TestLeaderChangesBeforeSpeedsAreCommitted guards against speeds in the command of a
// leader that has been replaced. The samples are lost and the next leader measures again.
func TestLeaderChangesBeforeSpeedsAreCommitted(t *testing.T) {
	r := newSpeedRig(t)
	for range 3 {
		r.runJob(rigWorkers, false)
	}
	unknown := func() (n int) {
		for _, w := range r.state.Workers {
			if w.Speed == 0 {
				n++
			}
		}
		return n
	}
	qt.Assert(t, unknown(), qt.Equals, rigWorkers)
	for i, se := range r.sessions {
		for range minLastingSamples {
			se.speed.add(speedSample{log: 0.1 * float64(len(i))})
		}
	}
	r.clock.Advance(settleInterval)
	r.settleSpeeds(r.now())
	qt.Assert(t, r.speeds.unrecorded, qt.HasLen, rigWorkers)
	measured := &cell.Command{Leadership: r.term.Load(), Ends: &cell.Ends{Speeds: r.takeUnrecordedSpeeds()}}
	r.apply(&cell.Command{Lead: &cell.Lead{Term: r.term.Load() + 1}})
	r.apply(measured)
	qt.Check(t, unknown(), qt.Equals, rigWorkers)
	r.reset(r.term.Load() + 1)
	r.syncSessions(r.ctx)
	r.clock.Advance(settleInterval)
	r.settleSpeeds(r.now())
	qt.Check(t, r.speeds.unrecorded, qt.HasLen, 0)
	for range 60 {
		r.runJob(8, false)
	}
	qt.Check(t, unknown(), qt.Equals, 0)
	r.checkSpeeds(speedError)
}

// TestEqualSpeeds guards against a switch that leaves a part of the learning on.
func TestEqualSpeeds(t *testing.T) {
	r := newSpeedRig(t)
	r.cfg.EqualSpeeds = true
	for range 30 {
		r.runJob(8, false)
	}
	r.apply(&cell.Command{Ends: &cell.Ends{Speeds: []cell.WorkerSpeed{{Incarnation: cell.Incarnation{ID: rigWorker(3), Born: 1}, Thousandths: 500}}}})
	for i := range rigWorkers {
		qt.Check(t, i == 3 || r.state.Workers[rigWorker(i)].Speed == 0, qt.IsTrue)
		speed, slowed := r.expected(i)
		qt.Check(t, speed, qt.Equals, 1.0)
		qt.Check(t, slowed, qt.IsFalse)
	}
}

// TestSpeedHoldsUntilItIsComputed guards against peers being compared with a speed of 1
// between the sample that completes a worker's lasting speed and its computation, for
// instance after a change of leader.
func TestSpeedHoldsUntilItIsComputed(t *testing.T) {
	w := workerSpeed{recorded: 550}
	for range minLastingSamples {
		w.add(speedSample{log: math.Log(0.5)})
		qt.Check(t, w.log(), qt.Equals, math.Log(0.55))
	}
	w.update(nil)
	qt.Check(t, w.log(), qt.Equals, math.Log(0.5))
}

// TestRatesEndWithTheIncarnation guards against a restarted worker getting samples from
// runs of its earlier incarnation that had too few peers before.
func TestRatesEndWithTheIncarnation(t *testing.T) {
	r := newSpeedRig(t)
	id := cell.JobID("00000000000000ff")
	r.apply(&cell.Command{Submit: &cell.Submit{Job: cell.Job{ID: id, Queue: "q", Workspace: "a", Steps: []cell.Step{
		{Count: 4, Need: model.Resources{MilliCPU: 1000}, EstimateMillis: 1000},
	}}}})
	record := func(i int, took time.Duration) {
		r.recordRate(r.sessions[rigWorker(i)], cell.TaskKey{Job: id, Index: i}, &run{number: 1}, 1, took, true, r.now())
	}
	record(0, 10*time.Second)
	r.settleSpeeds(r.now())
	r.report(0, 2)
	for i := 1; i < 4; i++ {
		record(i, 2*time.Second)
	}
	r.clock.Advance(settleInterval)
	r.settleSpeeds(r.now())
	qt.Check(t, r.sessions[rigWorker(0)].speed.samples, qt.HasLen, 0)
	qt.Check(t, r.sessions[rigWorker(1)].speed.samples, qt.HasLen, 1)
}

// TestRepeatedEndGivesOneRate guards against a worker counting as slow because an end could
// not be recorded and was listed again later.
func TestRepeatedEndGivesOneRate(t *testing.T) {
	r := newRig(t, cell.Step{Count: 5, Need: oneTask.Need, EstimateMillis: 1000})
	r.lead()
	r.deliverReply(RenewReply{ClockMillis: 1000})
	k := cell.TaskKey{Job: testJob}
	r.confirm(k, "")
	se := r.sessions[testWorker]
	for range 2 {
		rn := &renewal{target: se.target, order: RenewOrder{Fence: se.fence, Wait: maxRenewalWait}, sent: r.now(), reply: &RenewReply{
			ClockMillis: 1000, Finished: []FinishedTask{{Number: 1, Task: k, Run: 1, Outcome: cell.OutcomeDone}},
		}}
		r.clock.Advance(time.Second)
		r.onRenewalReply(r.ctx, se, rn)
		r.rollBackEnds(r.ends.ends)
		r.ends.ends = nil
	}
	qt.Check(t, r.speeds.fresh, qt.HasLen, 1)
	qt.Check(t, r.speeds.steps[k.StepKey()].rates[0].log, qt.Equals, 0.0)
}
