package why

import (
	"container/list"

	"kumquatwing/internal/eventlog"
)

// subject identifies the task, job, workspace or worker that an event is about.
type subject struct {
	kind Kind
	id   string
}

// latestEvents keeps the newest event of each subject, up to limit subjects. When
// it is full, the subject whose newest event came first is evicted.
type latestEvents struct {
	limit    int
	order    *list.List // of *entry, newest event first
	elements map[subject]*list.Element
}

type entry struct {
	subject subject
	event   *eventlog.Event
}

func newLatestEvents(limit int) *latestEvents {
	return &latestEvents{limit: limit, order: list.New(), elements: map[subject]*list.Element{}}
}

func (l *latestEvents) put(s subject, e *eventlog.Event) {
	if el := l.elements[s]; el != nil {
		el.Value.(*entry).event = e
		l.order.MoveToFront(el)
		return
	}
	l.elements[s] = l.order.PushFront(&entry{s, e})
	if l.order.Len() > l.limit {
		oldest := l.order.Back()
		l.order.Remove(oldest)
		delete(l.elements, oldest.Value.(*entry).subject)
	}
}

func (l *latestEvents) get(s subject) *eventlog.Event {
	if el := l.elements[s]; el != nil {
		return el.Value.(*entry).event
	}
	return nil
}
