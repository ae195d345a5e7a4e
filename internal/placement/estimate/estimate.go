// Package estimate learns, for each workload, how much declared sizes and run
// times differ from what tasks really use. It is pure and uses only whole
// numbers, so that all members compute the same result and Estimates can be part
// of the replicated state.
//
// An estimate is the smoothed mean of the ratio of actual to declared amounts.
// For sizes the smoothed deviation is added, since a size that is too small
// does harm (V. Jacobson, Congestion Avoidance and Control, SIGCOMM 1988).
package estimate

import (
	"cmp"
	"fmt"
	"slices"

	"kumquatwing/internal/model"
)

// Ratios are in thousandths of the declared amount.
const (
	// ratioOne is the ratio of an amount that was declared correctly.
	ratioOne = 1000
	// MinRatio and MaxRatio bound every correction.
	MinRatio = 250
	MaxRatio = 4000
	// ratioStep is the precision of corrections. Small changes of a ratio must
	// not change the sizes of waiting tasks, for which capacity may be
	// reserved, and similar jobs should request the same capacity.
	ratioStep = 125
	// MinSamples is how many tasks of a workload must have ended before its
	// declarations are corrected.
	MinSamples = 3
	// MaxWorkloads bounds the workloads in Estimates. The one that has had no
	// sample for the longest time is removed first.
	MaxWorkloads = 2000
	// meanGain and deviationGain are the inverse weights of a new sample in the
	// mean and the deviation.
	meanGain      = 8
	deviationGain = 4
	// raisedCPUDivisor bounds a raised CPU size to the CPU of the largest
	// worker, divided by it. A task that gets less CPU than it could use is
	// throttled but still runs, while one that needs a whole worker may wait
	// very long.
	raisedCPUDivisor = 2
)

// Key identifies a workload of a workspace.
type Key struct {
	Workspace model.WorkspaceID `msgpack:"t"`
	Workload  model.Workload    `msgpack:"w"`
}

func compareKeys(a, b Key) int {
	if d := cmp.Compare(a.Workspace, b.Workspace); d != 0 {
		return d
	}
	return cmp.Compare(a.Workload, b.Workload)
}

// Ratio is the smoothed ratio of actual to declared amounts, in thousandths.
type Ratio struct {
	Samples   int64 `msgpack:"n"`
	Mean      int64 `msgpack:"m"`
	Deviation int64 `msgpack:"d"`
}

// add adds a sample, with its ratio limited to MinRatio and MaxRatio. It
// ignores samples without a declared amount or with a negative actual one.
func (r *Ratio) add(actual, declared int64) {
	if declared <= 0 || actual < 0 {
		return
	}
	sample := min(max(actual*ratioOne/declared, MinRatio), MaxRatio)
	r.Samples++
	if r.Samples == 1 {
		r.Mean = sample
		return
	}
	diff := sample - r.Mean
	gain := min(r.Samples, meanGain)
	r.Mean += diff / gain
	r.Deviation += (max(diff, -diff) - r.Deviation) / min(r.Samples, deviationGain)
}

// Entry holds the ratios of one workload.
type Entry struct {
	Key    Key   `msgpack:"k"`
	Run    Ratio `msgpack:"r"`
	CPU    Ratio `msgpack:"c"`
	Memory Ratio `msgpack:"m"`
	// Seen is the value of Estimates.Count when the workload last got a
	// sample.
	Seen uint64 `msgpack:"s"`
}

// Estimates holds the entries, sorted by key. The zero value is ready to use.
type Estimates struct {
	Entries []Entry `msgpack:"e"`
	Count   uint64  `msgpack:"n"`
}

// Sample is what a task that has ended used, and what was declared for it.
type Sample struct {
	Declared       model.Resources
	DeclaredMillis int64
	// Peak is the highest usage that was reported for the task.
	Peak model.Resources
	// RanMillis is the task's run time over all attempts, each counted from its
	// checkpoint; 0 for a task that did not complete.
	RanMillis int64
}

