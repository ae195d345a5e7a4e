package estimate

const (
	// MinRunSamples is how many samples a Regression needs before it predicts. Below
	// that, chance decides its slope, and a single straggler its mean.
	MinRunSamples = 8
	// regressionWindow is the inverse weight of a new sample once there are that many.
	// Weighted so, the newest 128 samples have 63 % of the weight: at some five steps a
	// second, which is the rate of the rarest kind of job in docs/LOAD.md, the
	// prediction follows a change within half a minute.
	regressionWindow = 128
	// priorSamples and priorVariance are the weight, in samples, and the variance of
	// logarithms of the assumption that run times are proportional to declared times. It
	// decides the slope while all declared times are nearly equal.
	priorSamples  = 2
	priorVariance = one * one / 4
	// residualFactor times the mean deviation bounds the deviation of one sample. For
	// normally distributed deviations that is 2.4 standard deviations, which 2 of 100
	// samples exceed. minResidualBound, a factor of two, is the least bound, so that a
	// workload without any spread still follows changes.
	residualFactor   = 3
	minResidualBound = one
)

// Regression fits a line to the logarithms of declared and actual run times of a
// workload by least squares. Samples are weighted exponentially less with age (T. Finch,
// Incremental calculation of weighted mean and variance, 2009). Deviations from the
// line are bounded (P. Huber, Robust Estimation of a Location Parameter, 1964), so
// that a straggler has little effect and a lasting change its full effect after some
// samples. Logarithms are to base 2 in units of 2^-16; the zero value is ready to use.
type Regression struct {
	// Samples counts the samples, up to regressionWindow.
	Samples int64
	// X and Y are the means of the logarithms of declared and actual times.
	X, Y int64
	// XX and XY are the variance of X and its covariance with Y.
	XX, XY int64
	// Deviation is the mean absolute deviation of the samples from the prediction.
	Deviation int64
}

// Add adds a sample of times in milliseconds. It ignores samples without a declared or
// an actual time.
func (r *Regression) Add(declared, actual int64) {
	if declared <= 0 || actual <= 0 {
		return
	}
	x, y := log2(declared), log2(actual)
	weight := min(max(r.Samples, 0)+1, regressionWindow)
	if weight > 1 {
		predicted := r.line(x)
		if r.Samples >= MinRunSamples {
			bound := max(minResidualBound, residualFactor*r.Deviation)
			y = min(max(y, predicted-bound), predicted+bound)
		}
		r.Deviation += (abs(y-predicted) - r.Deviation) / (weight - 1)
	}
	dx, dy := x-r.X, y-r.Y
	r.X += dx / weight
	r.Y += dy / weight
	r.XX = (r.XX + dx*dx/weight) * (weight - 1) / weight
	r.XY = (r.XY + dx*dy/weight) * (weight - 1) / weight
	r.Samples = weight
}

// Ready reports whether there are enough samples for predictions.
func (r *Regression) Ready() bool { return r.Samples >= MinRunSamples }

// Predict returns the median of the run times to expect for a declared time, both in
// milliseconds. It returns the declared time while there are too few samples, and if
// none is declared.
func (r *Regression) Predict(declared int64) int64 {
	if declared <= 0 || !r.Ready() {
		return declared
	}
	return max(1, exp2(r.line(log2(declared))))
}

// Typical returns the declared and the predicted time in milliseconds at the mean of the
// samples.
func (r *Regression) Typical() (declared, predicted int64) { return exp2(r.X), exp2(r.Y) }

// Slope returns the slope of the line in units of 2^-16, from 0 to 1.
func (r *Regression) Slope() int64 {
	prior := priorSamples * priorVariance / max(1, r.Samples)
	return min(max((r.XY+prior)*one/max(1, r.XX+prior), 0), one)
}

// SlopeValue returns the slope as a number, for people.
func (r *Regression) SlopeValue() float64 { return float64(r.Slope()) / float64(one) }

// SpreadPercent returns by how many percent run times typically exceed the prediction
// or, divided by the same factor, fall short of it.
func (r *Regression) SpreadPercent() int64 {
	const scale = 10
	return (exp2(scale*one+r.Deviation) - 1<<scale) * 100 >> scale
}

// line returns the logarithm of the run time to expect for the logarithm x of a declared
// time.
func (r *Regression) line(x int64) int64 { return r.Y + r.Slope()*(x-r.X)/one }

func abs(v int64) int64 { return max(v, -v) }
