package fleet

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

// TestMain fixes the seed of the property tests, unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// testDeclarations returns declarations with two workspaces and three data centres.
// limitCPU is the limit of workspace shop in thousandths of a CPU.
func testDeclarations(limitCPU int64) settings.Declarations {
	d := settings.Declarations{
		DataCentres: []settings.DataCentre{{ID: "dc1", Region: "r"}, {ID: "dc2", Region: "r"}, {ID: "dc3", Region: "r"}},
		Workspaces: []model.Workspace{
			{ID: "shop", Share: 1, Limit: model.Resources{MilliCPU: limitCPU, MemoryMB: 64_000, Accelerators: 4}},
			{ID: "vets", Share: 2, Limit: model.Resources{MilliCPU: 8000, MemoryMB: 64_000}},
		},
		Queues:   []model.Queue{{Name: "girth", Workspace: "shop"}, {Name: "open", Open: true}},
		Settings: []settings.Entry{{Level: settings.LevelWorkspace, Node: "vets", Name: settings.JobsQueued, Value: settings.Value{Int: 2}}},
	}
	d.Sort()
	return d
}

// fixture is a State replicated by a group with one member.
type fixture struct {
	t     testing.TB
	state *State
	group *replica.Local
	ops   int
}

func newFixture(t testing.TB) *fixture {
	s := New()
	return &fixture{t: t, state: s, group: replica.NewLocal(s, replica.Member{ID: 1})}
}

// do proposes a command and decodes its result.
func (f *fixture) do(c *Command) (*Result, *verdict.Refusal) {
	b, err := Encode(c)
	qt.Assert(f.t, err, qt.IsNil)
	reply, err := f.group.Propose(context.Background(), b)
	qt.Assert(f.t, err, qt.IsNil)
	r, err := DecodeResult(reply)
	return r, verdict.FromError(err)
}

// ok proposes a command and fails the test if it is refused.
func (f *fixture) ok(c *Command) *Result {
	r, refusal := f.do(c)
	assertAccepted(f.t, refusal)
	return r
}

// header returns the header of a new operation that applies at any revision.
func (f *fixture) header() Header {
	f.ops++
	return Header{OpID: fmt.Sprint("op", f.ops), Actor: "ada", ExpectRevision: AnyRevision}
}

func (f *fixture) apply(d settings.Declarations) *Result {
	return f.ok(&Command{Header: f.header(), Apply: &Apply{Declarations: d}})
}

// newConfiguredFixture returns a fixture to which testDeclarations were applied.
func newConfiguredFixture(t testing.TB) *fixture {
	f := newFixture(t)
	f.apply(testDeclarations(16_000))
	return f
}

func TestApplyIsAtomic(t *testing.T) {
	f := newConfiguredFixture(t)
	bad := testDeclarations(32_000)
	bad.Queues = append(bad.Queues, model.Queue{Name: "x", Workspace: "nobody"})
	before, err := f.state.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	_, refusal := f.do(&Command{Header: Header{OpID: "x", Actor: "a", ExpectRevision: 1}, Apply: &Apply{Declarations: bad}})
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonBadRequest)
	qt.Assert(t, refusal.Message, qt.Contains, `queues.x.workspace: workspace "nobody" is not declared`)
	workspace, _ := f.state.Workspace("shop")
	qt.Assert(t, workspace.Limit.MilliCPU, qt.Equals, int64(16_000))
	f.state.operations = newOperations()
	var restored State
	qt.Assert(t, restored.Restore(before), qt.IsNil)
	qt.Assert(t, restored.Revision(), qt.Equals, f.state.Revision())
}

func TestRacingOperators(t *testing.T) {
	f := newConfiguredFixture(t)
	apply := func(op, actor string, limit int64) (*Result, *verdict.Refusal) {
		return f.do(&Command{
			Header: Header{OpID: op, Actor: actor, ExpectRevision: 1},
			Apply:  &Apply{Declarations: testDeclarations(limit)},
		})
	}
	won, refusal := apply("a", "ada", 20_000)
	assertAccepted(t, refusal)
	qt.Assert(t, won.Revision, qt.Equals, uint64(2))
	_, refusal = apply("b", "bob", 30_000)
	qt.Assert(t, refusal.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonConflict)
	qt.Assert(t, refusal.Message, qt.Contains, "operation a by ada made revision 2: workspace shop: limit: 16000m")

	f.ok(&Command{Header: f.header(), SetDataCentre: &SetDataCentre{DC: "dc2", Out: true}})
	again, refusal := apply("a", "ada", 20_000)
	assertAccepted(t, refusal)
	qt.Assert(t, again.Duplicate, qt.IsTrue)
	qt.Assert(t, again.Revision, qt.Equals, uint64(2))
	_, refusal = apply("b", "bob", 30_000)
	qt.Assert(t, refusal.Message, qt.Contains, "made revision 2")
	_, refusal = apply("a", "ada", 50_000)
	qt.Assert(t, refusal.Message, qt.Contains, "used for another command")
	qt.Assert(t, f.state.Revision(), qt.Equals, uint64(3))
}

