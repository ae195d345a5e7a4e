package work_test

import (
	"flag"
	"math/rand"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"kumquatwing/internal/fake/cell"
	"kumquatwing/internal/fake/worker"
	"kumquatwing/internal/work"
)

const (
	simSteps = 150
	// simSeeds is the number of seeded runs within which a disabled check must
	// lead to a violation.
	simSeeds = 500
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20260112")
	flag.Set("rapid.checks", "40")
	os.Exit(m.Run())
}

// rapidSource draws the random choices of a simulation from rapid, which shrinks
// failing runs.
type rapidSource struct{ t *rapid.T }

func (s rapidSource) Intn(n int) int { return rapid.IntRange(0, n-1).Draw(s.t, "choice") }

func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := cell.NewRandomSim(rapidSource{t}, worker.Faults{})
		if violation := sim.WithFollower().Run(simSteps); violation != "" {
			t.Fatal(violation)
		}
	})
}

func TestInvariantsHoldForSeeds(t *testing.T) {
	for seed := range int64(200) {
		sim := cell.NewRandomSim(rand.New(rand.NewSource(seed)), worker.Faults{})
		if violation := sim.WithFollower().Run(simSteps); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// TestEachCheckIsNeeded checks that disabling one of these checks, or letting
// workers ignore the end of their leases, violates an invariant in one of the
// seeded runs.
func TestEachCheckIsNeeded(t *testing.T) {
	tests := []struct {
		name   string
		skip   func(*work.State)
		faults worker.Faults
	}{
		{name: "grant", skip: func(s *work.State) { s.Skip(work.SkipGrant) }},
		{name: "gang", skip: func(s *work.State) { s.Skip(work.SkipGang) }},
		{name: "idempotent", skip: func(s *work.State) { s.Skip(work.SkipIdempotence) }},
		{name: "worker's lease", faults: worker.Faults{IgnoreLease: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			violation, at := "", int64(0)
			for seed := int64(0); seed < simSeeds && violation == ""; seed++ {
				at = seed
				sim := cell.NewRandomSim(rand.New(rand.NewSource(seed)), tt.faults)
				if tt.skip != nil {
					tt.skip(sim.State)
				}
				violation = sim.Run(simSteps)
			}
			qt.Assert(t, violation, qt.Not(qt.Equals), "")
			t.Logf("seed %d: %s", at, violation)
		})
	}
}
