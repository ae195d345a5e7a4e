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
	// bufferBytes is the capacity of the buffer for lines that are not yet written.
	bufferBytes = 256 << 10
	// flushInterval is the interval at which buffered lines are written. It is the
	// maximum delay of a line while out does not block.
	flushInterval = 200 * time.Millisecond
	// maxWriteBytes is the maximum size of a write of several lines. A write of at
	// most 4 KiB to a pipe is atomic on Linux (PIPE_BUF), so that lines of several
	// processes don't mix.
	maxWriteBytes = 4 << 10
	// closeTimeout is how long Close waits for the remaining lines to be written.
	closeTimeout = 500 * time.Millisecond
)

// asyncWriter is a zapcore.WriteSyncer that buffers lines and writes them to out in a
// goroutine of its own. Write never blocks on out.
type asyncWriter struct {
	out     io.Writer
	dropped *atomic.Uint64 // number of lines dropped because the buffer was full

	mu      sync.Mutex
	pending []byte // lines not yet written; guarded by mu

	closing chan struct{} // closed by Close to end the goroutine
	closed  chan struct{} // closed by the goroutine at its end
	once    sync.Once     // closes closing
	// err is the error of the last flush. Only the goroutine accesses it until closed
	// is closed.
	err error
}

func newAsyncWriter(out io.Writer, dropped *atomic.Uint64) *asyncWriter {
	w := &asyncWriter{out: out, dropped: dropped, closing: make(chan struct{}), closed: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a complete line, or drops it if the buffer is full. It returns no
// error in either case.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > bufferBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, since the goroutine flushes
// the buffer.
func (w *asyncWriter) Sync() error { return nil }

// Close flushes the buffer and ends the goroutine. It returns an error if that takes
// longer than closeTimeout or if the last flush failed.
func (w *asyncWriter) Close() error {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.closed:
		return w.err
	case <-time.After(closeTimeout):
		return merry.New("buffered log lines could not be written in time")
	}
}

// run flushes the buffer at each flushInterval, and a last time at Close.
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

// flush replaces the buffer by spare and writes the lines of the old buffer to out.
// It returns the old buffer, which is the spare of the next call.
func (w *asyncWriter) flush(spare []byte) []byte {
	w.mu.Lock()
	buffer := w.pending
	w.pending = spare[:0]
	w.mu.Unlock()
	if len(buffer) == 0 {
		return buffer
	}
	w.err = writeChunks(w.out, buffer)
	return buffer
}

// writeChunks writes lines to out in chunks of complete lines. It continues after an
// error and returns the last one.
func writeChunks(out io.Writer, lines []byte) error {
	var lastErr error
	for len(lines) > 0 {
		n := chunkLen(lines)
		if _, err := out.Write(lines[:n]); err != nil {
			lastErr = err
		}
		lines = lines[n:]
	}
	return lastErr
}

// chunkLen returns the length of the next chunk: as many complete lines as fit into
// maxWriteBytes, or the first line if it is longer than that.
func chunkLen(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if i := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(lines, '\n'); i >= 0 {
		return i + 1
	}
	return len(lines)
}
