package settings

import (
	"errors"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/model"
)

func TestReadFolderExample(t *testing.T) {
	d, err := ReadFolder("../../examples/fleet")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, d.Workspaces, qt.HasLen, 6)
	qt.Assert(t, d.DataCentres, qt.HasLen, 3)
	tree := d.Tree(nil, 7)
	got := tree.Lookup(Scope{Region: "indian-ocean", DC: "dc1", Workspace: "yearbook", Workload: "chapters"}, RequestDeadline)
	qt.Assert(t, got.String(), qt.Equals, "request.deadline=30s by workload yearbook/chapters, revision 7")
	got = tree.Lookup(Scope{Workspace: "regional"}, RequestDeadline)
	qt.Assert(t, got.String(), qt.Equals, "request.deadline=10s by fleet, revision 7")
}

// faulty has at least one fault in each section.
const faulty = `settings:
  request.deadline: 3
  request.bodyy: 1MiB
  worker.headroom: 120%
  settings.lease: 3s
  settings.lease: 4s
regions:
  west:
    data-centres:
      dc1: {}
      dc1: {}
workspaces:
  Vets: {share: 0, limit: {cpu: 1, memory: 10}}
  shop:
    limit: {cpu: 1.5, memory: 1GiB}
    settings:
      worker.lease: 5s
queues:
  girth: {workspace: nobody}
  both: {open: true, workspace: shop}
  neither: {}
`

func TestParseFileReportsAllFaults(t *testing.T) {
	_, err := ParseFile("f.yaml", []byte(faulty))
	var faults Faults
	qt.Assert(t, errors.As(err, &faults), qt.IsTrue)
	for _, want := range []string{
		`f.yaml:2: settings.request.deadline: "3" is not a duration with a unit`,
		`f.yaml:3: settings.request.bodyy: there is no setting "request.bodyy"`,
		`f.yaml:4: settings.worker.headroom: 120% is out of bounds: 0% to 100%`,
		`f.yaml:6: settings.settings.lease: duplicate key in mapping`,
		`f.yaml:11: regions.west.data-centres.dc1: duplicate key in mapping`,
		`f.yaml:13: workspaces.Vets: "Vets" is not a name`,
		`f.yaml:13: workspaces.Vets.share: 0 is out of bounds: 1 to 1000000`,
		`f.yaml:13: workspaces.Vets.limit.memory: "10" is not a size with a unit`,
		`f.yaml:17: workspaces.shop.settings.worker.lease: worker.lease can't be set below level data-centre`,
		`f.yaml:19: queues.girth.workspace: workspace "nobody" is not declared`,
		`f.yaml:20: queues.both.workspace: an open queue has no workspace`,
		`f.yaml:21: queues.neither: a queue is either open or has a workspace`,
	} {
		qt.Check(t, faults.Error(), qt.Contains, want)
	}
	qt.Assert(t, faults, qt.HasLen, 12)
}

func TestParseFileMalformed(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"syntax", "workspaces:\n  a: [1,\n", "f.yaml:"},
		{"list at top", "- a\n", "f.yaml:1: expected a mapping of fields"},
		{"unknown section", "workspace:\n  a: {}\n", `f.yaml:2: workspace: unknown field`},
		{"list as value", "settings:\n  request.tries: [1]\n", "expected a scalar value"},
		{"alias", "settings:\n  request.tries: &a 1\n", "expected a scalar value"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseFile("f.yaml", []byte(c.text))
			qt.Assert(t, err, qt.ErrorMatches, `(?s).*`+c.want+`.*`)
		})
	}
}

func TestFormatValueReversesParsing(t *testing.T) {
	cases := []struct {
		kind Type
		text string
		want int64
	}{
		{TypeDuration, "3s", 3000},
		{TypeDuration, "1500ms", 1500},
		{TypeDuration, "2h", 7_200_000},
		{TypeBytes, "64KiB", 65_536},
		{TypeBytes, "0B", 0},
		{TypePercent, "20%", 20},
		{TypeInt, "12", 12},
		{TypeBool, "true", 1},
	}
	for _, c := range cases {
		got, err := parseTyped(c.kind, c.text)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, c.want)
		qt.Assert(t, FormatValue(c.kind, got), qt.Equals, c.text)
	}
	cpu, err := ParseCPU("1.1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cpu, qt.Equals, int64(1100))
	_, err = ParseCPU("0.0001")
	qt.Assert(t, err, qt.IsNotNil)
}

func TestTreeEncoding(t *testing.T) {
	d, err := ReadFolder("../../examples/fleet")
	qt.Assert(t, err, qt.IsNil)
	first, err := msgpack.Marshal(d.Tree(nil, 3))
	qt.Assert(t, err, qt.IsNil)
	for range 20 {
		again, err := msgpack.Marshal(d.Tree(nil, 3))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.DeepEquals, first)
	}
	// A tree must also survive as a field of another struct.
	type wrapper struct{ Tree *Tree }
	packed, err := msgpack.Marshal(&wrapper{d.Tree(nil, 3)})
	qt.Assert(t, err, qt.IsNil)
	var decoded wrapper
	qt.Assert(t, msgpack.Unmarshal(packed, &decoded), qt.IsNil)
	qt.Assert(t, decoded.Tree.entries(), qt.DeepEquals, d.Tree(nil, 3).entries())
}

