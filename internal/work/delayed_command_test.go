package work_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

var (
	size = model.Resources{MilliCPU: 4000, MemoryMB: 4096}
	need = model.Resources{MilliCPU: 1000, MemoryMB: 1024}
)

// newRunningState returns a state with one worker that runs the only task of job
// j.
func newRunningState() *work.State {
	s := work.New()
	s.Apply(1000, &work.Command{
		Epoch:         model.NewEpoch(1, 2),
		FleetRevision: 7,
		LeaseTerm:     &work.SetLeaseTerm{Millis: 9000},
		Register:      []work.Register{{Worker: "w", DC: "dc1", Size: size, Incarnation: "i1"}},
		Admit: []work.Admit{{Assignment: 7, Spec: model.JobSpec{
			ID: "j", Workspace: "t", Tasks: 1, Size: need, Class: model.ClassBatch, Idempotent: true,
		}}},
		Grants: []work.SetGrant{{Workspace: "t", Version: 3, Cap: size}},
		Place:  []work.Place{{Task: "j.0", Worker: "w"}},
	})
	s.Apply(2000, &work.Command{
		Started: []work.Run{{RunID: work.RunID{Task: "j.0", Attempt: 1, Worker: "w"}}},
		Grants:  []work.SetGrant{{Workspace: "t", Version: 3, Cap: need, Returning: true}},
	})
	return s
}

// TestDelayedCommandsChangeNothing checks that a command which was proposed
// before the current state was reached, and is applied only now, changes nothing,
// and that it does change the state when the check against it is disabled.
func TestDelayedCommandsChangeNothing(t *testing.T) {
	currentLoss := []work.WorkerLost{{Worker: "w", Session: 1}}
	olderLoss := []work.WorkerLost{{Worker: "w", Session: 0}}
	otherJob := model.JobSpec{ID: "gone", Workspace: "t", Tasks: 1, Size: need, Class: model.ClassBatch}
	tests := []struct {
		name string
		cmd  *work.Command
		skip func(*work.State)
	}{
		{"a loss under an older epoch", &work.Command{Epoch: model.NewEpoch(1, 1), Lost: currentLoss}, func(s *work.State) { s.Skip(work.SkipEpoch) }},
		{"a loss of an older session", &work.Command{Lost: olderLoss}, func(s *work.State) { s.Skip(work.SkipSession) }},
		{"an admission based on an older fleet revision", &work.Command{FleetRevision: 6, Admit: []work.Admit{{Spec: otherJob, Assignment: 6}}}, func(s *work.State) { s.Skip(work.SkipFleetRevision) }},
		{"a raise under the version whose cap was lowered", &work.Command{Grants: []work.SetGrant{{Workspace: "t", Version: 3, Cap: size}}}, func(s *work.State) { s.Skip(work.SkipGrantVersion) }},
		{"a shorter lease term", &work.Command{LeaseTerm: &work.SetLeaseTerm{Millis: 5000}}, nil},
		{"a stop of an older attempt", &work.Command{Stop: []work.Stop{{Task: "j.0", Attempt: 0}}}, nil},
		{"a second placement", &work.Command{Place: []work.Place{{Task: "j.0", Worker: "w"}}}, nil},
		{"a registration of an older incarnation", &work.Command{Register: []work.Register{{Worker: "w", Size: size, Incarnation: "i0"}}}, nil},
		{"the end of an older run", &work.Command{Ended: []work.Ended{{RunID: work.RunID{Task: "j.0", Attempt: 0, Worker: "w"}}}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := newRunningState()
			before := image(c, s)
			s.Apply(3000, tt.cmd)
			c.Assert(image(c, s), qt.Equals, before)
			if tt.skip == nil {
				return
			}
			s = newRunningState()
			tt.skip(s)
			s.Apply(3000, tt.cmd)
			c.Assert(image(c, s), qt.Not(qt.Equals), before)
		})
	}
}

func image(c *qt.C, s *work.State) string {
	data, err := s.Snapshot()
	c.Assert(err, qt.IsNil)
	return string(data)
}

func TestSnapshotRoundTrip(t *testing.T) {
	c := qt.New(t)
	s := newRunningState()
	restored := work.New()
	c.Assert(restored.Restore([]byte(image(c, s))), qt.IsNil)
	c.Assert(image(c, restored), qt.Equals, image(c, s))
	c.Assert(restored.Worker("w").Free(), qt.Equals, s.Worker("w").Free())
	c.Assert(restored.Usage("t"), qt.Equals, need)
}
