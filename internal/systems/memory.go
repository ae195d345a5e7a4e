package systems

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
)

// Memory is the soft state of the leader's ticks; a new leader starts with an
// empty one.
type Memory struct {
	reservations []placement.Reservation
	runs         []placement.RunView
	// waits holds the reason last recorded per waiting job.
	waits map[model.JobID]string
	// asked holds when a request about a subject was last made.
	asked map[string]int64
	// throttled holds when a task was first told to slow down.
	throttled map[model.TaskID]int64
	// finished holds the jobs whose end has been recorded.
	finished map[model.JobID]bool
	// idle holds since when a workspace's grant has been larger than it needs.
	idle map[model.WorkspaceID]int64
	// changes counts the changes of tasks that have been recorded.
	changes     uint64
	changesSeen bool
	seen        uint64
	seenAny     bool
	// moveMillis and moveTokens pace the moves of a data centre that is out.
	moveMillis int64
	moveTokens int64
}

// NewMemory returns the memory of a leader that has just taken over.
func NewMemory() *Memory {
	return &Memory{
		waits:     map[model.JobID]string{},
		asked:     map[string]int64{},
		throttled: map[model.TaskID]int64{},
		finished:  map[model.JobID]bool{},
		idle:      map[model.WorkspaceID]int64{},
	}
}

// askAgainMillis is the pause between equal requests to the fleet.
const askAgainMillis = 300

// mayAsk reports whether a request about subject is due, and notes it.
func (m *Memory) mayAsk(subject string, nowMillis int64) bool {
	if at, ok := m.asked[subject]; ok && nowMillis-at < askAgainMillis {
		return false
	}
	m.asked[subject] = nowMillis
	return true
}

// expire drops old notes so that the memory stays bounded.
func (m *Memory) expire(nowMillis int64) {
	for k, at := range m.asked {
		if nowMillis-at >= askAgainMillis {
			delete(m.asked, k)
		}
	}
	for k, at := range m.throttled {
		if nowMillis-at >= throttleKeptMillis {
			delete(m.throttled, k)
		}
	}
}
