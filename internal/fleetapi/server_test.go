package fleetapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/go-chi/chi/v5"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/verdict"
)

// alwaysInForce is a RolloutTracker for which every revision is in force everywhere.
type alwaysInForce struct{}

func (alwaysInForce) InForce(_ context.Context, revision uint64) (*api.InForce, error) {
	return &api.InForce{Revision: revision, InForce: true}, nil
}

const token = "tok"

// service is the HTTP API of a fleet group with one member.
type service struct {
	t     *testing.T
	state *fleet.State
	group *replica.Local
	http.Handler
}

func newService(t *testing.T) *service {
	state := fleet.New()
	group := replica.NewLocal(state, replica.Member{ID: 1})
	r := chi.NewRouter()
	New(Config{Group: group, State: state, RolloutTracker: alwaysInForce{}, OperatorToken: token}).Routes(r)
	return &service{t: t, state: state, group: group, Handler: r}
}

// call sends a request with the given key and operators' token.
func (s *service) call(method, path, body, key, operator string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(api.HeaderKey, key)
	r.Header.Set(api.HeaderOperator, operator)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// callAsOperator sends an operator's call, which must be accepted, and returns the
// response's body.
func (s *service) callAsOperator(method, path, body string) string {
	s.t.Helper()
	w := s.call(method, path, body, "", token)
	qt.Assert(s.t, w.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", w.Body))
	qt.Assert(s.t, w.Header().Get(api.HeaderVerdict), qt.Equals, string(verdict.Done))
	return w.Body.String()
}

// applyBody returns an api.ApplyCall that sets the CPU limit of workspace shop.
func applyBody(opID string, expectRevision uint64, milliCPU int) string {
	return fmt.Sprintf(`{"op_id":%q,"actor":"ada","expect_revision":%d,"declarations":{
		"data_centres":[{"id":"dc1","region":"r"}],
		"workspaces":[{"id":"shop","share":1,"limit":{"milli_cpu":%d,"memory_mb":1000}},{"id":"vets","share":1,"limit":{"milli_cpu":1000}}]}}`,
		opID, expectRevision, milliCPU)
}

// grantKey grants a key to a workspace and returns the key's text.
func (s *service) grantKey(workspace string) string {
	id, text, hash := fleet.NewKey()
	s.callAsOperator(http.MethodPost, api.PathKeys,
		fmt.Sprintf(`{"op_id":%q,"actor":"ada","key":%q,"workspace":%q,"hash":%q}`, id, id, workspace, fleet.HashText(hash)))
	return text
}

// configured returns a service with two workspaces and a key of each.
func configured(t *testing.T) (s *service, shop, vets string) {
	s = newService(t)
	s.callAsOperator(http.MethodPost, api.PathSettings, applyBody("first", 0, 4000))
	return s, s.grantKey("shop"), s.grantKey("vets")
}

const smallJob = `{"id":"j1","class":"batch","tasks":1,"size":{"milli_cpu":1000},"run_ms":10}`

func TestRefusals(t *testing.T) {
	s, shop, vets := configured(t)
	w := s.call(http.MethodPost, api.PathJobs, smallJob, shop, "")
	qt.Assert(t, w.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", w.Body))
	revision := s.state.Revision()
	op := `{"op_id":"x","actor":"ada"}`
	large := `{"payload":"` + strings.Repeat("x", maxCallBytes) + `"}`
	cases := []struct {
		name, method, path, body, key, operator string
		status                                  int
		reason                                  verdict.Reason
		text                                    string
	}{
		{"no token", "POST", api.PathSettings, "{}", "", "", 401, verdict.ReasonBadKey, "Kq-Operator"},
		{"wrong token", "GET", api.PathSettings, "", "", "tok2", 401, verdict.ReasonBadKey, "Kq-Operator"},
		{"key instead of token", "GET", api.PathHistory, "", shop, "", 401, verdict.ReasonBadKey, "Kq-Operator"},
		{"neither declarations nor revision", "POST", api.PathSettings, `{"op_id":"x","actor":"a","expect_revision":1}`, "", token, 400, verdict.ReasonBadRequest, "declarations"},
		{"no expected revision", "POST", api.PathSettings, `{"op_id":"x","actor":"a","from_revision":1}`, "", token, 400, verdict.ReasonBadRequest, "expect_revision"},
		{"no operation id", "POST", "/v1/data-centres/dc1/out", `{"actor":"a"}`, "", token, 400, verdict.ReasonBadRequest, "operation id"},
		{"unknown field", "POST", api.PathSettings, `{"op":"x"}`, "", token, 400, verdict.ReasonBadRequest, `unknown field "op"`},
		{"stale revision", "POST", api.PathSettings, applyBody("y", 1, 9000), "", token, 409, verdict.ReasonConflict, "by ada made revision 2"},
		{"used operation id", "POST", api.PathSettings, applyBody("first", revision, 9000), "", token, 409, verdict.ReasonConflict, "another command"},
		{"invalid declarations", "POST", api.PathSettings, applyBody("z", revision, -1), "", token, 400, verdict.ReasonBadRequest, "workspaces.shop.limit"},
		{"unknown data centre", "POST", "/v1/data-centres/dc9/out", op, "", token, 400, verdict.ReasonBadRequest, "dc9"},
		{"unknown action", "POST", "/v1/data-centres/dc1/off", op, "", token, 400, verdict.ReasonBadRequest, "off"},
		{"bad hash", "POST", api.PathKeys, `{"op_id":"x","actor":"a","key":"k","workspace":"shop","hash":"AA=="}`, "", token, 400, verdict.ReasonBadRequest, "hash"},
		{"unknown key", "DELETE", "/v1/keys/none", `{"op_id":"k","actor":"ada"}`, "", token, 404, verdict.ReasonUnknownKey, "none"},
		{"bad revision", "GET", "/v1/settings/in-force/x", "", "", token, 400, verdict.ReasonBadRequest, "revision"},
		{"unknown setting", "GET", api.PathExplain + "?name=x", "", "", token, 400, verdict.ReasonBadRequest, `"x"`},
		{"unknown workspace", "GET", api.PathExplain + "?workspace=x", "", "", token, 404, verdict.ReasonUnknownWorkspace, `"x"`},
		{"workload without workspace", "GET", api.PathExplain + "?workload=x", "", "", token, 400, verdict.ReasonBadRequest, "workspace"},
		{"no key", "POST", api.PathJobs, smallJob, "", token, 401, verdict.ReasonBadKey, "key"},
		{"wrong key", "POST", api.PathJobs, smallJob, shop + "0", "", 401, verdict.ReasonBadKey, "key"},
		{"another workspace's job", "POST", api.PathJobs, `{"workspace":"shop"}`, vets, "", 403, verdict.ReasonWrongWorkspace, "shop"},
		{"used job id with another spec", "POST", api.PathJobs, strings.Replace(smallJob, "10}", "11}", 1), shop, "", 409, verdict.ReasonConflict, "j1"},
		{"never fits", "POST", api.PathJobs, strings.NewReplacer("j1", "j2", "1000", "5000").Replace(smallJob), shop, "", 422, verdict.ReasonNeverFits, "milli_cpu"},
		{"too large", "POST", api.PathJobs, large, shop, "", 413, verdict.ReasonTooLarge, "bytes"},
		{"cancel another workspace's job", "DELETE", "/v1/jobs/j1", "", vets, "", 404, verdict.ReasonUnknownJob, "j1"},
		{"cancel with an unknown job", "POST", api.PathCancelJobs, `{"jobs":["j1","j9"]}`, shop, "", 404, verdict.ReasonUnknownJob, "j9"},
		{"cancel none", "POST", api.PathCancelJobs, `{"jobs":[]}`, shop, "", 400, verdict.ReasonBadRequest, "jobs"},
		{"show another workspace's job", "GET", "/v1/jobs/j1", "", vets, "", 404, verdict.ReasonUnknownJob, "j1"},
		{"list without key", "GET", api.PathJobs, "", "", "", 401, verdict.ReasonBadKey, "Kq-Operator"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := s.call(c.method, c.path, c.body, c.key, c.operator)
			qt.Assert(t, w.Code, qt.Equals, c.status, qt.Commentf("%s", w.Body))
			qt.Assert(t, w.Header().Get(api.HeaderVerdict), qt.Equals, string(verdict.NotRun))
			qt.Assert(t, w.Header().Get(api.HeaderReason), qt.Equals, string(c.reason))
			var r verdict.Refusal
			qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &r), qt.IsNil)
			qt.Assert(t, r.Message, qt.Contains, c.text)
		})
	}
	qt.Assert(t, s.state.Revision(), qt.Equals, revision)
	qt.Assert(t, s.state.CancelledIn("dc1"), qt.HasLen, 0)
	w = s.call(http.MethodPost, api.PathCancelJobs, `{"jobs":["j1"]}`, shop, "")
	qt.Assert(t, w.Code, qt.Equals, http.StatusOK)
	qt.Assert(t, s.state.CancelledIn("dc1"), qt.HasLen, 1)
}

