package fleetapi

import (
	"context"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/httpx"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/verdict"
)

// caller identifies who sent a job call: the workspace of a key, or an operator, for
// whom both fields are empty.
type caller struct {
	workspace model.WorkspaceID
	key       model.KeyID
}

// authenticateKey returns the caller whose key is in the request's header. An
// unknown key may have been granted a moment ago. authenticateKey then waits until
// this member has applied all committed commands and checks again, at most
// lookupsPerSecond times a second.
func (s *Server) authenticateKey(r *http.Request) (caller, *verdict.Refusal) {
	key := r.Header.Get(api.HeaderKey)
	by, refusal := s.checkKey(key)
	if refusal == nil || key == "" || !s.keyLookups.Allow() {
		return by, refusal
	}
	if err := s.waitForCommitted(r); err != nil {
		return caller{}, verdict.FromError(err)
	}
	return s.checkKey(key)
}

// checkKey authenticates a key against the state that this member has applied.
func (s *Server) checkKey(key string) (caller, *verdict.Refusal) {
	var view *api.EntryView
	s.Group.View(func(replica.Status) { view = s.State.EntryView() })
	workspace, id, refusal := fleet.AuthenticateKey(view, key)
	return caller{workspace.ID, id}, refusal
}

// authenticate returns the caller of a request that carries a workspace's key or, if
// it carries no key, the operators' token.
func (s *Server) authenticate(r *http.Request) (caller, *verdict.Refusal) {
	if r.Header.Get(api.HeaderKey) != "" {
		return s.authenticateKey(r)
	}
	return caller{}, s.CheckOperator(r)
}

// submitJob submits a job for the workspace whose key is in the request's header.
func (s *Server) submitJob(w http.ResponseWriter, r *http.Request) {
	by, refusal := s.authenticateKey(r)
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	var spec model.JobSpec
	if refusal := httpx.ReadJSON(r, maxCallBytes, &spec); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	answer, err := s.submit(r.Context(), by, &spec)
	if err != nil {
		s.log.Info("job submission refused", zap.String("job", string(spec.ID)), zap.Error(err))
		httpx.WriteRefusal(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, answer)
}

// UnsubmittedJob reads the job in a call that asks about one, and completes and checks it
// like a submission. The job gets a new id, so that it is never taken for another one. If
// the call is refused, UnsubmittedJob writes the refusal to w and returns false.
func (s *Server) UnsubmittedJob(w http.ResponseWriter, r *http.Request) (*model.JobSpec, bool) {
	by, refusal := s.authenticateKey(r)
	spec := &model.JobSpec{}
	if refusal == nil {
		refusal = httpx.ReadJSON(r, maxCallBytes, spec)
	}
	if refusal == nil {
		spec.ID = ""
		refusal = complete(by, spec)
	}
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return nil, false
	}
	return spec, true
}

// complete fills in the workspace and the id of a job that the caller sent, and checks it.
func complete(by caller, spec *model.JobSpec) *verdict.Refusal {
	if spec.Workspace == "" {
		spec.Workspace = by.workspace
	}
	if spec.Workspace != by.workspace {
		return verdict.Refuse(verdict.ReasonWrongWorkspace, "the key is not one of workspace %q", spec.Workspace)
	}
	if spec.ID == "" {
		spec.ID = model.JobID(uuid.NewString())
	}
	return fleet.CheckSpec(spec)
}

// submit checks a job, assigns its tasks to data centres and commits it.
func (s *Server) submit(ctx context.Context, by caller, spec *model.JobSpec) (*api.JobAnswer, error) {
	if refusal := complete(by, spec); refusal != nil {
		return nil, refusal
	}
	owners, refusal := s.owners(ctx, spec)
	if refusal != nil {
		return nil, refusal
	}
	result, err := s.propose(ctx, &fleet.Command{
		SubmitJob: &fleet.SubmitJob{Spec: *spec, Owners: owners, Key: by.key},
	})
	if err != nil {
		return nil, err
	}
	return &api.JobAnswer{
		Job:      spec.ID,
		DC:       result.Job.Owners[0],
		Revision: result.Revision,
		Repeat:   result.Duplicate,
	}, nil
}

