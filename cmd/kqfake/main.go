// Command kqfake runs fakes of the machines around the system, for demos and
// tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:     "kqfake",
		Usage:    "run fake machines for demos and tests",
		Commands: []*cli.Command{backendCommand(), callerCommand(), workerCommand},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "kqfake:", err)
		os.Exit(1)
	}
}