// TestListIsBounded lists more jobs than maxListed.
func TestListIsBounded(t *testing.T) {
	var jobs []*fleet.Job
	for i := range maxListed + 7 {
		spec := model.JobSpec{ID: model.JobID(fmt.Sprint("j", i)), Workspace: "shop"}
		jobs = append(jobs, &fleet.Job{Spec: spec, Owners: []model.DCID{"dc1"}})
	}
	other := &fleet.Job{Spec: model.JobSpec{ID: "x", Workspace: "vets"}, Owners: []model.DCID{"dc1"}}
	list := newestJobs(append(jobs, other), "shop")
	qt.Assert(t, list.Left, qt.Equals, 7)
	qt.Assert(t, list.Jobs, qt.HasLen, maxListed)
	qt.Assert(t, list.Jobs[0].Spec.ID, qt.Equals, model.JobID("j7"))
}

// countingGroup counts barriers.
type countingGroup struct {
	replica.Group
	barriers int
}

func (g *countingGroup) Barrier(ctx context.Context) error {
	g.barriers++
	return g.Group.Barrier(ctx)
}

// TestUnknownKeyLookupsAreLimited checks that calls with unknown keys cause a bounded
// number of barriers, so that they don't overload the group's leader. No virtual time
// passes, so the rate limiter allows only its burst.
func TestUnknownKeyLookupsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := configured(t)
		group := &countingGroup{Group: s.group}
		r := chi.NewRouter()
		New(Config{Group: group, State: s.state}).Routes(r)
		s.Handler = r
		_, text, _ := fleet.NewKey()
		for range 500 {
			w := s.call(http.MethodPost, api.PathJobs, smallJob, text, "")
			qt.Assert(t, w.Code, qt.Equals, http.StatusUnauthorized)
		}
		qt.Assert(t, group.barriers, qt.Equals, lookupsPerSecond)
	})
}

