package control

import (
	"context"

	"go.uber.org/zap"

	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
	"kumquatwing/internal/systems"
)

// requestFromFleet proposes what a tick asks of the fleet's state, in the
// background so that a slow fleet group doesn't hold up the ticks. A request
// that is lost is made again by a later tick.
func (s *Server) requestFromFleet(ctx context.Context, r *systems.FleetRequests) {
	cmds := s.fleetCommands(r)
	if len(cmds) == 0 {
		return
	}
	if !s.fleetRequests.TryLock() {
		return
	}
	go func() {
		defer s.fleetRequests.Unlock()
		for _, c := range cmds {
			if _, err := s.fleet.propose(ctx, c); err != nil {
				s.log.Debug("fleet refused a request", zap.Error(err))
			}
		}
	}()
}

func (s *Server) fleetCommands(r *systems.FleetRequests) []*fleet.Command {
	var cmds []*fleet.Command
	if len(r.Finish) > 0 {
		f := &fleet.FinishJobs{}
		for _, j := range r.Finish {
			f.Jobs = append(f.Jobs, fleet.FinishedJob{Job: j.Job, DC: s.cfg.DC, Outcome: j.Outcome, Reason: j.Reason})
		}
		cmds = append(cmds, &fleet.Command{FinishJobs: f})
	}
	for _, g := range r.Returns {
		cmds = append(cmds, &fleet.Command{ReturnGrant: &fleet.ReturnGrant{
			Team: g.Team, DC: s.cfg.DC, Keep: g.Keep, Version: g.Version,
		}})
	}
	for _, g := range r.Grants {
		cmds = append(cmds, &fleet.Command{RequestGrant: &fleet.RequestGrant{
			Team: g.Team, DC: s.cfg.DC, Want: g.Want, Holds: g.Holds,
		}})
	}
	for _, m := range r.Reassign {
		if c := s.reassign(&m); c != nil {
			cmds = append(cmds, c)
		}
	}
	return cmds
}

// reassign hands tasks to the data centre that is in, allowed, and owns the
// fewest tasks. Without one they wait here.
func (s *Server) reassign(m *systems.Reassign) *fleet.Command {
	to, ok := s.moveTarget(m.Job)
	if !ok {
		return nil
	}
	c := &fleet.ReassignTasks{Job: m.Job, From: s.cfg.DC, To: to}
	for _, t := range m.Tasks {
		c.Tasks = append(c.Tasks, fleet.HandedTask{Index: t.Index, Attempt: t.Attempt, CheckpointMillis: t.CheckpointMillis})
	}
	return &fleet.Command{ReassignTasks: c}
}

// moveTarget chooses the new owner of a job's tasks.
func (s *Server) moveTarget(job model.JobID) (model.DCID, bool) {
	node, state := s.fleet.member()
	var to model.DCID
	found := false
	node.View(func(replicaStatus) {
		j, ok := state.Job(job)
		if !ok {
			return
		}
		spec := j.Spec
		spec.Class = model.ClassBatch
		spec.Tasks = 1
		owners, refusal := state.SpreadOwners(&spec)
		if refusal == nil && len(owners) == 1 && owners[0] != s.cfg.DC {
			to, found = owners[0], true
		}
	})
	return to, found
}
