package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"kumquatwing/internal/fake/caller"
	"kumquatwing/internal/model"
	"kumquatwing/internal/program"
)

func callerCommand() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "send requests and check their responses",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "`IP:PORT` of entry VMs", Sources: cli.EnvVars("KQ_FAKE_ENTRY")},
			&cli.StringFlag{Name: "queue", Usage: "queue to send requests to", Sources: cli.EnvVars("KQ_FAKE_QUEUE")},
			&cli.StringFlag{Name: "key", Usage: "API key of a workspace", Sources: cli.EnvVars("KQ_KEY")},
			&cli.IntFlag{Name: "requests", Value: 1000, Usage: "number of requests to send"},
			&cli.IntFlag{Name: "parallel", Value: 16, Usage: "maximum number of requests in flight"},
			&cli.FloatFlag{Name: "rate", Usage: "maximum number of requests per second; 0 means unlimited"},
			&cli.IntFlag{Name: "once-percent", Usage: "percentage of requests sent as not idempotent"},
			&cli.IntFlag{Name: "body", Value: 100, Usage: "approximate size of each request body, in bytes"},
			&cli.DurationFlag{Name: "patience", Value: 10 * time.Second, Usage: "timeout of one request including its retries"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random number generator"},
			&cli.StringFlag{Name: "log", Usage: "write one line of JSON per attempt to this file"},
		},
		Action: runCaller,
	}
}

func runCaller(ctx context.Context, cmd *cli.Command) error {
	if len(cmd.StringSlice("entry")) == 0 || cmd.String("queue") == "" {
		return program.Usagef("--entry and --queue are required")
	}
	var log io.Writer
	if path := cmd.String("log"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		defer f.Close()
		log = f
	}
	summary := caller.New(caller.Config{
		Entries:     cmd.StringSlice("entry"),
		Queue:       model.QueueName(cmd.String("queue")),
		Key:         cmd.String("key"),
		Requests:    cmd.Int("requests"),
		Parallel:    cmd.Int("parallel"),
		PerSecond:   cmd.Float("rate"),
		OncePercent: cmd.Int("once-percent"),
		BodyBytes:   cmd.Int("body"),
		Patience:    cmd.Duration("patience"),
		Seed:        cmd.Uint64("seed"),
		Log:         log,
	}).Run(ctx)
	line, err := json.Marshal(summary)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if summary.Lost() > 0 {
		return cli.Exit(fmt.Sprintf("%d of %d requests did not receive their response", summary.Lost(), summary.Requests), 1)
	}
	return nil
}