func TestEarlierDeclarationsMakeNewRevision(t *testing.T) {
	f := newConfiguredFixture(t)
	f.apply(testDeclarations(20_000))
	r := f.ok(&Command{Header: f.header(), Apply: &Apply{FromRevision: 1}})
	qt.Assert(t, r.Revision, qt.Equals, uint64(3))
	workspace, _ := f.state.Workspace("shop")
	qt.Assert(t, workspace.Limit.MilliCPU, qt.Equals, int64(16_000))
	_, refusal := f.do(&Command{Header: f.header(), Apply: &Apply{FromRevision: 99}})
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonBadRequest)
	same := f.apply(testDeclarations(16_000))
	qt.Assert(t, same.Revision, qt.Equals, uint64(3))
}

// TestChangesAreBounded checks that the lines of one change, the stored operations and
// the history stay within their bounds.
func TestChangesAreBounded(t *testing.T) {
	f := newFixture(t)
	d := testDeclarations(16_000)
	for i := range 100 {
		d.Queues = append(d.Queues, model.Queue{Name: model.QueueName(fmt.Sprint("q", i)), Open: true})
	}
	r := f.apply(d)
	qt.Assert(t, r.Changes, qt.HasLen, maxChangeLines+1)
	qt.Assert(t, r.Changes[maxChangeLines], qt.Equals, fmt.Sprintf("%d more", 110-maxChangeLines))
	for range maxOperations + 10 {
		f.ok(&Command{Header: f.header(), SetDataCentre: &SetDataCentre{DC: "dc1", Out: f.ops%2 == 0}})
	}
	qt.Assert(t, f.state.operations.order, qt.HasLen, maxOperations)
	qt.Assert(t, f.state.operations.byID, qt.HasLen, maxOperations)
	qt.Assert(t, f.state.history, qt.HasLen, maxHistory)
}

func TestKeys(t *testing.T) {
	f := newConfiguredFixture(t)
	id, text, hash := NewKey()
	f.ok(&Command{Header: f.header(), GrantKey: &GrantKey{Key: id, Workspace: "shop", Hash: hash}})
	view := f.state.EntryView()
	workspace, refusal := Authenticate(view, text)
	assertAccepted(t, refusal)
	qt.Assert(t, workspace.ID, qt.Equals, model.WorkspaceID("shop"))
	_, other, _ := NewKey()
	for _, wrong := range []string{"", "kq_", "kq__", text + "0", other, "kq_" + string(id) + "_00"} {
		_, refusal := Authenticate(view, wrong)
		qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonBadKey, qt.Commentf("%q", wrong))
	}
	f.ok(&Command{Header: f.header(), WithdrawKey: &WithdrawKey{Key: id}})
	_, refusal = Authenticate(f.state.EntryView(), text)
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonBadKey)
	_, refusal = f.do(&Command{Header: f.header(), GrantKey: &GrantKey{Key: id, Workspace: "shop", Hash: hash}})
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonConflict)
	_, refusal = f.do(&Command{SubmitJob: &SubmitJob{Spec: batchSpec("j1"), Owners: owners("dc1"), Key: id}})
	qt.Assert(t, refusal.Reason, qt.Equals, verdict.ReasonBadKey)
}

func TestRemovalsInUseAreRefused(t *testing.T) {
	f := newConfiguredFixture(t)
	f.ok(&Command{SubmitJob: &SubmitJob{Spec: batchSpec("j1"), Owners: owners("dc1")}})
	cases := []struct {
		name string
		edit func(*settings.Declarations)
		want string
	}{
		{"workspace with jobs", func(d *settings.Declarations) { d.Workspaces = d.Workspaces[1:]; d.Queues = nil }, "1 jobs unfinished"},
		{"data centre in", func(d *settings.Declarations) { d.DataCentres = d.DataCentres[:2] }, "taken out first"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := testDeclarations(16_000)
			c.edit(&d)
			_, refusal := f.do(&Command{Header: f.header(), Apply: &Apply{Declarations: d}})
			qt.Assert(t, refusal.Message, qt.Contains, c.want)
		})
	}
}

func assertAccepted(t testing.TB, refusal *verdict.Refusal) {
	t.Helper()
	if refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
}
