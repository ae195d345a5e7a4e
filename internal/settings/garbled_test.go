package settings

import (
	"errors"
	"flag"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// TestGarbledFilesNameTheirFaults changes bytes of valid files: the result is
// either valid or a list of faults that name the file, never a crash.
func TestGarbledFilesNameTheirFaults(t *testing.T) {
	var text []byte
	for _, name := range []string{"fleet", "places", "workspaces", "queues"} {
		b, err := os.ReadFile("../../examples/fleet/" + name + ".yaml")
		qt.Assert(t, err, qt.IsNil)
		text = append(text, b...)
	}
	rapid.Check(t, func(rt *rapid.T) {
		garbled := append([]byte(nil), text...)
		for range rapid.IntRange(1, 6).Draw(rt, "changes") {
			at := rapid.IntRange(0, len(garbled)-1).Draw(rt, "at")
			garbled[at] = rapid.SampledFrom([]byte("{}[]:,&*!|>-#\"'%@` \n\t0az\x00\xff")).Draw(rt, "byte")
		}
		if rapid.Bool().Draw(rt, "cut") {
			garbled = garbled[:rapid.IntRange(0, len(garbled)).Draw(rt, "length")]
		}
		d, err := ParseFile("f.yaml", garbled)
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
