package dispatch

import (
	"flag"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// dcOf returns a data centre of four workers with the given free CPU.
func dcOf(id string, free int64) DCView {
	worker := model.Resources{MilliCPU: 16_000, MemoryMB: 32_000}
	return DCView{
		ID: model.DCID(id), Reporting: true, Known: true,
		Shapes: []Shape{{worker, 4}},
		Free:   model.Resources{MilliCPU: free, MemoryMB: 100_000},
	}
}

func specOf(class model.Class, tasks int, milliCPU int64) *model.JobSpec {
	return &model.JobSpec{ID: "j", Class: class, Tasks: tasks, Size: model.Resources{MilliCPU: milliCPU, MemoryMB: 1000}}
}

func TestChoose(t *testing.T) {
	out, notReporting, unknown := dcOf("a", 64_000), dcOf("a", 64_000), dcOf("c", 0)
	out.Out, notReporting.Reporting = true, false
	unknown.Known, unknown.Shapes = false, nil
	cases := []struct {
		name   string
		spec   *model.JobSpec
		dcs    []DCView
		owners string
		reason verdict.Reason
		retry  bool
		detail string
	}{
		{"most free capacity", specOf(model.ClassBatch, 2, 1000), []DCView{dcOf("a", 9000), dcOf("b", 30_000)}, "b b", "", false, ""},
		{"gang in one data centre", specOf(model.ClassGang, 3, 10_000), []DCView{dcOf("a", 25_000), dcOf("b", 30_000)}, "b b b", "", false, ""},
		{"service spread", specOf(model.ClassService, 4, 1000), []DCView{dcOf("a", 9000), dcOf("b", 30_000), dcOf("c", 500)}, "b a b a", "", false, ""},
		{"skips data centre out of service", specOf(model.ClassUrgent, 1, 1000), []DCView{out, dcOf("b", 0)}, "b", "", false, "no data centre has room now; waits in b"},
		{"skips data centre without recent report", specOf(model.ClassUrgent, 1, 1000), []DCView{notReporting, dcOf("b", 9000)}, "b", "", false, ""},
		{"all out of service", specOf(model.ClassUrgent, 1, 1000), []DCView{out}, "", verdict.ReasonDataCentreOut, true, ""},
		{"never fits", specOf(model.ClassBatch, 1, 17_000), []DCView{out, dcOf("b", 9000)}, "", verdict.ReasonNeverFits, false, "milli_cpu is short on every worker; the largest is 16000m/32000MB/0"},
		{"gang never fits", specOf(model.ClassGang, 5, 16_000), []DCView{dcOf("b", 9000)}, "", verdict.ReasonNeverFits, false, "room for 4"},
		{"may fit unknown workers", specOf(model.ClassBatch, 1, 17_000), []DCView{dcOf("b", 9000), unknown}, "c", "", false, ""},
		{"fits a data centre out of service", specOf(model.ClassGang, 4, 16_000), []DCView{out}, "", verdict.ReasonDataCentreOut, true, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := Choose(tc.spec, tc.dcs)
			qt.Check(t, c.Explain.Detail, qt.Contains, tc.detail)
			if tc.reason != "" {
				qt.Assert(t, c.Refusal != nil, qt.IsTrue)
				qt.Check(t, c.Refusal.Reason, qt.Equals, tc.reason)
				qt.Check(t, c.Refusal.Verdict, qt.Equals, verdict.NotRun)
				qt.Check(t, c.Refusal.Retry, qt.Equals, tc.retry)
				qt.Check(t, c.Owners, qt.HasLen, 0)
				return
			}
			qt.Assert(t, c.Refusal == nil, qt.IsTrue)
			var names []string
			for _, o := range c.Owners {
				names = append(names, string(o))
			}
			qt.Check(t, strings.Join(names, " "), qt.Equals, tc.owners)
		})
	}
}

func TestChooseWithinAllowed(t *testing.T) {
	spec := specOf(model.ClassBatch, 1, 1000)
	spec.DataCentres = []model.DCID{"b"}
	c := Choose(spec, []DCView{dcOf("a", 64_000), dcOf("b", 0)})
	qt.Assert(t, c.Owners, qt.DeepEquals, []model.DCID{"b"})
	qt.Assert(t, c.Explain.Rejected[0].Filter, qt.Equals, FilterNotAllowed)
}

func TestSameChoiceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var dcs []DCView
		for _, id := range []string{"a", "b", "c", "d"} {
			v := dcOf(id, rapid.Int64Range(0, 64_000).Draw(t, "free"))
			v.Out = rapid.Bool().Draw(t, "out")
			dcs = append(dcs, v)
		}
		spec := specOf(model.ClassService, rapid.IntRange(1, 9).Draw(t, "tasks"), 4000)
		want := Choose(spec, dcs)
		got := Choose(spec, rapid.Permutation(dcs).Draw(t, "order"))
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		for _, o := range want.Owners {
			if slices.ContainsFunc(dcs, func(v DCView) bool { return v.ID == o && v.Out }) {
				t.Fatalf("data centre %s is out of service", o)
			}
		}
	})
}

func TestCheckLimit(t *testing.T) {
	workspace := &model.Workspace{ID: "x", Limit: model.Resources{MilliCPU: 8000, MemoryMB: 8000}}
	qt.Check(t, CheckLimit(specOf(model.ClassBatch, 9, 8000), workspace) == nil, qt.IsTrue)
	qt.Check(t, CheckLimit(specOf(model.ClassBatch, 1, 9000), workspace), qt.ErrorMatches, ".*short in milli_cpu")
	qt.Check(t, CheckLimit(specOf(model.ClassGang, 2, 8000), workspace), qt.ErrorMatches, ".*short in milli_cpu")
}
