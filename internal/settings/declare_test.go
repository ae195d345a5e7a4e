package settings

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/model"
)

func TestExampleFolderIsValid(t *testing.T) {
	d, err := ReadFolder("../../examples/fleet")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, d.Teams, qt.HasLen, 6)
	qt.Assert(t, d.DataCentres, qt.HasLen, 3)
	tree := d.Tree(nil, 7)
	got := tree.Lookup(Scope{Region: "indian-ocean", DC: "dc1", Team: "yearbook", Workload: "chapters"}, RequestDeadline)
	qt.Assert(t, got.String(), qt.Equals, "request.deadline=30s by workload yearbook/chapters, revision 7")
	got = tree.Lookup(Scope{Team: "regional"}, RequestDeadline)
	qt.Assert(t, got.String(), qt.Equals, "request.deadline=10s by fleet, revision 7")
}

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
teams:
  Vets: {share: 0, limit: {cpu: 1, memory: 10}}
  shop:
    limit: {cpu: 1.5, memory: 1GiB}
    settings:
      worker.lease: 5s
queues:
  girth: {team: nobody}
  both: {open: true, team: shop}
  neither: {}
`

func TestAllFaultsAreNamed(t *testing.T) {
	_, err := ParseFile("f.yaml", []byte(faulty))
	var faults Faults
	qt.Assert(t, errors.As(err, &faults), qt.IsTrue)
	for _, want := range []string{
		`f.yaml:2: settings.request.deadline: "3" is not a duration with a unit`,
		`f.yaml:3: settings.request.bodyy: there is no setting "request.bodyy"`,
		`f.yaml:4: settings.worker.headroom: 120% is out of bounds: 0% to 100%`,
		`f.yaml:6: settings.settings.lease: given twice in one mapping`,
		`f.yaml:11: regions.west.data-centres.dc1: given twice in one mapping`,
		`f.yaml:13: teams.Vets: "Vets" is not a name`,
		`f.yaml:13: teams.Vets.share: 0 is out of bounds: 1 to 1000000`,
		`f.yaml:13: teams.Vets.limit.memory: "10" is not a size with a unit`,
		`f.yaml:17: teams.shop.settings.worker.lease: worker.lease can't be set below level data-centre`,
		`f.yaml:19: queues.girth.team: team "nobody" is not declared`,
		`f.yaml:20: queues.both.team: an open queue has no team`,
		`f.yaml:21: queues.neither: a queue is either open or has a team`,
	} {
		qt.Check(t, faults.Error(), qt.Contains, want)
	}
	qt.Assert(t, faults, qt.HasLen, 12)
}

func TestMalformedFiles(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"syntax", "teams:\n  a: [1,\n", "f.yaml:"},
		{"list at top", "- a\n", "f.yaml:1: expected a mapping of fields"},
		{"unknown section", "team:\n  a: {}\n", `f.yaml:2: team: unknown field`},
		{"list as value", "settings:\n  request.tries: [1]\n", "expected one plain value"},
		{"alias", "settings:\n  request.tries: &a 1\n", "expected one plain value"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseFile("f.yaml", []byte(c.text))
			qt.Assert(t, err, qt.ErrorMatches, `(?s).*`+c.want+`.*`)
		})
	}
}

func TestValuesKeepTheirUnits(t *testing.T) {
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
	one, err := msgpack.Marshal(d.Tree(nil, 3))
	qt.Assert(t, err, qt.IsNil)
	for range 20 {
		again, err := msgpack.Marshal(d.Tree(nil, 3))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.DeepEquals, one)
	}
	type holder struct{ Tree *Tree }
	packed, err := msgpack.Marshal(&holder{d.Tree(nil, 3)})
	qt.Assert(t, err, qt.IsNil)
	var back holder
	qt.Assert(t, msgpack.Unmarshal(packed, &back), qt.IsNil)
	qt.Assert(t, back.Tree.entries(), qt.DeepEquals, d.Tree(nil, 3).entries())
}

func TestUnchangedValueKeepsItsRevision(t *testing.T) {
	e := Entry{Level: LevelFleet, Name: RequestTries, Value: Value{Int: 5}}
	d := &Declarations{Settings: []Entry{e}}
	first := d.Tree(nil, 1)
	second := d.Tree(first, 2)
	qt.Assert(t, second.Lookup(Scope{Team: model.TeamID("x")}, RequestTries).Revision, qt.Equals, uint64(1))
}
