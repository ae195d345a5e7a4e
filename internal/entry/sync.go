package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

// minSyncPause is the shortest pause between two syncs, also if more are requested.
const minSyncPause = 5 * time.Millisecond

// announcementBuffer holds the announcements of backend servers until a sync has
// delivered them. It is safe for concurrent use.
type announcementBuffer struct {
	mu       sync.Mutex
	byServer map[model.ServerID]api.Announcement
}

// maxBufferedServers limits the number of servers in an announcementBuffer.
const maxBufferedServers = 4096

// add replaces the server's buffered announcement by n. It reports false, and drops
// n, if the server has none and the buffer is full.
func (a *announcementBuffer) add(n api.Announcement) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.byServer[n.Server]; !ok && len(a.byServer) >= maxBufferedServers {
		return false
	}
	a.byServer[n.Server] = n
	return true
}

// take removes and returns all announcements, sorted by server.
func (a *announcementBuffer) take() []api.Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]api.Announcement, 0, len(a.byServer))
	for _, n := range a.byServer {
		out = append(out, n)
	}
	clear(a.byServer)
	slices.SortFunc(out, func(x, y api.Announcement) int { return cmp.Compare(x.Server, y.Server) })
	return out
}

// restore puts back the announcements of a failed sync, except those of servers
// that have announced themselves again since. It may exceed maxBufferedServers.
func (a *announcementBuffer) restore(old []api.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range old {
		if _, ok := a.byServer[n.Server]; !ok {
			a.byServer[n.Server] = n
		}
	}
}

// syncLoop syncs with kqcontrol until ctx ends: every Config.Sync, and earlier when
// requestSync is called. Syncs never overlap.
func (e *Entry) syncLoop(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-e.syncRequests:
		}
		e.syncOnce(ctx, false)
		select {
		case <-ctx.Done():
			return
		case <-time.After(minSyncPause):
		}
		t.Reset(e.cfg.Sync - minSyncPause)
	}
}

// requestSync makes syncLoop sync as soon as minSyncPause allows. It does not
// block.
func (e *Entry) requestSync() {
	select {
	case e.syncRequests <- struct{}{}:
	default:
	}
}

// syncOnce sends one sync and applies the reply. The leases in the reply run from
// the time just before the sync was sent, so that they never end later here than
// at their grantor. stopping tells the group that this process accepts no more
// requests and holds no slots any more.
func (e *Entry) syncOnce(ctx context.Context, stopping bool) error {
	req := &api.EntrySync{
		Entry:         e.cfg.VM,
		Incarnation:   e.incarnation,
		Revision:      e.router.Revision(),
		Announcements: e.announcements.take(),
		Stopping:      stopping,
	}
	e.router.Pool().PrepareSync(req, e.returningSlots.Load())
	askedAt := e.clock.Now()
	state, err := e.control.sync(ctx, req)
	e.metrics.observeSync(err)
	if err != nil {
		e.announcements.restore(req.Announcements)
		e.recordSyncFailure(err)
		return err
	}
	e.router.ApplySync(askedAt, state)
	if !state.SlotsValid {
		// kqcontrol has no reply from the leader of the data centre's group, so the
		// announcements may not have been delivered.
		e.announcements.restore(req.Announcements)
		refusal := verdict.Refuse(verdict.ReasonNoLeader, "data centre's leader did not answer")
		e.recordSyncFailure(refusal)
		return refusal
	}
	e.recordSyncSuccess()
	e.lastSync.Store(int64(askedAt))
	return nil
}