// owners chooses the data centre of each task of a job, with the Placer if there is
// one.
func (s *Server) owners(ctx context.Context, spec *model.JobSpec) ([]model.DCID, *verdict.Refusal) {
	if s.Placer != nil {
		return s.Placer.Owners(ctx, spec)
	}
	var owners []model.DCID
	var refusal *verdict.Refusal
	s.Group.View(func(replica.Status) { owners, refusal = s.State.AssignOwners(spec) })
	return owners, refusal
}

// cancelJob cancels the job that the path names. A workspace can cancel only its own
// jobs.
func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	by, refusal := s.authenticate(r)
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	s.cancel(w, r, by, []model.JobID{model.JobID(chi.URLParam(r, "job"))})
}

// cancelJobs cancels several jobs in one command.
func (s *Server) cancelJobs(w http.ResponseWriter, r *http.Request) {
	by, refusal := s.authenticate(r)
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	var call api.CancelCall
	if refusal := httpx.ReadJSON(r, maxCallBytes, &call); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	if len(call.Jobs) == 0 || len(call.Jobs) > maxCancelled {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonBadRequest,
			"field \"jobs\" must name 1 to %d jobs", maxCancelled))
		return
	}
	s.cancel(w, r, by, call.Jobs)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request, by caller, jobs []model.JobID) {
	cancel := &fleet.CancelJobs{IDs: jobs, Workspace: by.workspace, Key: by.key}
	if _, err := s.propose(r.Context(), &fleet.Command{CancelJobs: cancel}); err != nil {
		httpx.WriteRefusal(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, &api.CancelAnswer{Jobs: jobs})
}

// listJobs lists the active jobs that the caller may see, without their tasks, and
// also the finished ones if the query says so.
func (s *Server) listJobs(w http.ResponseWriter, r *http.Request) {
	by, refusal := s.authenticate(r)
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	var answer api.JobsAnswer
	ok := s.readState(w, r, func(state *fleet.State) {
		jobs := state.ActiveJobs()
		if r.URL.Query().Get("finished") == "true" {
			jobs = append(state.FinishedJobs(), jobs...)
		}
		answer = newestJobs(jobs, by.workspace)
	})
	if ok {
		httpx.WriteJSON(w, http.StatusOK, &answer)
	}
}

// newestJobs lists the last maxListed of jobs that belong to workspace, or of all jobs
// if workspace is empty. It reuses the slice jobs.
func newestJobs(jobs []*fleet.Job, workspace model.WorkspaceID) api.JobsAnswer {
	visible := slices.DeleteFunc(jobs, func(j *fleet.Job) bool { return workspace != "" && j.Spec.Workspace != workspace })
	answer := api.JobsAnswer{Jobs: []api.JobStatus{}, Left: max(0, len(visible)-maxListed)}
	for _, j := range visible[answer.Left:] {
		answer.Jobs = append(answer.Jobs, jobStatus(j))
	}
	return answer
}

// showJob returns the status of a job as the fleet group has it.
func (s *Server) showJob(w http.ResponseWriter, r *http.Request) {
	if job, ok := s.VisibleJob(w, r); ok {
		status := jobStatus(job)
		httpx.WriteJSON(w, http.StatusOK, &status)
	}
}

// VisibleJob returns the job that the path names, if the caller may see it.
// Otherwise it writes a refusal to w and returns false. The refusal doesn't reveal
// whether another workspace has a job of that id.
func (s *Server) VisibleJob(w http.ResponseWriter, r *http.Request) (*fleet.Job, bool) {
	by, refusal := s.authenticate(r)
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return nil, false
	}
	id := model.JobID(chi.URLParam(r, "job"))
	var job *fleet.Job
	if !s.readState(w, r, func(state *fleet.State) { job, _ = state.Job(id) }) {
		return nil, false
	}
	if job == nil || by.workspace != "" && job.Spec.Workspace != by.workspace {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonUnknownJob, "job %q is not known", id))
		return nil, false
	}
	return job, true
}

func jobStatus(j *fleet.Job) api.JobStatus {
	return api.JobStatus{Spec: j.Spec, DC: j.Owners[0], Outcome: j.Outcome, Reason: j.Reason}
}
