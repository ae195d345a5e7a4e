package entry

import (
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
	"kumquatwing/internal/verdict"
)

// TestPassedReplyHasAVerdict checks the verdict of answers that kqcontrol gave.
func TestPassedReplyHasAVerdict(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		want   verdict.Verdict
		reason verdict.Reason
	}{
		{"answer", 200, `{"jobs":[]}`, verdict.Done, ""},
		{"refusal", 409, `{"verdict":"not-run","reason":"conflict"}`, verdict.NotRun, verdict.ReasonConflict},
		{"fault without a verdict", 500, "answer can't be encoded", verdict.MayHaveRun, verdict.ReasonInternal},
		{"other JSON", 404, `{"detail":"?"}`, verdict.MayHaveRun, verdict.ReasonInternal},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			writeReply(w, &api.HTTPReply{Status: k.status, ContentType: "application/json", Body: []byte(k.body)})
			qt.Assert(t, w.Header().Get(api.HeaderVerdict), qt.Equals, string(k.want))
			qt.Assert(t, w.Header().Get(api.HeaderReason), qt.Equals, string(k.reason))
			qt.Assert(t, w.Code, qt.Equals, k.status)
			qt.Assert(t, w.Body.String(), qt.Contains, k.body)
		})
	}
}
