package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

func batch(id model.JobID) model.JobSpec {
	return model.JobSpec{
		ID: id, Workspace: "shop", Class: model.ClassBatch, Tasks: 1,
		Size: model.Resources{MilliCPU: 1000, MemoryMB: 100}, RunMillis: 1000,
	}
}

func owners(dcs ...model.DCID) []model.DCID { return dcs }

func TestSubmitIsIdempotent(t *testing.T) {
	f := started(t)
	submit := &Command{SubmitJob: &SubmitJob{Spec: batch("j1"), Owners: owners("dc1")}}
	first := f.ok(submit)
	qt.Assert(t, first.Repeat, qt.IsFalse)
	moved := &Command{SubmitJob: &SubmitJob{Spec: batch("j1"), Owners: owners("dc2")}}
	again := f.ok(moved)
	qt.Assert(t, again.Repeat, qt.IsTrue)
	qt.Assert(t, again.Job.Owners, qt.DeepEquals, owners("dc1"))
	other := batch("j1")
	other.Tasks = 2
	_, refusal := f.do(&Command{SubmitJob: &SubmitJob{Spec: other, Owners: owners("dc1", "dc1")}})
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonConflict)
	qt.Assert(t, f.state.JobsOwnedBy("dc1"), qt.HasLen, 1)
}

func TestSubmitRefusals(t *testing.T) {
	f := started(t)
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
			submit := &SubmitJob{Spec: batch("j1"), Owners: owners("dc1")}
			c.edit(submit)
			_, refusal := f.do(&Command{SubmitJob: submit})
			qt.Assert(t, refusal.Reason, qt.Equals, c.want)
			qt.Assert(t, refusal.Message, qt.Contains, c.text)
			qt.Assert(t, refusal.Verdict, qt.Equals, verdict.NotRun)
		})
	}
}

func TestQueuedJobsAreBounded(t *testing.T) {
	f := started(t)
	submit := func(id model.JobID) *verdict.Refusal {
		spec := batch(id)
		spec.Workspace = "vets"
		_, refusal := f.do(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners("dc1")}})
		return refusal
	}
	accepted(t, submit("a"))
	accepted(t, submit("b"))
	refusal := submit("c")
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonOverload)
	qt.Assert(t, refusal.DecidedBy, qt.Contains, "workspace vets")
	f.ok(&Command{FinishJobs: &FinishJobs{[]FinishedJob{{Job: "a", Outcome: model.OutcomeSucceeded}}}})
	accepted(t, submit("c"))
}

func TestTasksStayWhereTheJobMayRun(t *testing.T) {
	f := started(t)
	spec := batch("j1")
	spec.DataCentres = owners("dc1", "dc2")
	f.ok(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners("dc1")}})
	move := &ReassignTasks{Job: "j1", From: "dc1", To: "dc3", Tasks: []HandedTask{{Index: 0}}}
	_, refusal := f.do(&Command{ReassignTasks: move})
	qt.Assert(t, refusal.Message, qt.Contains, "may not run in data centre dc3")
	move.To = "dc2"
	f.ok(&Command{ReassignTasks: move})
}

// TestFinishedJobsAreSlim keeps what a resend and a status need, and no more.
func TestFinishedJobsAreSlim(t *testing.T) {
	f := started(t)
	spec := batch("j1")
	spec.Tasks, spec.Payload = 4, "some text"
	submit := &Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners("dc2", "dc1", "dc2", "dc3")}}
	f.ok(submit)
	qt.Assert(t, f.state.jobs.payloadBytes, qt.Equals, 9)
	f.ok(&Command{FinishJobs: &FinishJobs{[]FinishedJob{{Job: "j1", Outcome: model.OutcomeSucceeded}}}})
	job, _ := f.state.Job("j1")
	qt.Assert(t, job.Spec.Payload, qt.Equals, "")
	qt.Assert(t, job.Owners, qt.DeepEquals, owners("dc2", "dc1", "dc3"))
	qt.Assert(t, f.ok(submit).Repeat, qt.IsTrue)
	qt.Assert(t, f.state.jobs.tasks+f.state.jobs.payloadBytes, qt.Equals, 0)
}

// TestFleetIsFull refuses what the state has no room for.
func TestFleetIsFull(t *testing.T) {
	f := started(t)
	for _, fill := range []func(){
		func() { f.state.jobs.tasks = maxAllTasks },
		func() { f.state.jobs.tasks, f.state.jobs.payloadBytes = 0, maxPayloadBytes },
	} {
		fill()
		spec := batch("j1")
		spec.Payload = "x"
		_, refusal := f.do(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners("dc1")}})
		qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonOverload)
		qt.Assert(t, refusal.Retry, qt.IsTrue)
	}
}

