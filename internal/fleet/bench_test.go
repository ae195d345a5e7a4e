package fleet

import (
	"fmt"
	"testing"

	"kumquatwing/internal/model"
)

// crowded returns a state with unfinished jobs of three tasks each, spread over
// the data centres.
func crowded(b *testing.B, jobs int) *fixture {
	f := newFixture(b)
	d := declared(1 << 30)
	f.apply(d)
	for i := range jobs {
		spec := batch(model.JobID(fmt.Sprint("job-", i)))
		spec.Tasks = 3
		dc := places[i%len(places)]
		f.ok(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners(dc, dc, dc)}})
	}
	return f
}

// BenchmarkJobs measures what each submission costs at the design size of
// 22,000 tasks.
func BenchmarkJobs(b *testing.B) {
	f := crowded(b, 7300)
	spec := batch("next")
	b.Run("owned", func(b *testing.B) {
		for b.Loop() {
			f.state.JobsOwnedBy("dc2")
		}
	})
	b.Run("choose", func(b *testing.B) {
		for b.Loop() {
			f.state.SpreadOwners(&spec)
		}
	})
	b.Run("submit", func(b *testing.B) {
		i := 0
		for b.Loop() {
			spec.ID = model.JobID(fmt.Sprint("new-", i))
			i++
			f.ok(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners("dc1")}})
			f.ok(&Command{FinishJobs: &FinishJobs{[]FinishedJob{{Job: spec.ID, DC: "dc1", Outcome: model.OutcomeSucceeded}}}})
		}
	})
}
