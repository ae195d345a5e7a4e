package workerapi_test

import (
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/fake/cell"
	"kumquatwing/internal/fake/worker"
	"kumquatwing/internal/workerapi"
)

const (
	simSteps = 150
	// simSeeds is the maximum number of seeds tried to find a violation with one
	// protection disabled.
	simSeeds = 500
)

// TestEachProtectionIsNeeded disables one protection at a time and expects some
// seed to give a violation.
func TestEachProtectionIsNeeded(t *testing.T) {
	tests := []struct {
		name string
		skip func(*workerapi.Leader)
	}{
		{"lease", func(l *workerapi.Leader) { l.Skip(workerapi.SkipLease) }},
		{"settings lease", func(l *workerapi.Leader) { l.Skip(workerapi.SkipSettingsLease) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			violation, violationSeed := "", int64(0)
			for seed := int64(0); seed < simSeeds && violation == ""; seed++ {
				violationSeed = seed
				sim := cell.NewRandomSim(rand.New(rand.NewSource(seed)), worker.Faults{})
				sim.OnElect = tt.skip
				tt.skip(sim.Leader)
				violation = sim.Run(simSteps)
			}
			qt.Assert(t, violation, qt.Not(qt.Equals), "")
			t.Logf("seed %d: %s", violationSeed, violation)
		})
	}
}
