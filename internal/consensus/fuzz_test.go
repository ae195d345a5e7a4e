package consensus

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/clock"
)

// FuzzStep checks that no message from another member makes a follower or a leader
// panic.
func FuzzStep(f *testing.F) {
	for kind := MsgPreVote; kind <= MsgTimeoutNow; kind++ {
		for _, m := range []Message{
			{Kind: kind, From: 2, To: 1, Term: 4, Index: 2, LogTerm: 2, Commit: 2, Entries: []Entry{{Index: 3, Term: 4, Kind: EntryCommand}}},
			{Kind: kind, From: 2, To: 1, Term: 9, Index: 90, LogTerm: 1, Commit: 99, Hint: 7, Reject: true},
			{Kind: kind, From: 2, To: 1, Term: 4, Chunk: &Chunk{Index: 9, Term: 3, Size: 4, Data: []byte("ab")}},
		} {
			data, err := Encode(&m)
			qt.Assert(f, err, qt.IsNil)
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if Decode(data, &m) != nil {
			return
		}
		for _, leads := range []bool{false, true} {
			now := clock.Instant(time.Hour)
			r := New(testOptions(1), threeVoters(t), now)
			if leads {
				elect(t, r, &now)
			}
			r.Step(now.Add(time.Second), m)
			drain(r)
			r.Tick(now.Add(2 * time.Second))
			drain(r)
		}
	})
}
