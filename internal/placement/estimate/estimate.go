// Package estimate learns, per workload, how far declared sizes and run times
// are from what tasks really take. It is pure, uses whole numbers only, so that
// every member computes the same, and its Book can be kept as replicated state.
//
// The estimate is the smoothed mean of the ratios actual to declared, with the
// smoothed deviation added where too little would do harm (V. Jacobson,
// Congestion Avoidance and Control, SIGCOMM 1988).
package estimate

import (
	"cmp"
	"fmt"
	"slices"

	"kumquatwing/internal/model"
)

// Ratios are in thousandths of the declared amount.
const (
	whole = 1000
	// MinRatio and MaxRatio bound every correction.
	MinRatio = 250
	MaxRatio = 4000
	// ratioStep is the precision of corrections. A ratio that moves a little must
	// not change the sizes of waiting tasks, for which room may be reserved, and
	// like jobs should ask for like room.
	ratioStep = 125
	// MinSamples is how many ended tasks a workload needs before it is corrected.
	MinSamples = 3
	// MaxWorkloads bounds a Book; the one not seen for longest is forgotten.
	MaxWorkloads = 2000
	// meanGain and deviationGain are the inverse weights of a new sample.
	meanGain      = 8
	deviationGain = 4
	// maxRaisedPart bounds a raise in processors to this part of the largest
	// worker: a task can be throttled, but not split, and one that needs a whole
	// worker for itself may wait very long.
	maxRaisedPart = 2
)

// Key names a workload of a workspace.
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

// Ratio is the smoothed ratio of actual to declared.
type Ratio struct {
	Samples   int64 `msgpack:"n"`
	Mean      int64 `msgpack:"m"`
	Deviation int64 `msgpack:"d"`
}

// add takes in one sample; a declared amount of 0 says nothing.
func (r *Ratio) add(actual, declared int64) {
	if declared <= 0 || actual < 0 {
		return
	}
	sample := min(max(actual*whole/declared, MinRatio), MaxRatio)
	r.Samples++
	if r.Samples == 1 {
		r.Mean = sample
		return
	}
	miss := sample - r.Mean
	gain := min(r.Samples, meanGain)
	r.Mean += miss / gain
	r.Deviation += (max(miss, -miss) - r.Deviation) / min(r.Samples, deviationGain)
}

// Entry is what is known of one workload.
type Entry struct {
	Key    Key   `msgpack:"k"`
	Run    Ratio `msgpack:"r"`
	CPU    Ratio `msgpack:"c"`
	Memory Ratio `msgpack:"m"`
	// Seen is the Book's count of samples when the workload was last seen.
	Seen uint64 `msgpack:"s"`
}

// Book holds the entries, sorted by key. The zero value is ready to use.
type Book struct {
	Entries []Entry `msgpack:"e"`
	Count   uint64  `msgpack:"n"`
}

// Sample is what one task that ran to its end has taken.
type Sample struct {
	Declared       model.Resources
	DeclaredMillis int64
	// Peak is the most that the task was reported to use.
	Peak model.Resources
	// RanMillis is its run time over all attempts, from checkpoints on; 0 for a
	// task that did not run to its end.
	RanMillis int64
}

// Add takes in a sample.
func (b *Book) Add(k Key, s Sample) {
	b.Count++
	e := b.entry(k)
	e.Seen = b.Count
	e.CPU.add(s.Peak.MilliCPU, s.Declared.MilliCPU)
	e.Memory.add(s.Peak.MemoryMB, s.Declared.MemoryMB)
	if s.RanMillis > 0 {
		e.Run.add(s.RanMillis, s.DeclaredMillis)
	}
}

// entry finds or makes the workload's entry.
func (b *Book) entry(k Key) *Entry {
	i, ok := b.find(k)
	if ok {
		return &b.Entries[i]
	}
	if len(b.Entries) >= MaxWorkloads {
		b.forgetOldest()
		i, _ = b.find(k)
	}
	b.Entries = slices.Insert(b.Entries, i, Entry{Key: k})
	return &b.Entries[i]
}

func (b *Book) find(k Key) (int, bool) {
	return slices.BinarySearchFunc(b.Entries, k, func(e Entry, k Key) int { return compareKeys(e.Key, k) })
}

func (b *Book) forgetOldest() {
	oldest := 0
	for i := range b.Entries {
		if b.Entries[i].Seen < b.Entries[oldest].Seen {
			oldest = i
		}
	}
	b.Entries = slices.Delete(b.Entries, oldest, oldest+1)
}

// Correction is what to plan with in place of what was declared.
type Correction struct {
	Size      model.Resources
	RunMillis int64
	// Detail says what was corrected and on what ground; empty if nothing was.
	Detail string
}

// Correct corrects a declaration. A size is only ever raised, by no more than
// MaxRatio, and only while it fits one of workers, the sizes of the workers
// there are, unless the declared one fits none either; a run time is corrected
// both ways within MinRatio and MaxRatio.
func (b *Book) Correct(k Key, size model.Resources, runMillis int64, workers []model.Resources) Correction {
	c := Correction{Size: size, RunMillis: runMillis}
	i, ok := b.find(k)
	if !ok {
		return c
	}
	e := &b.Entries[i]
	c.Size = e.raise(size, workers)
	if e.Run.Samples >= MinSamples {
		c.RunMillis = runMillis * inSteps(e.Run.Mean) / whole
	}
	if c.Size != size || c.RunMillis != runMillis {
		c.Detail = fmt.Sprintf("declared %s for %d ms; planned with %s for %d ms after %d ended tasks of the workload",
			size, runMillis, c.Size, c.RunMillis, max(e.Run.Samples, e.CPU.Samples))
	}
	return c
}

// raise raises each dimension for itself, as far as a worker has room.
func (e *Entry) raise(size model.Resources, workers []model.Resources) model.Resources {
	raised := size
	raised.MilliCPU = max(size.MilliCPU, min(e.CPU.upper(size.MilliCPU), largestCPU(workers)/maxRaisedPart))
	raised.MemoryMB = e.Memory.upper(size.MemoryMB)
	for _, try := range []model.Resources{
		raised,
		{MilliCPU: size.MilliCPU, MemoryMB: raised.MemoryMB, Accelerators: size.Accelerators},
		{MilliCPU: raised.MilliCPU, MemoryMB: size.MemoryMB, Accelerators: size.Accelerators},
	} {
		if slices.ContainsFunc(workers, try.Fits) {
			return try
		}
	}
	return size
}

// largestCPU is the most processors that any worker has.
func largestCPU(workers []model.Resources) int64 {
	var most int64
	for _, w := range workers {
		most = max(most, w.MilliCPU)
	}
	return most
}

// inSteps rounds a ratio up.
func inSteps(ratio int64) int64 {
	return (ratio + ratioStep - 1) / ratioStep * ratioStep
}

// upper is the declared amount, or the mean with the deviation if that is more.
func (r *Ratio) upper(declared int64) int64 {
	if r.Samples < MinSamples {
		return declared
	}
	ratio := min(inSteps(r.Mean+r.Deviation), MaxRatio)
	return max(declared, declared*ratio/whole)
}
