package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
)

// drawCommand makes a command of any kind, often a valid one.
func drawCommand(t *rapid.T) *Command {
	dc := rapid.SampledFrom([]model.DCID{"dc1", "dc2", "dc3", "dc9"}).Draw(t, "dc")
	workspace := rapid.SampledFrom([]model.WorkspaceID{"shop", "vets", "none"}).Draw(t, "workspace")
	id := model.JobID(fmt.Sprint("j", rapid.IntRange(0, 9).Draw(t, "job")))
	n := rapid.Uint64Range(1, 9).Draw(t, "number")
	c := &Command{Header: Header{
		OpID:           fmt.Sprint("op", rapid.IntRange(0, 99).Draw(t, "op")),
		Actor:          "ada",
		ExpectRevision: rapid.SampledFrom([]uint64{AnyRevision, n}).Draw(t, "expect"),
	}}
	size := model.Resources{MilliCPU: int64(n) * 1000, MemoryMB: 100}
	switch rapid.IntRange(0, 14).Draw(t, "kind") {
	case 0:
		c.Apply = &Apply{Declarations: declared(int64(n) * 4000)}
	case 1:
		c.Apply = &Apply{FromRevision: n}
	case 2:
		c.GrantKey = &GrantKey{Key: model.KeyID(fmt.Sprint("k", n)), Workspace: workspace, Hash: [32]byte{byte(n)}}
	case 3:
		c.WithdrawKey = &WithdrawKey{Key: model.KeyID(fmt.Sprint("k", n))}
	case 4:
		c.SetDataCentre = &SetDataCentre{DC: dc, Out: n%2 == 0}
	case 5, 6:
		spec := batch(id)
		spec.Workspace, spec.Size, spec.Tasks = workspace, size, 2
		c.SubmitJob = &SubmitJob{Spec: spec, Owners: owners(dc, "dc1")}
	case 7:
		c.CancelJobs = &CancelJobs{IDs: []model.JobID{id}}
	case 8:
		c.FinishJobs = &FinishJobs{[]FinishedJob{{Job: id, DC: dc, Outcome: model.OutcomeSucceeded}}}
	case 9:
		c.RequestGrant = &RequestGrant{Workspace: workspace, DC: dc, Want: size.Scale(2), Holds: size, Floor: size.Scale(int64(n % 3))}
	case 10:
		c.ReturnGrant = &ReturnGrant{Workspace: workspace, DC: dc, Keep: size, Version: n % 3, Generation: n}
	case 11:
		m := Member{VM: model.VMID(fmt.Sprint("vm", n%3)), DC: dc, Incarnation: replica.MemberID(1 + n%3)}
		c.RegisterMember = &RegisterMember{m}
	case 12, 13:
		task := HandedTask{Index: int(n % 2), Attempt: uint32(n)}
		c.ReassignTasks = &ReassignTasks{Job: id, From: dc, To: places[n%3], Tasks: []HandedTask{task}}
	default:
		c.FoundGroup = &FoundGroup{DC: dc, Generation: 1 + n%2, Member: replica.MemberID(1 + n%3)}
	}
	return c
}

// TestSnapshotIsTheWholeState replays the same commands on a second state that
// is taken through a snapshot at some point: results and snapshots stay equal.
func TestSnapshotIsTheWholeState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		one, other := filled(rt), filled(rt)
		commands := rapid.SliceOfN(rapid.Custom(drawCommand), 1, 80).Draw(rt, "commands")
		cut := rapid.IntRange(0, len(commands)-1).Draw(rt, "cut")
		for i, c := range commands {
			if i == cut {
				other = restored(rt, other)
			}
			b, err := Encode(c)
			if err != nil {
				rt.Fatal(err)
			}
			got, want := other.Apply(uint64(i+1), b), one.Apply(uint64(i+1), b)
			if string(got) != string(want) {
				rt.Fatalf("command %d after a snapshot: %q, without: %q", i, got, want)
			}
			checkIndex(rt, one)
			checkIndex(rt, other)
		}
		if contents(rt, other) != contents(rt, one) {
			rt.Fatalf("after a snapshot:\n%s\nwithout:\n%s", contents(rt, other), contents(rt, one))
		}
	})
}

// checkIndex compares what is kept per data centre with a look at every job.
func checkIndex(t *rapid.T, s *State) {
	for _, dc := range places {
		var owned []*Job
		var load model.Resources
		total := 0
		for _, j := range s.jobs.active {
			total += len(j.Owners)
			if j.OwnedBy(dc) {
				owned = append(owned, j)
			}
			for _, owner := range j.Owners {
				if owner == dc {
					load = load.Add(j.Spec.Size)
				}
			}
		}
		if total != s.jobs.tasks {
			t.Fatalf("%d tasks are unfinished, the table says %d", total, s.jobs.tasks)
		}
		if !slices.Equal(owned, s.JobsOwnedBy(dc)) || load != s.LoadIn(dc) {
			t.Fatalf("%s owns %d jobs of %s, the index says %d of %s", dc, len(owned), load,
				len(s.JobsOwnedBy(dc)), s.LoadIn(dc))
		}
	}
}

