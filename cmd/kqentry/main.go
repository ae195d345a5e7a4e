// Command kqentry takes callers' requests to backend servers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"kumquatwing/internal/clock"
	"kumquatwing/internal/entry"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger, err := zap.NewProduction()
	if err != nil {
		os.Exit(1)
	}
	defer logger.Sync()
	cmd := entry.Command(func(ctx context.Context, cfg entry.Config) error {
		e, err := entry.Open(cfg, logger, clock.Boot{})
		if err != nil {
			return err
		}
		return e.Run(ctx)
	})
	if err := cmd.Run(ctx, os.Args); err != nil {
		os.Stderr.WriteString("kqentry: " + err.Error() + "\n")
		os.Exit(1)
	}
}
