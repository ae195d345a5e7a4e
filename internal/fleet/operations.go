package fleet

import (
	"fmt"
	"slices"
	"strings"

	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

const (
	// maxOperations bounds the operations whose results are kept to answer
	// duplicates.
	maxOperations = 4096
	// maxHistory bounds the changes in the history.
	maxHistory = 256
	// maxHistoryDeclarations bounds the changes in the history that keep their
	// declarations, so that these can be applied again.
	maxHistoryDeclarations = 32
	// maxChangeLines bounds the lines that describe one change in the history and
	// in results.
	maxChangeLines = 24
	// maxIDBytes bounds operation ids, actors and VM ids.
	maxIDBytes = 128
)

// Change is one accepted change of the configuration.
type Change struct {
	Revision uint64 `msgpack:"r" json:"revision"`
	OpID     string `msgpack:"o" json:"op_id"`
	Actor    string `msgpack:"a" json:"actor"`
	// AtMillis is the wall clock of the process that proposed the command.
	AtMillis int64 `msgpack:"t" json:"at_ms"`
	// Kind is apply, key-grant, key-withdraw, dc-out or dc-in.
	Kind    string   `msgpack:"k" json:"kind"`
	Changes []string `msgpack:"c" json:"changes"`
	// Declarations holds the declarations of an apply; nil for other kinds and
	// for changes older than the newest maxHistoryDeclarations applies.
	Declarations *settings.Declarations `msgpack:"d,omitempty" json:"-"`
}

// operation is the stored result of an operator's command.
type operation struct {
	ID     string `msgpack:"i"`
	Digest uint64 `msgpack:"d"`
	Result Result `msgpack:"r"`
}

// operations holds the newest operations; order lists them, oldest first.
type operations struct {
	byID  map[string]*operation
	order []*operation
}

func newOperations() operations { return operations{byID: map[string]*operation{}} }

func (o *operations) add(op *operation) {
	o.byID[op.ID] = op
	o.order = append(o.order, op)
	if len(o.order) > maxOperations {
		delete(o.byID, o.order[0].ID)
		o.order = append([]*operation(nil), o.order[1:]...)
	}
}

// executeOperatorCommand applies an operator's command. A duplicate gets the stored
// result of the first one.
func (s *State) executeOperatorCommand(c *Command) *Result {
	h := c.Header
	if h.OpID == "" || h.Actor == "" || len(h.OpID) > maxIDBytes || len(h.Actor) > maxIDBytes {
		return refuse(verdict.ReasonBadRequest, "operation id and actor must have 1 to %d bytes", maxIDBytes)
	}
	digest := c.digest()
	if earlier := s.operations.byID[h.OpID]; earlier != nil {
		return duplicateResult(earlier, digest)
	}
	result := s.changeConfiguration(c)
	result.Revision = s.revision
	s.operations.add(&operation{ID: h.OpID, Digest: digest, Result: *result})
	return result
}

// duplicateResult returns the result of a command whose operation id was used by
// earlier.
func duplicateResult(earlier *operation, digest uint64) *Result {
	if earlier.Digest != digest {
		return refuse(verdict.ReasonConflict, "operation id %q was used for another command", earlier.ID)
	}
	result := earlier.Result
	result.Duplicate = true
	return &result
}

// changeConfiguration makes the change of c, unless c is based on another revision
// than the current one.
func (s *State) changeConfiguration(c *Command) *Result {
	h := c.Header
	if h.ExpectRevision != AnyRevision && h.ExpectRevision != s.revision {
		return s.revisionConflict(h.ExpectRevision)
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

// revisionConflict refuses a command that is based on another revision. It names the
// first change after the expected revision that the history still has.
func (s *State) revisionConflict(expected uint64) *Result {
	for _, change := range s.history {
		if change.Revision > expected {
			return refuse(verdict.ReasonConflict,
				"revision %d was expected, %d is current: operation %s by %s made revision %d: %s",
				expected, s.revision, change.OpID, change.Actor, change.Revision, summarize(change.Changes))
		}
	}
	return refuse(verdict.ReasonConflict, "revision %d was expected, %d is current", expected, s.revision)
}

// maxSummaryLines bounds the lines of a change that a refusal quotes.
const maxSummaryLines = 3

func summarize(changes []string) string {
	return strings.Join(truncateLines(changes, maxSummaryLines), "; ")
}

// truncateLines returns the first limit lines, followed by a line that says how many
// were left out.
func truncateLines(lines []string, limit int) []string {
	if len(lines) <= limit {
		return lines
	}
	return append(slices.Clone(lines[:limit]), fmt.Sprintf("%d more", len(lines)-limit))
}

// recordChange starts a new revision and adds its entry to the history.
func (s *State) recordChange(h Header, kind string, changes []string, d *settings.Declarations) *Result {
	s.revision++
	s.entryView = nil
	changes = truncateLines(changes, maxChangeLines)
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

// trimHistory drops the oldest changes and the declarations of older changes.
func (s *State) trimHistory() {
	if len(s.history) > maxHistory {
		s.history = append([]Change(nil), s.history[len(s.history)-maxHistory:]...)
	}
	kept := 0
	for i := len(s.history) - 1; i >= 0; i-- {
		if s.history[i].Declarations == nil {
			continue
		}
		kept++
		if kept > maxHistoryDeclarations {
			s.history[i].Declarations = nil
		}
	}
}
