package entry

import (
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
	"kumquatwing/internal/verdict"
)

// TestForwardedReplyHasVerdict checks the verdict headers of replies from kqcontrol.
func TestForwardedReplyHasVerdict(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		want   verdict.Verdict
		reason verdict.Reason
	}{
		{"answer", 200, `{"jobs":[]}`, verdict.Done, ""},
		{"refusal", 409, `{"verdict":"not-run","reason":"conflict"}`, verdict.NotRun, verdict.ReasonConflict},
		{"error without a verdict", 500, "answer can't be encoded", verdict.MayHaveRun, verdict.ReasonInternal},
		{"other JSON", 404, `{"detail":"?"}`, verdict.MayHaveRun, verdict.ReasonInternal},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			writeReply(w, &api.HTTPReply{Status: tc.status, ContentType: "application/json", Body: []byte(tc.body)})
			qt.Assert(t, w.Header().Get(api.HeaderVerdict), qt.Equals, string(tc.want))
			qt.Assert(t, w.Header().Get(api.HeaderReason), qt.Equals, string(tc.reason))
			qt.Assert(t, w.Code, qt.Equals, tc.status)
			qt.Assert(t, w.Body.String(), qt.Contains, tc.body)
		})
	}
}