func TestPartsOfAJob(t *testing.T) {
	f := started(t)
	spec := batch("j1")
	spec.Tasks = 3
	f.ok(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners("dc1", "dc2", "dc1")}})
	finish := func(dc model.DCID, o model.Outcome) {
		f.ok(&Command{FinishJobs: &FinishJobs{[]FinishedJob{{Job: "j1", DC: dc, Outcome: o}}}})
	}
	finish("dc2", model.OutcomeFailed)
	qt.Assert(t, f.state.JobsOwnedBy("dc2"), qt.HasLen, 0)
	f.ok(&Command{ReassignTasks: &ReassignTasks{Job: "j1", From: "dc1", To: "dc2", Tasks: []HandedTask{{Index: 2}}}})
	qt.Assert(t, f.state.JobsOwnedBy("dc2"), qt.HasLen, 1)
	_, refusal := f.do(&Command{ReassignTasks: &ReassignTasks{Job: "j1", From: "dc1", To: "dc3", Tasks: []HandedTask{{Index: 0}, {Index: 2}}}})
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonConflict)
	finish("dc1", model.OutcomeSucceeded)
	job, _ := f.state.Job("j1")
	qt.Assert(t, job.Finished(), qt.IsFalse)
	finish("dc2", model.OutcomeSucceeded)
	job, _ = f.state.Job("j1")
	qt.Assert(t, job.Outcome, qt.Equals, model.OutcomeFailed)
	qt.Assert(t, f.state.ActiveJobs(), qt.HasLen, 0)
}

// TestLateCommandsOfAnOwnerAreFenced repeats an outcome and a move after the
// tasks have moved to and fro.
func TestLateCommandsOfAnOwnerAreFenced(t *testing.T) {
	f := started(t)
	spec := batch("j1")
	spec.Tasks = 2
	first := f.ok(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners("dc1", "dc2")}}).Job.Assignment
	ended := FinishedJob{Job: "j1", DC: "dc1", Outcome: model.OutcomeSucceeded, Assignment: first}
	f.ok(&Command{FinishJobs: &FinishJobs{[]FinishedJob{ended}}})
	move := &ReassignTasks{Job: "j1", From: "dc2", To: "dc1", Tasks: []HandedTask{{Index: 1}}, Assignment: first}
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

func TestCancelIsMarkedForOwners(t *testing.T) {
	f := started(t)
	f.ok(&Command{SubmitJob: &SubmitJob{Spec: batch("j1"), Owners: owners("dc1")}})
	_, refusal := f.do(&Command{CancelJobs: &CancelJobs{IDs: []model.JobID{"j1"}, Workspace: "vets"}})
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonUnknownJob)
	f.ok(&Command{CancelJobs: &CancelJobs{IDs: []model.JobID{"j1"}, Workspace: "shop"}})
	qt.Assert(t, f.state.CancelledIn("dc1"), qt.DeepEquals, []model.JobID{"j1"})
	qt.Assert(t, f.state.CancelledIn("dc2"), qt.HasLen, 0)
}

// TestForgottenJobIsNotNew resubmits a job whose outcome is no longer kept.
func TestForgottenJobIsNotNew(t *testing.T) {
	f := started(t)
	f.ok(&Command{SubmitJob: &SubmitJob{Spec: batch("j1"), Owners: owners("dc1")}})
	f.ok(&Command{FinishJobs: &FinishJobs{[]FinishedJob{{Job: "j1", Outcome: model.OutcomeSucceeded}}}})
	f.state.jobs.finished = nil
	f.state.jobs.forget("j1")
	_, refusal := f.do(&Command{SubmitJob: &SubmitJob{Spec: batch("j1"), Owners: owners("dc1")}})
	qt.Assert(t, refusal.Verdict, qt.Equals, verdict.Done)
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonRecordExpired)
}

func TestSpreadOwners(t *testing.T) {
	f := started(t)
	f.ok(&Command{SubmitJob: &SubmitJob{Spec: batch("busy"), Owners: owners("dc1")}})
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
		spec := batch("next")
		spec.Class, spec.Tasks = c.class, c.tasks
		got, refusal := f.state.SpreadOwners(&spec)
		accepted(t, refusal)
		qt.Check(t, got, qt.DeepEquals, c.want, qt.Commentf("%s", c.class))
	}
	f.ok(&Command{Header: f.header(), SetDataCentre: &SetDataCentre{DC: "dc2", Out: true}})
	spec := batch("next")
	got, _ := f.state.SpreadOwners(&spec)
	qt.Assert(t, got, qt.DeepEquals, owners("dc3"))
	spec.DataCentres = owners("dc2")
	_, refusal := f.state.SpreadOwners(&spec)
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonOut)
}
