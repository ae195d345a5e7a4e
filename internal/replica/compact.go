package replica

import (
	"fmt"

	"go.uber.org/zap"

	"kumquatwing/internal/consensus"
)

// logLimits bound a member's log.
type logLimits struct {
	// compactBytes is the log size at which it is compacted; a log may grow to
	// the size of the last snapshot if that is larger.
	compactBytes int
	// keepBytes of the log stay for members that lag a little.
	keepBytes int
	// backlogBytes may be proposed beyond that while no quorum answers.
	backlogBytes int
}

// defaultLimits suit the memory and write rate of a control process.
var defaultLimits = logLimits{compactBytes: 1 << 20, keepBytes: 256 << 10, backlogBytes: 4 << 20}

// maxLogBytes bounds the log's memory while no quorum answers.
func (c *core) maxLogBytes() int { return c.compactAt() + c.limits.backlogBytes }

// compactAt is the log size at which it is compacted.
func (c *core) compactAt() int { return max(c.limits.compactBytes, c.snapshotSize) }

// install replaces the whole state by a leader's snapshot.
func (c *core) install(out *consensus.Output) error {
	s := out.Install
	st := consensus.State{Hard: *out.HardState, Snapshot: *s, Entries: out.Entries}
	if err := c.store.Compact(st); err != nil {
		return err
	}
	if !c.witness {
		if err := c.machine.Restore(s.Data); err != nil {
			return fmt.Errorf("replica: received snapshot can't be restored: %w", err)
		}
	}
	c.applied, c.snapshotSize = s.Index, len(s.Data)
	c.settleSkipped()
	c.wakeReaders()
	c.log.Info("installed a snapshot", zap.Uint64("index", s.Index), zap.Int("bytes", len(s.Data)))
	return nil
}

// offer gives the raft a snapshot to send.
func (c *core) offer() {
	data, err := c.machine.Snapshot()
	if err != nil {
		c.fail(fmt.Errorf("replica: state can't be encoded: %w", err))
		return
	}
	s := c.raft.SnapshotHeader()
	s.Data = data
	c.raft.OfferSnapshot(s)
}

// compact shortens the log once it is large. A member without a disk needs no
// snapshot for that.
func (c *core) compact() {
	if c.failed != nil || c.raft.LogBytes() < c.compactAt() {
		return
	}
	if c.store.Durable() {
		if err := c.writeSnapshot(); err != nil {
			c.fail(err)
			return
		}
	}
	c.raft.Compact(c.limits.keepBytes)
}

func (c *core) writeSnapshot() error {
	s := c.raft.SnapshotHeader()
	if s.Index == c.raft.Base() {
		return nil
	}
	if !c.witness {
		data, err := c.machine.Snapshot()
		if err != nil {
			return fmt.Errorf("replica: state can't be encoded: %w", err)
		}
		s.Data = data
	}
	c.snapshotSize = len(s.Data)
	return c.store.Compact(consensus.State{
		Hard: c.raft.HardState(), Snapshot: s, Entries: c.raft.EntriesAfter(s.Index),
	})
}
