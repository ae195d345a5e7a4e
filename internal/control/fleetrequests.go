package control

import (
	"context"

	"go.uber.org/zap"

	"kumquatwing/internal/fleet"
	"kumquatwing/internal/systems"
)

// proposeFleetRequests proposes to the fleet group the commands that a tick requests.
// It runs in the background, so that a slow fleet group does not delay the ticks.
// While earlier requests are still being proposed, it does nothing: a later tick
// repeats every request that the fleet's state does not show yet.
func (s *Server) proposeFleetRequests(ctx context.Context, r *systems.FleetRequests) {
	cmds := s.fleetCommands(r)
	if len(cmds) == 0 {
		return
	}
	if !s.proposingRequests.TryLock() {
		return
	}
	go func() {
		defer s.proposingRequests.Unlock()
		for _, c := range cmds {
			if _, err := s.fleet.propose(ctx, c); err != nil {
				s.log.Debug("fleet request failed", zap.Error(err))
			}
		}
	}()
}

// fleetCommands returns the fleet commands for the requests of a tick.
func (s *Server) fleetCommands(r *systems.FleetRequests) []*fleet.Command {
	var cmds []*fleet.Command
	if len(r.Outcomes) > 0 {
		f := &fleet.FinishJobs{}
		for _, j := range r.Outcomes {
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
			Workspace: g.Workspace, DC: s.cfg.DC, Demand: g.Demand, InUse: g.InUse, MinGrant: g.Minimum,
		}})
	}
	for _, m := range r.Reassign {
		if c := s.reassignCommand(&m); c != nil {
			cmds = append(cmds, c)
		}
	}
	return cmds
}

// reassignCommand returns the command that assigns tasks to m.To, which is this data
// centre once it is in service again. If m.To is empty, it chooses another data centre
// that is in service and may run the tasks. It returns nil if there is none; the tasks
// then wait here.
func (s *Server) reassignCommand(m *systems.Reassign) *fleet.Command {
	c := &fleet.ReassignTasks{
		Job: m.Job, From: s.cfg.DC, To: m.To, Assignment: m.Assignment, Generation: m.Generation,
	}
	if c.To == "" {
		node, state := s.fleet.current()
		node.View(func(replicaStatus) {
			if j, ok := state.Job(m.Job); ok {
				c.To, _ = reassignTarget(state, j, s.cfg.DC)
			}
		})
	}
	if c.To == "" {
		return nil
	}
	for _, t := range m.Tasks {
		c.Tasks = append(c.Tasks, fleet.ReassignedTask{Index: t.Index, Attempt: t.Attempt, CheckpointMillis: t.CheckpointMillis})
	}
	return &fleet.Command{ReassignTasks: c}
}
