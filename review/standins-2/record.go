package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes what was sent, answered and run to record.txt, with the time since the
// start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// add writes one line. It is also printed, so that a run can be followed.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// notRunError says that a case could not be run as described.
type notRunError struct{ reason string }

func (e *notRunError) Error() string { return e.reason }

func notRun(format string, args ...any) error { return &notRunError{fmt.Sprintf(format, args...)} }
