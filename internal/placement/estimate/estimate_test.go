package estimate

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/model"
)

var (
	key      = Key{"x", "tables"}
	declared = model.Resources{MilliCPU: 1000, MemoryMB: 1000}
	workers  = []model.Resources{{MilliCPU: 16_000, MemoryMB: 3000}}
)

// sampleOf returns a sample of a task that used the given thousandths of its
// declared size and run time.
func sampleOf(cpu, memory, run int64) Sample {
	return Sample{
		Declared: declared, DeclaredMillis: 10_000, RanMillis: 10 * run,
		Peak: model.Resources{MilliCPU: cpu, MemoryMB: memory},
	}
}

func TestCorrect(t *testing.T) {
	cases := []struct {
		name    string
		samples []Sample
		size    model.Resources
		run     int64
	}{
		{"no samples", nil, declared, 10_000},
		{"too few samples", []Sample{sampleOf(4000, 4000, 4000), sampleOf(4000, 4000, 4000)}, declared, 10_000},
		{"steady", []Sample{sampleOf(2000, 2000, 3000), sampleOf(2000, 2000, 3000), sampleOf(2000, 2000, 3000)}, model.Resources{MilliCPU: 2000, MemoryMB: 2000}, 30_000},
		{"sizes are never lowered", []Sample{sampleOf(300, 300, 500), sampleOf(300, 300, 500), sampleOf(300, 300, 500)}, declared, 5000},
		{"bounded", []Sample{sampleOf(90_000, 100, 90_000), sampleOf(90_000, 100, 90_000), sampleOf(90_000, 100, 90_000)}, model.Resources{MilliCPU: 4000, MemoryMB: 1000}, 40_000},
		{"memory is not raised beyond every worker", []Sample{sampleOf(2000, 4000, 1000), sampleOf(2000, 4000, 1000), sampleOf(2000, 4000, 1000)}, model.Resources{MilliCPU: 2000, MemoryMB: 1000}, 10_000},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var b Estimates
			for _, s := range tc.samples {
				b.Add(key, s)
			}
			c := b.Correct(key, declared, 10_000, workers)
			qt.Check(t, c.Size, qt.Equals, tc.size)
			qt.Check(t, c.RunMillis, qt.Equals, tc.run)
			qt.Check(t, c.Detail != "", qt.Equals, c.Size != declared || c.RunMillis != 10_000)
		})
	}
}

func TestBookIsBoundedAndEncodes(t *testing.T) {
	var b Estimates
	for i := range MaxWorkloads + 10 {
		b.Add(Key{"x", model.Workload(fmt.Sprint(i))}, sampleOf(2000, 2000, 2000))
	}
	qt.Assert(t, b.Entries, qt.HasLen, MaxWorkloads)
	raw, err := msgpack.Marshal(&b)
	qt.Assert(t, err, qt.IsNil)
	var decoded Estimates
	qt.Assert(t, msgpack.Unmarshal(raw, &decoded), qt.IsNil)
	qt.Assert(t, decoded, qt.DeepEquals, b)
}
