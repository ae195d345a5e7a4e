package why

import (
	"container/list"

	"kumquatwing/internal/eventlog"
)

// subject names whom an event is about.
type subject struct {
	kind Kind
	id   string
}

// latest keeps the newest event per subject, and drops the subjects that had
// none for the longest time.
type latest struct {
	limit int
	order *list.List // of entry, newest first
	bySub map[subject]*list.Element
}

type entry struct {
	sub subject
	e   *eventlog.Event
}

func newLatest(limit int) *latest {
	return &latest{limit: limit, order: list.New(), bySub: map[subject]*list.Element{}}
}

func (l *latest) put(s subject, e *eventlog.Event) {
	if el := l.bySub[s]; el != nil {
		el.Value.(*entry).e = e
		l.order.MoveToFront(el)
		return
	}
	l.bySub[s] = l.order.PushFront(&entry{s, e})
	if l.order.Len() > l.limit {
		oldest := l.order.Back()
		l.order.Remove(oldest)
		delete(l.bySub, oldest.Value.(*entry).sub)
	}
}

func (l *latest) get(s subject) *eventlog.Event {
	if el := l.bySub[s]; el != nil {
		return el.Value.(*entry).e
	}
	return nil
}
