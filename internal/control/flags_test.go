package control

import (
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// TestFlagsAreCheckedAtOnce checks that all invalid flags are reported in one error,
// by name, and that flags that are not given get their defaults.
func TestFlagsAreCheckedAtOnce(t *testing.T) {
	const validFlags = "--vm v --dc a --wire 127.0.0.1:1 --http 127.0.0.1:2"
	cases := []struct {
		name, line string
		want       []string
	}{
		{"nothing", "", []string{"--vm", "--dc", "--wire", "--http"}},
		{
			"invalid values", "--wire host:1 --http 127.0.0.1 --entry 1 --advertise x:y --join 127.0.0.1:0 --tick 1h --threads=-1 --stop-grace=-1s --log-level loud",
			[]string{"--vm", "--dc", "--wire", "--http", "--entry", "--advertise", "--join", "--tick", "--threads", "--stop-grace", "--log-level"},
		},
		{"good", validFlags, nil},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			ran := false
			cmd := Command(func(_ context.Context, cfg *Config, _ *zap.Logger) error {
				ran = true
				qt.Assert(t, cfg.AdvertiseAddr, qt.Equals, cfg.WireAddr)
				qt.Assert(t, cfg.Tick, qt.Equals, defaultTick)
				qt.Assert(t, cfg.Threads, qt.Equals, defaultThreads)
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
