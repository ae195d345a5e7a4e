package control

import (
	"errors"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/storage"
)

// isCorrupt reports whether err says that a store's content is not what was synced
// to it.
func isCorrupt(err error) bool {
	var c *storage.CorruptError
	return errors.As(err, &c)
}

// renameCorruptDataDir renames the whole data folder, so that this VM rejoins under
// a new identity. A member must not vote with a log that may be incomplete, and both
// groups know the process by the same identity.
func (s *Server) renameCorruptDataDir(cause error) error {
	to := fmt.Sprintf("%s.corrupt-%d", s.cfg.DataDir, time.Now().Unix())
	if err := os.Rename(s.cfg.DataDir, to); err != nil {
		return err
	}
	s.log.Error("data folder is corrupt and was renamed", zap.Error(cause), zap.String("folder", to))
	s.events.Record(eventlog.Event{Kind: eventCorrupt, DC: s.cfg.DC, Detail: cause.Error()})
	return nil
}

// fail ends the process with an error. Its supervisor is expected to restart it.
// Only the first error is kept.
func (s *Server) fail(err error) {
	select {
	case s.fatal <- err:
	default:
	}
}

// checkMember ends the process if its member of a group can no longer write its
// log. Such a member must not take part in the group, and the other duties of the
// process move to other processes.
func (s *Server) checkMember(group string, st replica.Status) {
	if st.Failure != "" {
		s.fail(fmt.Errorf("%s group member failed: %s", group, st.Failure))
	}
}
