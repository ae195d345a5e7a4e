package entry

import (
	"context"
	"net"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"kumquatwing/internal/model"
	"kumquatwing/internal/program"
	"kumquatwing/internal/version"
)

// Command returns the kqentry command line. run gets a checked configuration
// and the log.
func Command(run func(ctx context.Context, cfg *Config, log *zap.Logger) error) *cli.Command {
	return &cli.Command{
		Name:    "kqentry",
		Usage:   "take callers' requests to backend servers",
		Version: version.Version,
		Flags: append(program.CommonFlags(),
			&cli.StringFlag{Name: "http", Aliases: []string{"listen"}, Usage: "`IP:PORT` for callers, backend servers, operators and metrics", Sources: cli.EnvVars("KQ_ENTRY_HTTP", "KQ_LISTEN")},
			&cli.StringFlag{Name: "wire", Usage: "`IP:PORT` of the own end towards kqcontrol; by default the IP of --http with a free port", Sources: cli.EnvVars("KQ_ENTRY_WIRE")},
			&cli.StringSliceFlag{Name: "control", Usage: "`IP:PORT` of kqcontrol's --wire, the own VM's first; may be given several times", Sources: cli.EnvVars("KQ_CONTROL", "KQ_CONTROL_WIRE")},
			&cli.DurationFlag{Name: "drain", Value: DefaultDrain, Usage: "longest wait for requests in flight at a stop", Sources: cli.EnvVars("KQ_DRAIN")},
			&cli.DurationFlag{Name: "sync", Value: DefaultSync, Usage: "pause between two syncs with kqcontrol", Sources: cli.EnvVars("KQ_SYNC")},
			&cli.IntFlag{Name: "requests", Value: DefaultRequests, Usage: "requests taken in at the same time", Sources: cli.EnvVars("KQ_REQUESTS")},
			&cli.IntFlag{Name: "header-bytes", Value: DefaultHeaderBytes, Usage: "bound of a request's headers", Sources: cli.EnvVars("KQ_HEADER_BYTES")},
		),
		Action: program.Daemon(configOf, run),
	}
}

func configOf(cmd *cli.Command) *Config {
	cfg := &Config{
		VM:          model.VMID(cmd.String("vm")),
		DC:          model.DCID(cmd.String("dc")),
		Listen:      cmd.String("http"),
		Wire:        cmd.String("wire"),
		Control:     cmd.StringSlice("control"),
		EventDir:    cmd.String("events"),
		Grace:       cmd.Duration("stop-grace"),
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
