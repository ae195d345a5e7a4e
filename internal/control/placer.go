package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/placement/dispatch"
	"kumquatwing/internal/verdict"
)

const (
	// topicOwners requests the data centres for a job's tasks from the leader of the
	// fleet group.
	topicOwners = "fleet.owners"
	// capacityReportLifetime is how long a data centre's capacity report is used.
	capacityReportLifetime = 5 * time.Second
)

// dcCapacity is the capacity of a data centre's workers, which the leader of the
// data centre group sends with its announcements.
type dcCapacity struct {
	DC     model.DCID    `msgpack:"d"`
	Shapes []workerShape `msgpack:"s"`
	// Free is the total free capacity of the ready workers.
	Free model.Resources `msgpack:"f"`
	// Waiting is the total size of the tasks that are not placed yet.
	Waiting model.Resources `msgpack:"w"`
}

// workerShape is the number of workers of one size.
type workerShape struct {
	Size  model.Resources `msgpack:"s"`
	Count int             `msgpack:"c"`
}

// size returns the total size of the workers.
func (c *dcCapacity) size() model.Resources {
	var sum model.Resources
	for _, s := range c.Shapes {
		sum = sum.Add(s.Size.Scale(int64(s.Count)))
	}
	return sum
}

// capacity returns the capacity of the data centre's workers, or nil if this member
// does not lead the group.
func (l *leaderState) capacity() *dcCapacity {
	c := &dcCapacity{DC: l.s.cfg.DC}
	refusal := l.viewInEpoch(func(clock.Instant) {
		counts := map[model.Resources]int{}
		for _, w := range l.state.Work.Workers() {
			// Lost workers are included: they may return, and a job that fits only on
			// them waits for them.
			counts[w.Size]++
			if w.State == model.WorkerReady {
				c.Free = c.Free.Add(w.Free().Max(model.Resources{}))
			}
		}
		for _, j := range l.state.Work.Jobs() {
			c.Waiting = c.Waiting.Add(j.Spec.Size.Scale(int64(j.Pending())))
		}
		for size, n := range counts {
			c.Shapes = append(c.Shapes, workerShape{size, n})
		}
	})
	if refusal != nil {
		return nil
	}
	slices.SortFunc(c.Shapes, func(a, b workerShape) int { return compareResources(a.Size, b.Size) })
	return c
}

// compareResources orders sizes by CPU, memory and accelerators.
func compareResources(a, b model.Resources) int {
	return cmp.Or(cmp.Compare(a.MilliCPU, b.MilliCPU), cmp.Compare(a.MemoryMB, b.MemoryMB), cmp.Compare(a.Accelerators, b.Accelerators))
}

// capacityReports stores the newest capacity report of each data centre at the
// leader of the fleet group. It is safe for concurrent use.
type capacityReports struct {
	mu   sync.Mutex
	byDC map[model.DCID]receivedCapacity
}

// receivedCapacity is the newest capacity report of one data centre.
type receivedCapacity struct {
	dcCapacity
	receivedAt clock.Instant
}

func newCapacityReports() *capacityReports {
	return &capacityReports{byDC: map[model.DCID]receivedCapacity{}}
}

// put stores a report that was received at now. It ignores nil.
func (r *capacityReports) put(c *dcCapacity, now clock.Instant) {
	if c == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byDC[c.DC] = receivedCapacity{*c, now}
}

// fleetSize returns the total size of the workers of all data centres with a report
// that has not expired.
func (r *capacityReports) fleetSize(now clock.Instant) model.Resources {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum model.Resources
	for _, c := range r.byDC {
		if now.Sub(c.receivedAt) < capacityReportLifetime {
			sum = sum.Add(c.size())
		}
	}
	return sum
}

// dcView returns a data centre as input of the dispatcher.
func (r *capacityReports) dcView(dc model.DataCentre, now clock.Instant) dispatch.DCView {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, known := r.byDC[dc.ID]
	fresh := known && now.Sub(c.receivedAt) < capacityReportLifetime
	v := dispatch.DCView{ID: dc.ID, Out: dc.Out, Reporting: fresh, Known: known, Free: c.Free, Waiting: c.Waiting}
	for _, s := range c.Shapes {
		v.Shapes = append(v.Shapes, dispatch.Shape{Size: s.Size, Count: s.Count})
	}
	return v
}

