package systems

import (
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
)

// LeaderState is the state that a leader keeps from tick to tick and does not
// replicate. A new leader starts with an empty one.
type LeaderState struct {
	reservations []placement.Reservation
	runs         []placement.RunningTask
	// waitReasons holds the last recorded reason why a waiting job waits.
	waitReasons map[model.JobID]string
	// requestedMillis holds the time of the last request to the fleet for each
	// subject; see allowRequest.
	requestedMillis map[string]int64
	// throttledMillis holds the time at which a task was throttled.
	throttledMillis map[model.TaskID]int64
	// finished holds the jobs for which EventFinished has been recorded.
	finished map[model.JobID]bool
	// idleSinceMillis holds the time since which a part of a workspace's grant is
	// unused.
	idleSinceMillis map[model.WorkspaceID]int64
	// changes is the position in the state's list of changes up to which run ends
	// have been recorded. It is valid if changesKnown is set.
	changes      uint64
	changesKnown bool
	// syncedRevision is the revision of the view that syncJobs processed last.
	// synced is set if nothing of that revision was left to do.
	syncedRevision uint64
	synced         bool
	// moveRefillMillis and moveTokens limit the rate of moves out of a data centre
	// that is out of service.
	moveRefillMillis int64
	moveTokens       int64
}

// NewLeaderState returns the state of a leader that has just taken over.
func NewLeaderState() *LeaderState {
	return &LeaderState{
		waitReasons:     map[model.JobID]string{},
		requestedMillis: map[string]int64{},
		throttledMillis: map[model.TaskID]int64{},
		finished:        map[model.JobID]bool{},
		idleSinceMillis: map[model.WorkspaceID]int64{},
	}
}

// requestIntervalMillis is the minimum time between requests to the fleet with
// the same subject.
const requestIntervalMillis = 300

// allowRequest reports whether a request about subject may be sent now, and if so
// notes its time.
func (m *LeaderState) allowRequest(subject string, nowMillis int64) bool {
	if at, ok := m.requestedMillis[subject]; ok && nowMillis-at < requestIntervalMillis {
		return false
	}
	m.requestedMillis[subject] = nowMillis
	return true
}

// expire deletes entries that are too old to matter, so that the state stays
// bounded.
func (m *LeaderState) expire(nowMillis int64) {
	for k, at := range m.requestedMillis {
		if nowMillis-at >= requestIntervalMillis {
			delete(m.requestedMillis, k)
		}
	}
	for k, at := range m.throttledMillis {
		if nowMillis-at >= throttleRetentionMillis {
			delete(m.throttledMillis, k)
		}
	}
}
