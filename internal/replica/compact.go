package replica

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"kumquatwing/internal/consensus"
	"kumquatwing/internal/storage"
)

// postponedGrowthBytes is how much the log grows before a postponed compaction is
// tried again.
const postponedGrowthBytes = 128 << 10

// logLimits limit the size of a member's log in memory.
type logLimits struct {
	// compactBytes is the log size at which the log is compacted. If the last
	// snapshot is larger, its size is used instead.
	compactBytes int
	// keepBytes of applied entries are kept for members that are slightly behind.
	keepBytes int
	// backlogBytes is how much the log may grow beyond the compaction threshold
	// while no quorum responds.
	backlogBytes int
}

// defaultLimits suit the memory and the write rate of a control process.
var defaultLimits = logLimits{compactBytes: 1 << 20, keepBytes: 256 << 10, backlogBytes: 4 << 20}

// maxLogBytes is the log size that proposals must not exceed, so that memory
// stays bounded while no quorum responds.
func (c *core) maxLogBytes() int { return c.compactThreshold() + c.limits.backlogBytes }

// compactThreshold is the log size at which the log is compacted.
func (c *core) compactThreshold() int { return max(c.limits.compactBytes, c.snapshotSize) }

// installSnapshot replaces the whole state by a snapshot received from the
// leader.
func (c *core) installSnapshot(out *consensus.Output) error {
	s := out.Install
	st := consensus.State{HardState: *out.HardState, Snapshot: *s, Entries: out.Entries}
	if err := c.store.Compact(st); err != nil {
		return err
	}
	if !c.witness {
		if err := c.stateMachine.Restore(s.Data); err != nil {
			return fmt.Errorf("replica: received snapshot can't be restored: %w", err)
		}
	}
	c.applied, c.snapshotSize = s.Index, len(s.Data)
	c.resolveSkipped()
	c.notifyApplyWaiters()
	c.log.Info("snapshot from leader installed", zap.Uint64("index", s.Index), zap.Int("bytes", len(s.Data)))
	return nil
}

// offerSnapshot passes a snapshot of the current state to the consensus module,
// to be sent to members that need it.
func (c *core) offerSnapshot() {
	data, err := c.stateMachine.Snapshot()
	if err != nil {
		c.fail(fmt.Errorf("replica: state can't be encoded: %w", err))
		return
	}
	s := c.raft.SnapshotHeader()
	s.Data = data
	c.raft.OfferSnapshot(s)
}

// compact compacts the log once it reaches compactThreshold. Before that, a
// member with a disk writes a snapshot; a member without one needs none, since
// it never restarts from its store.
//
// A compaction that the store postpones is tried again once the log has grown by
// postponedGrowthBytes. Until then the log keeps growing, up to maxLogBytes.
func (c *core) compact() {
	if c.failed != nil || c.raft.LogBytes() < max(c.compactThreshold(), c.postponedUntilBytes) {
		return
	}
	if c.store.Durable() {
		err := c.writeSnapshot()
		if postponed := new(storage.PostponedError); errors.As(err, &postponed) {
			c.postponedUntilBytes = c.raft.LogBytes() + postponedGrowthBytes
			c.log.Warn("could not open a file for the snapshot, log is compacted later", zap.Error(err))
			return
		}
		if err != nil {
			c.fail(err)
			return
		}
	}
	c.postponedUntilBytes = 0
	c.raft.Compact(c.limits.keepBytes)
}

// writeSnapshot replaces the store's contents by a snapshot of the current state
// and the entries that follow.
func (c *core) writeSnapshot() error {
	s := c.raft.SnapshotHeader()
	if s.Index == c.raft.Base() {
		return nil
	}
	if !c.witness {
		data, err := c.stateMachine.Snapshot()
		if err != nil {
			return fmt.Errorf("replica: state can't be encoded: %w", err)
		}
		s.Data = data
	}
	err := c.store.Compact(consensus.State{
		HardState: c.raft.HardState(), Snapshot: s, Entries: c.raft.EntriesAfter(s.Index),
	})
	if err == nil {
		c.snapshotSize = len(s.Data)
	}
	return err
}
