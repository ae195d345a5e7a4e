package fleet

import (
	"fmt"
	"slices"
	"strings"

	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

const (
	// operationsKept bounds the remembered answers to operators' commands.
	operationsKept = 4096
	// historyKept bounds the accepted changes that are listed.
	historyKept = 256
	// treesKept bounds how many of them keep their declarations, so that an
	// older tree can be applied again.
	treesKept = 32
	// changesKept bounds the lines that history and answers keep of one change.
	changesKept = 24
	// maxIDBytes bounds operation ids, actors and other names from outside.
	maxIDBytes = 128
)

// Change is one accepted change of the configuration.
type Change struct {
	Revision uint64 `msgpack:"r" json:"revision"`
	OpID     string `msgpack:"o" json:"op_id"`
	Actor    string `msgpack:"a" json:"actor"`
	// AtMillis is the wall clock of the process that took the call.
	AtMillis int64 `msgpack:"t" json:"at_ms"`
	// Kind is apply, key-grant, key-withdraw, dc-out or dc-in.
	Kind    string   `msgpack:"k" json:"kind"`
	Changes []string `msgpack:"c" json:"changes"`
	// Declarations is set for the newest applied trees.
	Declarations *settings.Declarations `msgpack:"d,omitempty" json:"-"`
}

// operation is the remembered answer to an operator's command.
type operation struct {
	ID     string `msgpack:"i"`
	Digest uint64 `msgpack:"d"`
	Result Result `msgpack:"r"`
}

// operations remembers the newest answers, oldest first.
type operations struct {
	byID  map[string]*operation
	order []*operation
}

func newOperations() operations { return operations{byID: map[string]*operation{}} }

func (o *operations) add(op *operation) {
	o.byID[op.ID] = op
	o.order = append(o.order, op)
	if len(o.order) > operationsKept {
		delete(o.byID, o.order[0].ID)
		o.order = append([]*operation(nil), o.order[1:]...)
	}
}

// operate runs an operator's command: a resend gets the first answer, and a
// command that was decided on another revision is refused.
func (s *State) operate(c *Command) *Result {
	h := c.Header
	if h.OpID == "" || h.Actor == "" || len(h.OpID) > maxIDBytes || len(h.Actor) > maxIDBytes {
		return refuse(verdict.ReasonBadRequest, "operation id and actor must have 1 to %d bytes", maxIDBytes)
	}
	digest := c.digest()
	if before := s.operations.byID[h.OpID]; before != nil {
		return repeatOf(before, digest)
	}
	result := s.configure(c)
	result.Revision = s.revision
	s.operations.add(&operation{ID: h.OpID, Digest: digest, Result: *result})
	return result
}

// repeatOf answers a command whose operation id is known.
func repeatOf(before *operation, digest uint64) *Result {
	if before.Digest != digest {
		return refuse(verdict.ReasonConflict, "operation id %q was used for another command", before.ID)
	}
	again := before.Result
	again.Repeat = true
	return &again
}

// configure checks the revision and makes the change.
func (s *State) configure(c *Command) *Result {
	h := c.Header
	if h.ExpectRevision != AnyRevision && h.ExpectRevision != s.revision {
		return s.conflict(h.ExpectRevision)
	}
	switch {
	case c.Apply != nil:
		return s.apply(h, c.Apply)
	case c.GrantKey != nil:
		return s.grantKey(h, c.GrantKey)
	case c.WithdrawKey != nil:
		return s.withdrawKey(h, c.WithdrawKey)
	default:
		return s.setDataCentre(h, c.SetDataCentre)
	}
}

// conflict names the change that came first.
func (s *State) conflict(expected uint64) *Result {
	for _, change := range s.history {
		if change.Revision > expected {
			return refuse(verdict.ReasonConflict,
				"revision %d was expected, %d is current: operation %s by %s made revision %d: %s",
				expected, s.revision, change.OpID, change.Actor, change.Revision, summary(change.Changes))
		}
	}
	return refuse(verdict.ReasonConflict, "revision %d was expected, %d is current", expected, s.revision)
}

// summaryLines bounds what a refusal quotes of a change.
const summaryLines = 3

func summary(changes []string) string { return strings.Join(firstLines(changes, summaryLines), "; ") }

// firstLines shortens a list and says by how much.
func firstLines(lines []string, most int) []string {
	if len(lines) <= most {
		return lines
	}
	return append(slices.Clone(lines[:most]), fmt.Sprintf("%d more", len(lines)-most))
}

// accept makes a new revision with its entry in the history.
func (s *State) accept(h Header, kind string, changes []string, d *settings.Declarations) *Result {
	s.revision++
	s.view = nil
	changes = firstLines(changes, changesKept)
	s.history = append(s.history, Change{
		Revision:     s.revision,
		OpID:         h.OpID,
		Actor:        h.Actor,
		AtMillis:     h.AtMillis,
		Kind:         kind,
		Changes:      changes,
		Declarations: d,
	})
	s.trimHistory()
	return &Result{Changes: changes}
}

// trimHistory drops the oldest changes and the oldest kept declarations.
func (s *State) trimHistory() {
	if len(s.history) > historyKept {
		s.history = append([]Change(nil), s.history[len(s.history)-historyKept:]...)
	}
	kept := 0
	for i := len(s.history) - 1; i >= 0; i-- {
		if s.history[i].Declarations == nil {
			continue
		}
		kept++
		if kept > treesKept {
			s.history[i].Declarations = nil
		}
	}
}
