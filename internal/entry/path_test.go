package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/verdict"
)

func TestThinPath(t *testing.T) {
	t.Parallel()
	c := newCell(t)
	e := c.addEntry()
	s := c.addServer("orders")
	got := c.send(e, request{path: "/q/orders/x", key: vetsKey, body: "girth"})
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, "girth")
	qt.Assert(t, got.verdict, qt.Equals, verdict.Done)
	again := c.send(e, request{path: "/q/orders/x", key: vetsKey, body: "girth", id: got.id})
	qt.Assert(t, again.body, qt.Equals, "girth")
	qt.Assert(t, again.reason, qt.Equals, verdict.ReasonRepeat)
	qt.Assert(t, s.Counts().Runs[got.id], qt.Equals, 1)
}
