// Command kqcontrol runs the control state of one entry VM: membership, the
// replicated groups, the scheduler and the workers' leases.
package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"kumquatwing/internal/control"
	"kumquatwing/internal/logx"
	"kumquatwing/internal/model"
	"kumquatwing/internal/program"
	"kumquatwing/internal/version"
)

func main() {
	cmd := &cli.Command{
		Name:    "kqcontrol",
		Usage:   "run the control state of one entry VM",
		Version: version.Version,
		Flags:   flags(),
		Action:  run,
	}
	os.Exit(program.Run(cmd, os.Args, os.Stderr))
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "vm", Usage: "name of this VM", Sources: cli.EnvVars("KQ_VM")},
		&cli.StringFlag{Name: "dc", Usage: "data centre of this VM", Sources: cli.EnvVars("KQ_DC")},
		&cli.StringFlag{Name: "region", Usage: "region of this VM until the declarations name it", Sources: cli.EnvVars("KQ_REGION")},
		&cli.StringFlag{Name: "wire", Usage: "`IP:PORT` for our own processes", Sources: cli.EnvVars("KQ_CONTROL_WIRE")},
		&cli.StringFlag{Name: "advertise", Usage: "`IP:PORT` at which our own processes reach --wire, if another", Sources: cli.EnvVars("KQ_CONTROL_ADVERTISE")},
		&cli.StringFlag{Name: "http", Usage: "`IP:PORT` for operators, workers and metrics", Sources: cli.EnvVars("KQ_CONTROL_HTTP")},
		&cli.StringFlag{Name: "entry", Usage: "`IP:PORT` of this VM's kqentry, its --http", Sources: cli.EnvVars("KQ_ENTRY_HTTP")},
		&cli.StringSliceFlag{Name: "join", Usage: "`IP:PORT` of another kqcontrol's --wire; may be given several times", Sources: cli.EnvVars("KQ_JOIN")},
		&cli.StringFlag{Name: "data", Usage: "`FOLDER` of the durable state; none on a VM without a disk", Sources: cli.EnvVars("KQ_DATA")},
		&cli.StringFlag{Name: "events", Usage: "`FOLDER` of the event file; none if empty", Sources: cli.EnvVars("KQ_EVENTS")},
		&cli.StringFlag{Name: "operator-token", Usage: "`TOKEN` that operators' calls must show; none is asked for if empty", Sources: cli.EnvVars("KQ_OPERATOR_TOKEN")},
		&cli.DurationFlag{Name: "tick", Usage: "period of the scheduler", Value: 100 * time.Millisecond, Sources: cli.EnvVars("KQ_TICK")},
		&cli.DurationFlag{Name: "stop-grace", Usage: "how long readiness is withdrawn before leadership is handed over at a stop", Value: time.Second, Sources: cli.EnvVars("KQ_STOP_GRACE")},
		&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: logx.DefaultLevel, Sources: cli.EnvVars("KQ_LOG_LEVEL")},
	}
}

func run(ctx context.Context, c *cli.Command) error {
	cfg := configOf(c)
	log, err := logx.New(c.String("log-level"))
	if err := program.Join(cfg.Check(), err); err != nil {
		return err
	}
	defer log.Sync()
	server, err := control.New(cfg, log)
	if err != nil {
		return err
	}
	return server.Run(ctx)
}

func configOf(c *cli.Command) control.Config {
	return control.Config{
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
	}
}
