package cellapi

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/verdict"
)

// TestDelayedServiceChangeIsRefused guards against an order that its sender has given up,
// that arrives after later ones and undoes them: a data centre that was taken out of
// service again would be in service for good.
func TestDelayedServiceChangeIsRefused(t *testing.T) {
	ctx := context.Background()
	s, client := newServer(t)
	lead(t, s)
	isOut := func() (out bool) {
		s.State.Read(func() { out = s.State.OutOfService["dc"] })
		return out
	}
	set := func(out bool) {
		t.Helper()
		_, err := client.SetOut(ctx, &SetOutRequest{DC: "dc", Out: out})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, isOut(), qt.Equals, out)
	}
	set(true)
	hello, err := s.hello(ctx, &HelloRequest{})
	qt.Assert(t, err, qt.IsNil)
	delayed := &SetOutRequest{DC: "dc", Out: false, Revision: ServiceRevision{hello.Term, hello.ServiceChanges["dc"]}}
	set(false)
	set(true)
	_, err = s.setOut(ctx, delayed)
	qt.Check(t, reasonOf(err), qt.Equals, verdict.ReasonConflict)
	qt.Check(t, verdict.FromError(err).Verdict, qt.Equals, verdict.NotRun)
	qt.Check(t, isOut(), qt.IsTrue)

	delayed.Revision.Term++
	delayed.Revision.Changes = 0
	delayed.DC = "other"
	_, err = s.setOut(ctx, delayed)
	qt.Check(t, reasonOf(err), qt.Equals, verdict.ReasonConflict, qt.Commentf("a change that is based on what another leader told"))
}
