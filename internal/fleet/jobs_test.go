package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

func batchSpec(id model.JobID) model.JobSpec {
	return model.JobSpec{
		ID: id, Workspace: "shop", Class: model.ClassBatch, Tasks: 1,
		Size: model.Resources{MilliCPU: 1000, MemoryMB: 100}, RunMillis: 1000,
	}
}

func owners(dcs ...model.DCID) []model.DCID { return dcs }

func TestSubmitIsIdempotent(t *testing.T) {
	f := newConfiguredFixture(t)
	submit := &Command{SubmitJob: &SubmitJob{Spec: batchSpec("j1"), Owners: owners("dc1")}}
	first := f.ok(submit)
	qt.Assert(t, first.Duplicate, qt.IsFalse)
	resubmit := &Command{SubmitJob: &SubmitJob{Spec: batchSpec("j1"), Owners: owners("dc2")}}
	again := f.ok(resubmit)
	qt.Assert(t, again.Duplicate, qt.IsTrue)
	qt.Assert(t, again.Job.Owners, qt.DeepEquals, owners("dc1"))
	other := batchSpec("j1")
	other.Tasks = 2
	_, refusal := f.do(&Command{SubmitJob: &SubmitJob{Spec: other, Owners: owners("dc1", "dc1")}})
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonConflict)
	qt.Assert(t, f.state.JobsOwnedBy("dc1"), qt.HasLen, 1)
}

func TestSubmitRefusals(t *testing.T) {
	f := newConfiguredFixture(t)
	cases := []struct {
		name string
		edit func(*SubmitJob)
		want verdict.Reason
		text string
	}{
		{"workspace", func(c *SubmitJob) { c.Spec.Workspace = "nobody" }, verdict.ReasonUnknownWorkspace, "nobody"},
		{"id", func(c *SubmitJob) { c.Spec.ID = "a.b" }, verdict.ReasonBadRequest, `"id"`},
		{"class", func(c *SubmitJob) { c.Spec.Class = "x" }, verdict.ReasonBadRequest, `"class"`},
		{"tasks", func(c *SubmitJob) { c.Spec.Tasks = 0 }, verdict.ReasonBadRequest, `"tasks"`},
		{"size", func(c *SubmitJob) { c.Spec.Size = model.Resources{} }, verdict.ReasonBadRequest, `"size"`},
		{"too big", func(c *SubmitJob) { c.Spec.Size.MilliCPU = 17_000 }, verdict.ReasonNeverFits, "milli_cpu"},
		{"gang", func(c *SubmitJob) {
			c.Spec.Class, c.Spec.Tasks, c.Owners = model.ClassGang, 20, make([]model.DCID, 20)
		}, verdict.ReasonNeverFits, "the gang needs"},
		{"place", func(c *SubmitJob) { c.Spec.DataCentres = owners("dc9") }, verdict.ReasonBadRequest, "dc9"},
		{"owner", func(c *SubmitJob) { c.Owners = owners("dc9") }, verdict.ReasonBadRequest, "dc9"},
		{"owners", func(c *SubmitJob) { c.Owners = nil }, verdict.ReasonBadRequest, "0 owners"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			submit := &SubmitJob{Spec: batchSpec("j1"), Owners: owners("dc1")}
			c.edit(submit)
			_, refusal := f.do(&Command{SubmitJob: submit})
			qt.Assert(t, refusal.Reason, qt.Equals, c.want)
			qt.Assert(t, refusal.Message, qt.Contains, c.text)
			qt.Assert(t, refusal.Verdict, qt.Equals, verdict.NotRun)
		})
	}
}

func TestQueuedJobsAreBounded(t *testing.T) {
	f := newConfiguredFixture(t)
	submit := func(id model.JobID) *verdict.Refusal {
		spec := batchSpec(id)
		spec.Workspace = "vets"
		_, refusal := f.do(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners("dc1")}})
		return refusal
	}
	assertAccepted(t, submit("a"))
	assertAccepted(t, submit("b"))
	refusal := submit("c")
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonOverload)
	qt.Assert(t, refusal.DecidedBy, qt.Contains, "workspace vets")
	f.ok(&Command{FinishJobs: &FinishJobs{[]FinishedJob{{Job: "a", Outcome: model.OutcomeSucceeded}}}})
	assertAccepted(t, submit("c"))
}

