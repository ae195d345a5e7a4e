// Command kqcontrol runs the control plane on one entry VM: membership, the
// replicated groups, the scheduler and the worker leases.
package main

import (
	"context"
	"os"
	"runtime"

	"go.uber.org/zap"

	"kumquatwing/internal/control"
	"kumquatwing/internal/program"
	"kumquatwing/platform"
)

func main() {
	os.Exit(program.Run(platform.AddPlatformFlag(control.Command(serve), platform.RunControl), os.Args, os.Stderr))
}

func serve(ctx context.Context, cfg *control.Config, log *zap.Logger) error {
	server, err := control.New(*cfg, log)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(cfg.Threads)
	return server.Run(ctx)
}
