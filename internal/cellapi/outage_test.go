package cellapi

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/verdict"
)

// returnOf returns when a caller that first calls at the given time of an outage,
// with the given retries, gets through, and false if it gives up. Its Retry-After is
// in whole seconds, as the adapter writes it.
func returnOf(first, outage time.Duration, retries int, delay func(time.Duration) time.Duration) (time.Duration, bool) {
	at := first
	for range retries + 1 {
		if at >= outage {
			return at, true
		}
		refused := max(at, leaderWait)
		if refused >= outage {
			return outage, true
		}
		at = refused + delay(refused).Truncate(time.Second)
		if delay(refused)%time.Second != 0 {
			at += time.Second
		}
	}
	return 0, false
}

// TestCallersOutliveOutages plays the callers that arrive during outages of the
// leader: those with four retries all get through, also if all control VMs are
// without power for 12 s, and nobody waits longer than maxRetryAfter after the end.
// With the shortest delay alone, callers give up in long outages.
func TestCallersOutliveOutages(t *testing.T) {
	shortest := func(time.Duration) time.Duration { return minRetryAfter }
	for _, outage := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 12 * time.Second} {
		gaveUp, gaveUpShortest := 0, 0
		for first := time.Duration(0); first < outage; first += 10 * time.Millisecond {
			at, ok := returnOf(first, outage, 4, retryAfter)
			if !ok {
				gaveUp++
			}
			qt.Check(t, at-outage <= maxRetryAfter, qt.IsTrue, qt.Commentf("outage %v, first call at %v: returns at %v", outage, first, at))
			if _, ok := returnOf(first, outage, 4, shortest); !ok {
				gaveUpShortest++
			}
		}
		qt.Check(t, gaveUp, qt.Equals, 0, qt.Commentf("outage %v", outage))
		t.Logf("outage %v: %d gave up, with the shortest delay %d", outage, gaveUp, gaveUpShortest)
	}
}

const (
	// callerPatience and callerTries are how long callers try in all, and how often.
	callerPatience = 3 * time.Second
	callerTries    = 5
	// contextMargin is by how much the context of a call ends before its caller's
	// deadline.
	contextMargin = 150 * time.Millisecond
)

// triesOf returns when a caller that first calls at the given time of an outage calls
// again, up to its deadline, and whether it gets through.
func triesOf(first, outage time.Duration, delay func(outage, left time.Duration) time.Duration) (tries []time.Duration, ok bool) {
	end := first + callerPatience
	at := first
	for range callerTries {
		if at >= end {
			break
		}
		tries = append(tries, at)
		refused := max(at, leaderWait)
		if at >= outage || refused >= outage {
			return tries, true
		}
		at = refused + (delay(refused, end-contextMargin-refused) + time.Second - 1).Truncate(time.Second)
	}
	return tries, false
}

// TestCallersReturnWithinTheirDeadline plays callers that arrive evenly over an outage
// of 3.5 s and an election of 0.6 s, each with 3 s and five tries in all. With a delay
// as long as the outage has lasted, they return after their deadline, and all give up.
// Otherwise those get through whose last second ends after the outage. They return
// spread over a second, as they arrived, unless they were all refused as leaderWait ended.
func TestCallersReturnWithinTheirDeadline(t *testing.T) {
	const outage, interval = 4100 * time.Millisecond, 10 * time.Millisecond
	before := func(outage, _ time.Duration) time.Duration { return retryAfter(outage) }
	gaveUp, gaveUpBefore, tries, triesBefore := 0, 0, 0, 0
	returns := map[time.Duration]int{}
	for first := time.Duration(0); first < outage; first += interval {
		at, ok := triesOf(first, outage, retryAfterWithin)
		tries += len(at)
		if !ok {
			gaveUp++
		}
		// Two whole seconds after its first call a caller has time for a try.
		qt.Check(t, ok, qt.Equals, first+2*time.Second >= outage, qt.Commentf("first call at %v, tries at %v", first, at))
		if ok && first >= leaderWait {
			returns[at[len(at)-1].Truncate(interval)]++
		}
		at, ok = triesOf(first, outage, before)
		triesBefore += len(at)
		if !ok {
			gaveUpBefore++
		}
	}
	for at, n := range returns {
		// The arrivals of the two seconds before the end return within one second.
		qt.Check(t, n <= 2, qt.IsTrue, qt.Commentf("%d callers return at %v", n, at))
	}
	callers := int(outage / interval)
	qt.Check(t, gaveUpBefore, qt.Equals, callers)
	t.Logf("of %d callers %d gave up, %d with the delay of callers without a deadline; %d and %d tries", callers, gaveUp, gaveUpBefore, tries, triesBefore)
}

// TestRetryAfterWithin checks the delay against the time that the caller has left, of
// which it must use no more than there is, and against the bounds of all delays.
func TestRetryAfterWithin(t *testing.T) {
	for outage := time.Duration(0); outage < 20*time.Second; outage += 300 * time.Millisecond {
		usual := retryAfter(outage)
		for left := time.Duration(0); left < 20*time.Second; left += 50 * time.Millisecond {
			d := retryAfterWithin(outage, left)
			if left < time.Second {
				qt.Check(t, d, qt.Equals, usual)
				continue
			}
			qt.Check(t, d >= time.Second && d <= usual && d.Truncate(time.Second) <= left, qt.IsTrue, qt.Commentf("outage %v, left %v: %v", outage, left, d))
		}
	}
}

// TestRefusalsNameTheDelayOfTheirCaller guards against calls whose contexts end by a
// limit of this process, as those of workers and operators, and that return sooner for it.
// All are refused without waiting.
func TestRefusalsNameTheDelayOfTheirCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCell()
		for i := range fakeControls {
			f.refusing[controlAddr(i)] = true
		}
		c := f.newClient()
		submitEvery(c, 100*time.Millisecond, 500*time.Millisecond)
		for _, q := range []struct {
			left   time.Duration
			caller bool
			want   time.Duration
		}{
			{2850 * time.Millisecond, true, time.Second},
			{1850 * time.Millisecond, true, time.Second},
			{850 * time.Millisecond, true, minRetryAfter},
			{2850 * time.Millisecond, false, minRetryAfter},
		} {
			ctx, cancel := context.WithTimeout(context.Background(), q.left)
			defer cancel()
			if q.caller {
				ctx = WithCallerDeadline(ctx)
			}
			start := time.Now()
			_, err := c.Submit(ctx, &SubmitRequest{})
			qt.Check(t, time.Since(start), qt.Equals, time.Duration(0))
			r := verdict.FromError(err)
			qt.Check(t, r.Verdict, qt.Equals, verdict.NotRun)
			qt.Check(t, r.RetryAfterMillis, qt.Equals, q.want.Milliseconds(), qt.Commentf("%v left, a caller's deadline: %v", q.left, q.caller))
		}
		time.Sleep(lookupRounds*lookupInterval + pingTimeout)
	})
}
