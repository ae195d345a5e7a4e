package control

import (
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// TestFlagsAreCheckedAtOnce checks that all faults of a command line are told
// together, by the flag's name, and what stands for flags that are left out.
func TestFlagsAreCheckedAtOnce(t *testing.T) {
	const good = "--vm v --dc a --wire 127.0.0.1:1 --http 127.0.0.1:2"
	cases := []struct {
		name, line string
		want       []string
	}{
		{"nothing", "", []string{"--vm", "--dc", "--wire", "--http"}},
		{
			"wrong values", "--wire host:1 --http 127.0.0.1 --entry 1 --advertise x:y --join 127.0.0.1:0 --tick 1h --stop-grace=-1s --log-level loud",
			[]string{"--vm", "--dc", "--wire", "--http", "--entry", "--advertise", "--join", "--tick", "--stop-grace", "--log-level"},
		},
		{"good", good, nil},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			ran := false
			cmd := Command(func(_ context.Context, cfg *Config, _ *zap.Logger) error {
				ran = true
				qt.Assert(t, cfg.AdvertiseAddr, qt.Equals, cfg.WireAddr)
				qt.Assert(t, cfg.Tick, qt.Equals, defaultTick)
				return nil
			})
			err := cmd.Run(context.Background(), append([]string{"kqcontrol"}, strings.Fields(k.line)...))
			qt.Assert(t, ran, qt.Equals, k.want == nil)
			for _, flag := range k.want {
				qt.Assert(t, err, qt.ErrorMatches, "(?s).*\\n  "+flag+" .*")
			}
		})
	}
}
