package cellapi

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
	"kumquatwing/internal/verdict"
)

// TestSubmissionAfterAcknowledgedCancelIsRefused guards against a job that runs although
// its caller was told that there is no such job when it cancelled it: the submission was
// held up on its way, and its caller had given up.
func TestSubmissionAfterAcknowledgedCancelIsRefused(t *testing.T) {
	ctx := context.Background()
	s, client := newServer(t)
	_, err := client.Configure(ctx, &ConfigureRequest{Config: testConfig, Document: []byte("{}")})
	qt.Assert(t, err, qt.IsNil)
	closed, open := CallTarget{"h", "/q/", "ka"}, CallTarget{"h", "/q/open/", ""}
	openWithKey := CallTarget{"h", "/q/open/", "ka"}
	other := CallTarget{"h", "/q/", "kb"}
	for _, c := range []struct {
		name           string
		cancel, submit CallTarget
		accepted       bool
	}{
		{"the same caller", closed, closed, false},
		{"without a key", open, open, false},
		{"with a key, cancelled without it", open, openWithKey, false},
		{"another workspace", other, closed, true},
		{"another place without a key", open, closed, true},
	} {
		id := cell.JobID("late " + c.name)
		_, err := client.Cancel(ctx, &JobRequest{Place: c.cancel, ID: id})
		qt.Check(t, reasonOf(err), qt.Equals, verdict.ReasonUnknownJob, qt.Commentf(c.name))
		for range 2 {
			_, err = client.Submit(ctx, &SubmitRequest{Place: c.submit, ID: id, Steps: []cell.Step{{Count: 1}}})
			qt.Check(t, err == nil, qt.Equals, c.accepted, qt.Commentf(c.name))
		}
		stored := false
		s.State.Read(func() { stored = s.State.Jobs[id] != nil })
		qt.Check(t, stored, qt.Equals, c.accepted, qt.Commentf(c.name))
		if !c.accepted {
			qt.Check(t, verdict.FromError(err).Verdict, qt.Equals, verdict.NotRun, qt.Commentf(c.name))
			qt.Check(t, verdict.FromError(err).Retry, qt.IsFalse, qt.Commentf(c.name))
		}
	}
}
