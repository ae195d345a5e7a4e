package command

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-chi/chi/v5"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/fleetapi"
	"kumquatwing/internal/httpx"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/verdict"
)

const examples = "../../examples/fleet"

// inForceStub reports all revisions up to its value as in force.
type inForceStub uint64

func (s inForceStub) InForce(_ context.Context, revision uint64) (*api.InForce, error) {
	waiting := []api.PendingHolder{{Holder: "vm-3", DC: "dc3", Confirmed: uint64(s), EndsMillis: 900}}
	return &api.InForce{Revision: revision, InForce: revision <= uint64(s), Waiting: waiting}, nil
}

// startServer starts a fleet group of one member with its HTTP API.
func startServer(t *testing.T, inForce inForceStub) (server *httptest.Server, state *fleet.State) {
	state = fleet.New()
	r := chi.NewRouter()
	fleetapi.New(fleetapi.Config{
		Group:          replica.NewLocal(state, replica.Member{ID: 1}),
		State:          state,
		RolloutTracker: inForce,
		OperatorToken:  "tok",
	}).Routes(r)
	server = httptest.NewServer(r)
	t.Cleanup(server.Close)
	return server, state
}

// runKqctl runs kqctl with args.
func runKqctl(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Run(append([]string{"kqctl"}, args...), &out, &errs)
	return code, out.String(), errs.String()
}

// operatorArgs returns args behind the flags with which an operator calls server.
func operatorArgs(server *httptest.Server, args ...string) []string {
	return append([]string{"--server", server.URL, "--operator-token", "tok", "--actor", "ada", "--timeout", "2s"}, args...)
}

func mustRun(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errs := runKqctl(args...)
	if code != ExitOK {
		t.Fatalf("kqctl %v: exit %d: %s", args, code, errs)
	}
	return out
}

// grantKey grants a key for workspace and returns the text of the key.
func grantKey(t *testing.T, server *httptest.Server, workspace string) string {
	out := mustRun(t, operatorArgs(server, "key", "grant", workspace)...)
	_, key, ok := strings.Cut(out, "\nkey ")
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s", out))
	return strings.TrimSpace(key)
}

func TestApplyGrantSubmitAndCancel(t *testing.T) {
	server, _ := startServer(t, 0)
	out := mustRun(t, operatorArgs(server, "apply", "-f", examples)...)
	qt.Assert(t, out, qt.Contains, "accepted as revision 1")
	key := grantKey(t, server, "yearbook")
	submit := []string{"--server", server.URL, "--key", key, "job", "submit", "--id", "edition-1", "--tasks", "3", "--run", "2s"}
	qt.Assert(t, mustRun(t, submit...), qt.Equals, "edition-1\n")
	qt.Assert(t, mustRun(t, submit...), qt.Equals, "edition-1\n")
	out = mustRun(t, "--server", server.URL, "--key", key, "job", "status", "edition-1")
	qt.Assert(t, out, qt.Contains, "edition-1 batch workspace yearbook, 3 tasks of 1000m/512MB/0, unfinished")
	other := grantKey(t, server, "counter")
	code, _, errs := runKqctl("--server", server.URL, "--key", other, "job", "cancel", "edition-1")
	qt.Assert(t, code, qt.Equals, ExitRefused)
	qt.Assert(t, errs, qt.Contains, "unknown-job (not-run)")
	mustRun(t, "--server", server.URL, "--key", key, "job", "cancel", "edition-1")
	out = mustRun(t, operatorArgs(server, "get", "--explain", "--workspace", "yearbook", "--workload", "chapters", "request.deadline")...)
	qt.Assert(t, out, qt.Equals, "request.deadline=30s by workload yearbook/chapters, revision 1\n")
	out = mustRun(t, operatorArgs(server, "history")...)
	qt.Assert(t, out, qt.Contains, "key-grant by ada")
}

func TestRevokedKeyIsRefused(t *testing.T) {
	server, _ := startServer(t, 0)
	mustRun(t, operatorArgs(server, "apply", "-f", examples)...)
	key := grantKey(t, server, "yearbook")
	id := strings.Split(key, "_")[1]
	mustRun(t, operatorArgs(server, "key", "withdraw", id)...)
	code, _, errs := runKqctl("--server", server.URL, "--key", key, "job", "submit")
	qt.Assert(t, code, qt.Equals, ExitRefused)
	qt.Assert(t, errs, qt.Contains, "bad-key (not-run)")
}

