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

// drawCommand draws a command of any kind, often a valid one.
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
		c.Apply = &Apply{Declarations: testDeclarations(int64(n) * 4000)}
	case 1:
		c.Apply = &Apply{FromRevision: n}
	case 2:
		c.GrantKey = &GrantKey{Key: model.KeyID(fmt.Sprint("k", n)), Workspace: workspace, Hash: [32]byte{byte(n)}}
	case 3:
		c.WithdrawKey = &WithdrawKey{Key: model.KeyID(fmt.Sprint("k", n))}
	case 4:
		c.SetDataCentre = &SetDataCentre{DC: dc, Out: n%2 == 0}
	case 5, 6:
		spec := batchSpec(id)
		spec.Workspace, spec.Size, spec.Tasks = workspace, size, 2
		c.SubmitJob = &SubmitJob{Spec: spec, Owners: owners(dc, "dc1")}
	case 7:
		c.CancelJobs = &CancelJobs{IDs: []model.JobID{id}}
	case 8:
		c.FinishJobs = &FinishJobs{[]FinishedJob{{Job: id, DC: dc, Outcome: model.OutcomeSucceeded}}}
	case 9:
		c.RequestGrant = &RequestGrant{Workspace: workspace, DC: dc, Demand: size.Scale(2), InUse: size, MinGrant: size.Scale(int64(n % 3))}
	case 10:
		c.ReturnGrant = &ReturnGrant{Workspace: workspace, DC: dc, Keep: size, Version: n % 3, Generation: n}
	case 11:
		m := Member{VM: model.VMID(fmt.Sprint("vm", n%3)), DC: dc, Incarnation: replica.MemberID(1 + n%3)}
		c.RegisterMember = &RegisterMember{m}
	case 12, 13:
		task := ReassignedTask{Index: int(n % 2), Attempt: uint32(n)}
		c.ReassignTasks = &ReassignTasks{Job: id, From: dc, To: testDCs[n%3], Tasks: []ReassignedTask{task}}
	default:
		c.BootstrapGroup = &BootstrapGroup{DC: dc, Generation: 1 + n%2, Member: replica.MemberID(1 + n%3)}
	}
	return c
}

// TestSnapshotHoldsTheWholeState applies the same commands to two states, one of which
// is restored from its own snapshot at some point. Results and contents must be
// equal.
func TestSnapshotHoldsTheWholeState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		original, other := newFilledState(rt), newFilledState(rt)
		commands := rapid.SliceOfN(rapid.Custom(drawCommand), 1, 80).Draw(rt, "commands")
		cut := rapid.IntRange(0, len(commands)-1).Draw(rt, "cut")
		for i, c := range commands {
			if i == cut {
				other = restoredCopy(rt, other)
			}
			b, err := Encode(c)
			if err != nil {
				rt.Fatal(err)
			}
			got, want := other.Apply(uint64(i+1), b), original.Apply(uint64(i+1), b)
			if string(got) != string(want) {
				rt.Fatalf("command %d after a snapshot: %q, without: %q", i, got, want)
			}
			checkIndex(rt, original)
			checkIndex(rt, other)
		}
		if dumpState(rt, other) != dumpState(rt, original) {
			rt.Fatalf("after a snapshot:\n%s\nwithout:\n%s", dumpState(rt, other), dumpState(rt, original))
		}
	})
}

// checkIndex compares the index by data centre with a scan of all jobs.
func checkIndex(t *rapid.T, s *State) {
	for _, dc := range testDCs {
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
			t.Fatalf("%d tasks are unfinished, jobTable.tasks is %d", total, s.jobs.tasks)
		}
		if !slices.Equal(owned, s.JobsOwnedBy(dc)) || load != s.LoadIn(dc) {
			t.Fatalf("%s owns %d jobs with a load of %s, the index has %d jobs with %s", dc, len(owned), load,
				len(s.JobsOwnedBy(dc)), s.LoadIn(dc))
		}
	}
}

