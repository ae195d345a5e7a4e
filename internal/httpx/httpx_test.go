package httpx

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
	"kumquatwing/internal/verdict"
)

// sample is decoded from the bodies of the tests.
type sample struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// TestReadJSONNamesField checks that a refused body names the field or the byte in
// question.
func TestReadJSONNamesField(t *testing.T) {
	cases := []struct {
		name, body, want string
		reason           verdict.Reason
	}{
		{"unknown field", `{"nam":"x"}`, `unknown field "nam"`, verdict.ReasonBadRequest},
		{"wrong type", `{"count":"x"}`, `field "count"`, verdict.ReasonBadRequest},
		{"not JSON", `{"count":}`, `at byte`, verdict.ReasonBadRequest},
		{"cut", `{"count":1`, `ends within`, verdict.ReasonBadRequest},
		{"empty", ``, `empty`, verdict.ReasonBadRequest},
		{"trailing", `{} {}`, `after its JSON`, verdict.ReasonBadRequest},
		{"too large", `{"name":"` + strings.Repeat("x", 100) + `"}`, `over 64 bytes`, verdict.ReasonTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			req := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(c.body))
			r := ReadJSON(req, 64, &sample{})
			qt.Assert(t, r, qt.IsNotNil)
			qt.Assert(t, r.Verdict, qt.Equals, verdict.NotRun)
			qt.Assert(t, r.Reason, qt.Equals, c.reason)
			qt.Assert(t, r.Message, qt.Contains, c.want)
		})
	}
}

func TestWriteRefusal(t *testing.T) {
	w := httptest.NewRecorder()
	WriteRefusal(w, verdict.Refuse(verdict.ReasonOverload, "full").WithRetryAfter(1500*time.Millisecond))
	qt.Assert(t, w.Code, qt.Equals, http.StatusTooManyRequests)
	qt.Assert(t, w.Header().Get(api.HeaderVerdict), qt.Equals, "not-run")
	qt.Assert(t, w.Header().Get(api.HeaderReason), qt.Equals, "overload")
	qt.Assert(t, w.Header().Get("Retry-After"), qt.Equals, "2")
	var r verdict.Refusal
	qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &r), qt.IsNil)
	qt.Assert(t, r.Message, qt.Equals, "full")
}
