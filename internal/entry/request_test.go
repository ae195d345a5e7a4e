package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/verdict"
)

// TestRequestRunsOnce checks that a request gets the backend server's response, and
// that its duplicate gets the stored one without a second run.
func TestRequestRunsOnce(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	e := dc.addEntry()
	s := dc.addServer("orders")
	got := dc.send(e, request{path: "/q/orders/x", key: vetsKey, body: "girth"})
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, "girth")
	qt.Assert(t, got.verdict, qt.Equals, verdict.Done)
	duplicate := dc.send(e, request{path: "/q/orders/x", key: vetsKey, body: "girth", id: got.id})
	qt.Assert(t, duplicate.body, qt.Equals, "girth")
	qt.Assert(t, duplicate.reason, qt.Equals, verdict.ReasonDuplicate)
	qt.Assert(t, s.Counts().Runs[got.id], qt.Equals, 1)
}
