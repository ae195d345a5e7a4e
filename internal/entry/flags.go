package entry

import (
	"context"
	"net"

	"github.com/urfave/cli/v3"

	"kumquatwing/internal/model"
	"kumquatwing/internal/version"
)

// Command returns the kqentry command line. run gets a checked configuration.
func Command(run func(ctx context.Context, cfg Config) error) *cli.Command {
	return &cli.Command{
		Name:    "kqentry",
		Usage:   "take callers' requests to backend servers",
		Version: version.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "vm", Usage: "name of this entry VM", Sources: cli.EnvVars("KQ_VM")},
			&cli.StringFlag{Name: "dc", Usage: "data centre of this entry VM", Sources: cli.EnvVars("KQ_DC")},
			&cli.StringFlag{Name: "listen", Usage: "`IP:PORT` for callers, servers and operators", Sources: cli.EnvVars("KQ_LISTEN")},
			&cli.StringFlag{Name: "wire", Usage: "`IP:PORT` of the own end towards kqcontrol; by default the IP of --listen with a free port", Sources: cli.EnvVars("KQ_ENTRY_WIRE")},
			&cli.StringSliceFlag{Name: "control", Usage: "`IP:PORT` of kqcontrol's wire interface, the own VM's first", Sources: cli.EnvVars("KQ_CONTROL")},
			&cli.StringFlag{Name: "events", Usage: "folder of the event file", Sources: cli.EnvVars("KQ_EVENTS")},
			&cli.DurationFlag{Name: "grace", Value: DefaultGrace, Usage: "pause between turning unready and refusing requests", Sources: cli.EnvVars("KQ_GRACE")},
			&cli.DurationFlag{Name: "drain", Value: DefaultDrain, Usage: "longest wait for requests in flight at a stop", Sources: cli.EnvVars("KQ_DRAIN")},
			&cli.DurationFlag{Name: "sync", Value: DefaultSync, Usage: "pause between two syncs with kqcontrol", Sources: cli.EnvVars("KQ_SYNC")},
			&cli.IntFlag{Name: "requests", Value: DefaultRequests, Usage: "requests taken in at the same time", Sources: cli.EnvVars("KQ_REQUESTS")},
			&cli.IntFlag{Name: "header-bytes", Value: DefaultHeaderBytes, Usage: "bound of a request's headers", Sources: cli.EnvVars("KQ_HEADER_BYTES")},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg := configOf(cmd)
			if err := cfg.Check(); err != nil {
				return err
			}
			return run(ctx, cfg)
		},
	}
}

func configOf(cmd *cli.Command) Config {
	cfg := Config{
		VM:          model.VMID(cmd.String("vm")),
		DC:          model.DCID(cmd.String("dc")),
		Listen:      cmd.String("listen"),
		Wire:        cmd.String("wire"),
		Control:     cmd.StringSlice("control"),
		EventDir:    cmd.String("events"),
		Grace:       cmd.Duration("grace"),
		Drain:       cmd.Duration("drain"),
		Sync:        cmd.Duration("sync"),
		Requests:    cmd.Int("requests"),
		HeaderBytes: cmd.Int("header-bytes"),
	}
	if host, _, err := net.SplitHostPort(cfg.Listen); err == nil && cfg.Wire == "" {
		cfg.Wire = net.JoinHostPort(host, "0")
	}
	return cfg
}
