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

// isCorrupt reports whether a store holds something else than was synced.
func isCorrupt(err error) bool {
	var c *storage.CorruptError
	return errors.As(err, &c)
}

// setAside moves the whole data folder out of the way, so that this VM comes
// back under a new identity: a member must not vote with a log that it can't
// trust, and both groups know it by one identity.
func (s *Server) setAside(cause error) error {
	to := fmt.Sprintf("%s.corrupt-%d", s.cfg.DataDir, time.Now().Unix())
	if err := os.Rename(s.cfg.DataDir, to); err != nil {
		return err
	}
	s.log.Error("data folder was set aside", zap.Error(cause), zap.String("folder", to))
	s.events.Record(eventlog.Event{Kind: eventCorrupt, DC: s.cfg.DC, Detail: cause.Error()})
	return nil
}

// fail ends the process with an error; its supervisor starts it again.
func (s *Server) fail(err error) {
	select {
	case s.fatal <- err:
	default:
	}
}

// checkMember ends the process when a member can no longer write its log: it
// must not take part, and its VM's other duties go to the others.
func (s *Server) checkMember(group string, st replica.Status) {
	if st.Failed != "" {
		s.fail(fmt.Errorf("member of %s has failed: %s", group, st.Failed))
	}
}
