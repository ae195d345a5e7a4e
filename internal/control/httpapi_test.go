package control

import (
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-chi/chi/v5"

	"kumquatwing/internal/api"
	"kumquatwing/internal/verdict"
)

// TestUnknownPathIsRefused checks that a wrong path or method gets a verdict.
func TestUnknownPathIsRefused(t *testing.T) {
	s := &Server{}
	r := chi.NewRouter()
	s.callerRoutes(r)
	for _, target := range []string{"/v1/nonsense", "/nonsense", api.PathStatus} {
		w := httptest.NewRecorder()
		r.ServeHTTP(w, httptest.NewRequest("PUT", target, nil))
		qt.Check(t, w.Header().Get(api.HeaderVerdict), qt.Equals, string(verdict.NotRun), qt.Commentf("%s", target))
		qt.Check(t, w.Header().Get(api.HeaderReason), qt.Equals, string(verdict.ReasonBadRequest))
	}
}
