package why_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/fake/cell"
	"kumquatwing/internal/fake/worker"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/systems"
	"kumquatwing/internal/why"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20260113")
	flag.Set("rapid.checks", "50")
	os.Exit(m.Run())
}

// fixedTime is the clock of the RecentEvents under test.
func fixedTime() time.Time { return time.UnixMilli(1_700_000_000_000) }

// For random jobs and workers, the history of each placed task must hold the same
// explanation as the placement plan, and the history of each waiting job the
// explanation of its newest wait reason.
func TestHistoryMatchesPlacementPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recent := why.NewRecentEvents(eventlog.Discard{}, 512, 64, fixedTime)
		cl := cell.New()
		placed := map[model.TaskID]placement.Explanation{}
		waits := map[model.JobID]placement.Wait{}
		cl.Decide = func(s *placement.Snapshot) *placement.Plan {
			p := placement.Decide(s)
			for _, pl := range p.Place {
				placed[pl.Task] = pl.Explain
				delete(waits, pl.Job)
			}
			for _, w := range p.Waits {
				if old, ok := waits[w.Job]; !ok || old.Reason != w.Reason {
					waits[w.Job] = w
				}
			}
			return p
		}
		for range rapid.IntRange(1, 4).Draw(t, "workers") {
			cl.AddWorker(worker.Config{})
		}
		classes := []model.Class{model.ClassBatch, model.ClassService, model.ClassGang, model.ClassUrgent}
		for i := range rapid.IntRange(1, 6).Draw(t, "jobs") {
			cl.Submit(model.JobSpec{
				ID: model.JobID(fmt.Sprintf("j%d", i)), Class: rapid.SampledFrom(classes).Draw(t, "class"),
				Tasks: rapid.IntRange(1, 6).Draw(t, "tasks"), RunMillis: 60_000, Idempotent: true,
				Size: model.Resources{MilliCPU: int64(rapid.IntRange(1, 8).Draw(t, "cpu")) * 500, MemoryMB: 256},
			})
		}
		cl.Steps(3, 500*time.Millisecond)
		for i := range cl.Log.Events {
			recent.Record(cl.Log.Events[i])
		}
		for id, want := range placed {
			h := recent.History(why.KindTask, string(id))
			if got := newestExplanation(h, systems.EventPlaced); !sameExplanation(got, &want) {
				t.Fatalf("task %s: history %+v, decision %+v", id, got, want)
			}
		}
		for id, want := range waits {
			h := recent.History(why.KindJob, string(id))
			if got := newestExplanation(h, systems.EventWaits); !sameExplanation(got, &want.Explain) {
				t.Fatalf("job %s: history %+v, decision %+v", id, got, want)
			}
		}
	})
}

// newestExplanation returns the explanation of the newest decision of the given kind
// in a history, or nil.
func newestExplanation(h *why.DecisionHistory, kind eventlog.Kind) *placement.Explanation {
	for i := range h.Decisions {
		if h.Decisions[i].Event.Kind == kind {
			return h.Decisions[i].Explain
		}
	}
	return nil
}

func sameExplanation(a, b *placement.Explanation) bool {
	x, _ := json.Marshal(a)
	y, _ := json.Marshal(b)
	return string(x) == string(y)
}

func TestRecentEventsAreBounded(t *testing.T) {
	c := qt.New(t)
	recent := why.NewRecentEvents(eventlog.Discard{}, 8, 4, fixedTime)
	for i := range 20 {
		id := model.TaskID(fmt.Sprintf("j%d.0", i))
		recent.Record(eventlog.Event{Kind: systems.EventPlaced, Task: id, Job: model.JobID(fmt.Sprintf("j%d", i)), Worker: "w"})
	}
	c.Assert(recent.History(why.KindWorker, "w").Decisions, qt.HasLen, 8)
	c.Assert(recent.History(why.KindTask, "j19.0").Decisions, qt.HasLen, 1)
	c.Assert(recent.History(why.KindTask, "j0.0").Decisions, qt.HasLen, 0)
	first := recent.History(why.KindWorker, "w").Decisions[0].Event
	c.Assert(first.Task, qt.Equals, model.TaskID("j19.0"), qt.Commentf("newest first"))
}

func TestLinesNameMemberAndReasons(t *testing.T) {
	c := qt.New(t)
	x, err := json.Marshal(placement.Explanation{
		Considered: 9,
		Rejected:   []placement.FilterCount{{Filter: "memory", Count: 4}},
		Score:      []placement.ScorePart{{Scorer: "pack", Points: 70}},
	})
	c.Assert(err, qt.IsNil)
	a := why.FromEvents(why.KindTask, "j.0", []eventlog.Event{
		{Kind: systems.EventWaits, Job: "j", VM: "vm1", DC: "dc1", Cause: "no-room"},
		{Kind: systems.EventPlaced, Job: "other", Task: "other.0"},
		{Kind: systems.EventPlaced, Job: "j", Task: "j.0", Worker: "w", VM: "vm2", DC: "dc1", Epoch: 3, Revision: 7, Explain: x},
	})
	text := strings.Join(a.Lines(), "\n")
	for _, want := range []string{"2 decisions", "worker w", "decided by vm2 in dc1, epoch 3, fleet revision 7", "considered 9", "rejected 4 by memory", "score 70 for pack", "cause no-room"} {
		c.Assert(strings.Contains(text, want), qt.IsTrue, qt.Commentf("%q in\n%s", want, text))
	}
}
