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
	// topicAccount asks a process for the decisions it has made on a subject.
	topicAccount = "why.account"
	// topicTasks asks a data centre's leader for its tasks of a job.
	topicTasks = "work.tasks"
	// askTimeout bounds a question to one process.
	askTimeout = time.Second
	// maxDecisions bounds a merged account.
	maxDecisions = 100
)

// accountCall asks for the account of one subject.
type accountCall struct {
	Kind why.Kind `msgpack:"k"`
	ID   string   `msgpack:"i"`
}

// accountReply carries an account as JSON, the form in which it is shown.
type accountReply struct {
	Account why.Account `msgpack:"a"`
}

// WhyAnswer answers PathWhy.
type WhyAnswer struct {
	Lines   []string     `json:"lines"`
	Account *why.Account `json:"account"`
	// Silent lists the VMs whose decisions could not be asked for.
	Silent []model.VMID `json:"silent,omitempty"`
}

func (s *Server) handleAccount(_ context.Context, c *accountCall) (*accountReply, error) {
	return &accountReply{*s.account.Account(c.Kind, c.ID)}, nil
}

// explainSubject merges the recorded decisions of all processes.
func (s *Server) explainSubject(w http.ResponseWriter, r *http.Request) {
	call := &accountCall{Kind: why.Kind(chi.URLParam(r, "kind")), ID: chi.URLParam(r, "id")}
	if !call.Kind.Valid() {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonBadRequest, "kind %q is not task, job, workspace or worker", call.Kind))
		return
	}
	answer := s.gatherAccount(r.Context(), call)
	httpx.WriteJSON(w, http.StatusOK, answer)
}

func (s *Server) gatherAccount(ctx context.Context, call *accountCall) *WhyAnswer {
	merged := s.account.Account(call.Kind, call.ID)
	answer := &WhyAnswer{Account: merged}
	for _, r := range askMembers[accountCall, accountReply](ctx, s, s.otherMembers(), topicAccount, call) {
		if r.err != nil {
			answer.Silent = append(answer.Silent, r.vm)
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
	answer.Lines = merged.Lines()
	for _, vm := range answer.Silent {
		answer.Lines = append(answer.Lines, "VM "+string(vm)+" does not answer; its decisions are missing here")
	}
	return answer
}

// otherMembers lists the other processes that the fleet knows.
func (s *Server) otherMembers() []fleet.Member {
	var out []fleet.Member
	for _, m := range s.fleetView().members {
		if m.VM != s.cfg.VM {
			out = append(out, m)
		}
	}
	return out
}

// memberReply is one process's reply to a question put to several.
type memberReply[Resp any] struct {
	vm    model.VMID
	reply *Resp
	err   error
}

// askMembers puts one question to all members at once and returns their
// replies in the members' order.
func askMembers[Req, Resp any](ctx context.Context, s *Server, members []fleet.Member, topic string, req *Req) []memberReply[Resp] {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// tasksCall asks for a data centre's tasks of one job.
type tasksCall struct {
	Job model.JobID `msgpack:"j"`
}

// tasksReply lists them.
type tasksReply struct {
	Tasks []model.Task `msgpack:"t"`
}

func (s *Server) handleTasks(_ context.Context, c *tasksCall) (*tasksReply, error) {
	node, state, _ := s.dc.member()
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
		if j := state.Work.Job(c.Job); j != nil {
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

// TasksAnswer answers PathJobTasks.
type TasksAnswer struct {
	Job   model.JobID  `json:"job"`
	Tasks []model.Task `json:"tasks"`
	// Silent lists the data centres whose tasks could not be asked for.
	Silent []model.DCID `json:"silent,omitempty"`
}

// jobTasks lists a job's tasks in the data centres that own some.
func (s *Server) jobTasks(w http.ResponseWriter, r *http.Request) {
	job, ok := s.calls().fleet.VisibleJob(w, r)
	if !ok {
		return
	}
	id := job.Spec.ID
	answer := &TasksAnswer{Job: id}
	for _, dc := range ownersOf(job) {
		tasks, ok := s.tasksIn(r.Context(), dc, id)
		if !ok {
			answer.Silent = append(answer.Silent, dc)
		}
		answer.Tasks = append(answer.Tasks, tasks...)
	}
	slices.SortFunc(answer.Tasks, func(a, b model.Task) int { return cmp.Compare(a.Index, b.Index) })
	httpx.WriteJSON(w, http.StatusOK, answer)
}

// tasksIn asks the members of a data centre; only its leader answers.
func (s *Server) tasksIn(ctx context.Context, dc model.DCID, id model.JobID) ([]model.Task, bool) {
	call := &tasksCall{id}
	if dc == s.cfg.DC {
		if reply, err := s.handleTasks(ctx, call); err == nil {
			return reply.Tasks, true
		}
	}
	var members []fleet.Member
	for _, m := range s.otherMembers() {
		if m.DC == dc {
			members = append(members, m)
		}
	}
	for _, r := range askMembers[tasksCall, tasksReply](ctx, s, members, topicTasks, call) {
		if r.err == nil {
			return r.reply.Tasks, true
		}
	}
	return nil, false
}
