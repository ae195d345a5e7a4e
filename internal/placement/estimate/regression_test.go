package estimate

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"
)

// TestLogarithms checks the integer logarithm and its inverse against the ones of the
// floating-point unit.
func TestLogarithms(t *testing.T) {
	for _, v := range []int64{1, 2, 3, 7, 100, 999, 1000, 65_537, 3_400_000, 1 << 40} {
		exact := math.Log2(float64(v)) * float64(one)
		qt.Check(t, math.Abs(float64(log2(v))-exact) <= 1, qt.IsTrue, qt.Commentf("log2(%d) = %d, not %.1f", v, log2(v), exact))
		back := exp2(log2(v))
		qt.Check(t, math.Abs(float64(back-v)) <= 1+float64(v)/float64(one), qt.IsTrue, qt.Commentf("exp2(log2(%d)) = %d", v, back))
	}
	qt.Check(t, log2(-5), qt.Equals, int64(0))
	qt.Check(t, log2(math.MaxInt64), qt.Equals, maxExponent*one)
	qt.Check(t, exp2(-one), qt.Equals, int64(1))
	qt.Check(t, exp2(math.MaxInt64), qt.Equals, int64(1)<<maxExponent)
}

// The estimates of docs/LOAD.md: the ratio of real to declared time has the quantiles 0.50
// (10 %), 1.67 and 5.75 (90 %), the slope is 0.3, and the spread of the logarithm of the
// run time is half that of the declared one. Standard deviations are of logarithms to
// base 2; with the slope b, the variance of the ratio is
// declaredSpread^2 * (1/4 + 1 - 2*b).
const (
	slope          = 0.3
	medianRatio    = 0.74
	ratioSpread    = 1.37
	declaredSpread = 1.70
	residualSpread = 0.68
)

// wrongEstimate returns a declared and a real time in milliseconds of a workload whose
// real times are around the given median, with the estimates of docs/LOAD.md.
func wrongEstimate(rng *rand.Rand, medianMillis float64) (declared, actual int64) {
	x := declaredSpread * rng.NormFloat64()
	y := slope*x + residualSpread*rng.NormFloat64()
	center := math.Log2(medianMillis)
	return int64(math.Exp2(center - medianRatio + x)), int64(math.Exp2(center + y))
}

// logError returns the absolute logarithm to base 2 of the ratio of two times.
func logError(predicted, actual int64) float64 {
	return math.Abs(math.Log2(float64(predicted) / float64(actual)))
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// TestPredictionsAreBetterThanDeclaredTimes plays the estimates of docs/LOAD.md, also with
// its stragglers, and a bound on the error of each prediction that is made before its
// sample is added. With the true line, the median error is 0.6745 times the spread of
// what the line doesn't explain. A line from a window of n samples, which weigh as 2n-1
// equal ones, adds a variance of 2/(2n-1) of that spread: for 128 samples 0.4 % to the
// median. 10 % are allowed, for stragglers too.
func TestPredictionsAreBetterThanDeclaredTimes(t *testing.T) {
	const normalMedian = 0.6745
	bound := 1.1 * normalMedian * residualSpread
	for _, stragglers := range []float64{0, 0.03} {
		rng := rand.New(rand.NewPCG(1, 2))
		var r Regression
		var declaredErrors, predictedErrors []float64
		for i := range 4000 {
			declared, actual := wrongEstimate(rng, 3400)
			if i >= regressionWindow {
				declaredErrors = append(declaredErrors, logError(declared, actual))
				predictedErrors = append(predictedErrors, logError(r.Predict(declared), actual))
			}
			if rng.Float64() < stragglers {
				actual *= 7
			}
			r.Add(declared, actual)
		}
		byDeclared, byPrediction := median(declaredErrors), median(predictedErrors)
		t.Logf("%.0f %% stragglers: median error of declared times 2^%.3f, of predictions 2^%.3f (bound 2^%.3f); slope %.2f, spread %d %%",
			100*stragglers, byDeclared, byPrediction, bound, r.SlopeValue(), r.SpreadPercent())
		qt.Check(t, byPrediction < bound, qt.IsTrue)
		qt.Check(t, byPrediction < byDeclared/2, qt.IsTrue)
		qt.Check(t, math.Abs(r.SlopeValue()-slope) < 0.15, qt.IsTrue)
	}
}

// TestDeclaredTimesAreKeptUntilEnoughSamples guards against predictions from too few
// samples, and against those without a declared time.
func TestDeclaredTimesAreKeptUntilEnoughSamples(t *testing.T) {
	var r Regression
	for range MinRunSamples - 1 {
		r.Add(1000, 3000)
		r.Add(0, 50)
		r.Add(-1, 50)
		r.Add(1000, 0)
	}
	qt.Check(t, r.Predict(1000), qt.Equals, int64(1000))
	r.Add(1000, 3000)
	qt.Check(t, r.Predict(1000), qt.Equals, int64(3000))
	qt.Check(t, r.Predict(2000), qt.Equals, int64(6000), qt.Commentf("run times are proportional while all declared times are equal"))
	qt.Check(t, r.Predict(0), qt.Equals, int64(0))
}

// TestOneStragglerChangesLittle guards against a single sample that is far off. After 20
// samples its deviation, bounded to a factor of 2, has a weight of 1/21.
func TestOneStragglerChangesLittle(t *testing.T) {
	for _, factor := range []int64{7, 1_000_000_000} {
		var r Regression
		for range 20 {
			r.Add(1000, 1000)
		}
		r.Add(1000, 1000*factor)
		qt.Check(t, logError(r.Predict(1000), 1000) <= 1.0/21+0.001, qt.IsTrue, qt.Commentf("predicted %d", r.Predict(1000)))
	}
}

// TestPredictionsFollowChanges guards against samples that count forever, and against a
// bound on deviations that a lasting change never overcomes.
func TestPredictionsFollowChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var r Regression
	for range 2000 {
		r.Add(wrongEstimate(rng, 1000))
	}
	for range 4 * regressionWindow {
		r.Add(wrongEstimate(rng, 8000))
	}
	// Four windows leave exp(-4), 2 %, of the weight to the earlier run times.
	typical := int64(8000 * math.Exp2(-medianRatio))
	qt.Check(t, logError(r.Predict(typical), 8000) < 0.25, qt.IsTrue, qt.Commentf("predicted %d", r.Predict(typical)))
}