// TestClosedGroupRefuses checks that a call to a closed group is refused as not run,
// since nothing is committed.
func TestClosedGroupRefuses(t *testing.T) {
	s, shop, _ := configured(t)
	s.group.Close()
	w := s.call(http.MethodPost, api.PathJobs, smallJob, shop, "")
	qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, w.Header().Get(api.HeaderVerdict), qt.Equals, string(verdict.NotRun))
}

// TestLoweredLimitDelaysInForce checks that a revision that lowers a limit is not in
// force while a data centre still uses more than the new limit.
func TestLoweredLimitDelaysInForce(t *testing.T) {
	s, _, _ := configured(t)
	use := model.Resources{MilliCPU: 3000}
	propose := func(c *fleet.Command) *fleet.Result {
		b, err := fleet.Encode(c)
		qt.Assert(t, err, qt.IsNil)
		reply, err := s.group.Propose(context.Background(), b)
		qt.Assert(t, err, qt.IsNil)
		r, err := fleet.DecodeResult(reply)
		qt.Assert(t, err, qt.IsNil)
		return r
	}
	propose(&fleet.Command{RequestGrant: &fleet.RequestGrant{Workspace: "shop", DC: "dc1", Demand: use, InUse: use}})
	s.callAsOperator(http.MethodPost, api.PathSettings, applyBody("lower", s.state.Revision(), 1000))
	path := fmt.Sprintf("/v1/settings/in-force/%d", s.state.Revision())
	out := s.callAsOperator(http.MethodGet, path, "")
	qt.Assert(t, out, qt.Contains, `"in_force":false`)
	qt.Assert(t, out, qt.Contains, `"limits":[{"workspace":"shop","dc":"dc1"`)
	version := s.state.Grant("shop", "dc1").Version
	keep := model.Resources{MilliCPU: 1000}
	propose(&fleet.Command{ReturnGrant: &fleet.ReturnGrant{Workspace: "shop", DC: "dc1", Keep: keep, Version: version}})
	qt.Assert(t, s.callAsOperator(http.MethodGet, path, ""), qt.Contains, `"in_force":true`)
}
