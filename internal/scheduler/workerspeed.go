package scheduler

import (
	"math"
	"slices"
	"time"

	"kumquatwing/internal/clock"
)

const (
	// lastingSamples is the number of newest samples whose median is a worker's lasting
	// speed, and minLastingSamples the number from which on the speed is known. With
	// minLastingSamples, one straggler among 30 runs leaves the median unaffected.
	lastingSamples    = 31
	minLastingSamples = 6
	// lastingAfter is how long a worker must run at less than suspectSpeed of its lasting
	// speed, or at more than the inverse, until that is its lasting speed.
	lastingAfter = 15 * time.Second
	// lastingSpeedStep is the factor by which a lasting speed must change to be recorded
	// again.
	lastingSpeedStep = 1.05
	// significantErrors is the number of standard errors by which a speed must differ from
	// the recorded one to be recorded again.
	significantErrors = 3
)

// speedSample is one sample of the logarithm of a worker's speed.
type speedSample struct {
	log float64
	// rough says that it was taken in comparison with workers most of whose speeds were not
	// known. Rough samples are dropped once there are minLastingSamples others.
	rough bool
}

// workerSpeed is what the leader knows about the speed of a worker's incarnation.
type workerSpeed struct {
	// recorded is the lasting speed in the replicated state, in thousandths, 0 if there is
	// none.
	recorded int64
	// samples holds the newest samples, and next the index that the next one takes once
	// there are lastingSamples.
	samples []speedSample
	next    int
	// lasting is the logarithm of the lasting speed, and stdError its standard error; both
	// are valid if measured is true.
	lasting, stdError float64
	// measured says that lasting is computed from enough samples of this leader.
	measured bool
	// changed says that there are samples that lasting doesn't take into account.
	changed bool
	// recent estimates how the speed differs from the lasting one at present.
	recent speedEstimate
	// differsSince is since when recent differs much from the lasting speed, 0 if it does
	// not.
	differsSince clock.Instant
	// relearning says that the samples from before a lasting change were dropped and there
	// are not enough new ones yet.
	relearning bool
}

// known reports whether the worker's own lasting speed is known.
func (w *workerSpeed) known() bool { return w.measured || w.recorded != 0 }

// log returns the logarithm of the lasting speed of a worker for which known is true.
func (w *workerSpeed) log() float64 {
	if w.measured {
		return w.lasting
	}
	return math.Log(float64(w.recorded) / 1000)
}

// add adds a sample to the lasting speed.
func (w *workerSpeed) add(sample speedSample) {
	w.changed = true
	if len(w.samples) < lastingSamples {
		w.samples = append(w.samples, sample)
	} else {
		w.samples[w.next] = sample
		w.next = (w.next + 1) % lastingSamples
	}
	if sample.rough {
		return
	}
	rough := 0
	for _, o := range w.samples {
		if o.rough {
			rough++
		}
	}
	if rough > 0 && len(w.samples)-rough >= minLastingSamples {
		w.samples = slices.DeleteFunc(w.samples, func(o speedSample) bool { return o.rough })
		w.next = 0
	}
}

// update computes the lasting speed from the samples, of which there are minLastingSamples or
// more.
func (w *workerSpeed) update(scratch []float64) []float64 {
	w.changed, w.measured = false, true
	scratch = scratch[:0]
	for _, o := range w.samples {
		scratch = append(scratch, o.log)
	}
	w.lasting = median(scratch)
	if w.relearning {
		w.relearning, w.recent = false, speedEstimate{}
	}
	for i := range scratch {
		scratch[i] = math.Abs(scratch[i] - w.lasting)
	}
	// 1.4826 times the median deviation estimates the standard deviation, and 1.2533 is
	// the ratio of the standard error of a median to that of a mean, for normally
	// distributed values.
	w.stdError = 1.2533 * 1.4826 * median(scratch) / math.Sqrt(float64(len(scratch)))
	return scratch
}

// toRecord returns the lasting speed to record, in thousandths; 0 if the recorded one is
// still good.
func (w *workerSpeed) toRecord() int64 {
	if !w.measured {
		return 0
	}
	if w.recorded != 0 {
		change := math.Abs(w.lasting - math.Log(float64(w.recorded)/1000))
		if change < max(math.Log(lastingSpeedStep), significantErrors*w.stdError) {
			return 0
		}
	}
	return max(1, int64(math.Round(1000*math.Exp(w.lasting))))
}

// median returns the median of values, which it sorts, 0 for none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	m := len(values) / 2
	if len(values)%2 == 1 {
		return values[m]
	}
	return (values[m-1] + values[m]) / 2
}

// acceptsLasting reports whether a sample counts for the lasting speed. While a worker
// differs much from its lasting speed it does not, until that has gone on for lastingAfter;
// then the samples of before are dropped.
func (w *workerSpeed) acceptsLasting(now clock.Instant) bool {
	recent := w.recent.value(now)
	if w.relearning || (recent > suspectSpeed && recent < 1/suspectSpeed) {
		w.differsSince = 0
		return true
	}
	if w.differsSince == 0 {
		w.differsSince = now
	}
	if now.Sub(w.differsSince) < lastingAfter {
		return false
	}
	w.samples, w.next, w.measured, w.differsSince, w.relearning = nil, 0, false, 0, true
	return true
}
