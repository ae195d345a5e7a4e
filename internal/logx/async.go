package logx

import (
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
	_, w.err = w.out.Write(full)
	return full
}
