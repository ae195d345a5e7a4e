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

// minSyncPause bounds how often new demand leads to a sync.
const minSyncPause = 5 * time.Millisecond

// announcements keeps what backend servers announced until it was synced.
type announcements struct {
	mu  sync.Mutex
	all map[model.ServerID]api.Announcement
}

// maxAnnounced bounds the servers kept between two syncs.
const maxAnnounced = 4096

// add keeps the newest announcement of a server; it reports false when full.
func (a *announcements) add(n api.Announcement) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.all[n.Server]; !ok && len(a.all) >= maxAnnounced {
		return false
	}
	a.all[n.Server] = n
	return true
}

// take removes and returns all, sorted by server.
func (a *announcements) take() []api.Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]api.Announcement, 0, len(a.all))
	for _, n := range a.all {
		out = append(out, n)
	}
	clear(a.all)
	slices.SortFunc(out, func(x, y api.Announcement) int { return cmp.Compare(x.Server, y.Server) })
	return out
}

// putBack keeps announcements of a sync that failed, unless newer ones came.
func (a *announcements) putBack(old []api.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range old {
		if _, ok := a.all[n.Server]; !ok {
			a.all[n.Server] = n
		}
	}
}

// syncLoop renews leases and slots until ctx ends: at a steady pace, and at
// once when woken. One sync is on its way at a time.
func (e *Entry) syncLoop(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-e.wake:
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

// wakeSync asks the loop for a sync now.
func (e *Entry) wakeSync() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// syncOnce sends one sync and takes in its answer. The leases in it count from
// before it was sent.
func (e *Entry) syncOnce(ctx context.Context, stopping bool) error {
	req := &api.EntrySync{
		Entry:         e.cfg.VM,
		Incarnation:   e.incarnation,
		Revision:      e.router.Revision(),
		Announcements: e.announced.take(),
		Stopping:      stopping,
	}
	e.router.Pool().FillSync(req, e.returning.Load())
	asked := e.clock.Now()
	state, err := e.control.sync(ctx, req)
	e.metrics.synced(err)
	if err != nil {
		e.announced.putBack(req.Announcements)
		e.noteSyncFailure(err)
		return err
	}
	e.router.Synced(asked, state)
	if !state.SlotsValid {
		// The data centre's leader did not get what the sync carried.
		e.announced.putBack(req.Announcements)
		refusal := verdict.Refuse(verdict.ReasonNoLeader, "data centre's leader did not answer")
		e.noteSyncFailure(refusal)
		return refusal
	}
	e.noteSync()
	e.lastSync.Store(int64(asked))
	return nil
}
