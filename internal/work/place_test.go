package work_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

// newPendingState returns a state with the workers a and b and two jobs whose
// tasks are pending: j with two tasks and g, a gang of two.
func newPendingState() *work.State {
	s := work.New()
	spec := model.JobSpec{ID: "j", Workspace: "t", Tasks: 2, Size: need, Class: model.ClassBatch, Idempotent: true}
	gang := spec
	gang.ID, gang.Class = "g", model.ClassGang
	s.Apply(1000, &work.Command{
		Register: []work.Register{{Worker: "a", Size: size, Incarnation: "i"}, {Worker: "b", Size: size, Incarnation: "i"}},
		Admit:    []work.Admit{{Spec: spec}, {Spec: gang}},
		Grants:   []work.SetGrant{{Workspace: "t", Version: 1, Cap: need.Scale(3)}},
	})
	return s
}

func TestPlacementsAreCheckedWhenApplied(t *testing.T) {
	on := func(tasks ...model.TaskID) *work.Command {
		c := &work.Command{}
		for _, id := range tasks {
			c.Place = append(c.Place, work.Place{Task: id, Worker: "a"})
		}
		return c
	}
	tests := []struct {
		name   string
		before *work.Command
		cmd    *work.Command
		want   string
		skip   func(*work.State)
	}{
		{name: "fits", cmd: on("j.0"), want: ""},
		{name: "whole gang", cmd: on("g.0", "g.1"), want: ""},
		{
			name: "not enough capacity", cmd: &work.Command{Place: []work.Place{{Task: "j.0", Worker: "a", Reserved: size}, {Task: "j.1", Worker: "a"}}},
			want: work.ReasonNoCapacity, skip: func(s *work.State) { s.Skip(work.SkipCapacity) },
		},
		{
			name: "capacity used up by a later usage report", before: &work.Command{
				Place: []work.Place{{Task: "j.0", Worker: "a"}},
				Usage: []work.Usage{{RunID: work.RunID{Task: "j.0", Attempt: 1, Worker: "a"}, Seq: 1, Reserved: size}},
			},
			cmd: on("j.1"), want: work.ReasonNoCapacity, skip: func(s *work.State) { s.Skip(work.SkipCapacity) },
		},
		{
			name: "over the grant", cmd: on("j.0", "j.1", "g.0", "g.1"), want: work.ReasonOverGrant,
			skip: func(s *work.State) { s.Skip(work.SkipGrant) },
		},
		{
			name: "partial gang", cmd: on("g.0"), want: work.ReasonPartialGang,
			skip: func(s *work.State) { s.Skip(work.SkipGang) },
		},
		{
			name: "data centre out of service", before: &work.Command{Out: &work.SetOutOfService{Out: true, Revision: 1}}, cmd: on("j.0"),
			want: work.ReasonOutOfService, skip: func(s *work.State) { s.Skip(work.SkipOutOfService) },
		},
		{name: "quarantined", before: &work.Command{Quarantine: []work.SetQuarantine{{Worker: "a", UntilMillis: 9}}}, cmd: on("j.0"), want: work.ReasonWorkerNotReady},
		{name: "second task on probation", before: &work.Command{Quarantine: []work.SetQuarantine{{Worker: "a"}}}, cmd: on("j.0", "j.1"), want: work.ReasonProbation},
		{name: "lost", before: &work.Command{Lost: []work.WorkerLost{{Worker: "a", Session: 1}}}, cmd: on("j.0"), want: work.ReasonWorkerNotReady},
		{name: "cancelled", before: &work.Command{Cancel: []model.JobID{"j"}}, cmd: on("j.0"), want: work.ReasonNotPending},
		{name: "released", before: &work.Command{Release: []model.TaskID{"j.0"}}, cmd: on("j.0"), want: work.ReasonReleased},
		{name: "rebuilding", before: &work.Command{Rebuild: &work.Rebuild{Generation: 2}}, cmd: on("j.0"), want: work.ReasonRebuilding},
		{name: "unknown task", cmd: on("x.0"), want: work.ReasonUnknownTask},
		{name: "unknown worker", cmd: &work.Command{Place: []work.Place{{Task: "j.0", Worker: "x"}}}, want: work.ReasonUnknownWorker},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(refusal(newPendingState(), tt.before, tt.cmd), qt.Equals, tt.want)
			if tt.skip != nil {
				s := newPendingState()
				tt.skip(s)
				c.Assert(refusal(s, tt.before, tt.cmd), qt.Equals, "", qt.Commentf("with the check disabled"))
			}
		})
	}
}

// refusal applies before, if any, and then cmd. It returns the reason of the last
// placement that cmd was refused, or "".
func refusal(s *work.State, before, cmd *work.Command) string {
	if before != nil {
		// Within one command, usage is applied before placements, so the placement
		// is applied by a command of its own.
		s.Apply(2000, &work.Command{Place: before.Place})
		rest := *before
		rest.Place = nil
		s.Apply(2000, &rest)
	}
	r := s.Apply(3000, cmd)
	if len(r.Place) == 0 {
		return ""
	}
	return r.Place[len(r.Place)-1].Reason
}

// TestRefusedGangIsUndone checks that the placements of a gang that can't be
// placed as a whole are undone completely.
func TestRefusedGangIsUndone(t *testing.T) {
	c := qt.New(t)
	s := newPendingState()
	c.Assert(refusal(s, nil, &work.Command{Place: []work.Place{
		{Task: "g.0", Worker: "a"}, {Task: "g.1", Worker: "b", Reserved: size.Scale(2)},
	}}), qt.Equals, work.ReasonNoCapacity)
	c.Assert(s.Worker("a").Free(), qt.Equals, size)
	c.Assert(s.Usage("t").IsZero(), qt.IsTrue)
	c.Assert(s.Task("g.0").Attempt, qt.Equals, uint32(0))
	c.Assert(s.Job("g").Pending(), qt.Equals, 2)
}
