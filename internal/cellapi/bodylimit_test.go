package cellapi

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestBodyLimitIsReadOncePerVersion guards against a leader that decodes its configuration at
// every hello, and against a limit that stays when the configuration changes.
func TestBodyLimitIsReadOncePerVersion(t *testing.T) {
	var b bodyLimit
	reads := 0
	read := func(n int64) func() int64 {
		return func() int64 { reads++; return n }
	}
	qt.Check(t, b.of(0, read(10)), qt.Equals, int64(10))
	qt.Check(t, b.of(0, read(11)), qt.Equals, int64(10))
	qt.Check(t, b.of(2, read(0)), qt.Equals, int64(0))
	qt.Check(t, b.of(2, read(12)), qt.Equals, int64(0))
	qt.Check(t, reads, qt.Equals, 2)
}