func TestExitCodes(t *testing.T) {
	server, _ := startServer(t, 1)
	mustRun(t, operatorArgs(server, "apply", "-f", examples)...)
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	qt.Assert(t, os.WriteFile(bad, []byte("settings:\n  request.tries: many\n"), 0o600), qt.IsNil)
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"check", []string{"check", "-f", examples}, ExitOK, ""},
		{"invalid file", []string{"check", "-f", bad}, ExitUsage, `bad.yaml:2: settings.request.tries: "many" is not a whole number`},
		{"no server", []string{"status"}, ExitUsage, "KQ_SERVER"},
		{"unknown flag", []string{"status", "--nope"}, ExitUsage, "nope"},
		{
			"first invalid flag of a job", operatorArgs(server, "job", "submit", "--class", "bogus", "--cpu", "x", "--memory", "y", "--tasks", "0", "--run=-1s"),
			ExitUsage, `--cpu: "x" is not a number of cores, such as 2, 1.5 or 1500m`,
		},
		{
			"last invalid flag of a job", operatorArgs(server, "job", "submit", "--class", "bogus", "--cpu", "x", "--memory", "y", "--tasks", "0", "--run=-1s"),
			ExitUsage, "--run is -1s, not at least 0s",
		},
		{"missing argument", operatorArgs(server, "dc", "out"), ExitUsage, "needs 1 arguments"},
		{"wrong token", []string{"--server", server.URL, "history"}, ExitRefused, "Kq-Operator is missing"},
		{"stale revision", operatorArgs(server, "dc", "out", "--expect-revision", "0", "dc1"), ExitRefused, "by ada made revision 1"},
		{"in force", operatorArgs(server, "dc", "in", "--wait", "dc1"), ExitOK, ""},
		{"pending", operatorArgs(server, "dc", "out", "--wait", "--wait-timeout", "250ms", "dc1"), ExitPending, "waits for vm-3 in dc3"},
		{"init with two servers", []string{"--server", "a,b", "init"}, ExitUsage, "exactly one"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, _, errs := runKqctl(c.args...)
			qt.Assert(t, code, qt.Equals, c.code, qt.Commentf("%s", errs))
			qt.Assert(t, errs, qt.Contains, c.want)
		})
	}
}

// TestPendingNamesWaitingHoldersAfterTimeout checks that the message of a wait names
// what the last answer waited for, also if the last status call got no answer.
func TestPendingNamesWaitingHoldersAfterTimeout(t *testing.T) {
	server, _ := startServer(t, 1)
	mustRun(t, operatorArgs(server, "apply", "-f", examples)...)
	var calls atomic.Int64
	stalling := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "in-force") && calls.Add(1) > 1 {
			<-r.Context().Done()
			return
		}
		server.Config.Handler.ServeHTTP(w, r)
	}))
	t.Cleanup(stalling.Close)
	code, _, errs := runKqctl(operatorArgs(stalling, "dc", "out", "--wait", "--wait-timeout", "600ms", "dc1")...)
	qt.Check(t, code, qt.Equals, ExitPending)
	qt.Check(t, calls.Load() > 1, qt.IsTrue)
	qt.Check(t, errs, qt.Contains, "waits for vm-3 in dc3")
}

