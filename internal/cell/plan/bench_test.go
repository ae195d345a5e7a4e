package plan

import (
	"fmt"
	"testing"
	"time"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/model"
)

// busyCell returns a snapshot of a busy cell: workers with little free capacity,
// gangs for which one fifth of them are eligible, and small steps.
func busyCell(workers, gangs, small int) *Input {
	in := input(nil)
	in.IdleAdvisers, in.AllAdvisers = 10, 40
	for i := range workers {
		w := worker(fmt.Sprintf("w%04d", i), int64(i%5))
		for v := range 3 {
			w.Victims = append(w.Victims, Victim{
				Task: cell.TaskKey{Job: cell.JobID(fmt.Sprint("v", i)), Index: v}, Run: 1,
				Need: model.Resources{MilliCPU: 2000, MemoryMB: 1000}, Priority: 2, LostWork: float64(500 * (v + 1)),
			})
		}
		in.Workers = append(in.Workers, w)
	}
	for g := range gangs {
		p := withAdvice(pending(fmt.Sprintf("g%03d", g), 16, 5, 1, true))
		for i := g % 3; i < workers; i += 5 {
			id := in.Workers[i].ID
			p.Advice.Eligible[id] = Ticket{Token: "t", ExpiresAt: testNow.Add(time.Second)}
			p.Advice.Evaluated[id] = true
		}
		in.Pending = append(in.Pending, p)
	}
	for j := range small {
		p := withAdvice(pending(fmt.Sprintf("s%03d", j), 3, 2, 0, false))
		for i := j % 7; i < workers; i += 40 {
			p.Advice.Eligible[in.Workers[i].ID] = Ticket{Token: "t", ExpiresAt: testNow.Add(time.Second)}
		}
		in.Pending = append(in.Pending, p)
	}
	return in
}

// BenchmarkCompute measures the computation of one plan for a busy cell, with and
// without gangs, in both orders.
func BenchmarkCompute(b *testing.B) {
	for _, c := range []struct{ workers, gangs, small int }{{48, 5, 10}, {350, 0, 20}, {350, 10, 20}, {350, 60, 20}, {1100, 0, 200}, {1100, 60, 200}, {1100, 150, 200}, {3000, 150, 200}} {
		for order, name := range map[Order]string{LeastCost: "least-cost", LatestStart: "latest-start"} {
			b.Run(fmt.Sprintf("workers=%d/gangs=%d/small=%d/%s", c.workers, c.gangs, c.small, name), func(b *testing.B) {
				b.ReportAllocs()
				for range b.N {
					b.StopTimer()
					in := busyCell(c.workers, c.gangs, c.small)
					in.Order = order
					b.StartTimer()
					Compute(in)
				}
			})
		}
	}
}
