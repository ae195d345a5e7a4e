package scheduler

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/placement/estimate"
)

// TestEndedTasksPredictTheirStep checks that plans use the run time of a step's ended tasks
// for those that wait, and that a straggler among them doesn't spoil it.
func TestEndedTasksPredictTheirStep(t *testing.T) {
	r := newRig(t, cell.Step{Count: 5, Need: oneTask.Need, EstimateMillis: 1000})
	r.lead()
	r.deliverReply(RenewReply{ClockMillis: 1000})
	for i, took := range []time.Duration{4 * time.Second, 28 * time.Second, 5 * time.Second} {
		k := cell.TaskKey{Job: testJob, Index: i}
		r.confirm(k, "")
		r.end(k, int64(i+1), took, cell.OutcomeDone)
		r.commitBatch()
	}
	in := r.snapshot()
	qt.Assert(t, in.Pending, qt.HasLen, 1)
	p := &in.Pending[0]
	qt.Check(t, p.TaskTime, qt.Equals, 5*time.Second)
	qt.Check(t, p.RemainingWork, qt.Equals, 2*5000.0)
	qt.Check(t, p.Deadline.Sub(r.admissions[testJob].submittedAt), qt.Equals, 2*5*time.Second+time.Second)
	r.apply(&cell.Command{Cancel: &cell.Cancel{ID: testJob}})
	r.reportEndedJobs(r.now())
	qt.Check(t, r.stepTimes, qt.HasLen, 0)
}

// TestRepeatedEndKeepsItsWork guards against the time in which an end could not be recorded
// being taken for run time.
func TestRepeatedEndKeepsItsWork(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	r.deliverReply(RenewReply{ClockMillis: 1000})
	k := cell.TaskKey{Job: testJob}
	r.confirm(k, "")
	r.end(k, 1, time.Second, cell.OutcomeDone)
	r.rollBackEnds(r.ends.ends)
	r.ends.ends = nil
	r.end(k, 1, 5*time.Second, cell.OutcomeDone)
	qt.Check(t, r.work(), qt.DeepEquals, []int64{1000})
	qt.Check(t, r.stepTimes[testJob][occurrenceStep{}], qt.HasLen, 1)
}

// TestStepsPredictBetterThanTheirQueue plays batch steps of 25 tasks on the second
// deployment of docs/LOAD.md, where a quarter of the workers run at 0.55 and the others at
// 1.2 of the nominal speed and 3 of 100 tasks are stragglers of seven times, with the
// estimates of the first one. The tasks of a step are taken to differ by 7 % (2^0.1). The
// third of 25 to end is 1.2 standard deviations faster than the median one, so that the
// error is 2^0.12 once speeds are known. While they are not, it is larger by a factor of
// 1.2, since the first to end ran on the fast workers.
func TestStepsPredictBetterThanTheirQueue(t *testing.T) {
	const taskSpread = 0.1
	for _, c := range []struct {
		name        string
		speedsKnown bool
		bound       float64
	}{{"speeds known", true, 1.3 * 1.2 * taskSpread}, {"speeds unknown", false, 1.3*1.2*taskSpread + math.Log2(1.2)}} {
		t.Run(c.name, func(t *testing.T) {
			byQueue, byStep := stepErrors(taskSpread, c.speedsKnown)
			t.Logf("median error by the queue 2^%.3f, by the step's ended tasks 2^%.3f", byQueue, byStep)
			qt.Check(t, byStep < c.bound, qt.IsTrue)
			qt.Check(t, byStep < byQueue, qt.IsTrue)
		})
	}
}

// stepErrors plays 2,000 steps. It returns the median errors, as logarithms to base 2, of
// the predictions by their queue, and by their own tasks once a fifth of them has ended.
func stepErrors(taskSpread float64, speedsKnown bool) (byQueue, byStep float64) {
	rng := rand.New(rand.NewPCG(7, 8))
	var queue estimate.RunTimes
	var queueErrors, stepErrors []float64
	for range 2000 {
		x, y := 1.7*rng.NormFloat64(), 0.68*rng.NormFloat64()
		declared := int64(3400 * math.Exp2(x-0.74))
		actual := 3400 * math.Exp2(0.3*x+y)
		type end struct{ took, work time.Duration }
		ends := make([]end, 25)
		for i := range ends {
			speed := []float64{0.55, 1.2, 1.2, 1.2}[rng.IntN(4)]
			work := actual * math.Exp2(taskSpread*rng.NormFloat64()) * float64(time.Millisecond)
			if rng.IntN(100) < 3 {
				work *= 7
			}
			ends[i] = end{time.Duration(work / speed), time.Duration(work / speed)}
			if speedsKnown {
				ends[i].work = time.Duration(work)
			}
		}
		sample := ends[0].work.Milliseconds()
		slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.took, b.took) })
		steps := stepTimes{}
		for _, e := range ends[:len(ends)/5] {
			steps.add(cell.TaskKey{}, e.work)
		}
		own, _ := steps.typical(cell.StepKey{})
		queueErrors = append(queueErrors, math.Abs(math.Log2(float64(queue.Predict("q", declared))/actual)))
		stepErrors = append(stepErrors, math.Abs(math.Log2(float64(own.Milliseconds())/actual)))
		queue.Add("q", declared, sample)
	}
	slices.Sort(queueErrors)
	slices.Sort(stepErrors)
	return queueErrors[len(queueErrors)/2], stepErrors[len(stepErrors)/2]
}

// TestStepTimesEndWithTheirJob guards against run times that are kept for good of a job
// that ends before the first plan of a new leader.
func TestStepTimesEndWithTheirJob(t *testing.T) {
	r := newRig(t, oneTask)
	r.lead()
	r.deliverReply(RenewReply{ClockMillis: 1000})
	k := cell.TaskKey{Job: testJob}
	r.confirm(k, "")
	delete(r.admissions, testJob)
	r.end(k, 1, time.Second, cell.OutcomeDone)
	qt.Assert(t, r.stepTimes, qt.HasLen, 1)
	r.commitBatch()
	r.reportEndedJobs(r.now())
	qt.Check(t, r.stepTimes, qt.HasLen, 0)
}
