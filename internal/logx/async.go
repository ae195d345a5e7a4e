package logx

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// bufferBytes bounds the lines that wait to be written.
	bufferBytes = 256 << 10
	// flushInterval is how long a line waits at most while out takes lines.
	flushInterval = 200 * time.Millisecond
	// pieceBytes bounds one write, so that a pipe takes it whole.
	pieceBytes = 4 << 10
	// closeTimeout bounds the wait for the last lines.
	closeTimeout = 500 * time.Millisecond
)

// asyncWriter hands lines to a goroutine that writes them. It implements
// zapcore.WriteSyncer; Write never waits for out.
type asyncWriter struct {
	out     io.Writer
	dropped *atomic.Uint64

	mu      sync.Mutex
	waiting []byte

	closing chan struct{}
	closed  chan struct{}
	once    sync.Once
	// err is the last write's error; it belongs to the goroutine until closed.
	err error
}

func newAsyncWriter(out io.Writer, dropped *atomic.Uint64) *asyncWriter {
	w := &asyncWriter{out: out, dropped: dropped, closing: make(chan struct{}), closed: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a whole line, or drops it if the buffer is full.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(line) > bufferBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	return len(line), nil
}

// Sync does nothing: lines are on their way.
func (w *asyncWriter) Sync() error { return nil }

// Close writes what waits. It fails if that took too long or out refused it.
func (w *asyncWriter) Close() error {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.closed:
		return w.err
	case <-time.After(closeTimeout):
		return merry.New("the last lines of the log could not be written in time")
	}
}

func (w *asyncWriter) run() {
	defer close(w.closed)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var spare []byte
	for {
		select {
		case <-ticker.C:
			spare = w.flush(spare)
		case <-w.closing:
			w.flush(spare)
			return
		}
	}
}

// flush writes the waiting lines while new ones go into spare, and returns the
// written buffer for the next call.
func (w *asyncWriter) flush(spare []byte) []byte {
	w.mu.Lock()
	full := w.waiting
	w.waiting = spare[:0]
	w.mu.Unlock()
	if len(full) == 0 {
		return full
	}
	w.err = writePieces(w.out, full)
	return full
}

// writePieces writes whole lines, as many at a time as fit into a piece.
func writePieces(out io.Writer, lines []byte) error {
	var failed error
	for len(lines) > 0 {
		n := pieceEnd(lines)
		if _, err := out.Write(lines[:n]); err != nil {
			failed = err
		}
		lines = lines[n:]
	}
	return failed
}

// pieceEnd is where the last line ends that fits into a piece, or the first one
// if none does.
func pieceEnd(lines []byte) int {
	if len(lines) <= pieceBytes {
		return len(lines)
	}
	if i := bytes.LastIndexByte(lines[:pieceBytes], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(lines, '\n'); i >= 0 {
		return i + 1
	}
	return len(lines)
}
