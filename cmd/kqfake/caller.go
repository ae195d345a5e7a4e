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
		Usage: "send requests and check their answers",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "`IP:PORT` of entry VMs", Sources: cli.EnvVars("KQ_FAKE_ENTRY")},
			&cli.StringFlag{Name: "queue", Usage: "queue to send to", Sources: cli.EnvVars("KQ_FAKE_QUEUE")},
			&cli.StringFlag{Name: "key", Usage: "a workspace's key", Sources: cli.EnvVars("KQ_KEY")},
			&cli.IntFlag{Name: "requests", Value: 1000, Usage: "how many to send"},
			&cli.IntFlag{Name: "parallel", Value: 16, Usage: "how many at the same time"},
			&cli.FloatFlag{Name: "rate", Usage: "bound of requests per second; 0 for none"},
			&cli.IntFlag{Name: "once-percent", Usage: "share of requests that are not idempotent"},
			&cli.IntFlag{Name: "body", Value: 100, Usage: "bytes of each body"},
			&cli.DurationFlag{Name: "patience", Value: 10 * time.Second, Usage: "longest time for one request with its repeats"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all draws"},
			&cli.StringFlag{Name: "log", Usage: "file for a line per try"},
		},
		Action: runCaller,
	}
}

func runCaller(ctx context.Context, c *cli.Command) error {
	if len(c.StringSlice("entry")) == 0 || c.String("queue") == "" {
		return program.Usagef("--entry and --queue are needed")
	}
	var log io.Writer
	if path := c.String("log"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		defer f.Close()
		log = f
	}
	summary := caller.New(caller.Config{
		Entries:     c.StringSlice("entry"),
		Queue:       model.QueueName(c.String("queue")),
		Key:         c.String("key"),
		Requests:    c.Int("requests"),
		Parallel:    c.Int("parallel"),
		PerSecond:   c.Float("rate"),
		OncePercent: c.Int("once-percent"),
		BodyBytes:   c.Int("body"),
		Patience:    c.Duration("patience"),
		Seed:        c.Uint64("seed"),
		Log:         log,
	}).Run(ctx)
	line, err := json.Marshal(summary)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if summary.Lost() > 0 {
		return cli.Exit(fmt.Sprintf("%d of %d requests without their answer", summary.Lost(), summary.Requests), 1)
	}
	return nil
}
