package systems_test

import (
	"fmt"
	"testing"
	"time"

	"kumquatwing/internal/model"
	"kumquatwing/internal/systems"
	"kumquatwing/internal/work"
)

// BenchmarkCancelManyJobs cancels 10,000 waiting jobs at once while other tasks run.
// It reports the number of ticks that this takes and the duration of the longest
// one, including the time to apply its command.
func BenchmarkCancelManyJobs(b *testing.B) {
	const cancelled = 10_000
	for b.Loop() {
		s, v := newLoadedState(73, 1000)
		for i := range cancelled {
			spec := v.Jobs[0].Spec
			spec.ID, spec.Tasks = model.JobID(fmt.Sprintf("wave-%05d", i)), 1
			spec.Size = model.Resources{MilliCPU: 16_000, MemoryMB: 32_768}
			v.Jobs = append(v.Jobs, systems.AssignedJob{Spec: spec, Assignment: 2, Cancelled: true})
		}
		v.Revision = 2
		admit := &work.Command{FleetRevision: 2}
		for i := range cancelled {
			admit.Admit = append(admit.Admit, work.Admit{Spec: v.Jobs[len(v.Jobs)-cancelled+i].Spec, Assignment: 2})
		}
		s.Apply(3500, admit)
		in := tickInput(s, v)
		ticks, longest := 0, time.Duration(0)
		for {
			start := time.Now()
			out := systems.Tick(in)
			s.Apply(in.NowMillis, out.Command)
			longest = max(longest, time.Since(start))
			if len(out.Command.Cancel) == 0 {
				break
			}
			ticks++
		}
		b.ReportMetric(float64(ticks), "ticks")
		b.ReportMetric(float64(longest.Microseconds())/1000, "longest-ms")
	}
}
