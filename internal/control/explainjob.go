package control

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/httpx"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/systems"
	"kumquatwing/internal/verdict"
)

const (
	// topicExplainJob asks the leader of a data centre group where a job's tasks would
	// be placed.
	topicExplainJob = "work.explain"
	// explainsPerSecond bounds the explanations that a leader computes. Each takes as
	// long as the plan of a tick, during which the leader does nothing else.
	explainsPerSecond = 2
)

// newExplainLimiter returns the limiter of the explanations that this process computes.
func newExplainLimiter() *rate.Limiter { return rate.NewLimiter(explainsPerSecond, explainsPerSecond) }

// explainJobRequest asks where the tasks with the given indexes would be placed.
type explainJobRequest struct {
	Spec  model.JobSpec `msgpack:"s"`
	Tasks []int         `msgpack:"t"`
}

// explainJobReply carries the answer of one data centre. systems.Prospect has no msgpack
// tags, so it is encoded under the names of its Go fields.
type explainJobReply struct {
	Prospect systems.Prospect `msgpack:"p"`
}

func (s *Server) handleExplainJob(_ context.Context, req *explainJobRequest) (*explainJobReply, error) {
	l := s.dc.leaderState()
	if l == nil {
		return nil, errNotLeader(s.cfg.DC)
	}
	if !s.explains.Allow() {
		return nil, verdict.Refuse(verdict.ReasonOverload, "over %d explanations a second", explainsPerSecond).WithRetryAfter(time.Second)
	}
	v := s.fleetView()
	out := &explainJobReply{}
	refusal := l.viewInEpoch(func(now clock.Instant) { out.Prospect = *systems.Explain(l.explainInput(now, v), &req.Spec, req.Tasks) })
	if refusal != nil {
		return nil, refusal
	}
	return out, nil
}

// ExplainJobResponse is the response to a POST to api.PathExplainJob.
type ExplainJobResponse struct {
	// Lines describes the result for people.
	Lines []string `json:"lines"`
	// Dispatch explains the choice of the data centres.
	Dispatch    placement.Explanation `json:"dispatch"`
	DataCentres []ExplainedDC         `json:"data_centres"`
}

// ExplainedDC is what one data centre would decide now about its tasks of a job.
type ExplainedDC struct {
	DC    model.DCID `json:"dc"`
	Tasks int        `json:"tasks"`
	// Refusal is set if the data centre gave no answer; the other fields are then empty.
	Refusal *verdict.Refusal `json:"refusal,omitempty"`
	// Workers holds the workers on which tasks would start now.
	Workers []ExplainedWorker `json:"workers,omitempty"`
	// Preempted counts the runs that would be stopped for the other tasks.
	Preempted int `json:"preempted,omitempty"`
	// Waiting, Refused, Reason and NeedsGrant are as in systems.Prospect.
	Waiting    int                   `json:"waiting,omitempty"`
	Refused    bool                  `json:"refused,omitempty"`
	Reason     string                `json:"reason,omitempty"`
	Explain    placement.Explanation `json:"explain,omitzero"`
	NeedsGrant bool                  `json:"needs_grant,omitempty"`
}

// ExplainedWorker is a worker on which tasks would start, with the explanation of the
// first of them.
type ExplainedWorker struct {
	Worker  model.WorkerID        `json:"worker"`
	Tasks   int                   `json:"tasks"`
	Explain placement.Explanation `json:"explain"`
}

// explainJob writes where the job in the body would be placed now, and why. The fleet
// group's leader chooses the data centres, and each data centre's leader the workers, with
// the functions that decide about a submitted job.
func (s *Server) explainJob(w http.ResponseWriter, r *http.Request) {
	spec, ok := s.api().fleet.UnsubmittedJob(w, r)
	if !ok {
		return
	}
	owners, refusal := s.chooseOwners(r.Context(), &ownersRequest{Spec: *spec, DryRun: true})
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	response := &ExplainJobResponse{Dispatch: owners.Explain}
	for _, dc := range distinct(owners.Owners) {
		req := &explainJobRequest{Spec: *spec, Tasks: tasksOf(owners.Owners, dc)}
		p, refusal := s.prospectOfDC(r.Context(), dc, req)
		response.DataCentres = append(response.DataCentres, explainedDC(dc, len(req.Tasks), p, refusal))
	}
	response.Lines = response.describe()
	httpx.WriteJSON(w, http.StatusOK, response)
}

// distinct returns the data centres in owners in the order of first appearance.
func distinct(owners []model.DCID) []model.DCID {
	var out []model.DCID
	for _, dc := range owners {
		if !slices.Contains(out, dc) {
			out = append(out, dc)
		}
	}
	return out
}

// tasksOf returns the indexes of the tasks that a data centre owns.
func tasksOf(owners []model.DCID, dc model.DCID) []int {
	var out []int
	for i, owner := range owners {
		if owner == dc {
			out = append(out, i)
		}
	}
	return out
}

