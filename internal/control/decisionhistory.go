package control

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"kumquatwing/internal/fleet"
	"kumquatwing/internal/httpx"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
	"kumquatwing/internal/why"
)

const (
	// topicDecisionHistory requests the recorded decisions of one process about a subject.
	topicDecisionHistory = "why.account"
	// topicTasks requests a job's tasks from the leader of a data centre group.
	topicTasks = "work.tasks"
	// queryTimeout bounds a query to one process.
	queryTimeout = time.Second
	// maxDecisions bounds the decisions in a merged history.
	maxDecisions = 100
)

// decisionHistoryRequest is a query for the decisions about one subject.
type decisionHistoryRequest struct {
	Kind why.Kind `msgpack:"k"`
	ID   string   `msgpack:"i"`
}

// decisionHistoryReply carries the decisions of one process. why.DecisionHistory
// has JSON tags only, so msgpack encodes it under the names of its Go fields.
type decisionHistoryReply struct {
	Account why.DecisionHistory `msgpack:"a"`
}

// WhyResponse is the response to a GET of api.PathWhy.
type WhyResponse struct {
	Lines   []string             `json:"lines"`
	Account *why.DecisionHistory `json:"account"`
	// Unreachable lists the VMs whose processes did not answer the query.
	Unreachable []model.VMID `json:"silent,omitempty"`
}

func (s *Server) handleDecisionHistory(_ context.Context, req *decisionHistoryRequest) (*decisionHistoryReply, error) {
	return &decisionHistoryReply{*s.decisions.History(req.Kind, req.ID)}, nil
}

// explainSubject writes the decisions that all processes have recorded about a
// task, job, workspace or worker.
func (s *Server) explainSubject(w http.ResponseWriter, r *http.Request) {
	req := &decisionHistoryRequest{Kind: why.Kind(chi.URLParam(r, "kind")), ID: chi.URLParam(r, "id")}
	if !req.Kind.Valid() {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonBadRequest, "kind %q is not task, job, workspace or worker", req.Kind))
		return
	}
	response := s.mergedDecisionHistory(r.Context(), req)
	httpx.WriteJSON(w, http.StatusOK, response)
}

// mergedDecisionHistory merges the histories of all processes, newest
// decision first. At most maxDecisions are kept.
func (s *Server) mergedDecisionHistory(ctx context.Context, req *decisionHistoryRequest) *WhyResponse {
	merged := s.decisions.History(req.Kind, req.ID)
	response := &WhyResponse{Account: merged}
	for _, r := range callAll[decisionHistoryRequest, decisionHistoryReply](ctx, s, s.otherMembers(), topicDecisionHistory, req) {
		if r.err != nil {
			response.Unreachable = append(response.Unreachable, r.vm)
			continue
		}
		merged.Decisions = append(merged.Decisions, r.reply.Account.Decisions...)
		merged.Cut = merged.Cut || r.reply.Account.Cut
	}
	slices.SortStableFunc(merged.Decisions, func(a, b why.Decision) int {
		return cmp.Compare(b.Event.At.WallMillis, a.Event.At.WallMillis)
	})
	if len(merged.Decisions) > maxDecisions {
		merged.Decisions = merged.Decisions[:maxDecisions]
		merged.Cut = true
	}
	response.Lines = merged.Lines()
	for _, vm := range response.Unreachable {
		response.Lines = append(response.Lines, "VM "+string(vm)+" does not answer; its decisions are missing here")
	}
	return response
}

// otherMembers lists the processes in the fleet's state except this one.
func (s *Server) otherMembers() []fleet.Member {
	var out []fleet.Member
	for _, m := range s.fleetView().members {
		if m.VM != s.cfg.VM {
			out = append(out, m)
		}
	}
	return out
}

// memberReply is the response of one process to a query that was sent to several.
type memberReply[Resp any] struct {
	vm    model.VMID
	reply *Resp
	err   error
}

// callAll sends a query to all members concurrently and returns the responses in
// the order of members. Each call is bounded by queryTimeout.
func callAll[Req, Resp any](ctx context.Context, s *Server, members []fleet.Member, topic string, req *Req) []memberReply[Resp] {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	replies := make([]memberReply[Resp], len(members))
	done := make(chan struct{})
	for i, m := range members {
		go func() {
			reply := new(Resp)
			err := s.wire.Call(ctx, m.WireAddr, topic, req, reply)
			replies[i] = memberReply[Resp]{m.VM, reply, err}
			done <- struct{}{}
		}()
	}
	for range members {
		<-done
	}
	return replies
}

// tasksRequest is a query for a data centre's tasks of one job.
type tasksRequest struct {
	Job model.JobID `msgpack:"j"`
}

// tasksReply lists the tasks that the data centre owns.
type tasksReply struct {
	Tasks []model.Task `msgpack:"t"`
}

func (s *Server) handleTasks(_ context.Context, req *tasksRequest) (*tasksReply, error) {
	node, state, _ := s.dc.current()
	if node == nil {
		return nil, errNotLeader(s.cfg.DC)
	}
	out := &tasksReply{}
	var refusal *verdict.Refusal
	node.View(func(st replicaStatus) {
		if !st.IsLeader() {
			refusal = errNotLeader(s.cfg.DC)
			return
		}
		if j := state.Work.Job(req.Job); j != nil {
			for _, t := range j.Tasks() {
				out.Tasks = append(out.Tasks, t.Task)
			}
		}
	})
	if refusal != nil {
		return nil, refusal
	}
	return out, nil
}

// JobTasksResponse is the response to a GET of api.PathJobTasks.
type JobTasksResponse struct {
	Job   model.JobID  `json:"job"`
	Tasks []model.Task `json:"tasks"`
	// Unreachable lists the data centres whose group leaders did not answer.
	Unreachable []model.DCID `json:"silent,omitempty"`
}

// jobTasks writes a job's tasks, which it collects from the data centres that own
// them.
func (s *Server) jobTasks(w http.ResponseWriter, r *http.Request) {
	job, ok := s.api().fleet.VisibleJob(w, r)
	if !ok {
		return
	}
	id := job.Spec.ID
	response := &JobTasksResponse{Job: id}
	for _, dc := range ownerDCs(job) {
		tasks, ok := s.tasksOfDC(r.Context(), dc, id)
		if !ok {
			response.Unreachable = append(response.Unreachable, dc)
		}
		response.Tasks = append(response.Tasks, tasks...)
	}
	slices.SortFunc(response.Tasks, func(a, b model.Task) int { return cmp.Compare(a.Index, b.Index) })
	httpx.WriteJSON(w, http.StatusOK, response)
}

// tasksOfDC queries all members of a data centre for its tasks of a job; only the
// leader of its group answers. It returns false if none did.
func (s *Server) tasksOfDC(ctx context.Context, dc model.DCID, id model.JobID) ([]model.Task, bool) {
	req := &tasksRequest{id}
	if dc == s.cfg.DC {
		if reply, err := s.handleTasks(ctx, req); err == nil {
			return reply.Tasks, true
		}
	}
	var members []fleet.Member
	for _, m := range s.otherMembers() {
		if m.DC == dc {
			members = append(members, m)
		}
	}
	for _, r := range callAll[tasksRequest, tasksReply](ctx, s, members, topicTasks, req) {
		if r.err == nil {
			return r.reply.Tasks, true
		}
	}
	return nil, false
}