func TestReassignmentStaysInAllowedDataCentres(t *testing.T) {
	f := newConfiguredFixture(t)
	spec := batchSpec("j1")
	spec.DataCentres = owners("dc1", "dc2")
	f.ok(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners("dc1")}})
	move := &ReassignTasks{Job: "j1", From: "dc1", To: "dc3", Tasks: []ReassignedTask{{Index: 0}}}
	_, refusal := f.do(&Command{ReassignTasks: move})
	qt.Assert(t, refusal.Message, qt.Contains, "may not run in data centre dc3")
	move.To = "dc2"
	f.ok(&Command{ReassignTasks: move})
}

// TestFinishedJobsAreCompacted checks that a finished job keeps only what duplicate
// submissions and status requests need.
func TestFinishedJobsAreCompacted(t *testing.T) {
	f := newConfiguredFixture(t)
	spec := batchSpec("j1")
	spec.Tasks, spec.Payload = 4, "some text"
	submit := &Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners("dc2", "dc1", "dc2", "dc3")}}
	f.ok(submit)
	qt.Assert(t, f.state.jobs.payloadBytes, qt.Equals, 9)
	f.ok(&Command{FinishJobs: &FinishJobs{[]FinishedJob{{Job: "j1", Outcome: model.OutcomeSucceeded}}}})
	job, _ := f.state.Job("j1")
	qt.Assert(t, job.Spec.Payload, qt.Equals, "")
	qt.Assert(t, job.Owners, qt.DeepEquals, owners("dc2", "dc1", "dc3"))
	qt.Assert(t, f.ok(submit).Duplicate, qt.IsTrue)
	qt.Assert(t, f.state.jobs.tasks+f.state.jobs.payloadBytes, qt.Equals, 0)
}

// TestSubmitIsRefusedAtCapacity checks the total bounds on tasks and payload of
// unfinished jobs.
func TestSubmitIsRefusedAtCapacity(t *testing.T) {
	f := newConfiguredFixture(t)
	for _, fill := range []func(){
		func() { f.state.jobs.tasks = maxUnfinishedTasks },
		func() { f.state.jobs.tasks, f.state.jobs.payloadBytes = 0, maxTotalPayloadBytes },
	} {
		fill()
		spec := batchSpec("j1")
		spec.Payload = "x"
		_, refusal := f.do(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners("dc1")}})
		qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonOverload)
		qt.Assert(t, refusal.Retry, qt.IsTrue)
	}
}

func TestJobFinishesWhenAllPartsEnd(t *testing.T) {
	f := newConfiguredFixture(t)
	spec := batchSpec("j1")
	spec.Tasks = 3
	f.ok(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners("dc1", "dc2", "dc1")}})
	finish := func(dc model.DCID, o model.Outcome) {
		f.ok(&Command{FinishJobs: &FinishJobs{[]FinishedJob{{Job: "j1", DC: dc, Outcome: o}}}})
	}
	finish("dc2", model.OutcomeFailed)
	qt.Assert(t, f.state.JobsOwnedBy("dc2"), qt.HasLen, 0)
	f.ok(&Command{ReassignTasks: &ReassignTasks{Job: "j1", From: "dc1", To: "dc2", Tasks: []ReassignedTask{{Index: 2}}}})
	qt.Assert(t, f.state.JobsOwnedBy("dc2"), qt.HasLen, 1)
	_, refusal := f.do(&Command{ReassignTasks: &ReassignTasks{Job: "j1", From: "dc1", To: "dc3", Tasks: []ReassignedTask{{Index: 0}, {Index: 2}}}})
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonConflict)
	finish("dc1", model.OutcomeSucceeded)
	job, _ := f.state.Job("j1")
	qt.Assert(t, job.Finished(), qt.IsFalse)
	finish("dc2", model.OutcomeSucceeded)
	job, _ = f.state.Job("j1")
	qt.Assert(t, job.Outcome, qt.Equals, model.OutcomeFailed)
	qt.Assert(t, f.state.ActiveJobs(), qt.HasLen, 0)
}

