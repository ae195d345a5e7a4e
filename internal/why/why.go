// Package why explains the decisions about a task, job, workspace or worker from
// the events that were recorded when the decisions were made. Nothing is
// reconstructed afterwards. The newest events are kept in bounded memory.
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

// Kind is the kind of subject that an account is about.
type Kind string

// The kinds of subjects.
const (
	KindTask      Kind = "task"
	KindJob       Kind = "job"
	KindWorkspace Kind = "workspace"
	KindWorker    Kind = "worker"
)

// Valid reports whether k is a known kind.
func (k Kind) Valid() bool {
	return k == KindTask || k == KindJob || k == KindWorkspace || k == KindWorker
}

// Bounds of a Book and of an Account.
const (
	// DefaultEvents is the number of newest events that a Book keeps.
	DefaultEvents = 4096
	// DefaultLatest is the number of tasks and jobs whose newest event a Book keeps
	// even if it is no longer among these.
	DefaultLatest = 8192
	// maxDecisions bounds the decisions of one account.
	maxDecisions = 50
)

// Account lists the recorded decisions about one subject, newest first. Control
// VMs exchange accounts as msgpack, which writes the fields of Account and Decision
// under their Go names.
type Account struct {
	Kind      Kind       `json:"kind"`
	ID        string     `json:"id"`
	Decisions []Decision `json:"decisions"`
	// Cut is set if older decisions were left out because of the limit.
	Cut bool `json:"cut,omitempty"`
}

// Decision is a recorded event with its decoded explanation, if it has one.
type Decision struct {
	Event   eventlog.Event         `json:"event"`
	Explain *placement.Explanation `json:"explain,omitempty"`
}

// Book is an eventlog.Recorder that passes every event on to another recorder and
// keeps the newest ones for accounts. It is safe for concurrent use.
type Book struct {
	next eventlog.Recorder
	now  func() time.Time

	mu sync.Mutex // protects the fields below
	// ring holds the newest events; writeIndex is the position of the next one.
	ring       []*eventlog.Event
	writeIndex int
	latest     *latestEvents
}

// NewBook returns a Book that keeps the given number of newest events and, for the
// given number of tasks and jobs, the newest event of each. Events are passed on
// to next. The function now gives the time of the kept events.
func NewBook(next eventlog.Recorder, events, subjects int, now func() time.Time) *Book {
	return &Book{next: next, now: now, ring: make([]*eventlog.Event, events), latest: newLatestEvents(subjects)}
}

// Record implements eventlog.Recorder.
func (b *Book) Record(e eventlog.Event) {
	b.next.Record(e)
	e.At = eventlog.Timestamp{WallMillis: b.now().UnixMilli()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ring[b.writeIndex] = &e
	b.writeIndex = (b.writeIndex + 1) % len(b.ring)
	if e.Task != "" {
		b.latest.put(subject{KindTask, string(e.Task)}, &e)
	}
	if e.Job != "" {
		b.latest.put(subject{KindJob, string(e.Job)}, &e)
	}
}

// Account returns the decisions about a subject that the Book still holds.
func (b *Book) Account(k Kind, id string) *Account {
	a := &Account{Kind: k, ID: id}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.ring {
		e := b.ring[(b.writeIndex+2*len(b.ring)-1-i)%len(b.ring)]
		if e == nil {
			break
		}
		if !concerns(e, k, id) {
			continue
		}
		if len(a.Decisions) == maxDecisions {
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

// FromEvents returns the account of a subject. The events must be in order of
// time, as read from event files.
func FromEvents(k Kind, id string, events []eventlog.Event) *Account {
	a := &Account{Kind: k, ID: id}
	for i := len(events) - 1; i >= 0; i-- {
		if !concerns(&events[i], k, id) {
			continue
		}
		if len(a.Decisions) == maxDecisions {
			a.Cut = true
			break
		}
		a.Decisions = append(a.Decisions, decisionOf(&events[i]))
	}
	return a
}

// concerns reports whether e belongs to the account of a subject. Events of a job
// that name no task also belong to the accounts of all its tasks.
func concerns(e *eventlog.Event, k Kind, id string) bool {
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

// jobOf returns the job part of a task id, or "" if there is none.
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

// Lines formats the account as text, one decision after the other.
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
