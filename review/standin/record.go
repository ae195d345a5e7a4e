package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, and checks the rule TWICE.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
	// active holds the runs of each task that are running now.
	active map[string][]*runEvent
	// dones holds the ends "done" of each task.
	dones map[string][]*doneEvent
	// starts holds the starts of each task.
	starts   map[string][]*runEvent
	broken   []string
	overlaps int
}

// runEvent is one run that a minion has begun.
type runEvent struct {
	task string
	run  int64
	life string
	at   time.Duration
}

// doneEvent is the end "done" of a run.
type doneEvent struct {
	run   *runEvent
	at    time.Duration
	noted time.Duration
	// lapsed is set if the lease of the minion lapsed before the end was taken note of.
	lapsed bool
}

// startsOn returns the starts on minions for which the function returns true, after the
// given time.
func (r *record) startsOn(on func(life string) bool, after time.Duration) []*runEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*runEvent
	for _, starts := range r.starts {
		for _, s := range starts {
			if s.at > after && on(s.life) {
				out = append(out, s)
			}
		}
	}
	return out
}

// startsOf returns how many runs of a job have started.
func (r *record) startsOf(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for task, starts := range r.starts {
		if strings.HasPrefix(task, job+".") {
			n += len(starts)
		}
	}
	return n
}

// breaks records that a rule was broken.
func (r *record) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.break_(format, args...)
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begin: time.Now(), active: map[string][]*runEvent{}, dones: map[string][]*doneEvent{}, starts: map[string][]*runEvent{}}, nil
}

func (r *record) now() time.Duration { return time.Since(r.begin) }

// log writes one line.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked(format, args...)
}

func (r *record) logLocked(format string, args ...any) {
	fmt.Fprintf(r.file, "%9.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// started records that a minion has begun a run. Two runs of a task at the same time
// break TWICE.
func (r *record) started(e *runEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.at = r.now()
	r.logLocked("run   start %s run %d on %s", e.task, e.run, e.life)
	for _, other := range r.active[e.task] {
		r.break_("TWICE: %s run %d started on %s while run %d is at work on %s", e.task, e.run, e.life, other.run, other.life)
		r.overlaps++
	}
	r.active[e.task] = append(r.active[e.task], e)
	r.starts[e.task] = append(r.starts[e.task], e)
}

func (r *record) break_(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.logLocked("BROKEN %s", text)
	r.broken = append(r.broken, text)
}

// ended records the end of a run. The result is nil unless it ended "done".
func (r *record) ended(e *runEvent, how string) *doneEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked("run   end   %s run %d on %s: %s", e.task, e.run, e.life, how)
	rest := r.active[e.task][:0]
	for _, other := range r.active[e.task] {
		if other != e {
			rest = append(rest, other)
		}
	}
	r.active[e.task] = rest
	if how != "done" {
		return nil
	}
	d := &doneEvent{run: e, at: r.now()}
	r.dones[e.task] = append(r.dones[e.task], d)
	return d
}

// noted records that last-seen has reached an end.
func (r *record) noted(d *doneEvent) {
	if d == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.noted == 0 && !d.lapsed {
		d.noted = r.now()
	}
}

// lapsed records that the lease of a minion lapsed before an end was taken note of.
func (r *record) lapsed(d *doneEvent) {
	if d == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.noted == 0 {
		d.lapsed = true
	}
}

// checkDone adds the starts after an end "done" that was taken note of at any time.
func (r *record) checkDone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var tasks []string
	for t := range r.dones {
		tasks = append(tasks, t)
	}
	sort.Strings(tasks)
	for _, t := range tasks {
		for _, d := range r.dones[t] {
			if d.noted == 0 {
				continue
			}
			for _, s := range r.starts[t] {
				if s.at > d.at {
					r.break_("TWICE: %s run %d on %s ended done at %.3f, taken note of at %.3f, and run %d started on %s at %.3f",
						t, d.run.run, d.run.life, d.at.Seconds(), d.noted.Seconds(), s.run, s.life, s.at.Seconds())
				}
			}
		}
	}
}