// TestPredictionsMoveSlowly guards against deadlines that jump between two plans: they
// follow the prediction. A sample moves the line by its deviation, which is bounded to
// three times the mean deviation, divided by the window, and tilts it by as much again for
// each product of standard deviations of the two declared times. For 2.5 and 3 of them
// that is 8.5 * 3 * 0.8 * residualSpread / 128, which is 0.11.
func TestPredictionsMoveSlowly(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	var r Regression
	for i := range 4000 {
		declared, actual := wrongEstimate(rng, 3400)
		if rng.Float64() < 0.03 {
			actual *= 7
		}
		before := r
		r.Add(declared, actual)
		for _, declared := range []int64{400, 2000, 10_000} {
			moved := logError(r.Predict(declared), before.Predict(declared))
			qt.Assert(t, i < regressionWindow || moved < 0.11, qt.IsTrue, qt.Commentf("sample %d moves the prediction for %d ms by 2^%.3f", i, declared, moved))
		}
	}
}

// TestSlopeIsBounded guards against predictions that fall as the declared time grows, or
// grow faster than it.
func TestSlopeIsBounded(t *testing.T) {
	var falling, steep Regression
	for i := range int64(100) {
		declared := int64(1000) << (i % 4)
		falling.Add(declared, 1_000_000_000/declared)
		steep.Add(declared, declared*declared)
	}
	qt.Check(t, falling.Slope(), qt.Equals, int64(0))
	qt.Check(t, steep.Slope(), qt.Equals, one)
}

// TestDamagedRegressionDoesNotPanic guards against a damaged snapshot that ends every member
// when the next sample is added.
func TestDamagedRegressionDoesNotPanic(t *testing.T) {
	values := []int64{math.MinInt64, -1, 0, 1, math.MaxInt64}
	for _, a := range values {
		for _, b := range values {
			r := Regression{Samples: a, X: b, Y: a, XX: b, XY: a, Deviation: b}
			r.Predict(1000)
			r.SpreadPercent()
			r.Typical()
			r.Add(1000, 2000)
			qt.Check(t, r.Predict(1000) > 0, qt.IsTrue)
		}
	}
}

// TestRunTimesAreBoundedAndEqualEverywhere checks the bound on workloads and the encoding,
// and compares the result with the one that was computed on amd64, so that a member on
// another processor that differs is found.
func TestRunTimesAreBoundedAndEqualEverywhere(t *testing.T) {
	var rt RunTimes
	state := uint64(1)
	for i := range 10 * (MaxRunTimes + 10) {
		state = state*6364136223846793005 + 1442695040888963407
		rt.Add(fmt.Sprint("queue-", i/10), int64(state>>50), int64(state>>40&0xffff))
	}
	qt.Assert(t, rt.Entries, qt.HasLen, MaxRunTimes)
	qt.Check(t, rt.Fit("queue-0"), qt.IsNil, qt.Commentf("the oldest is removed first"))
	raw, err := msgpack.Marshal(&rt)
	qt.Assert(t, err, qt.IsNil)
	var decoded RunTimes
	qt.Assert(t, msgpack.Unmarshal(raw, &decoded), qt.IsNil)
	qt.Check(t, decoded, qt.DeepEquals, rt)
	sum := sha256.Sum256(raw)
	qt.Check(t, hex.EncodeToString(sum[:8]), qt.Equals, "b5a56b955e9dea0b")
	qt.Check(t, rt.Predict("queue-0", 77), qt.Equals, int64(77))
}

func BenchmarkPredict(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	var rt RunTimes
	for range 200 {
		declared, actual := wrongEstimate(rng, 1000)
		rt.Add("q", declared, actual)
	}
	for b.Loop() {
		rt.Predict("q", 1234)
	}
}
