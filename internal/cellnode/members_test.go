package cellnode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/replica"
)

func voter(id replica.MemberID) replica.Member { return replica.Member{ID: id} }

func learner(id replica.MemberID) replica.Member { return replica.Member{ID: id, Learner: true} }

func TestNextChange(t *testing.T) {
	three := []replica.Member{voter(1), voter(2), voter(3)}
	with := func(ms ...replica.Member) []replica.Member {
		return append(append([]replica.Member{}, three...), ms...)
	}
	silent := func(id replica.MemberID, d time.Duration) map[replica.MemberID]time.Duration {
		return map[replica.MemberID]time.Duration{id: d}
	}
	for _, c := range []struct {
		name    string
		members []replica.Member
		joining []replica.Member
		silent  map[replica.MemberID]time.Duration
		want    change
	}{
		{"nothing to do", three, nil, nil, change{}},
		{"a member asks again", three, []replica.Member{learner(2)}, nil, change{}},
		{"a process asks to join", three, []replica.Member{learner(4)}, nil, change{changeAdd, learner(4)}},
		{"a learner beside enough voters", with(learner(4)), nil, nil, change{}},
		{"a learner in place of a wiped voter", []replica.Member{voter(1), voter(2), learner(4)}, nil, nil, change{changePromote, learner(4)}},
		{"not while it is silent", []replica.Member{voter(1), voter(2), learner(4)}, nil, silent(4, time.Millisecond), change{}},
		{"a voter is silent for a short time", with(learner(4)), nil, silent(3, replaceAfter/2), change{}},
		{"a voter is silent for long", with(learner(4)), nil, silent(3, 2*replaceAfter), change{changePromote, learner(4)}},
		{"it goes once another one votes", with(voter(4)), nil, silent(3, 2*replaceAfter), change{changeRemove, voter(3)}},
		{"it stays where nobody can take its place", three, nil, silent(3, 2*replaceAfter), change{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			qt.Check(t, nextChange(c.members, c.joining, c.silent, 3), qt.Equals, c.want)
		})
	}
}

func TestFoundersAgreeOnIdentities(t *testing.T) {
	seeds := []string{"10.0.0.1:7000", "10.0.0.2:7000"}
	fs := founders(seeds)
	qt.Check(t, fs[0].ID, qt.Equals, founderID(seeds[0]))
	qt.Check(t, fs[0].ID, qt.Not(qt.Equals), fs[1].ID)
	qt.Check(t, fs[1].VM, qt.Equals, "10.0.0.2")
}
