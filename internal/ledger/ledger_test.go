package ledger

import (
	"flag"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

const life = 1000

func begin(id model.RequestID, attempt string) *Command {
	return &Command{Begin: &api.RecordBegin{ID: id, Workspace: "vets", Queue: "orders", Digest: 7, LifeMillis: life, Attempt: attempt}}
}

func finish(id model.RequestID, attempt, body string) *Command {
	return &Command{Finish: &api.RecordFinish{ID: id, Attempt: attempt, Answer: &api.StoredAnswer{Status: 200, Body: []byte(body), Whole: true}}}
}

func TestParse(t *testing.T) {
	good := Mint("perth-2", 3, 123456, "abc")
	id, err := Parse(good)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, id, qt.Equals, ID{"perth-2", 3, 123456, "abc"})
	for _, bad := range []model.RequestID{
		"", "a", "a-1-2", "-1-2-x", "a-1-2-", "a-x-2-y", "a-1-!-y", "a-1--2-y", "a-01-2-y", "a-1-0A-y", "a-1-A-y",
		model.RequestID(fmt.Sprintf("a-1-2-%0200d", 1)),
	} {
		_, err := Parse(bad)
		qt.Assert(t, verdict.From(err).Verdict, qt.Equals, verdict.NotRun, qt.Commentf("%q", bad))
	}
}

// TestRepeats checks what a Begin is told after an earlier history of its id.
func TestRepeats(t *testing.T) {
	id := Mint("a", 2, 100, "r")
	notRun := &Command{Finish: &api.RecordFinish{ID: id, Attempt: "1", NotRun: true}}
	other := begin(id, "2")
	other.Begin.Digest++
	cases := []struct {
		name string
		past []*Command
		at   int64
		next *Command
		want api.RecordState
	}{
		{"first", nil, 100, begin(id, "1"), api.RecordFresh},
		{"lost reply, same attempt", []*Command{begin(id, "1")}, 100, begin(id, "1"), api.RecordFresh},
		{"in flight elsewhere", []*Command{begin(id, "1")}, 100, begin(id, "2"), api.RecordOpen},
		{"answered", []*Command{begin(id, "1"), finish(id, "1", "x")}, 100, begin(id, "2"), api.RecordAnswered},
		{"answered, same attempt", []*Command{begin(id, "1"), finish(id, "1", "x")}, 100, begin(id, "1"), api.RecordAnswered},
		{"closed unsent", []*Command{begin(id, "1"), notRun}, 100, begin(id, "2"), api.RecordNotRun},
		{"closed unsent, then answered", []*Command{begin(id, "1"), notRun, finish(id, "1", "x")}, 100, begin(id, "2"), api.RecordNotRun},
		{"closed by a stranger", []*Command{begin(id, "1"), finish(id, "9", "x")}, 100, begin(id, "2"), api.RecordOpen},
		{"different request", []*Command{begin(id, "1")}, 100, other, api.RecordMismatch},
		{"past its life", []*Command{begin(id, "1")}, 100 + life, begin(id, "2"), api.RecordExpired},
		{"never seen, past its life", nil, 100 + life, begin(id, "1"), api.RecordExpired},
		{"older generation", nil, 100, begin(Mint("a", 1, 100, "r"), "1"), api.RecordExpired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New("a", 2, Limits{10, 100})
			for _, p := range c.past {
				s.Apply(100, p)
			}
			got := s.Apply(c.at, c.next)
			qt.Assert(t, got.Refusal == nil, qt.IsTrue)
			qt.Assert(t, got.Reply.State, qt.Equals, c.want)
		})
	}
}

func TestRefusals(t *testing.T) {
	full := New("a", 2, Limits{1, 100})
	full.Apply(0, begin(Mint("a", 2, 0, "x"), "1"))
	cases := []struct {
		name string
		id   model.RequestID
		want verdict.Reason
	}{
		{"full", Mint("a", 2, 0, "y"), verdict.ReasonOverload},
		{"other data centre", Mint("b", 2, 0, "y"), verdict.ReasonBadRequest},
		{"not an id", "hello", verdict.ReasonBadRequest},
		{"from the future", Mint("a", 2, mintAheadMillis+1, "y"), verdict.ReasonBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := full.Apply(0, begin(c.id, "1"))
			qt.Assert(t, got.Refusal.Reason, qt.Equals, c.want)
			qt.Assert(t, got.Refusal.Verdict, qt.Equals, verdict.NotRun)
		})
	}
}

// TestLongerLifeLater checks that an id whose record is gone is not taken for
// new when the life of records is raised afterwards.
func TestLongerLifeLater(t *testing.T) {
	s := New("a", 2, Limits{10, 100})
	id := Mint("a", 2, 100, "r")
	s.Apply(100, begin(id, "1"))
	s.Apply(100+life, begin(Mint("a", 2, 200, "q"), "1"))
	again := begin(id, "2")
	again.Begin.LifeMillis = 100 * life
	qt.Assert(t, s.Apply(101+life, again).Reply.State, qt.Equals, api.RecordExpired)
}

func TestAnswersAreBounded(t *testing.T) {
	s := New("a", 2, Limits{10, 4})
	for i, want := range []bool{true, false} {
		id := Mint("a", 2, 0, fmt.Sprint(i))
		s.Apply(0, begin(id, "1"))
		s.Apply(0, finish(id, "1", "abc"))
		got := s.Apply(0, begin(id, "2")).Reply
		qt.Assert(t, got.State, qt.Equals, api.RecordAnswered)
		qt.Assert(t, got.Answer.Whole, qt.Equals, want)
	}
}

// TestAtMostOneFresh checks, over random commands and restored snapshots, that
// no id is fresh for two attempts and that equal states encode equally.
func TestAtMostOneFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New("a", 1, Limits{4, 8})
		now := int64(0)
		winner := map[model.RequestID]string{}
		var ids []model.RequestID
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 300).Draw(t, "ms")
			if len(ids) == 0 || rapid.Bool().Draw(t, "new") {
				ids = append(ids, Mint("a", 1, now, fmt.Sprint(len(ids))))
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			attempt := rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "attempt")
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				s.Apply(now, finish(id, attempt, "abc"))
				continue
			}
			cmd := begin(id, attempt)
			cmd.Begin.LifeMillis = rapid.Int64Range(1, 3*life).Draw(t, "life")
			got := s.Apply(now, cmd)
			if got.Reply != nil && got.Reply.State == api.RecordFresh {
				if w, ok := winner[id]; ok && w != attempt {
					t.Fatalf("%s is fresh for %s and %s", id, w, attempt)
				}
				winner[id] = attempt
			}
			s = restored(t, s)
		}
	})
}

func restored(t *rapid.T, s *State) *State {
	before, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	fresh := New("", 0, s.limits)
	if err := fresh.Restore(before); err != nil {
		t.Fatal(err)
	}
	after, _ := fresh.Snapshot()
	if string(before) != string(after) {
		t.Fatal("a restored table encodes differently")
	}
	return fresh
}
