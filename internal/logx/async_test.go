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

// blockingWriter blocks all writes until release is closed.
type blockingWriter struct {
	release chan struct{}
	got     bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.got.Write(p)
}

func TestWriteNeverBlocks(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	var dropped atomic.Uint64
	w := newAsyncWriter(out, &dropped)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	start := time.Now()
	const lines = 4 * bufferBytes / 1024
	for range lines {
		n, err := w.Write(line)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, len(line))
	}
	qt.Assert(t, time.Since(start) < 5*time.Second, qt.IsTrue)
	qt.Assert(t, dropped.Load() > 0, qt.IsTrue)
	qt.Assert(t, w.Close(), qt.ErrorMatches, ".*could not be written in time")
	close(out.release)
	<-w.closed
	qt.Assert(t, uint64(out.got.Len()/len(line)), qt.Equals, lines-dropped.Load())
}

func TestLinesAreCompleteAndInOrder(t *testing.T) {
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

func TestUnknownLevelIsRejected(t *testing.T) {
	_, _, _, err := NewJSON("loud", &bytes.Buffer{})
	qt.Assert(t, err, qt.ErrorMatches, `"loud" is not debug, info, warn or error`)
}

func TestChunksEndWithLines(t *testing.T) {
	long := strings.Repeat("y", 2*maxWriteBytes) + "\n"
	short := strings.Repeat("x", 1000) + "\n"
	for _, c := range []struct {
		name, lines string
		want        int
	}{
		{"all lines fit", short, len(short)},
		{"some lines fit", strings.Repeat(short, 6), 4 * len(short)},
		{"the first line is too long", long + short, len(long)},
		{"no line ending", strings.Repeat("z", 2*maxWriteBytes), 2 * maxWriteBytes},
	} {
		qt.Check(t, chunkLen([]byte(c.lines)), qt.Equals, c.want, qt.Commentf("%s", c.name))
	}
}
