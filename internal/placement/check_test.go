package placement

import (
	"errors"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"kumquatwing/internal/model"
)

// mutation makes a plan violate a rule.
type mutation struct {
	name string
	// rules holds the rules of which Check must report one.
	rules []string
	// apply changes the plan or its snapshot. It returns false if the mutation
	// does not apply to this plan.
	apply func(s *Snapshot, p *Plan) bool
}

var mutations = []mutation{
	{"task placed twice", []string{RuleOnce}, func(_ *Snapshot, p *Plan) bool {
		if len(p.Place) == 0 {
			return false
		}
		p.Place = append(p.Place, p.Place[0])
		return true
	}},
	{"gang placed in part", []string{RuleGang, RuleReserved}, func(s *Snapshot, p *Plan) bool {
		i := slices.IndexFunc(p.Place, func(pl Placement) bool {
			j := findJob(s, pl.Job)
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
	{"task has failed on the worker", []string{RuleAvoid}, func(s *Snapshot, p *Plan) bool {
		if len(p.Place) == 0 {
			return false
		}
		j := findJob(s, p.Place[0].Job)
		for i := range j.Pending {
			j.Pending[i].Avoid = append(j.Pending[i].Avoid, p.Place[0].Worker)
		}
		return true
	}},
	{"no grant", []string{RuleGrant}, func(s *Snapshot, p *Plan) bool {
		for i := range s.Workspaces {
			s.Workspaces[i].Grant = model.Resources{}
		}
		return len(p.Place) > 0
	}},
	{"data centre out of service", []string{RuleOut}, func(s *Snapshot, p *Plan) bool {
		s.OutOfService = true
		return len(p.Place) > 0
	}},
	{"more than MaxPlacements", []string{RuleBound}, func(s *Snapshot, p *Plan) bool {
		s.MaxPlacements = 1
		return len(p.Place) > 1 && p.Place[0].Job != p.Place[len(p.Place)-1].Job
	}},
	{"wait missing", []string{RuleUnaccounted}, func(_ *Snapshot, p *Plan) bool {
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
	{"unnecessary preemption", []string{RulePreempt}, func(s *Snapshot, p *Plan) bool {
		if len(p.Preempt) == 0 {
			return false
		}
		for i := range s.Workspaces {
			s.Workspaces[i].Grant = newTestWorkspace("", 1).Grant
		}
		for i := range s.Workers {
			if s.Workers[i].ID == p.Preempt[0].Worker {
				s.Workers[i].Free = s.Workers[i].Size.Scale(2)
				return true
			}
		}
		return false
	}},
	{"preempted capacity not reserved", []string{RulePreempt}, func(s *Snapshot, p *Plan) bool {
		p.Reservations = nil
		return len(p.Preempt) > 0
	}},
	{"reservation expired", []string{RuleReservation}, func(s *Snapshot, p *Plan) bool {
		if len(p.Reservations) == 0 {
			return false
		}
		p.Reservations[0].UntilMillis = s.NowMillis
		return true
	}},
	{"job refused although it fits", []string{RuleRefuse, RuleUnaccounted}, func(s *Snapshot, p *Plan) bool {
		if len(p.Waits) == 0 || s.OutOfService {
			return false
		}
		p.Refuse = append(p.Refuse, JobRefusal{Job: p.Waits[0].Job})
		return true
	}},
	{"wrong count in explanation", []string{RuleExplanation}, func(s *Snapshot, p *Plan) bool {
		if len(p.Place) == 0 {
			return false
		}
		p.Place[0].Explain.Considered++
		return true
	}},
}

// findJob returns the job with the given id, or nil.
func findJob(s *Snapshot, id model.JobID) *JobView {
	for i := range s.Jobs {
		if s.Jobs[i].Spec.ID == id {
			return &s.Jobs[i]
		}
	}
	return nil
}

// cloneSnapshot copies the parts of s that mutations change.
func cloneSnapshot(s *Snapshot) *Snapshot {
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

// TestCheckRejectsInvalidPlans checks that Check reports a violation of the right
// rule for each mutation, and that each mutation applies to some generated plan.
func TestCheckRejectsInvalidPlans(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			applied := 0
			rapid.Check(t, func(t *rapid.T) {
				s := cloneSnapshot(genSnapshot(t))
				p := Decide(s)
				if !m.apply(s, p) {
					return
				}
				applied++
				var rule *RuleError
				if err := Check(s, p); !errors.As(err, &rule) || !slices.Contains(m.rules, rule.Rule) {
					t.Fatalf("Check returned %v, want a violation of one of %v", err, m.rules)
				}
			})
			qt.Assert(t, applied > 0, qt.IsTrue)
		})
	}
}
