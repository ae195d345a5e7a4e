package fleet

import (
	"fmt"
	"testing"

	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
)

// newLoadedFixture returns a fixture with unfinished jobs of three tasks each,
// distributed over the data centres.
func newLoadedFixture(b *testing.B, jobs int) *fixture {
	f := newFixture(b)
	d := testDeclarations(1 << 30)
	f.apply(d)
	for i := range jobs {
		spec := batchSpec(model.JobID(fmt.Sprint("job-", i)))
		spec.Tasks = 3
		dc := testDCs[i%len(testDCs)]
		f.ok(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners(dc, dc, dc)}})
	}
	return f
}

// BenchmarkJobs measures the operations of a submission at the design size of
// 22,000 tasks.
func BenchmarkJobs(b *testing.B) {
	f := newLoadedFixture(b, 7300)
	spec := batchSpec("next")
	b.Run("owned", func(b *testing.B) {
		for b.Loop() {
			f.state.JobsOwnedBy("dc2")
		}
	})
	b.Run("choose", func(b *testing.B) {
		for b.Loop() {
			f.state.AssignOwners(&spec)
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

// BenchmarkGrants measures one request and a read of all grants at the design size:
// 220 workspaces in 22 data centres.
func BenchmarkGrants(b *testing.B) {
	f := newFixture(b)
	d := testDeclarations(1 << 20)
	for i := range 19 {
		d.DataCentres = append(d.DataCentres, settings.DataCentre{ID: model.DCID(fmt.Sprintf("x%02d", i)), Region: "r"})
	}
	for i := range 218 {
		d.Workspaces = append(d.Workspaces, model.Workspace{ID: model.WorkspaceID(fmt.Sprintf("t%03d", i)), Share: 1, Limit: d.Workspaces[0].Limit})
	}
	f.apply(d)
	request := func(workspace model.WorkspaceID, dc model.DCID, milliCPU int64) {
		want := model.Resources{MilliCPU: milliCPU}
		f.ok(&Command{RequestGrant: &RequestGrant{Workspace: workspace, DC: dc, Demand: want}})
	}
	for _, w := range f.state.Workspaces() {
		for _, dc := range f.state.DataCentres() {
			request(w.ID, dc.ID, 1<<18)
		}
	}
	b.Run("request", func(b *testing.B) {
		i := int64(0)
		for b.Loop() {
			i++
			request("t100", "x10", 1<<18+i%100)
		}
	})
	b.Run("look", func(b *testing.B) {
		for b.Loop() {
			for _, w := range f.state.Workspaces() {
				for _, dc := range f.state.DataCentres() {
					f.state.Grant(w.ID, dc.ID)
				}
			}
		}
	})
}
