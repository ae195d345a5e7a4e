// Package logx creates the logger of a process, which writes one line per message.
// The components of a process name their loggers, so that each line has the name of
// its component as a fixed prefix.
package logx

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// DefaultLevel is the default log level.
const DefaultLevel = "info"

// New returns a logger that writes messages of at least the given level to standard
// error, in zap's console format. Like zap's production configuration it samples
// frequent messages. It returns an error if the level is unknown.
func New(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, merry.Errorf("%q is not debug, info, warn or error", level)
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
	// Within each sampleTick, the first sampleFirst lines with the same level and
	// message are written, and then one of every sampleAfter lines.
	sampleTick  = time.Second
	sampleFirst = 200
	sampleAfter = 20
)

// DropCounts counts the log lines that were not written.
type DropCounts struct {
	// Sampled counts the lines that the sampler dropped because the same message was
	// logged too often.
	Sampled atomic.Uint64
	// Overflowed counts the lines that were dropped because the buffer was full.
	Overflowed atomic.Uint64
}

// NewJSON returns a logger that writes messages of at least the given level to out,
// one JSON object per line. It never blocks on out: lines are buffered, and dropped
// if the buffer is full. Unless the level is debug, frequent messages are sampled.
// stop writes the buffered lines, for at most closeTimeout. NewJSON returns an error
// if the level is unknown.
func NewJSON(level string, out io.Writer) (log *zap.Logger, drops *DropCounts, stop func() error, err error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, nil, merry.Errorf("%q is not debug, info, warn or error", level)
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	enc.EncodeDuration = zapcore.MillisDurationEncoder
	drops = &DropCounts{}
	buffer := newAsyncWriter(out, &drops.Overflowed)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), buffer, l)
	if l == zapcore.DebugLevel {
		return zap.New(core), drops, buffer.Close, nil
	}
	sampler := zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleAfter, zapcore.SamplerHook(drops.sampled))
	return zap.New(sampler), drops, buffer.Close, nil
}

// sampled is the hook that the sampler calls with each of its decisions.
func (d *DropCounts) sampled(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		d.Sampled.Add(1)
	}
}
