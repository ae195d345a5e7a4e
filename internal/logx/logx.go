// Package logx sets up the log of a process: one line a message, on standard
// error, with the part of the process as a fixed prefix.
package logx

import (
	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// DefaultLevel is the level of a process that is not told another.
const DefaultLevel = "info"

// New returns a logger that drops messages below level. Its error names a level
// that there is not.
func New(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, merry.Errorf("%q, not debug, info, warn or error", level)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(l)
	cfg.Encoding = "console"
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.DisableCaller = true
	cfg.DisableStacktrace = true
	return cfg.Build()
}