// TestRetryAtNextServer lists a closed port first, then a server that executes calls
// but drops the responses, then a working one.
func TestRetryAtNextServer(t *testing.T) {
	server, state := startServer(t, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	closed := l.Addr().String()
	l.Close()
	dropping := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.Config.Handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(dropping.Close)
	args := append([]string{"--server", closed, "--server", dropping.URL}, operatorArgs(server, "apply", "-f", examples)...)
	out := mustRun(t, args...)
	qt.Assert(t, out, qt.Contains, "already accepted in an earlier attempt")
	qt.Assert(t, state.Revision(), qt.Equals, uint64(1))

	code, _, errs := runKqctl("--server", closed, "--timeout", "300ms", "history")
	qt.Assert(t, code, qt.Equals, ExitRefused)
	qt.Assert(t, errs, qt.Contains, "unreachable (not-run)")
	code, _, errs = runKqctl("--server", dropping.URL, "--operator-token", "tok", "--timeout", "300ms", "dc", "out", "dc1")
	qt.Assert(t, code, qt.Equals, ExitMayHaveRun)
	qt.Assert(t, errs, qt.Contains, "send it again with --op-id")
}

// TestGrantIsRepeatedAfterLostResponse drops the responses to a grant, then repeats
// the grant with the printed key: the key must be valid, and the only one.
func TestGrantIsRepeatedAfterLostResponse(t *testing.T) {
	server, state := startServer(t, 0)
	mustRun(t, operatorArgs(server, "apply", "-f", examples)...)
	dropping := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		server.Config.Handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(dropping.Close)
	code, out, errs := runKqctl("--server", dropping.URL, "--operator-token", "tok", "--actor", "ada", "--timeout", "300ms",
		"key", "grant", "--op-id", "g1", "counter")
	qt.Assert(t, code, qt.Equals, ExitMayHaveRun)
	key := strings.TrimSpace(strings.TrimPrefix(out, "key "))
	qt.Assert(t, errs, qt.Contains, "--again "+key)
	out = mustRun(t, operatorArgs(server, "key", "grant", "--op-id", "g1", "--again", key, "counter")...)
	qt.Assert(t, out, qt.Contains, "already accepted in an earlier attempt")
	_, refusal := fleet.Authenticate(state.EntryView(), key)
	qt.Assert(t, refusal == nil, qt.IsTrue)
	qt.Assert(t, state.Keys(), qt.HasLen, 1)
}

func TestJobStatusShowsTasks(t *testing.T) {
	r := chi.NewRouter()
	r.Get(api.PathJob, func(w http.ResponseWriter, _ *http.Request) {
		spec := model.JobSpec{ID: "j", Workspace: "shop", Class: model.ClassBatch, Tasks: 2}
		httpx.WriteJSON(w, http.StatusOK, &api.JobStatus{Spec: spec, Outcome: model.OutcomeSucceeded})
	})
	r.Get(api.PathJobTasks, func(w http.ResponseWriter, _ *http.Request) {
		task := model.Task{ID: "j.0", State: model.TaskRunning, Worker: "w1"}
		httpx.WriteJSON(w, http.StatusOK, &tasksResponse{Tasks: []model.Task{task}, Silent: []model.DCID{"dc2"}})
	})
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	out := mustRun(t, "--server", server.URL, "job", "status", "--wait", "j")
	qt.Assert(t, out, qt.Equals, "j batch workspace shop, 2 tasks of 0m/0MB/0, succeeded\n"+
		"  j.0 running on w1\n  tasks in data centre dc2 are unknown\n")
	out = mustRun(t, "--server", server.URL, "--output", "json", "job", "status", "j")
	qt.Assert(t, out, qt.Contains, `"worker":"w1"`)
}

func TestWhyPrintsLines(t *testing.T) {
	r := chi.NewRouter()
	r.Get(api.PathWhy, func(w http.ResponseWriter, r *http.Request) {
		if chi.URLParam(r, "id") != "j.0" {
			httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonUnknownJob, "not known"))
			return
		}
		httpx.WriteJSON(w, http.StatusOK, map[string]any{"lines": []string{"placed on w1", "by batch"}})
	})
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	qt.Assert(t, mustRun(t, "--server", server.URL, "why", "task", "j.0"), qt.Equals, "placed on w1\nby batch\n")
	out := mustRun(t, "--server", server.URL, "--output", "json", "why", "task", "j.0")
	qt.Assert(t, out, qt.Equals, `{"lines":["placed on w1","by batch"]}`+"\n")
	code, _, errs := runKqctl("--server", server.URL, "--output", "json", "why", "job", "x")
	qt.Assert(t, code, qt.Equals, ExitRefused)
	qt.Assert(t, errs, qt.Contains, `"verdict":"not-run"`)
}

// TestExplainSendsTheJob checks that explain sends the job that its flags describe to the
// call that submits nothing, and prints the lines of the response.
func TestExplainSendsTheJob(t *testing.T) {
	var got model.JobSpec
	r := chi.NewRouter()
	r.Post(api.PathExplainJob, func(w http.ResponseWriter, r *http.Request) {
		qt.Check(t, httpx.ReadJSON(r, 1<<20, &got) == nil, qt.IsTrue)
		httpx.WriteJSON(w, http.StatusOK, map[string]any{"lines": []string{"data centre dc1 would get 3 tasks"}})
	})
	server := httptest.NewServer(r)
	defer server.Close()
	out := mustRun(t, "--server", server.URL, "--key", "k", "explain", "--class", "gang", "--tasks", "3", "--cpu", "500m", "--run", "2s")
	qt.Check(t, out, qt.Equals, "data centre dc1 would get 3 tasks\n")
	qt.Check(t, got.Class, qt.Equals, model.ClassGang)
	qt.Check(t, []int64{int64(got.Tasks), got.Size.MilliCPU, got.RunMillis}, qt.DeepEquals, []int64{3, 500, 2000})
	code, _, _ := runKqctl("--server", server.URL, "--key", "k", "explain", "--id", "j")
	qt.Check(t, code, qt.Equals, ExitUsage)
}
