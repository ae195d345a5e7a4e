package program

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"kumquatwing/internal/logx"
)

// DefaultStopGrace is the default time for which a process that is shutting down
// reports that it is not ready before it goes on.
const DefaultStopGrace = time.Second

// CommonFlags returns the flags that all daemons share.
func CommonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "vm", Usage: "name of this VM", Sources: cli.EnvVars("KQ_VM")},
		&cli.StringFlag{Name: "dc", Usage: "data centre of this VM", Sources: cli.EnvVars("KQ_DC")},
		&cli.StringFlag{Name: "events", Usage: "`FOLDER` of the event file; none if empty", Sources: cli.EnvVars("KQ_EVENTS")},
		&cli.DurationFlag{
			Name: "stop-grace", Aliases: []string{"grace"}, Value: DefaultStopGrace,
			Usage: "how long readiness is withdrawn before a stop goes on", Sources: cli.EnvVars("KQ_STOP_GRACE", "KQ_GRACE"),
		},
		&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: logx.DefaultLevel, Sources: cli.EnvVars("KQ_LOG_LEVEL")},
	}
}

// Config is the configuration of a daemon.
type Config interface {
	// Check returns a *SettingsError that lists every invalid setting by its flag.
	Check() error
}

// Daemon returns the action of a daemon's command. The action reads the configuration
// from the flags, validates it together with the common flags and calls run with it
// and the logger.
func Daemon[C Config](read func(*cli.Command) C, run func(ctx context.Context, cfg C, log *zap.Logger) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		cfg := read(cmd)
		level := cmd.String("log-level")
		log, err := logx.New(level)
		if err != nil {
			err = &SettingsError{[]string{"--log-level is " + err.Error()}}
		}
		if err := Join(cfg.Check(), err); err != nil {
			return err
		}
		defer log.Sync()
		return run(ctx, cfg, log)
	}
}
