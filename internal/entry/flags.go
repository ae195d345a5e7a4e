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

// Command returns the kqentry command. It calls run with a configuration that has
// passed Check.
func Command(run func(ctx context.Context, cfg *Config, log *zap.Logger) error) *cli.Command {
	return &cli.Command{
		Name:    "kqentry",
		Usage:   "forward callers' requests to backend servers",
		Version: version.Version,
		Flags: append(program.CommonFlags(),
			&cli.StringFlag{Name: "http", Aliases: []string{"listen"}, Usage: "`IP:PORT` for callers, backend servers, operators and metrics", Sources: cli.EnvVars("KQ_ENTRY_HTTP", "KQ_LISTEN")},
			&cli.StringFlag{Name: "wire", Usage: "local `IP:PORT` of the connection to kqcontrol; by default the IP of --http and a free port", Sources: cli.EnvVars("KQ_ENTRY_WIRE")},
			&cli.StringSliceFlag{Name: "control", Usage: "`IP:PORT` of kqcontrol's --wire, that of this VM first; may be given several times", Sources: cli.EnvVars("KQ_CONTROL", "KQ_CONTROL_WIRE")},
			&cli.DurationFlag{Name: "drain", Value: DefaultDrain, Usage: "longest wait for requests in flight during a stop", Sources: cli.EnvVars("KQ_DRAIN")},
			&cli.DurationFlag{Name: "sync", Value: DefaultSync, Usage: "interval between syncs with kqcontrol", Sources: cli.EnvVars("KQ_SYNC")},
			&cli.IntFlag{Name: "requests", Value: DefaultRequests, Usage: "maximum number of requests in flight", Sources: cli.EnvVars("KQ_REQUESTS")},
			&cli.IntFlag{Name: "header-bytes", Value: DefaultHeaderBytes, Usage: "maximum size of a request's headers in bytes", Sources: cli.EnvVars("KQ_HEADER_BYTES")},
		),
		Action: program.Daemon(configFromFlags, run),
	}
}

// configFromFlags returns the configuration that the flags describe, not yet
// checked. An empty --wire gets the IP of --http and a free port.
func configFromFlags(cmd *cli.Command) *Config {
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
