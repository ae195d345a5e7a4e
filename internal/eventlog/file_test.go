package eventlog

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestObserveIsBounded checks that a clock a little ahead is followed, and that
// a wrong one is not.
func TestObserveIsBounded(t *testing.T) {
	f, err := OpenFile(t.TempDir(), "kqcontrol", "a", DefaultFileBytes)
	qt.Assert(t, err, qt.IsNil)
	defer f.Close()
	now := time.Now().UnixMilli()
	near := Stamp{WallMillis: now + maxAheadMillis/2}
	f.Observe(near)
	qt.Assert(t, near.Less(f.Now()), qt.IsTrue)
	far := Stamp{WallMillis: now + 100*maxAheadMillis}
	f.Observe(far)
	qt.Assert(t, f.Now().Less(far), qt.IsTrue)
}
