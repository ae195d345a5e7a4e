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
	"kumquatwing/internal/placement/dispatch"
	"kumquatwing/internal/verdict"
)

const (
	// topicOwners asks the fleet's leader for a job's data centres.
	topicOwners = "fleet.owners"
	// roomLife is how long a data centre's report of its room is used.
	roomLife = 5 * time.Second
)

// dcRoom is what a data centre's leader says of its workers, with its hello.
type dcRoom struct {
	DC      model.DCID      `msgpack:"d"`
	Shapes  []roomShape     `msgpack:"s"`
	Free    model.Resources `msgpack:"f"`
	Waiting model.Resources `msgpack:"w"`
}

// roomShape is a number of workers of one size.
type roomShape struct {
	Size  model.Resources `msgpack:"s"`
	Count int             `msgpack:"c"`
}

func (r *dcRoom) size() model.Resources {
	var sum model.Resources
	for _, s := range r.Shapes {
		sum = sum.Add(s.Size.Scale(int64(s.Count)))
	}
	return sum
}

// room sums up the data centre's workers while this member leads it.
func (l *leader) room() *dcRoom {
	r := &dcRoom{DC: l.s.cfg.DC}
	refusal := l.view(func(clock.Instant) {
		counts := map[model.Resources]int{}
		for _, w := range l.state.Work.Workers() {
			// Lost workers count too: they may come back, and a job that fits only
			// there waits for them.
			counts[w.Size]++
			if w.State == model.WorkerReady {
				r.Free = r.Free.Add(w.Free().Max(model.Resources{}))
			}
		}
		for _, j := range l.state.Work.Jobs() {
			r.Waiting = r.Waiting.Add(j.Spec.Size.Scale(int64(j.Pending())))
		}
		for size, n := range counts {
			r.Shapes = append(r.Shapes, roomShape{size, n})
		}
	})
	if refusal != nil {
		return nil
	}
	slices.SortFunc(r.Shapes, func(a, b roomShape) int { return compareResources(a.Size, b.Size) })
	return r
}

func compareResources(a, b model.Resources) int {
	return cmp.Or(cmp.Compare(a.MilliCPU, b.MilliCPU), cmp.Compare(a.MemoryMB, b.MemoryMB), cmp.Compare(a.Accelerators, b.Accelerators))
}

// rooms holds the newest report of each data centre at the fleet's leader. It
// is safe for concurrent use.
type rooms struct {
	mu   sync.Mutex
	byDC map[model.DCID]heardRoom
}

type heardRoom struct {
	dcRoom
	at clock.Instant
}

func newRooms() *rooms { return &rooms{byDC: map[model.DCID]heardRoom{}} }

func (r *rooms) note(room *dcRoom, now clock.Instant) {
	if room == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byDC[room.DC] = heardRoom{*room, now}
}

// fleetSize is the size of all workers whose data centres were heard.
func (r *rooms) fleetSize(now clock.Instant) model.Resources {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum model.Resources
	for _, h := range r.byDC {
		if now.Sub(h.at) < roomLife {
			sum = sum.Add(h.size())
		}
	}
	return sum
}

// view is a data centre as the dispatcher sees it.
func (r *rooms) view(dc model.DataCentre, now clock.Instant) dispatch.DCView {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, known := r.byDC[dc.ID]
	heard := known && now.Sub(h.at) < roomLife
	v := dispatch.DCView{ID: dc.ID, Out: dc.Out, Leased: heard, Known: known, Free: h.Free, Waiting: h.Waiting}
	for _, s := range h.Shapes {
		v.Shapes = append(v.Shapes, dispatch.Shape{Size: s.Size, Count: s.Count})
	}
	return v
}

// assign counts a job's tasks as waiting until the next report.
func (r *rooms) assign(spec *model.JobSpec, owners []model.DCID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, dc := range owners {
		h := r.byDC[dc]
		h.Waiting = h.Waiting.Add(spec.Size)
		r.byDC[dc] = h
	}
}

// ownersCall asks for the data centres of a job's tasks.
type ownersCall struct {
	Spec model.JobSpec `msgpack:"s"`
}

// ownersReply lists them by the tasks' indexes.
type ownersReply struct {
	Owners []model.DCID `msgpack:"o"`
}

// Owners implements fleetapi.Placer: the fleet's leader chooses, since the data
// centres report their room to it.
func (s *Server) Owners(ctx context.Context, spec *model.JobSpec) ([]model.DCID, *verdict.Refusal) {
	call := &ownersCall{*spec}
	if s.fleetStatus().IsLeader() {
		reply, err := s.handleOwners(ctx, call)
		if err != nil {
			return nil, verdict.From(err)
		}
		return reply.Owners, nil
	}
	m, ok := s.fleetLeader()
	if !ok {
		return nil, verdict.Refuse(verdict.ReasonNoLeader, "the fleet group has no leader").RetryIn(retryNoLeader)
	}
	reply := &ownersReply{}
	if err := s.wire.Call(ctx, m.Addr, topicOwners, call, reply); err != nil {
		// Choosing changes nothing, so that the job has certainly not run.
		r := *verdict.From(err)
		r.Verdict = verdict.NotRun
		return nil, r.RetryIn(retryNoLeader)
	}
	return reply.Owners, nil
}

func (s *Server) handleOwners(_ context.Context, c *ownersCall) (*ownersReply, error) {
	if !s.fleetStatus().IsLeader() {
		return nil, verdict.Refuse(verdict.ReasonNotLeader, "%s does not lead the fleet", s.cfg.VM).RetryIn(retryNoLeader)
	}
	v := s.fleetView()
	for i := range v.entry.Workspaces {
		if v.entry.Workspaces[i].ID == c.Spec.Workspace {
			if refusal := dispatch.CheckLimit(&c.Spec, &v.entry.Workspaces[i]); refusal != nil {
				return nil, refusal
			}
		}
	}
	choice := dispatch.Choose(&c.Spec, s.dcViews(v, ""))
	if choice.Refusal != nil {
		return nil, choice.Refusal
	}
	s.rooms.assign(&c.Spec, choice.Owners)
	return &ownersReply{choice.Owners}, nil
}

// dcViews lists the data centres for the dispatcher, but for one.
func (s *Server) dcViews(v *fleetView, but model.DCID) []dispatch.DCView {
	now := s.clock.Now()
	var out []dispatch.DCView
	for _, dc := range v.entry.DataCentres {
		if dc.ID != but {
			out = append(out, s.rooms.view(dc, now))
		}
	}
	return out
}

// moveTarget chooses the new owner of a job's tasks that leave from. It runs on
// the fleet group's goroutine.
func moveTarget(state *fleet.State, j *fleet.Job, from model.DCID) (model.DCID, bool) {
	spec := j.Spec
	spec.Class = model.ClassBatch
	spec.Tasks = 1
	owners, refusal := state.SpreadOwners(&spec)
	if refusal != nil || len(owners) != 1 || owners[0] == from {
		return "", false
	}
	return owners[0], true
}
