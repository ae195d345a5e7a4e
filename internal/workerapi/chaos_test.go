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
	chaosSteps = 150
	// chaosSeeds is the maximum number of seeds tried to find a violation with one
	// protection disabled.
	chaosSeeds = 500
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
			for seed := int64(0); seed < chaosSeeds && violation == ""; seed++ {
				violationSeed = seed
				chaos := cell.NewRandomSim(rand.New(rand.NewSource(seed)), worker.Faults{})
				chaos.OnElect = tt.skip
				tt.skip(chaos.Leader)
				violation = chaos.Run(chaosSteps)
			}
			qt.Assert(t, violation, qt.Not(qt.Equals), "")
			t.Logf("seed %d: %s", violationSeed, violation)
		})
	}
}
