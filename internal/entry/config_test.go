package entry

import (
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// TestFlagsReportAllFaults checks that one error lists all invalid or missing flags
// by name.
func TestFlagsReportAllFaults(t *testing.T) {
	cases := []struct {
		name, line string
		want       []string
	}{
		{"nothing", "", []string{"--vm", "--dc", "--http", "--control"}},
		{
			"wrong values", "--vm v --dc a --listen host:1 --control 127.0.0.1 --sync 2s --requests 0 --header-bytes 3 --drain 0s",
			[]string{"--http", "--control", "--sync", "--requests", "--header-bytes", "--drain"},
		},
		{"log level and missing flag", "--vm v --http 127.0.0.1:1 --control 127.0.0.1:2 --log-level loud", []string{"--dc", "--log-level"}},
		{"good", "--vm v --dc a --http 127.0.0.1:1 --control 127.0.0.1:2,127.0.0.1:3", nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ran := false
			cmd := Command(func(_ context.Context, cfg *Config, _ *zap.Logger) error {
				ran = true
				qt.Assert(t, cfg.Control, qt.HasLen, 2)
				qt.Assert(t, cfg.Wire, qt.Equals, "127.0.0.1:0")
				return nil
			})
			err := cmd.Run(context.Background(), append([]string{"kqentry"}, strings.Fields(tc.line)...))
			qt.Assert(t, ran, qt.Equals, tc.want == nil)
			for _, flag := range tc.want {
				qt.Assert(t, err, qt.ErrorMatches, "(?s).*"+flag+" .*")
			}
		})
	}
}
