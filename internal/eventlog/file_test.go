package eventlog

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestObserveIsBounded checks that Observe follows a timestamp five minutes ahead of
// the wall clock, and ignores one that is far ahead because of a wrong clock.
func TestObserveIsBounded(t *testing.T) {
	f, err := OpenFile(t.TempDir(), "kqcontrol", "a", DefaultFileBytes)
	qt.Assert(t, err, qt.IsNil)
	defer f.Close()
	now := time.Now().UnixMilli()
	near := Timestamp{WallMillis: now + maxAheadMillis/2}
	f.Observe(near)
	qt.Assert(t, near.Less(f.Now()), qt.IsTrue)
	far := Timestamp{WallMillis: now + 100*maxAheadMillis}
	f.Observe(far)
	qt.Assert(t, f.Now().Less(far), qt.IsTrue)
}
