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

// inForceStub says that revisions up to its value are in force.
type inForceStub uint64

func (s inForceStub) InForce(_ context.Context, revision uint64) (*api.InForce, error) {
	waiting := []api.LeaseWait{{Holder: "vm-3", DC: "dc3", Confirmed: uint64(s), EndsMillis: 900}}
	return &api.InForce{Revision: revision, InForce: revision <= uint64(s), Waiting: waiting}, nil
}

// serve starts a one-member fleet behind HTTP.
func serve(t *testing.T, inForce inForceStub) (server *httptest.Server, state *fleet.State) {
	state = fleet.New()
	r := chi.NewRouter()
	fleetapi.New(fleetapi.Config{
		Group:         replica.NewLocal(state, replica.Member{ID: 1}),
		State:         state,
		InForcer:      inForce,
		OperatorToken: "tok",
	}).Routes(r)
	server = httptest.NewServer(r)
	t.Cleanup(server.Close)
	return server, state
}

// kqctl runs one command line.
func kqctl(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Run(append([]string{"kqctl"}, args...), &out, &errs)
	return code, out.String(), errs.String()
}

// operator returns the flags of an operator of server.
func operator(server *httptest.Server, args ...string) []string {
	return append([]string{"--server", server.URL, "--operator-token", "tok", "--actor", "ada", "--timeout", "2s"}, args...)
}

func must(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errs := kqctl(args...)
	if code != ExitOK {
		t.Fatalf("kqctl %v: exit %d: %s", args, code, errs)
	}
	return out
}

// grant mints a key and returns its text.
func grant(t *testing.T, server *httptest.Server, workspace string) string {
	out := must(t, operator(server, "key", "grant", workspace)...)
	_, key, ok := strings.Cut(out, "\nkey ")
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s", out))
	return strings.TrimSpace(key)
}

func TestFromApplyToJob(t *testing.T) {
	server, _ := serve(t, 0)
	out := must(t, operator(server, "apply", "-f", examples)...)
	qt.Assert(t, out, qt.Contains, "accepted as revision 1")
	key := grant(t, server, "yearbook")
	submit := []string{"--server", server.URL, "--key", key, "job", "submit", "--id", "edition-1", "--tasks", "3", "--run", "2s"}
	qt.Assert(t, must(t, submit...), qt.Equals, "edition-1\n")
	qt.Assert(t, must(t, submit...), qt.Equals, "edition-1\n")
	out = must(t, "--server", server.URL, "--key", key, "job", "status", "edition-1")
	qt.Assert(t, out, qt.Contains, "edition-1 batch workspace yearbook, 3 tasks of 1000m/512MB/0, unfinished")
	other := grant(t, server, "counter")
	code, _, errs := kqctl("--server", server.URL, "--key", other, "job", "cancel", "edition-1")
	qt.Assert(t, code, qt.Equals, ExitRefused)
	qt.Assert(t, errs, qt.Contains, "unknown-job (not-run)")
	must(t, "--server", server.URL, "--key", key, "job", "cancel", "edition-1")
	out = must(t, operator(server, "get", "--explain", "--workspace", "yearbook", "--workload", "chapters", "request.deadline")...)
	qt.Assert(t, out, qt.Equals, "request.deadline=30s by workload yearbook/chapters, revision 1\n")
	out = must(t, operator(server, "history")...)
	qt.Assert(t, out, qt.Contains, "key-grant by ada")
}

func TestWithdrawnKeyIsRefused(t *testing.T) {
	server, _ := serve(t, 0)
	must(t, operator(server, "apply", "-f", examples)...)
	key := grant(t, server, "yearbook")
	id := strings.Split(key, "_")[1]
	must(t, operator(server, "key", "withdraw", id)...)
	code, _, errs := kqctl("--server", server.URL, "--key", key, "job", "submit")
	qt.Assert(t, code, qt.Equals, ExitRefused)
	qt.Assert(t, errs, qt.Contains, "bad-key (not-run)")
}

