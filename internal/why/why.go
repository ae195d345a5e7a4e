// Package why builds the account of a task, job, workspace or worker from the events
// that were recorded when the decisions were made. It keeps the newest events
// in bounded memory; nothing in an account is made up afterwards.
package why

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
)

// Kind is what an account is about.
type Kind string

// The kinds.
const (
	KindTask      Kind = "task"
	KindJob       Kind = "job"
	KindWorkspace Kind = "workspace"
	KindWorker    Kind = "worker"
)

// Valid reports whether k is one of the kinds.
func (k Kind) Valid() bool {
	return k == KindTask || k == KindJob || k == KindWorkspace || k == KindWorker
}

// Bounds of what a Book keeps.
const (
	// DefaultEvents is the number of newest events kept.
	DefaultEvents = 4096
	// DefaultLatest is the number of tasks and jobs whose newest event is kept
	// beyond that.
	DefaultLatest = 8192
	// maxAccount bounds the decisions of one account.
	maxAccount = 50
)

// Account is what is known of one subject, newest decision first.
type Account struct {
	Kind      Kind       `json:"kind"`
	ID        string     `json:"id"`
	Decisions []Decision `json:"decisions"`
	// Cut is set if there were more decisions than an account holds.
	Cut bool `json:"cut,omitempty"`
}

// Decision is one recorded event with its explanation, if it had one.
type Decision struct {
	Event   eventlog.Event         `json:"event"`
	Explain *placement.Explanation `json:"explain,omitempty"`
}

// Book is a Recorder that keeps the newest events and passes all on. It is safe
// for concurrent use.
type Book struct {
	next eventlog.Recorder
	now  func() time.Time

	mu sync.Mutex
	// ring holds the newest events, at is where the next one goes.
	ring   []*eventlog.Event
	at     int
	latest *latest
}

// NewBook returns a book of at most events newest events and latest subjects'
// newest event. Events are passed on to next.
func NewBook(next eventlog.Recorder, events, subjects int, now func() time.Time) *Book {
	return &Book{next: next, now: now, ring: make([]*eventlog.Event, events), latest: newLatest(subjects)}
}

// Record implements eventlog.Recorder.
func (b *Book) Record(e eventlog.Event) {
	b.next.Record(e)
	e.At = eventlog.Stamp{WallMillis: b.now().UnixMilli()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ring[b.at] = &e
	b.at = (b.at + 1) % len(b.ring)
	if e.Task != "" {
		b.latest.put(subject{KindTask, string(e.Task)}, &e)
	}
	if e.Job != "" {
		b.latest.put(subject{KindJob, string(e.Job)}, &e)
	}
}

// Account returns what is kept of a subject.
func (b *Book) Account(k Kind, id string) *Account {
	a := &Account{Kind: k, ID: id}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.ring {
		e := b.ring[(b.at+2*len(b.ring)-1-i)%len(b.ring)]
		if e == nil {
			break
		}
		if !about(e, k, id) {
			continue
		}
		if len(a.Decisions) == maxAccount {
			a.Cut = true
			return a
		}
		a.Decisions = append(a.Decisions, decisionOf(e))
	}
	if e := b.latest.get(subject{k, id}); e != nil && len(a.Decisions) == 0 {
		a.Decisions = append(a.Decisions, decisionOf(e))
	}
	return a
}

// FromEvents returns the account of a subject from events in order of time, as
// read from event files.
func FromEvents(k Kind, id string, events []eventlog.Event) *Account {
	a := &Account{Kind: k, ID: id}
	for i := len(events) - 1; i >= 0; i-- {
		if !about(&events[i], k, id) {
			continue
		}
		if len(a.Decisions) == maxAccount {
			a.Cut = true
			break
		}
		a.Decisions = append(a.Decisions, decisionOf(&events[i]))
	}
	return a
}

// about reports whether e belongs to the account of a subject. A job's own
// events, which name no task, also belong to the accounts of its tasks.
func about(e *eventlog.Event, k Kind, id string) bool {
	switch k {
	case KindTask:
		return string(e.Task) == id || e.Task == "" && e.Job != "" && jobOf(id) == e.Job
	case KindJob:
		return string(e.Job) == id
	case KindWorkspace:
		return string(e.Workspace) == id
	case KindWorker:
		return string(e.Worker) == id
	}
	return false
}

// jobOf returns the job of a task's id.
func jobOf(task string) model.JobID {
	if i := strings.LastIndexByte(task, '.'); i >= 0 {
		return model.JobID(task[:i])
	}
	return ""
}

func decisionOf(e *eventlog.Event) Decision {
	d := Decision{Event: *e}
	if len(e.Explain) == 0 {
		return d
	}
	var x placement.Explanation
	if err := json.Unmarshal(e.Explain, &x); err == nil {
		d.Explain = &x
	}
	return d
}

// Lines formats the account for people, one decision after the other.
func (a *Account) Lines() []string {
	lines := []string{fmt.Sprintf("%s %s: %d decisions", a.Kind, a.ID, len(a.Decisions))}
	for i := range a.Decisions {
		lines = append(lines, a.Decisions[i].lines()...)
	}
	if a.Cut {
		lines = append(lines, "older decisions are in the event files")
	}
	return lines
}
