package estimate

import (
	"cmp"
	"slices"
)

// MaxRunTimes bounds the workloads in RunTimes. The one that has had no sample for the
// longest time is removed first.
const MaxRunTimes = 256

// RunTimeEntry holds the regression of one workload.
type RunTimeEntry struct {
	Workload string
	Fit      Regression
	// Seen is the value of RunTimes.Count when the workload last got a sample.
	Seen uint64
}

// RunTimes holds the regressions of several workloads, sorted by name. It is a pure
// function of its samples, so that it can be part of the replicated state. The zero
// value is ready to use.
type RunTimes struct {
	Entries []RunTimeEntry
	Count   uint64
}

// Add adds a sample of a workload, with the times in milliseconds. It ignores samples
// without a declared or an actual time.
func (rt *RunTimes) Add(workload string, declared, actual int64) {
	if declared <= 0 || actual <= 0 {
		return
	}
	i, ok := rt.find(workload)
	if !ok {
		if len(rt.Entries) >= MaxRunTimes {
			rt.removeOldest()
			i, _ = rt.find(workload)
		}
		rt.Entries = slices.Insert(rt.Entries, i, RunTimeEntry{Workload: workload})
	}
	rt.Count++
	rt.Entries[i].Seen = rt.Count
	rt.Entries[i].Fit.Add(declared, actual)
}

// Fit returns the regression of a workload, nil if it has no samples. The caller must
// not modify it.
func (rt *RunTimes) Fit(workload string) *Regression {
	if i, ok := rt.find(workload); ok {
		return &rt.Entries[i].Fit
	}
	return nil
}

// Predict returns the run time to expect in milliseconds; see Regression.Predict.
func (rt *RunTimes) Predict(workload string, declared int64) int64 {
	fit := rt.Fit(workload)
	if fit == nil {
		return declared
	}
	return fit.Predict(declared)
}

func (rt *RunTimes) find(workload string) (int, bool) {
	return slices.BinarySearchFunc(rt.Entries, workload, func(e RunTimeEntry, w string) int { return cmp.Compare(e.Workload, w) })
}

// removeOldest removes the workload that has had no sample for the longest time.
func (rt *RunTimes) removeOldest() {
	oldest := 0
	for i := range rt.Entries {
		if rt.Entries[i].Seen < rt.Entries[oldest].Seen {
			oldest = i
		}
	}
	rt.Entries = slices.Delete(rt.Entries, oldest, oldest+1)
}