func TestExitCodes(t *testing.T) {
	server, _ := serve(t, 1)
	must(t, operator(server, "apply", "-f", examples)...)
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	qt.Assert(t, os.WriteFile(bad, []byte("settings:\n  request.tries: many\n"), 0o600), qt.IsNil)
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"check", []string{"check", "-f", examples}, ExitOK, ""},
		{"faulty file", []string{"check", "-f", bad}, ExitUsage, `bad.yaml:2: settings.request.tries: "many" is not a whole number`},
		{"no server", []string{"status"}, ExitUsage, "KQ_SERVER"},
		{"unknown flag", []string{"status", "--nope"}, ExitUsage, "nope"},
		{
			"all faults of a job", operator(server, "job", "submit", "--class", "bogus", "--cpu", "x", "--memory", "y", "--tasks", "0", "--run=-1s"),
			ExitUsage, `--cpu: "x" is not a number of cores, such as 2, 1.5 or 1500m`,
		},
		{
			"the last of them", operator(server, "job", "submit", "--class", "bogus", "--cpu", "x", "--memory", "y", "--tasks", "0", "--run=-1s"),
			ExitUsage, "--run is -1s, not at least 0s",
		},
		{"missing argument", operator(server, "dc", "out"), ExitUsage, "needs 1 arguments"},
		{"wrong token", []string{"--server", server.URL, "history"}, ExitRefused, "Kq-Operator is missing"},
		{"stale revision", operator(server, "dc", "out", "--expect-revision", "0", "dc1"), ExitRefused, "by ada made revision 1"},
		{"in force", operator(server, "dc", "in", "--wait", "dc1"), ExitOK, ""},
		{"pending", operator(server, "dc", "out", "--wait", "--wait-timeout", "250ms", "dc1"), ExitPending, "waits for vm-3 in dc3"},
		{"init on two", []string{"--server", "a,b", "init"}, ExitUsage, "exactly one"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, _, errs := kqctl(c.args...)
			qt.Assert(t, code, qt.Equals, c.code, qt.Commentf("%s", errs))
			qt.Assert(t, errs, qt.Contains, c.want)
		})
	}
}

// TestNextServer gives a dead server first, then one whose answers are lost.
func TestNextServer(t *testing.T) {
	server, state := serve(t, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	dead := l.Addr().String()
	l.Close()
	losing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.Config.Handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(losing.Close)
	args := append([]string{"--server", dead, "--server", losing.URL}, operator(server, "apply", "-f", examples)...)
	out := must(t, args...)
	qt.Assert(t, out, qt.Contains, "accepted at an earlier send")
	qt.Assert(t, state.Revision(), qt.Equals, uint64(1))

	code, _, errs := kqctl("--server", dead, "--timeout", "300ms", "history")
	qt.Assert(t, code, qt.Equals, ExitRefused)
	qt.Assert(t, errs, qt.Contains, "unreachable (not-run)")
	code, _, errs = kqctl("--server", losing.URL, "--operator-token", "tok", "--timeout", "300ms", "dc", "out", "dc1")
	qt.Assert(t, code, qt.Equals, ExitMayHaveRun)
	qt.Assert(t, errs, qt.Contains, "send it again with --op-id")
}

// TestLostGrantIsSentAgain loses every answer to a grant, then sends it again.
func TestLostGrantIsSentAgain(t *testing.T) {
	server, state := serve(t, 0)
	must(t, operator(server, "apply", "-f", examples)...)
	losing := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		server.Config.Handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(losing.Close)
	code, out, errs := kqctl("--server", losing.URL, "--operator-token", "tok", "--actor", "ada", "--timeout", "300ms",
		"key", "grant", "--op-id", "g1", "counter")
	qt.Assert(t, code, qt.Equals, ExitMayHaveRun)
	key := strings.TrimSpace(strings.TrimPrefix(out, "key "))
	qt.Assert(t, errs, qt.Contains, "--again "+key)
	out = must(t, operator(server, "key", "grant", "--op-id", "g1", "--again", key, "counter")...)
	qt.Assert(t, out, qt.Contains, "accepted at an earlier send")
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
		httpx.WriteJSON(w, http.StatusOK, &tasksAnswer{Tasks: []model.Task{task}, Silent: []model.DCID{"dc2"}})
	})
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	out := must(t, "--server", server.URL, "job", "status", "--wait", "j")
	qt.Assert(t, out, qt.Equals, "j batch workspace shop, 2 tasks of 0m/0MB/0, succeeded\n"+
		"  j.0 running on w1\n  tasks in data centre dc2 can't be told\n")
	out = must(t, "--server", server.URL, "--output", "json", "job", "status", "j")
	qt.Assert(t, out, qt.Contains, `"worker":"w1"`)
}

func TestLookPrintsLines(t *testing.T) {
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
	qt.Assert(t, must(t, "--server", server.URL, "why", "task", "j.0"), qt.Equals, "placed on w1\nby batch\n")
	out := must(t, "--server", server.URL, "--output", "json", "why", "task", "j.0")
	qt.Assert(t, out, qt.Equals, `{"lines":["placed on w1","by batch"]}`+"\n")
	code, _, errs := kqctl("--server", server.URL, "--output", "json", "why", "job", "x")
	qt.Assert(t, code, qt.Equals, ExitRefused)
	qt.Assert(t, errs, qt.Contains, `"verdict":"not-run"`)
}
