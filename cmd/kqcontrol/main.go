// Command kqcontrol runs the control state of one entry VM: membership, the
// replicated groups, the scheduler and the workers' leases.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"kumquatwing/internal/control"
	"kumquatwing/internal/logx"
	"kumquatwing/internal/model"
	"kumquatwing/internal/version"
)

// defaultThreads is one for control state and one for what comes in. More cost
// processor time in the runtime's search for work and memory for its caches.
const defaultThreads = 2

func main() {
	cmd := &cli.Command{
		Name:    "kqcontrol",
		Usage:   "run the control state of one entry VM",
		Version: version.Version,
		Flags:   flags(),
		Action:  run,
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "kqcontrol:", err)
		os.Exit(1)
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "vm", Usage: "name of this VM", Sources: cli.EnvVars("KQ_VM")},
		&cli.StringFlag{Name: "dc", Usage: "data centre of this VM", Sources: cli.EnvVars("KQ_DC")},
		&cli.StringFlag{Name: "region", Usage: "region of this VM", Sources: cli.EnvVars("KQ_REGION")},
		&cli.StringFlag{Name: "wire", Usage: "IP:port for our own processes", Sources: cli.EnvVars("KQ_CONTROL_WIRE")},
		&cli.StringFlag{Name: "advertise", Usage: "IP:port at which our own processes reach --wire, if another", Sources: cli.EnvVars("KQ_CONTROL_ADVERTISE")},
		&cli.StringFlag{Name: "http", Usage: "IP:port for operators, workers and metrics", Sources: cli.EnvVars("KQ_CONTROL_HTTP")},
		&cli.StringFlag{Name: "entry", Usage: "IP:port of this VM's kqentry", Sources: cli.EnvVars("KQ_ENTRY_HTTP")},
		&cli.StringSliceFlag{Name: "join", Usage: "wire addresses of other kqcontrol processes", Sources: cli.EnvVars("KQ_JOIN")},
		&cli.StringFlag{Name: "data", Usage: "folder for durable state; empty on a VM without a disk", Sources: cli.EnvVars("KQ_DATA")},
		&cli.StringFlag{Name: "events", Usage: "folder for event files; empty for none", Sources: cli.EnvVars("KQ_EVENTS")},
		&cli.StringFlag{Name: "operator-token", Usage: "token that operators' calls must show", Sources: cli.EnvVars("KQ_OPERATOR_TOKEN")},
		&cli.DurationFlag{Name: "tick", Usage: "period of the scheduler", Value: 100 * time.Millisecond, Sources: cli.EnvVars("KQ_TICK")},
		&cli.DurationFlag{Name: "stop-grace", Usage: "how long readiness is withdrawn before a graceful stop goes on", Value: time.Second, Sources: cli.EnvVars("KQ_STOP_GRACE")},
		&cli.IntFlag{Name: "threads", Usage: "threads that run at the same time", Value: defaultThreads, Sources: cli.EnvVars("KQ_THREADS")},
		&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info", Sources: cli.EnvVars("KQ_LOG_LEVEL")},
	}
}

func run(ctx context.Context, c *cli.Command) error {
	log, err := logx.New(c.String("log-level"))
	if err != nil {
		return err
	}
	if n := c.Int("threads"); n > 0 {
		runtime.GOMAXPROCS(n)
	}
	server, err := control.New(control.Config{
		VM:            model.VMID(c.String("vm")),
		DC:            model.DCID(c.String("dc")),
		Region:        c.String("region"),
		WireAddr:      c.String("wire"),
		AdvertiseAddr: c.String("advertise"),
		HTTPAddr:      c.String("http"),
		EntryAddr:     c.String("entry"),
		Join:          c.StringSlice("join"),
		DataDir:       c.String("data"),
		EventDir:      c.String("events"),
		OperatorToken: c.String("operator-token"),
		Tick:          c.Duration("tick"),
		StopGrace:     c.Duration("stop-grace"),
	}, log)
	if err != nil {
		return err
	}
	return server.Run(ctx)
}