// prospectOfDC asks all members of a data centre; only the leader of its group answers.
func (s *Server) prospectOfDC(ctx context.Context, dc model.DCID, req *explainJobRequest) (*systems.Prospect, *verdict.Refusal) {
	refusal := verdict.Refuse(verdict.ReasonNoLeader, "the leader of data centre %s does not answer", dc).WithRetryAfter(retryNoLeader)
	if dc == s.cfg.DC {
		reply, err := s.handleExplainJob(ctx, req)
		if err == nil {
			return &reply.Prospect, nil
		}
		refusal = betterRefusal(refusal, err)
	}
	var members []fleet.Member
	for _, m := range s.otherMembers() {
		if m.DC == dc {
			members = append(members, m)
		}
	}
	for _, r := range callAll[explainJobRequest, explainJobReply](ctx, s, members, topicExplainJob, req) {
		if r.err == nil {
			return &r.reply.Prospect, nil
		}
		refusal = betterRefusal(refusal, r.err)
	}
	return nil, refusal
}

// betterRefusal returns the refusal of the leader, if err is one, and otherwise refusal.
func betterRefusal(refusal *verdict.Refusal, err error) *verdict.Refusal {
	if r := verdict.FromError(err); r.Reason == verdict.ReasonOverload {
		return r
	}
	return refusal
}

func explainedDC(dc model.DCID, tasks int, p *systems.Prospect, refusal *verdict.Refusal) ExplainedDC {
	out := ExplainedDC{DC: dc, Tasks: tasks, Refusal: refusal}
	if p == nil {
		return out
	}
	out.Preempted, out.Waiting, out.Refused = len(p.Preempt), p.Waiting, p.Refused
	out.Reason, out.Explain, out.NeedsGrant = p.Reason, p.Explain, p.NeedsGrant
	for i := range p.Place {
		at := slices.IndexFunc(out.Workers, func(w ExplainedWorker) bool { return w.Worker == p.Place[i].Worker })
		if at < 0 {
			out.Workers = append(out.Workers, ExplainedWorker{p.Place[i].Worker, 1, p.Place[i].Explain})
			continue
		}
		out.Workers[at].Tasks++
	}
	return out
}

// describe returns the response as lines of text.
func (e *ExplainJobResponse) describe() []string {
	var lines []string
	for i := range e.DataCentres {
		lines = append(lines, e.DataCentres[i].describe(&e.Dispatch)...)
	}
	return lines
}

func (d *ExplainedDC) describe(dispatch *placement.Explanation) []string {
	lines := []string{fmt.Sprintf("data centre %s would get %d tasks%s", d.DC, d.Tasks, describeExplanation(dispatch, "data centres"))}
	if d.Refusal != nil {
		return append(lines, "  not known: "+d.Refusal.Message)
	}
	if d.NeedsGrant {
		lines = append(lines, "  once it has been granted more of the workspace's limit:")
	}
	for i := range d.Workers {
		w := &d.Workers[i]
		lines = append(lines, fmt.Sprintf("  %d would start on %s%s", w.Tasks, w.Worker, describeExplanation(&w.Explain, "workers")))
	}
	if d.Preempted > 0 {
		lines = append(lines, fmt.Sprintf("  %d runs would be stopped for it", d.Preempted))
	}
	switch {
	case d.Refused:
		lines = append(lines, fmt.Sprintf("  the job would be refused: %s%s", d.Reason, describeExplanation(&d.Explain, "workers")))
	case d.Waiting > 0:
		lines = append(lines, fmt.Sprintf("  %d would wait: %s%s", d.Waiting, d.Reason, describeExplanation(&d.Explain, "workers")))
	}
	return lines
}

// describeExplanation returns the detail, the numbers of considered and rejected things and
// the score of an explanation, each if it has any, behind a colon.
func describeExplanation(x *placement.Explanation, things string) string {
	var parts []string
	if x.Detail != "" {
		parts = append(parts, x.Detail)
	}
	if x.Considered > 0 {
		parts = append(parts, fmt.Sprintf("%d %s considered", x.Considered, things))
	}
	if len(x.Rejected) > 0 {
		var counts []string
		for _, r := range x.Rejected {
			counts = append(counts, fmt.Sprintf("%d %s", r.Count, r.Filter))
		}
		parts = append(parts, "rejected "+strings.Join(counts, ", "))
	}
	if len(x.Score) > 0 {
		var points []string
		for _, p := range x.Score {
			points = append(points, fmt.Sprintf("%s %d", p.Scorer, p.Points))
		}
		parts = append(parts, "score "+strings.Join(points, ", "))
	}
	if len(parts) == 0 {
		return ""
	}
	return ": " + strings.Join(parts, "; ")
}
