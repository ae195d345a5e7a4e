// Command kqcontrol runs the control state of one entry VM: membership, the
// replicated groups, the scheduler and the workers' leases.
package main

import (
	"context"
	"os"

	"go.uber.org/zap"

	"kumquatwing/internal/control"
	"kumquatwing/internal/program"
)

func main() {
	os.Exit(program.Run(control.Command(serve), os.Args, os.Stderr))
}

func serve(ctx context.Context, cfg *control.Config, log *zap.Logger) error {
	server, err := control.New(*cfg, log)
	if err != nil {
		return err
	}
	return server.Run(ctx)
}
