package control

import (
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-chi/chi/v5"

	"kumquatwing/internal/api"
	"kumquatwing/internal/verdict"
)

// TestUnknownPathIsRefused checks that a call with an unknown path or method is
// answered with a verdict and a reason.
func TestUnknownPathIsRefused(t *testing.T) {
	s := &Server{}
	r := chi.NewRouter()
	s.registerRoutes(r)
	for _, target := range []string{"/v1/nonsense", "/nonsense", api.PathStatus} {
		w := httptest.NewRecorder()
		r.ServeHTTP(w, httptest.NewRequest("PUT", target, nil))
		qt.Check(t, w.Header().Get(api.HeaderVerdict), qt.Equals, string(verdict.NotRun), qt.Commentf("%s", target))
		qt.Check(t, w.Header().Get(api.HeaderReason), qt.Equals, string(verdict.ReasonBadRequest))
	}
}