// filled returns a state with something in every table.
func filled(t fataler) *State {
	s := New()
	s.jobs.forget("old")
	for _, c := range []*Command{
		{Header: Header{OpID: "first", Actor: "ada"}, Apply: &Apply{Declarations: declared(16_000)}},
		register("vm1", 1),
		found(1, 1),
		{SubmitJob: &SubmitJob{Spec: batch("done"), Owners: owners("dc1")}},
		{FinishJobs: &FinishJobs{[]FinishedJob{{Job: "done", Outcome: model.OutcomeFailed, Reason: "x"}}}},
	} {
		b, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeResult(s.Apply(1, b)); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// fataler is a test or a property's run.
type fataler interface{ Fatal(args ...any) }

func encoded(t fataler, s *State) string {
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// contents lists every table of s itself, so that what a snapshot leaves out
// shows.
func contents(t fataler, s *State) string {
	tree, err := msgpack.Marshal(s.tree)
	if err != nil {
		t.Fatal(err)
	}
	b, err := json.MarshalIndent([]any{
		s.revision, s.declarations, tree, s.workspaces, s.dcs, s.keys, s.history, s.operations.order,
		len(s.operations.byID), s.jobs.byID, s.jobs.active, s.jobs.finished, s.jobs.spentOrder,
		len(s.jobs.spent), s.jobs.unfinished, s.jobs.seq, s.jobs.version, s.sortedGrants(),
		s.members, s.groups, s.limitRevisions, s.over, s.floorSeq,
	}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func restored(t fataler, s *State) *State {
	next := New()
	if err := next.Restore([]byte(encoded(t, s))); err != nil {
		t.Fatal(err)
	}
	return next
}

// TestOwnerThatWasRemoved keeps the name of a data centre whose part of a job has
// ended and that is no longer declared.
func TestOwnerThatWasRemoved(t *testing.T) {
	f := started(t)
	spec := batch("j1")
	spec.Tasks = 2
	f.ok(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners("dc1", "dc3")}})
	f.ok(&Command{FinishJobs: &FinishJobs{[]FinishedJob{{Job: "j1", DC: "dc3", Outcome: model.OutcomeSucceeded}}}})
	f.ok(&Command{Header: f.header(), SetDataCentre: &SetDataCentre{DC: "dc3", Out: true}})
	smaller := declared(16_000)
	smaller.DataCentres = smaller.DataCentres[:2]
	f.apply(smaller)
	job, _ := restored(t, f.state).Job("j1")
	qt.Assert(t, job.Owners, qt.DeepEquals, owners("dc1", "dc3"))
}

// TestBadSnapshotChangesNothing restores from what can't be read.
func TestBadSnapshotChangesNothing(t *testing.T) {
	f := started(t)
	before := encoded(t, f.state)
	for _, bad := range []string{"", "x", before[:len(before)/2], "\x81\xa6format\x09"} {
		qt.Assert(t, f.state.Restore([]byte(bad)), qt.IsNotNil, qt.Commentf("%q", bad))
	}
	qt.Assert(t, encoded(t, f.state), qt.Equals, before)
}

// TestUnknownCommandsAreRefused keeps a broken command from stopping the group.
func TestUnknownCommandsAreRefused(t *testing.T) {
	s := New()
	for _, bad := range []string{"", "x", "\x80", "\xc1"} {
		_, err := DecodeResult(s.Apply(1, []byte(bad)))
		qt.Assert(t, err, qt.ErrorMatches, `bad-request \(not-run\).*`)
	}
}

// BenchmarkSnapshot is at the design size: 220 workspaces and 25,000 jobs, a third
// of them unfinished.
func BenchmarkSnapshot(b *testing.B) {
	s := New()
	d := declared(1 << 30)
	for i := range 218 {
		d.Workspaces = append(d.Workspaces, model.Workspace{ID: model.WorkspaceID(fmt.Sprintf("t%03d", i)), Share: 1, Limit: d.Workspaces[0].Limit})
	}
	d.Sort()
	run := func(c *Command) {
		body, err := Encode(c)
		qt.Assert(b, err, qt.IsNil)
		_, err = DecodeResult(s.Apply(1, body))
		qt.Assert(b, err, qt.IsNil)
	}
	run(&Command{Header: Header{OpID: "a", Actor: "a"}, Apply: &Apply{Declarations: d}})
	for i := range 25_000 {
		spec := batch(model.JobID(fmt.Sprint("job-", i)))
		spec.Workspace = model.WorkspaceID(fmt.Sprintf("t%03d", i%218))
		run(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners(places[i%3])}})
		if i%3 > 0 {
			run(&Command{FinishJobs: &FinishJobs{[]FinishedJob{{Job: spec.ID, Outcome: model.OutcomeSucceeded}}}})
		}
	}
	snapshot := encoded(b, s)
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			encoded(b, s)
		}
		b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if err := New().Restore([]byte(snapshot)); err != nil {
				b.Fatal(err)
			}
		}
	})
}
