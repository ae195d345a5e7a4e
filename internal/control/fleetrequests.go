package control

import (
	"context"

	"go.uber.org/zap"

	"kumquatwing/internal/fleet"
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
			f.Jobs = append(f.Jobs, fleet.FinishedJob{Job: j.Job, DC: s.cfg.DC, Outcome: j.Outcome, Reason: j.Reason, Assignment: j.Assignment})
		}
		cmds = append(cmds, &fleet.Command{FinishJobs: f})
	}
	for _, g := range r.Returns {
		cmds = append(cmds, &fleet.Command{ReturnGrant: &fleet.ReturnGrant{
			Workspace: g.Workspace, DC: s.cfg.DC, Keep: g.Keep, Version: g.Version, Generation: g.Generation,
		}})
	}
	for _, g := range r.Grants {
		cmds = append(cmds, &fleet.Command{RequestGrant: &fleet.RequestGrant{
			Workspace: g.Workspace, DC: s.cfg.DC, Want: g.Want, Holds: g.Holds, Floor: g.Floor,
		}})
	}
	for _, m := range r.Reassign {
		if c := s.reassign(&m); c != nil {
			cmds = append(cmds, c)
		}
	}
	return cmds
}

// reassign hands tasks over: back to this data centre if it is in again, else to
// another that is in and allowed. Without one they wait here.
func (s *Server) reassign(m *systems.Reassign) *fleet.Command {
	c := &fleet.ReassignTasks{
		Job: m.Job, From: s.cfg.DC, To: m.To, Assignment: m.Assignment, Generation: m.Generation,
	}
	if c.To == "" {
		node, state := s.fleet.member()
		node.View(func(replicaStatus) {
			if j, ok := state.Job(m.Job); ok {
				c.To, _ = moveTarget(state, j, s.cfg.DC)
			}
		})
	}
	if c.To == "" {
		return nil
	}
	for _, t := range m.Tasks {
		c.Tasks = append(c.Tasks, fleet.HandedTask{Index: t.Index, Attempt: t.Attempt, CheckpointMillis: t.CheckpointMillis})
	}
	return &fleet.Command{ReassignTasks: c}
}