// newFilledState returns a state with entries in most of its tables.
func newFilledState(t fataler) *State {
	s := New()
	s.jobs.expire("old")
	for _, c := range []*Command{
		{Header: Header{OpID: "first", Actor: "ada"}, Apply: &Apply{Declarations: testDeclarations(16_000)}},
		registerCommand("vm1", 1),
		bootstrapCommand(1, 1),
		{SubmitJob: &SubmitJob{Spec: batchSpec("done"), Owners: owners("dc1")}},
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

// fataler is the part of *testing.T, *testing.B and *rapid.T that the helpers use.
type fataler interface{ Fatal(args ...any) }

func mustSnapshot(t fataler, s *State) string {
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// dumpState encodes the contents of s without the use of Snapshot, so that a
// comparison shows what a snapshot leaves out.
func dumpState(t fataler, s *State) string {
	tree, err := msgpack.Marshal(s.tree)
	if err != nil {
		t.Fatal(err)
	}
	b, err := json.MarshalIndent([]any{
		s.revision, s.declarations, tree, s.workspaces, s.dcs, s.keys, s.history, s.operations.order,
		len(s.operations.byID), s.jobs.byID, s.jobs.active, s.jobs.finished, s.jobs.expiredOrder,
		len(s.jobs.expired), s.jobs.unfinished, s.jobs.seq, s.jobs.version, s.sortedGrants(),
		s.members, s.groups, s.limitRevisions, s.overLimit, s.minGrantSeq,
	}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func restoredCopy(t fataler, s *State) *State {
	next := New()
	if err := next.Restore([]byte(mustSnapshot(t, s))); err != nil {
		t.Fatal(err)
	}
	return next
}

// TestRestoreKeepsRemovedOwner checks that a restored job keeps an owner whose part has
// ended and that is no longer declared.
func TestRestoreKeepsRemovedOwner(t *testing.T) {
	f := newConfiguredFixture(t)
	spec := batchSpec("j1")
	spec.Tasks = 2
	f.ok(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners("dc1", "dc3")}})
	f.ok(&Command{FinishJobs: &FinishJobs{[]FinishedJob{{Job: "j1", DC: "dc3", Outcome: model.OutcomeSucceeded}}}})
	f.ok(&Command{Header: f.header(), SetDataCentre: &SetDataCentre{DC: "dc3", Out: true}})
	smaller := testDeclarations(16_000)
	smaller.DataCentres = smaller.DataCentres[:2]
	f.apply(smaller)
	job, _ := restoredCopy(t, f.state).Job("j1")
	qt.Assert(t, job.Owners, qt.DeepEquals, owners("dc1", "dc3"))
}

// TestInvalidSnapshotChangesNothing restores from snapshots that can't be decoded.
func TestInvalidSnapshotChangesNothing(t *testing.T) {
	f := newConfiguredFixture(t)
	before := mustSnapshot(t, f.state)
	for _, bad := range []string{"", "x", before[:len(before)/2], "\x81\xa6format\x09"} {
		qt.Assert(t, f.state.Restore([]byte(bad)), qt.IsNotNil, qt.Commentf("%q", bad))
	}
	qt.Assert(t, mustSnapshot(t, f.state), qt.Equals, before)
}

// TestInvalidCommandsAreRefused checks that a command that can't be decoded is refused
// and does not stop the group.
func TestInvalidCommandsAreRefused(t *testing.T) {
	s := New()
	for _, bad := range []string{"", "x", "\x80", "\xc1"} {
		_, err := DecodeResult(s.Apply(1, []byte(bad)))
		qt.Assert(t, err, qt.ErrorMatches, `bad-request \(not-run\).*`)
	}
}

// BenchmarkSnapshot measures snapshots at the design size: 220 workspaces and 25,000
// jobs, a third of them unfinished.
func BenchmarkSnapshot(b *testing.B) {
	s := New()
	d := testDeclarations(1 << 30)
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
		spec := batchSpec(model.JobID(fmt.Sprint("job-", i)))
		spec.Workspace = model.WorkspaceID(fmt.Sprintf("t%03d", i%218))
		run(&Command{SubmitJob: &SubmitJob{Spec: spec, Owners: owners(testDCs[i%3])}})
		if i%3 > 0 {
			run(&Command{FinishJobs: &FinishJobs{[]FinishedJob{{Job: spec.ID, Outcome: model.OutcomeSucceeded}}}})
		}
	}
	snapshot := mustSnapshot(b, s)
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			mustSnapshot(b, s)
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