// Add adds a sample of a task of the workload k.
func (es *Estimates) Add(k Key, s Sample) {
	es.Count++
	e := es.entry(k)
	e.Seen = es.Count
	e.CPU.add(s.Peak.MilliCPU, s.Declared.MilliCPU)
	e.Memory.add(s.Peak.MemoryMB, s.Declared.MemoryMB)
	if s.RanMillis > 0 {
		e.Run.add(s.RanMillis, s.DeclaredMillis)
	}
}

// entry returns the workload's entry, which it adds if there is none.
func (es *Estimates) entry(k Key) *Entry {
	i, ok := es.find(k)
	if ok {
		return &es.Entries[i]
	}
	if len(es.Entries) >= MaxWorkloads {
		es.removeOldest()
		i, _ = es.find(k)
	}
	es.Entries = slices.Insert(es.Entries, i, Entry{Key: k})
	return &es.Entries[i]
}

func (es *Estimates) find(k Key) (int, bool) {
	return slices.BinarySearchFunc(es.Entries, k, func(e Entry, k Key) int { return compareKeys(e.Key, k) })
}

// removeOldest removes the entry that has had no sample for the longest time.
func (es *Estimates) removeOldest() {
	oldest := 0
	for i := range es.Entries {
		if es.Entries[i].Seen < es.Entries[oldest].Seen {
			oldest = i
		}
	}
	es.Entries = slices.Delete(es.Entries, oldest, oldest+1)
}

// Correction is the size and run time to plan with instead of the declared
// ones.
type Correction struct {
	Size      model.Resources
	RunMillis int64
	// Detail explains the correction for people; empty if nothing was
	// corrected.
	Detail string
}

// Correct corrects a declared size and run time. A size is only ever raised, by
// no more than MaxRatio, and only while it fits one of workers, the sizes of
// the existing workers; if not even the declared size fits one, it stays as it
// is. A run time is corrected in both directions within MinRatio and MaxRatio.
func (es *Estimates) Correct(k Key, size model.Resources, runMillis int64, workers []model.Resources) Correction {
	c := Correction{Size: size, RunMillis: runMillis}
	i, ok := es.find(k)
	if !ok {
		return c
	}
	e := &es.Entries[i]
	c.Size = e.raise(size, workers)
	if e.Run.Samples >= MinSamples {
		c.RunMillis = runMillis * roundUp(e.Run.Mean) / ratioOne
	}
	if c.Size != size || c.RunMillis != runMillis {
		c.Detail = fmt.Sprintf("declared %s for %d ms; planned with %s for %d ms after %d ended tasks of the workload",
			size, runMillis, c.Size, c.RunMillis, max(e.Run.Samples, e.CPU.Samples))
	}
	return c
}

// raise returns the size with CPU and memory raised to their estimates, or only
// one of them if no worker is large enough for both, or size itself.
func (e *Entry) raise(size model.Resources, workers []model.Resources) model.Resources {
	raised := size
	raised.MilliCPU = max(size.MilliCPU, min(e.CPU.upper(size.MilliCPU), largestCPU(workers)/raisedCPUDivisor))
	raised.MemoryMB = e.Memory.upper(size.MemoryMB)
	for _, candidate := range []model.Resources{
		raised,
		{MilliCPU: size.MilliCPU, MemoryMB: raised.MemoryMB, Accelerators: size.Accelerators},
		{MilliCPU: raised.MilliCPU, MemoryMB: size.MemoryMB, Accelerators: size.Accelerators},
	} {
		if slices.ContainsFunc(workers, candidate.Fits) {
			return candidate
		}
	}
	return size
}

// largestCPU returns the most CPU that any worker has.
func largestCPU(workers []model.Resources) int64 {
	var most int64
	for _, w := range workers {
		most = max(most, w.MilliCPU)
	}
	return most
}

// roundUp rounds a ratio up to a multiple of ratioStep.
func roundUp(ratio int64) int64 {
	return (ratio + ratioStep - 1) / ratioStep * ratioStep
}

// upper returns the declared amount times the mean ratio plus its deviation, or
// the declared amount if that is more.
func (r *Ratio) upper(declared int64) int64 {
	if r.Samples < MinSamples {
		return declared
	}
	ratio := min(roundUp(r.Mean+r.Deviation), MaxRatio)
	return max(declared, declared*ratio/ratioOne)
}
