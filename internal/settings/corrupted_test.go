package settings

import (
	"errors"
	"flag"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestMain gives the property tests a fixed seed unless -rapid.seed sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// TestParseFileCorruptedInput overwrites random bytes of valid files and may
// truncate them. ParseFile must either return valid declarations or a list of
// faults that name the file; it must not panic.
func TestParseFileCorruptedInput(t *testing.T) {
	var text []byte
	for _, name := range []string{"fleet", "places", "workspaces", "queues"} {
		b, err := os.ReadFile("../../examples/fleet/" + name + ".yaml")
		qt.Assert(t, err, qt.IsNil)
		text = append(text, b...)
	}
	rapid.Check(t, func(rt *rapid.T) {
		corrupted := append([]byte(nil), text...)
		for range rapid.IntRange(1, 6).Draw(rt, "changes") {
			at := rapid.IntRange(0, len(corrupted)-1).Draw(rt, "at")
			corrupted[at] = rapid.SampledFrom([]byte("{}[]:,&*!|>-#\"'%@` \n\t0az\x00\xff")).Draw(rt, "byte")
		}
		if rapid.Bool().Draw(rt, "cut") {
			corrupted = corrupted[:rapid.IntRange(0, len(corrupted)).Draw(rt, "length")]
		}
		d, err := ParseFile("f.yaml", corrupted)
		if err == nil {
			if faults := d.Validate(); len(faults) > 0 {
				rt.Fatalf("accepted with faults: %v", faults)
			}
			return
		}
		var faults Faults
		if !errors.As(err, &faults) || len(faults) == 0 || faults[0].File != "f.yaml" {
			rt.Fatalf("no faults with a file: %v", err)
		}
	})
}