// TestLateOwnerCommandsAreFenced delivers an outcome and a reassignment a second time,
// after tasks have moved to the owner and back.
func TestLateOwnerCommandsAreFenced(t *testing.T) {
	f := newConfiguredFixture(t)
	spec := batchSpec("j1")
	spec.Tasks = 2
	first := f.ok(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners("dc1", "dc2")}}).Job.Assignment
	ended := FinishedJob{Job: "j1", DC: "dc1", Outcome: model.OutcomeSucceeded, Assignment: first}
	f.ok(&Command{FinishJobs: &FinishJobs{[]FinishedJob{ended}}})
	move := &ReassignTasks{Job: "j1", From: "dc2", To: "dc1", Tasks: []ReassignedTask{{Index: 1}}, Assignment: first}
	f.ok(&Command{ReassignTasks: move})

	f.ok(&Command{FinishJobs: &FinishJobs{[]FinishedJob{ended}}})
	job, _ := f.state.Job("j1")
	qt.Assert(t, job.Finished(), qt.IsFalse)
	qt.Assert(t, job.OwnedBy("dc1"), qt.IsTrue)

	f.ok(&Command{ReassignTasks: &ReassignTasks{Job: "j1", From: "dc1", To: "dc2", Tasks: move.Tasks, Assignment: job.Assignment}})
	_, refusal := f.do(&Command{ReassignTasks: move})
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonConflict)
	f.state.groups["dc2"] = &Group{DC: "dc2", Generation: 2}
	older := *move
	older.Assignment, older.Generation = 0, 1
	_, refusal = f.do(&Command{ReassignTasks: &older})
	qt.Assert(t, refusal.Message, qt.Contains, "generation 2")
}

func TestCancelReachesOwnersOnly(t *testing.T) {
	f := newConfiguredFixture(t)
	f.ok(&Command{SubmitJob: &SubmitJob{Spec: batchSpec("j1"), Owners: owners("dc1")}})
	_, refusal := f.do(&Command{CancelJobs: &CancelJobs{IDs: []model.JobID{"j1"}, Workspace: "vets"}})
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonUnknownJob)
	f.ok(&Command{CancelJobs: &CancelJobs{IDs: []model.JobID{"j1"}, Workspace: "shop"}})
	qt.Assert(t, f.state.CancelledIn("dc1"), qt.DeepEquals, []model.JobID{"j1"})
	qt.Assert(t, f.state.CancelledIn("dc2"), qt.HasLen, 0)
}

// TestExpiredJobIsNotAcceptedAgain submits a job again whose outcome is no longer kept.
func TestExpiredJobIsNotAcceptedAgain(t *testing.T) {
	f := newConfiguredFixture(t)
	f.ok(&Command{SubmitJob: &SubmitJob{Spec: batchSpec("j1"), Owners: owners("dc1")}})
	f.ok(&Command{FinishJobs: &FinishJobs{[]FinishedJob{{Job: "j1", Outcome: model.OutcomeSucceeded}}}})
	f.state.jobs.finished = nil
	f.state.jobs.expire("j1")
	_, refusal := f.do(&Command{SubmitJob: &SubmitJob{Spec: batchSpec("j1"), Owners: owners("dc1")}})
	qt.Assert(t, refusal.Verdict, qt.Equals, verdict.Done)
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonRecordExpired)
}

func TestAssignOwners(t *testing.T) {
	f := newConfiguredFixture(t)
	f.ok(&Command{SubmitJob: &SubmitJob{Spec: batchSpec("busy"), Owners: owners("dc1")}})
	cases := []struct {
		class model.Class
		tasks int
		want  []model.DCID
	}{
		{model.ClassService, 4, owners("dc1", "dc2", "dc3", "dc1")},
		{model.ClassBatch, 4, owners("dc2", "dc3", "dc1", "dc2")},
		{model.ClassUrgent, 1, owners("dc2")},
		{model.ClassGang, 3, owners("dc2", "dc2", "dc2")},
	}
	for _, c := range cases {
		spec := batchSpec("next")
		spec.Class, spec.Tasks = c.class, c.tasks
		got, refusal := f.state.AssignOwners(&spec)
		assertAccepted(t, refusal)
		qt.Check(t, got, qt.DeepEquals, c.want, qt.Commentf("%s", c.class))
	}
	f.ok(&Command{Header: f.header(), SetDataCentre: &SetDataCentre{DC: "dc2", Out: true}})
	spec := batchSpec("next")
	got, _ := f.state.AssignOwners(&spec)
	qt.Assert(t, got, qt.DeepEquals, owners("dc3"))
	spec.DataCentres = owners("dc2")
	_, refusal := f.state.AssignOwners(&spec)
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonDataCentreOut)
}