func TestDiffReportsAffectedScope(t *testing.T) {
	parse := func(text string) *Declarations {
		d, err := ParseFile("f.yaml", []byte(text))
		qt.Assert(t, err, qt.IsNil)
		return d
	}
	before := parse(`
settings: {request.tries: 3}
regions: {west: {data-centres: {dc1: {}, dc2: {settings: {worker.lease: 9s}}}}}
workspaces:
  shop: {share: 1, limit: {cpu: 1}, workloads: {girth: {settings: {request.deadline: 1s, request.tries: 1}}}}
  vets: {limit: {cpu: 1}}
queues: {q: {open: true}}
`)
	after := parse(`
settings: {request.tries: 4}
regions: {west: {settings: {worker.lease: 6s}, data-centres: {dc1: {}, dc2: {settings: {worker.lease: 9s}}, dc3: {}}}}
workspaces:
  shop: {share: 2, limit: {cpu: 2}, settings: {request.deadline: 3s}, workloads: {girth: {settings: {request.deadline: 1s, request.tries: 1}}}}
queues: {q: {workspace: shop}}
`)
	var got []string
	for _, d := range Diff(before, after) {
		got = append(got, d.String())
	}
	qt.Assert(t, got, qt.DeepEquals, []string{
		"data-centre dc3: region: none -> west (for data centre dc3)",
		"workspace shop: share: 1 -> 2 (for workspace shop)",
		"workspace shop: limit: 1000m/0MB/0 -> 2000m/0MB/0 (for workspace shop)",
		"workspace vets: share: 1 -> none (for workspace vets)",
		"workspace vets: limit: 1000m/0MB/0 -> none (for workspace vets)",
		"fleet: queue q: open -> keyed by workspace shop (for callers of queue q)",
		"fleet: request.tries: 3 -> 4 (for the whole fleet except workload shop/girth)",
		"region west: worker.lease: none -> 6s (for region west except data-centre dc2)",
		"workspace shop: request.deadline: none -> 3s (for workspace shop except workload shop/girth)",
	})
	qt.Assert(t, Diff(after, after), qt.HasLen, 0)
}

// TestReferencePage checks that docs/SETTINGS.md matches the schema. The page is
// regenerated with "kqctl settings reference".
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(page), qt.Equals, Reference())
}

// TestDefaultsAreWithinBounds checks the schema: each default is within its
// bounds and survives formatting and parsing, and each lowest level is one of the
// tree's.
func TestDefaultsAreWithinBounds(t *testing.T) {
	for _, d := range Definitions() {
		qt.Check(t, Check(d, d.Default), qt.IsNil, qt.Commentf("%s", d.Name))
		text := FormatValue(d.Type, d.Default.Int)
		v, err := ParseValue(d, text)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, v, qt.Equals, d.Default, qt.Commentf("%s", d.Name))
		_, known := levelDepth[d.Lowest]
		qt.Check(t, known, qt.IsTrue, qt.Commentf("%s", d.Name))
	}
}

func TestUnchangedValueKeepsItsRevision(t *testing.T) {
	e := Entry{Level: LevelFleet, Name: RequestTries, Value: Value{Int: 5}}
	d := &Declarations{Settings: []Entry{e}}
	first := d.Tree(nil, 1)
	second := d.Tree(first, 2)
	qt.Assert(t, second.Lookup(Scope{Workspace: model.WorkspaceID("x")}, RequestTries).Revision, qt.Equals, uint64(1))
}

// TestParseFileAcceptsFormerNames checks that files from the time when workspaces
// were called teams still load, and that faults name the current fields.
func TestParseFileAcceptsFormerNames(t *testing.T) {
	former := "teams:\n  shop: {limit: {cpu: 1}, settings: {team.jobs-queued: 5}}\nqueues:\n  girth: {team: shop}\n"
	current := "workspaces:\n  shop: {limit: {cpu: 1}, settings: {workspace.jobs-queued: 5}}\nqueues:\n  girth: {workspace: shop}\n"
	fromFormer, err := ParseFile("f.yaml", []byte(former))
	qt.Assert(t, err, qt.IsNil)
	fromCurrent, err := ParseFile("f.yaml", []byte(current))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, fromFormer, qt.DeepEquals, fromCurrent)
	_, err = ParseFile("f.yaml", []byte(former+"  both: {open: true, team: shop}\n"))
	qt.Assert(t, err, qt.ErrorMatches, `(?s).*f.yaml:5: queues.both.workspace: an open queue has no workspace.*`)
}
