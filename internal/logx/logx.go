// Package logx sets up the log of a process: one line a message, on standard
// error, with the part of the process as a fixed prefix.
package logx

import (
	"io"
	"sync/atomic"
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
	// sampleTick, sampleFirst and sampleAfter bound the volume: of each message,
	// the first so many a tick are written, and then one in so many.
	sampleTick  = time.Second
	sampleFirst = 200
	sampleAfter = 20
)

// Drops counts the lines of a log that were not written.
type Drops struct {
	// Sampled lines were too many of one message.
	Sampled atomic.Uint64
	// Overflowed lines found the buffer full, since out takes them too slowly.
	Overflowed atomic.Uint64
}

// NewJSON returns a logger that writes one JSON object a line to out. It never
// blocks: lines wait in a bounded buffer, and those that find it full are
// dropped. Under load it samples each message, but not at level debug. stop writes what is left, as far
// as out takes it within closeTimeout.
func NewJSON(level string, out io.Writer) (log *zap.Logger, drops *Drops, stop func() error, err error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, nil, merry.Errorf("%q, not debug, info, warn or error", level)
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	enc.EncodeDuration = zapcore.MillisDurationEncoder
	drops = &Drops{}
	buffer := newAsyncWriter(out, &drops.Overflowed)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), buffer, l)
	if l == zapcore.DebugLevel {
		return zap.New(core), drops, buffer.Close, nil
	}
	sampler := zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleAfter, zapcore.SamplerHook(drops.sampled))
	return zap.New(sampler), drops, buffer.Close, nil
}

func (d *Drops) sampled(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		d.Sampled.Add(1)
	}
}
