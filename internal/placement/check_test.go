package placement

import (
	"errors"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"kumquatwing/internal/model"
)

// mutation breaks a plan; it reports false where it has nothing to break.
type mutation struct {
	name   string
	rules  []string
	change func(s *Snapshot, p *Plan) bool
}

var mutations = []mutation{
	{"placed twice", []string{RuleOnce}, func(_ *Snapshot, p *Plan) bool {
		if len(p.Place) == 0 {
			return false
		}
		p.Place = append(p.Place, p.Place[0])
		return true
	}},
	{"gang cut", []string{RuleGang, RuleReserved}, func(s *Snapshot, p *Plan) bool {
		i := slices.IndexFunc(p.Place, func(pl Placement) bool {
			j := jobIn(s, pl.Job)
			return isGang(j) && len(j.Pending) > 1
		})
		if i < 0 {
			return false
		}
		p.Place = slices.Delete(p.Place, i, i+1)
		return true
	}},
	{"worker full", []string{RuleRoom}, func(s *Snapshot, p *Plan) bool {
		for i := range s.Workers {
			if len(p.Place) > 0 && s.Workers[i].ID == p.Place[0].Worker {
				s.Workers[i].Free = model.Resources{MilliCPU: 1}
				return true
			}
		}
		return false
	}},
	{"worker lost", []string{RuleWorker}, func(s *Snapshot, p *Plan) bool {
		for i := range s.Workers {
			if len(p.Place) > 0 && s.Workers[i].ID == p.Place[0].Worker {
				s.Workers[i].State = model.WorkerLost
				return true
			}
		}
		return false
	}},
	{"failed there", []string{RuleAvoid}, func(s *Snapshot, p *Plan) bool {
		if len(p.Place) == 0 {
			return false
		}
		j := jobIn(s, p.Place[0].Job)
		for i := range j.Pending {
			j.Pending[i].Avoid = append(j.Pending[i].Avoid, p.Place[0].Worker)
		}
		return true
	}},
	{"grant gone", []string{RuleGrant}, func(s *Snapshot, p *Plan) bool {
		for i := range s.Workspaces {
			s.Workspaces[i].Grant = model.Resources{}
		}
		return len(p.Place) > 0
	}},
	{"data centre out", []string{RuleOut}, func(s *Snapshot, p *Plan) bool {
		s.Out = true
		return len(p.Place) > 0
	}},
	{"bound passed", []string{RuleBound}, func(s *Snapshot, p *Plan) bool {
		s.MaxPlacements = 1
		return len(p.Place) > 1 && p.Place[0].Job != p.Place[len(p.Place)-1].Job
	}},
	{"wait dropped", []string{RuleUnaccounted}, func(_ *Snapshot, p *Plan) bool {
		if len(p.Waits) == 0 {
			return false
		}
		p.Waits = p.Waits[1:]
		return true
	}},
	{"service preempted", []string{RulePreempt}, func(s *Snapshot, p *Plan) bool {
		for i := range s.Runs {
			if len(p.Preempt) > 0 && s.Runs[i].Task == p.Preempt[0].Task {
				s.Runs[i].Class = model.ClassService
				return true
			}
		}
		return false
	}},
	{"preempted more than needed", []string{RulePreempt}, func(s *Snapshot, p *Plan) bool {
		if len(p.Preempt) == 0 {
			return false
		}
		for i := range s.Workspaces {
			s.Workspaces[i].Grant = workspaceOf("", 1).Grant
		}
		for i := range s.Workers {
			if s.Workers[i].ID == p.Preempt[0].Worker {
				s.Workers[i].Free = s.Workers[i].Size.Scale(2)
				return true
			}
		}
		return false
	}},
	{"preempted room not held", []string{RulePreempt}, func(s *Snapshot, p *Plan) bool {
		p.Reservations = nil
		return len(p.Preempt) > 0
	}},
	{"reservation ended", []string{RuleReservation}, func(s *Snapshot, p *Plan) bool {
		if len(p.Reservations) == 0 {
			return false
		}
		p.Reservations[0].UntilMillis = s.NowMillis
		return true
	}},
	{"refused though it fits", []string{RuleRefuse, RuleUnaccounted}, func(s *Snapshot, p *Plan) bool {
		if len(p.Waits) == 0 || s.Out {
			return false
		}
		p.Refuse = append(p.Refuse, JobRefusal{Job: p.Waits[0].Job})
		return true
	}},
	{"count made up", []string{RuleExplanation}, func(s *Snapshot, p *Plan) bool {
		if len(p.Place) == 0 {
			return false
		}
		p.Place[0].Explain.Considered++
		return true
	}},
}

func jobIn(s *Snapshot, id model.JobID) *JobView {
	for i := range s.Jobs {
		if s.Jobs[i].Spec.ID == id {
			return &s.Jobs[i]
		}
	}
	return nil
}

// copyOf copies what mutations change.
func copyOf(s *Snapshot) *Snapshot {
	c := *s
	c.Workers = slices.Clone(s.Workers)
	c.Workspaces = slices.Clone(s.Workspaces)
	c.Runs = slices.Clone(s.Runs)
	c.Jobs = slices.Clone(s.Jobs)
	for i := range c.Jobs {
		c.Jobs[i].Pending = slices.Clone(c.Jobs[i].Pending)
	}
	return &c
}

func TestCheckRejectsBrokenPlans(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			tried := 0
			rapid.Check(t, func(t *rapid.T) {
				s := copyOf(genSnapshot(t))
				p := Decide(s)
				if !m.change(s, p) {
					return
				}
				tried++
				var rule *RuleError
				if err := Check(s, p); !errors.As(err, &rule) || !slices.Contains(m.rules, rule.Rule) {
					t.Fatalf("Check says %v, want one of %v", err, m.rules)
				}
			})
			qt.Assert(t, tried > 0, qt.IsTrue)
		})
	}
}
