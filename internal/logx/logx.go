// Package logx sets up the log of a process: one line a message, on standard
// error, with the part of the process as a fixed prefix.
package logx

import (
	"time"

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

const (
	// bufferBytes and flushInterval bound how much of the log waits in memory,
	// and for how long.
	bufferBytes   = 64 << 10
	flushInterval = 200 * time.Millisecond
	// sampleTick, sampleFirst and sampleAfter bound the volume: of each message,
	// the first so many a tick are written, and then one in so many.
	sampleTick  = time.Second
	sampleFirst = 200
	sampleAfter = 20
)

// NewJSON returns a logger that writes one JSON object a line to out. Lines are
// buffered; stop writes what is left. Under load it samples each message.
func NewJSON(level string, out zapcore.WriteSyncer) (log *zap.Logger, stop func() error, err error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, merry.Errorf("%q, not debug, info, warn or error", level)
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	enc.EncodeDuration = zapcore.MillisDurationEncoder
	buffer := &zapcore.BufferedWriteSyncer{WS: out, Size: bufferBytes, FlushInterval: flushInterval}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), buffer, l)
	return zap.New(zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleAfter)), buffer.Stop, nil
}
