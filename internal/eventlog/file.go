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
	// DefaultFileBytes is the size at which an event file is rotated.
	DefaultFileBytes = 8 << 20
	// keptFiles is how many rotated files stay beside the current one.
	keptFiles = 3
	// maxAheadMillis bounds how far a stamp of another process may move this one's
	// clock ahead of the wall clock, so that one VM with a wrong clock doesn't
	// label the events of all.
	maxAheadMillis = 10 * 60 * 1000
	// FileSuffix ends the name of every current event file; rotated ones have a
	// dot and a digit behind it.
	FileSuffix = ".events.jsonl"
)

// File is a Recorder that appends JSON lines to a bounded, rotated file.
type File struct {
	process string
	vm      model.VMID
	path    string
	limit   int64

	mu   sync.Mutex
	out  *os.File
	size int64
	last Stamp
}

// OpenFile opens the event file of a process within dir.
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
	return f.endTornLine()
}

// endTornLine separates new events from a line that a killed process left
// unfinished.
func (f *File) endTornLine() error {
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

// Record implements Recorder. An event that can't be written is dropped.
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

// Observe moves the file's clock past a stamp received from another process. A
// stamp more than ten minutes ahead of the wall clock is left out.
func (f *File) Observe(s Stamp) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.last.Less(s) && s.WallMillis <= time.Now().UnixMilli()+maxAheadMillis {
		f.last = s
	}
}

// Now returns a stamp to send to another process.
func (f *File) Now() Stamp {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = f.last.next(time.Now().UnixMilli())
	return f.last
}

// Close closes the file.
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

// rotate renames path to path.1, path.1 to path.2 and so on, and starts anew.
func (f *File) rotate() {
	f.out.Close()
	f.out = nil
	for i := keptFiles; i > 1; i-- {
		os.Rename(rotated(f.path, i-1), rotated(f.path, i))
	}
	os.Rename(f.path, rotated(f.path, 1))
	if err := f.open(); err != nil {
		f.out = nil
	}
}

func rotated(path string, i int) string {
	return path + "." + string(rune('0'+i))
}

// next returns the stamp of a local event at wall time now.
func (s Stamp) next(now int64) Stamp {
	if now > s.WallMillis {
		return Stamp{WallMillis: now}
	}
	return Stamp{WallMillis: s.WallMillis, Counter: s.Counter + 1}
}

// Less orders stamps.
func (s Stamp) Less(o Stamp) bool {
	if s.WallMillis != o.WallMillis {
		return s.WallMillis < o.WallMillis
	}
	return s.Counter < o.Counter
}
