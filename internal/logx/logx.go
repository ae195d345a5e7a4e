// Package logx sets up the log of a process: one line a message, on standard
// error, with the part of the process as a fixed prefix.
package logx

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"kumquatwing/internal/program"
)

// DefaultLevel is the level of a process started without --log-level.
const DefaultLevel = "info"

// New returns a logger that drops messages below level. An unknown level is
// a fault of the flag --log-level.
func New(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		var faults program.Faults
		faults.Add("--log-level is %q, not debug, info, warn or error", level)
		return nil, faults.Err()
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(l)
	cfg.Encoding = "console"
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.DisableCaller = true
	cfg.DisableStacktrace = true
	return cfg.Build()
}
