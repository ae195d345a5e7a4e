package eventlog

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"time"

	"kumquatwing/internal/model"
)

const (
	// DefaultFileBytes is the default size at which an event file is rotated.
	DefaultFileBytes = 8 << 20
	// maxRotatedFiles is the number of rotated files that are kept in addition to the
	// current one.
	maxRotatedFiles = 3
	// maxAheadMillis limits how far a timestamp from another process may move the
	// hybrid logical clock ahead of the wall clock, so that one VM with a wrong clock
	// doesn't distort the timestamps of all processes.
	maxAheadMillis = 10 * 60 * 1000
	// FileSuffix is the suffix of the current event file of a process. The names of
	// rotated files have a dot and a digit after it.
	FileSuffix = ".events.jsonl"
)

// File is a Recorder that appends events as JSON lines to a file, which it rotates
// at a maximum size. It is safe for concurrent use.
type File struct {
	process string
	vm      model.VMID
	path    string
	limit   int64 // maximum size of a file in bytes

	// mu guards the fields below.
	mu   sync.Mutex
	out  *os.File // nil if the file is closed or could not be opened
	size int64
	last Timestamp // latest timestamp recorded, sent or observed
}

// OpenFile opens the event file of a process in dir and creates dir if needed. The
// file is rotated before an event that would make it exceed limit bytes.
func OpenFile(dir, process string, vm model.VMID, limit int64) (*File, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	name := process
	if vm != "" {
		name = string(vm) + "." + process
	}
	f := &File{process: process, vm: vm, path: filepath.Join(dir, name+FileSuffix), limit: limit}
	return f, f.open()
}

func (f *File) open() error {
	out, err := os.OpenFile(f.path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	info, err := out.Stat()
	if err != nil {
		out.Close()
		return err
	}
	f.out, f.size = out, info.Size()
	return f.terminateTornLine()
}

// terminateTornLine appends a newline if the last line has none, because a process
// was killed while it wrote the line. New events then start on a line of their own.
func (f *File) terminateTornLine() error {
	if f.size == 0 {
		return nil
	}
	in, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer in.Close()
	var last [1]byte
	if _, err := in.ReadAt(last[:], f.size-1); err != nil || last[0] == '\n' {
		return err
	}
	n, err := f.out.Write([]byte{'\n'})
	f.size += int64(n)
	return err
}

// Record implements Recorder. It drops an event that can't be encoded or written.
func (f *File) Record(e Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.out == nil {
		return
	}
	f.last = f.last.next(time.Now().UnixMilli())
	e.At = f.last
	e.Process = f.process
	e.VM = f.vm
	line, err := json.Marshal(&e)
	if err != nil {
		return
	}
	line = append(line, '\n')
	if f.size+int64(len(line)) > f.limit {
		f.rotate()
	}
	if f.out == nil {
		return
	}
	n, _ := f.out.Write(line)
	f.size += int64(n)
}

// Observe advances the hybrid logical clock to a timestamp received from another
// process, so that later events get greater timestamps. It ignores a timestamp that
// is more than ten minutes ahead of the wall clock.
func (f *File) Observe(s Timestamp) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.last.Less(s) && s.WallMillis <= time.Now().UnixMilli()+maxAheadMillis {
		f.last = s
	}
}

// Now advances the hybrid logical clock and returns its timestamp, to be sent to
// another process.
func (f *File) Now() Timestamp {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = f.last.next(time.Now().UnixMilli())
	return f.last
}

// Close closes the file. Events recorded later are dropped.
func (f *File) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.out == nil {
		return nil
	}
	err := f.out.Close()
	f.out = nil
	return err
}

// rotate renames path to path.1, path.1 to path.2 and so on, and opens a new file.
// The caller holds mu.
func (f *File) rotate() {
	f.out.Close()
	f.out = nil
	for i := maxRotatedFiles; i > 1; i-- {
		os.Rename(rotatedPath(f.path, i-1), rotatedPath(f.path, i))
	}
	os.Rename(f.path, rotatedPath(f.path, 1))
	if err := f.open(); err != nil {
		f.out = nil
	}
}

func rotatedPath(path string, i int) string {
	return path + "." + string(rune('0'+i))
}

// next returns the timestamp of a local event that follows s, at wall-clock time now
// in milliseconds.
func (s Timestamp) next(now int64) Timestamp {
	if now > s.WallMillis {
		return Timestamp{WallMillis: now}
	}
	return Timestamp{WallMillis: s.WallMillis, Counter: s.Counter + 1}
}

// Less reports whether s is before o.
func (s Timestamp) Less(o Timestamp) bool {
	if s.WallMillis != o.WallMillis {
		return s.WallMillis < o.WallMillis
	}
	return s.Counter < o.Counter
}
