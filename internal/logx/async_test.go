package logx

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// stuckWriter takes nothing until it is released.
type stuckWriter struct {
	release chan struct{}
	got     bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.got.Write(p)
}

func TestLogNeverBlocks(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	var dropped atomic.Uint64
	w := newAsyncWriter(out, &dropped)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	begun := time.Now()
	const lines = 4 * bufferBytes / 1024
	for range lines {
		n, err := w.Write(line)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, len(line))
	}
	qt.Assert(t, time.Since(begun) < 5*time.Second, qt.IsTrue)
	qt.Assert(t, dropped.Load() > 0, qt.IsTrue)
	qt.Assert(t, w.Close(), qt.ErrorMatches, ".*could not be written in time")
	close(out.release)
	<-w.closed
	qt.Assert(t, uint64(out.got.Len()/len(line)), qt.Equals, lines-dropped.Load())
}

func TestLinesAreWholeAndInOrder(t *testing.T) {
	var out bytes.Buffer
	log, drops, stop, err := NewJSON("info", &out)
	qt.Assert(t, err, qt.IsNil)
	for i := range 100 {
		log.Info("line", zap.Int("n", i))
	}
	log.Debug("below the level")
	qt.Assert(t, stop(), qt.IsNil)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	qt.Assert(t, lines, qt.HasLen, 100)
	for i, line := range lines {
		var got struct {
			N int `json:"n"`
		}
		qt.Assert(t, json.Unmarshal([]byte(line), &got), qt.IsNil)
		qt.Assert(t, got.N, qt.Equals, i)
	}
	qt.Assert(t, drops.Sampled.Load(), qt.Equals, uint64(0))
}

func TestSampledLinesAreCounted(t *testing.T) {
	var out bytes.Buffer
	log, drops, stop, err := NewJSON("info", &out)
	qt.Assert(t, err, qt.IsNil)
	const lines = 5 * sampleFirst
	for range lines {
		log.Info("many")
	}
	qt.Assert(t, stop(), qt.IsNil)
	qt.Assert(t, drops.Sampled.Load() > 0, qt.IsTrue)
	written := uint64(bytes.Count(out.Bytes(), []byte("\n")))
	qt.Assert(t, written+drops.Sampled.Load(), qt.Equals, uint64(lines))
}

func TestUnknownLevelIsRefused(t *testing.T) {
	_, _, _, err := NewJSON("loud", &bytes.Buffer{})
	qt.Assert(t, err, qt.ErrorMatches, `"loud", not debug, info, warn or error`)
}

func TestPiecesEndWithLines(t *testing.T) {
	long := strings.Repeat("y", 2*pieceBytes) + "\n"
	short := strings.Repeat("x", 1000) + "\n"
	for _, c := range []struct {
		name, lines string
		want        int
	}{
		{"all fit", short, len(short)},
		{"some fit", strings.Repeat(short, 6), 4 * len(short)},
		{"the first is too long", long + short, len(long)},
		{"no line ends", strings.Repeat("z", 2*pieceBytes), 2 * pieceBytes},
	} {
		qt.Check(t, pieceEnd([]byte(c.lines)), qt.Equals, c.want, qt.Commentf("%s", c.name))
	}
}