// addWaiting counts a new job's tasks as waiting until the next report of their data
// centres.
func (r *capacityReports) addWaiting(spec *model.JobSpec, owners []model.DCID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, dc := range owners {
		c := r.byDC[dc]
		c.Waiting = c.Waiting.Add(spec.Size)
		r.byDC[dc] = c
	}
}

// ownersRequest asks for the data centres of a job's tasks.
type ownersRequest struct {
	Spec model.JobSpec `msgpack:"s"`
	// DryRun is set if the job isn't submitted, so that its tasks don't count as
	// waiting.
	DryRun bool `msgpack:"n,omitempty"`
}

// ownersReply holds the data centre of each task, by the task's index.
type ownersReply struct {
	Owners  []model.DCID          `msgpack:"o"`
	Explain placement.Explanation `msgpack:"e"`
}

// Owners implements fleetapi.Placer. The leader of the fleet group chooses, since the
// data centres report their capacity to it.
func (s *Server) Owners(ctx context.Context, spec *model.JobSpec) ([]model.DCID, *verdict.Refusal) {
	reply, refusal := s.chooseOwners(ctx, &ownersRequest{Spec: *spec})
	if refusal != nil {
		return nil, refusal
	}
	return reply.Owners, nil
}

// chooseOwners sends a request for owners to the leader of the fleet group.
func (s *Server) chooseOwners(ctx context.Context, req *ownersRequest) (*ownersReply, *verdict.Refusal) {
	if s.fleetStatus().IsLeader() {
		reply, err := s.handleOwners(ctx, req)
		if err != nil {
			return nil, verdict.FromError(err)
		}
		return reply, nil
	}
	m, ok := s.fleetLeader()
	if !ok {
		return nil, verdict.Refuse(verdict.ReasonNoLeader, "the fleet group has no leader").WithRetryAfter(retryNoLeader)
	}
	reply := &ownersReply{}
	if err := s.wire.Call(ctx, m.Addr, topicOwners, req, reply); err != nil {
		// The choice changes no state, so the job was certainly not accepted.
		r := *verdict.FromError(err)
		r.Verdict = verdict.NotRun
		return nil, r.WithRetryAfter(retryNoLeader)
	}
	return reply, nil
}

func (s *Server) handleOwners(_ context.Context, req *ownersRequest) (*ownersReply, error) {
	if !s.fleetStatus().IsLeader() {
		return nil, verdict.Refuse(verdict.ReasonNotLeader, "%s does not lead the fleet", s.cfg.VM).WithRetryAfter(retryNoLeader)
	}
	v := s.fleetView()
	for i := range v.entry.Workspaces {
		if v.entry.Workspaces[i].ID == req.Spec.Workspace {
			if refusal := dispatch.CheckLimit(&req.Spec, &v.entry.Workspaces[i]); refusal != nil {
				return nil, refusal
			}
		}
	}
	choice := dispatch.Choose(&req.Spec, s.dcViews(v, ""))
	if choice.Refusal != nil {
		return nil, choice.Refusal
	}
	if !req.DryRun {
		s.capacities.addWaiting(&req.Spec, choice.Owners)
	}
	return &ownersReply{choice.Owners, choice.Explain}, nil
}

// dcViews lists the data centres, except one, as input of the dispatcher.
func (s *Server) dcViews(v *fleetView, exclude model.DCID) []dispatch.DCView {
	now := s.clock.Now()
	var out []dispatch.DCView
	for _, dc := range v.entry.DataCentres {
		if dc.ID != exclude {
			out = append(out, s.capacities.dcView(dc, now))
		}
	}
	return out
}

// reassignTarget chooses a new owner for a job's tasks that are moved away from a
// data centre. It runs on the fleet group's member goroutine.
func reassignTarget(state *fleet.State, j *fleet.Job, from model.DCID) (model.DCID, bool) {
	spec := j.Spec
	spec.Class = model.ClassBatch
	spec.Tasks = 1
	owners, refusal := state.AssignOwners(&spec)
	if refusal != nil || len(owners) != 1 || owners[0] == from {
		return "", false
	}
	return owners[0], true
}
