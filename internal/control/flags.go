package control

import (
	"context"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"kumquatwing/internal/model"
	"kumquatwing/internal/program"
	"kumquatwing/internal/version"
)

// Command returns the kqcontrol command line. run is called with a validated
// configuration and the logger.
func Command(run func(ctx context.Context, cfg *Config, log *zap.Logger) error) *cli.Command {
	return &cli.Command{
		Name:    "kqcontrol",
		Usage:   "run the control state of one entry VM",
		Version: version.Version,
		Flags: append(program.CommonFlags(),
			&cli.StringFlag{Name: "region", Usage: "region of this VM until the declarations name it", Sources: cli.EnvVars("KQ_REGION")},
			&cli.StringFlag{Name: "wire", Usage: "`IP:PORT` for our own processes", Sources: cli.EnvVars("KQ_CONTROL_WIRE")},
			&cli.StringFlag{Name: "advertise", Usage: "`IP:PORT` at which our own processes reach --wire, if another", Sources: cli.EnvVars("KQ_CONTROL_ADVERTISE")},
			&cli.StringFlag{Name: "http", Usage: "`IP:PORT` for operators, workers and metrics", Sources: cli.EnvVars("KQ_CONTROL_HTTP")},
			&cli.StringFlag{Name: "entry", Usage: "`IP:PORT` of this VM's kqentry, its --http", Sources: cli.EnvVars("KQ_ENTRY_HTTP")},
			&cli.StringSliceFlag{Name: "join", Usage: "`IP:PORT` of another kqcontrol's --wire; may be given several times", Sources: cli.EnvVars("KQ_JOIN")},
			&cli.StringFlag{Name: "data", Usage: "`FOLDER` of the durable state; none on a VM without a disk", Sources: cli.EnvVars("KQ_DATA")},
			&cli.StringFlag{Name: "operator-token", Usage: "`TOKEN` that operators' calls must show; none is asked for if empty", Sources: cli.EnvVars("KQ_OPERATOR_TOKEN")},
			&cli.DurationFlag{Name: "tick", Usage: "period of the scheduler", Value: defaultTick, Sources: cli.EnvVars("KQ_TICK")},
			&cli.IntFlag{Name: "threads", Usage: "threads that run at the same time", Value: defaultThreads, Sources: cli.EnvVars("KQ_THREADS")},
		),
		Action: program.Daemon(configFromFlags, run),
	}
}

// configFromFlags returns the configuration that the flags give, without defaults
// and not yet validated.
func configFromFlags(cmd *cli.Command) *Config {
	return &Config{
		VM:            model.VMID(cmd.String("vm")),
		DC:            model.DCID(cmd.String("dc")),
		Region:        cmd.String("region"),
		WireAddr:      cmd.String("wire"),
		AdvertiseAddr: cmd.String("advertise"),
		HTTPAddr:      cmd.String("http"),
		EntryAddr:     cmd.String("entry"),
		Join:          cmd.StringSlice("join"),
		DataDir:       cmd.String("data"),
		EventDir:      cmd.String("events"),
		OperatorToken: cmd.String("operator-token"),
		Tick:          cmd.Duration("tick"),
		Threads:       cmd.Int("threads"),
		StopGrace:     cmd.Duration("stop-grace"),
	}
}
