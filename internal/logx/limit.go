package logx

import (
	"sync"
	"time"
)

// limitInterval is the least interval between two log lines about one event.
const limitInterval = time.Second

// Limit limits the log lines about an event that may recur often. It is safe for
// concurrent use.
type Limit struct {
	mu     sync.Mutex
	nextAt time.Time
	times  int
}

// Allow counts an event at now, and reports whether it is to be logged, with how often it
// has occurred since the last line.
func (l *Limit) Allow(now time.Time) (times int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times++
	if now.Before(l.nextAt) {
		return 0, false
	}
	times, l.times = l.times, 0
	l.nextAt = now.Add(limitInterval)
	return times, true
}
