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

// Kind is the kind of subject that a history is about.
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

// Bounds of RecentEvents and of a DecisionHistory.
const (
	// DefaultEvents is the number of newest events that RecentEvents keeps.
	DefaultEvents = 4096
	// DefaultLatest is the number of tasks and jobs whose newest event
	// RecentEvents keeps even if it is no longer among these.
	DefaultLatest = 8192
	// maxDecisions bounds the decisions of one history.
	maxDecisions = 50
)

// DecisionHistory lists the recorded decisions about one subject, newest first.
// Control VMs exchange histories as msgpack, which writes the fields of
// DecisionHistory and Decision under their Go names.
type DecisionHistory struct {
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

// RecentEvents is an eventlog.Recorder that passes every event on to another
// recorder and keeps the newest ones. It is safe for concurrent use.
type RecentEvents struct {
	next eventlog.Recorder
	now  func() time.Time

	mu sync.Mutex // protects the fields below
	// ring holds the newest events; writeIndex is the position of the next one.
	ring       []*eventlog.Event
	writeIndex int
	latest     *latestEvents
}

// NewRecentEvents returns a RecentEvents that keeps the given number of newest
// events and, for the given number of tasks and jobs, the newest event of each.
// Events are passed on to next. The function now gives the time of the kept events.
func NewRecentEvents(next eventlog.Recorder, events, subjects int, now func() time.Time) *RecentEvents {
	return &RecentEvents{next: next, now: now, ring: make([]*eventlog.Event, events), latest: newLatestEvents(subjects)}
}

// Record implements eventlog.Recorder.
func (r *RecentEvents) Record(e eventlog.Event) {
	r.next.Record(e)
	e.At = eventlog.Timestamp{WallMillis: r.now().UnixMilli()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.writeIndex] = &e
	r.writeIndex = (r.writeIndex + 1) % len(r.ring)
	if e.Task != "" {
		r.latest.put(subject{KindTask, string(e.Task)}, &e)
	}
	if e.Job != "" {
		r.latest.put(subject{KindJob, string(e.Job)}, &e)
	}
}

// History returns the decisions about a subject whose events are still kept.
func (r *RecentEvents) History(k Kind, id string) *DecisionHistory {
	h := &DecisionHistory{Kind: k, ID: id}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.ring {
		e := r.ring[(r.writeIndex+2*len(r.ring)-1-i)%len(r.ring)]
		if e == nil {
			break
		}
		if !concerns(e, k, id) {
			continue
		}
		if len(h.Decisions) == maxDecisions {
			h.Cut = true
			return h
		}
		h.Decisions = append(h.Decisions, decisionOf(e))
	}
	if e := r.latest.get(subject{k, id}); e != nil && len(h.Decisions) == 0 {
		h.Decisions = append(h.Decisions, decisionOf(e))
	}
	return h
}

// FromEvents returns the history of a subject. The events must be in order of
// time, as read from event files.
func FromEvents(k Kind, id string, events []eventlog.Event) *DecisionHistory {
	h := &DecisionHistory{Kind: k, ID: id}
	for i := len(events) - 1; i >= 0; i-- {
		if !concerns(&events[i], k, id) {
			continue
		}
		if len(h.Decisions) == maxDecisions {
			h.Cut = true
			break
		}
		h.Decisions = append(h.Decisions, decisionOf(&events[i]))
	}
	return h
}

// concerns reports whether e belongs to the history of a subject. Events of a job
// that name no task also belong to the histories of all its tasks.
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

// Lines formats the history as text, one decision after the other.
func (h *DecisionHistory) Lines() []string {
	lines := []string{fmt.Sprintf("%s %s: %d decisions", h.Kind, h.ID, len(h.Decisions))}
	for i := range h.Decisions {
		lines = append(lines, h.Decisions[i].lines()...)
	}
	if h.Cut {
		lines = append(lines, "older decisions are in the event files")
	}
	return lines
}
