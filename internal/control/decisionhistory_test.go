package control

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// TestTasksNeedAKeyOrTheOperator checks that a job's tasks are not listed without
// a workspace key or the operator token.
func TestTasksNeedAKeyOrTheOperator(t *testing.T) {
	s, err := New(Config{
		VM: "vm1", DC: "dc1", WireAddr: "127.0.77.2:7201", HTTPAddr: "127.0.77.2:7200", OperatorToken: "secret",
	}, zap.NewNop())
	qt.Assert(t, err, qt.IsNil)
	defer s.close()
	w := httptest.NewRecorder()
	s.routes().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/jobs/j1/tasks", nil))
	qt.Assert(t, w.Code, qt.Equals, http.StatusUnauthorized)
}
