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

// lifeMillis is the lifetime of the records.
const lifeMillis = 1000

func begin(id model.RequestID, attempt string) *Command {
	return &Command{Begin: &api.RecordBegin{ID: id, Workspace: "vets", Queue: "orders", Digest: 7, LifeMillis: lifeMillis, Attempt: attempt}}
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
		qt.Assert(t, verdict.FromError(err).Verdict, qt.Equals, verdict.NotRun, qt.Commentf("%q", bad))
	}
}

// TestDuplicateBegins checks the reply to a Begin after earlier commands for
// the same id.
func TestDuplicateBegins(t *testing.T) {
	id := Mint("a", 2, 100, "r")
	notRun := &Command{Finish: &api.RecordFinish{ID: id, Attempt: "1", NotRun: true}}
	mismatched := begin(id, "2")
	mismatched.Begin.Digest++
	cases := []struct {
		name  string
		prior []*Command
		at    int64
		next  *Command
		want  api.RecordState
	}{
		{"first", nil, 100, begin(id, "1"), api.RecordFresh},
		{"lost reply, same attempt", []*Command{begin(id, "1")}, 100, begin(id, "1"), api.RecordFresh},
		{"open for another attempt", []*Command{begin(id, "1")}, 100, begin(id, "2"), api.RecordOpen},
		{"answered", []*Command{begin(id, "1"), finish(id, "1", "x")}, 100, begin(id, "2"), api.RecordAnswered},
		{"answered, same attempt", []*Command{begin(id, "1"), finish(id, "1", "x")}, 100, begin(id, "1"), api.RecordAnswered},
		{"finished unsent", []*Command{begin(id, "1"), notRun}, 100, begin(id, "2"), api.RecordNotRun},
		{"finished unsent, then answered", []*Command{begin(id, "1"), notRun, finish(id, "1", "x")}, 100, begin(id, "2"), api.RecordNotRun},
		{"finished by another attempt", []*Command{begin(id, "1"), finish(id, "9", "x")}, 100, begin(id, "2"), api.RecordOpen},
		{"different request", []*Command{begin(id, "1")}, 100, mismatched, api.RecordMismatch},
		{"past its lifetime", []*Command{begin(id, "1")}, 100 + lifeMillis, begin(id, "2"), api.RecordExpired},
		{"never seen, past its lifetime", nil, 100 + lifeMillis, begin(id, "1"), api.RecordExpired},
		{"older generation", nil, 100, begin(Mint("a", 1, 100, "r"), "1"), api.RecordExpired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New("a", 2, Limits{10, 100})
			for _, p := range c.prior {
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
		{"minted in the future", Mint("a", 2, maxMintAheadMillis+1, "y"), verdict.ReasonBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := full.Apply(0, begin(c.id, "1"))
			qt.Assert(t, got.Refusal.Reason, qt.Equals, c.want)
			qt.Assert(t, got.Refusal.Verdict, qt.Equals, verdict.NotRun)
		})
	}
}

// TestRaisedLifetimeKeepsRecordExpired checks that an id whose record has
// expired is not taken for a new one when the lifetime of records is raised
// afterwards.
func TestRaisedLifetimeKeepsRecordExpired(t *testing.T) {
	s := New("a", 2, Limits{10, 100})
	id := Mint("a", 2, 100, "r")
	s.Apply(100, begin(id, "1"))
	s.Apply(100+lifeMillis, begin(Mint("a", 2, 200, "q"), "1"))
	duplicate := begin(id, "2")
	duplicate.Begin.LifeMillis = 100 * lifeMillis
	qt.Assert(t, s.Apply(101+lifeMillis, duplicate).Reply.State, qt.Equals, api.RecordExpired)
}

// TestStoredResponsesAreBounded checks that a response body that would exceed
// the limit is not stored.
func TestStoredResponsesAreBounded(t *testing.T) {
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
// no id gets a fresh record for two attempts and that equal states have equal
// encodings.
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
			cmd.Begin.LifeMillis = rapid.Int64Range(1, 3*lifeMillis).Draw(t, "life")
			got := s.Apply(now, cmd)
			if got.Reply != nil && got.Reply.State == api.RecordFresh {
				if w, ok := winner[id]; ok && w != attempt {
					t.Fatalf("%s is fresh for %s and %s", id, w, attempt)
				}
				winner[id] = attempt
			}
			s = restoreFromSnapshot(t, s)
		}
	})
}

// restoreFromSnapshot returns a State restored from a snapshot of s. It fails
// the test if the two encode differently.
func restoreFromSnapshot(t *rapid.T, s *State) *State {
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
		t.Fatal("a restored state encodes differently")
	}
	return fresh
}
