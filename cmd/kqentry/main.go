// Command kqentry accepts requests from callers and forwards them to backend
// servers.
package main

import (
	"context"
	"os"

	"go.uber.org/zap"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/entry"
	"kumquatwing/internal/program"
	"kumquatwing/platform"
)

func main() {
	os.Exit(program.Run(platform.AddPlatformFlag(entry.Command(serve), platform.RunEntry), os.Args, os.Stderr))
}

func serve(ctx context.Context, cfg *entry.Config, log *zap.Logger) error {
	e, err := entry.Open(*cfg, log, clock.Boot{})
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
