package why

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"kumquatwing/internal/placement"
)

// lines formats a decision as one line about the event and, indented, the lines of
// its explanation.
func (d *Decision) lines() []string {
	lines := []string{d.summary()}
	if d.Explain != nil {
		lines = append(lines, explainLines(d.Explain)...)
	}
	return lines
}

// summary formats the event: its time, kind, subjects, cause and detail, and the
// process that decided.
func (d *Decision) summary() string {
	e := &d.Event
	var b strings.Builder
	b.WriteString(time.UnixMilli(e.At.WallMillis).UTC().Format("2006-01-02T15:04:05.000Z"))
	fmt.Fprintf(&b, " %s", e.Kind)
	writeField(&b, "job", string(e.Job))
	writeField(&b, "task", string(e.Task))
	if e.Attempt > 0 {
		fmt.Fprintf(&b, " attempt %d", e.Attempt)
	}
	writeField(&b, "worker", string(e.Worker))
	writeField(&b, "workspace", string(e.Workspace))
	writeField(&b, "cause", e.Cause)
	if e.Detail != "" {
		fmt.Fprintf(&b, ": %s", e.Detail)
	}
	fmt.Fprintf(&b, " (decided by %s in %s, epoch %d, fleet revision %d)",
		cmp.Or(e.Process, string(e.VM), "unknown"), cmp.Or(string(e.DC), "the fleet"), e.Epoch, e.Revision)
	return b.String()
}

// writeField writes a name and its value unless the value is empty.
func writeField(b *strings.Builder, name, value string) {
	if value != "" {
		fmt.Fprintf(b, " %s %s", name, value)
	}
}

func explainLines(x *placement.Explanation) []string {
	var lines []string
	if x.Considered > 0 {
		lines = append(lines, fmt.Sprintf("  considered %d workers", x.Considered))
	}
	for _, r := range x.Rejected {
		lines = append(lines, fmt.Sprintf("  rejected %d by %s", r.Count, r.Filter))
	}
	for _, s := range x.Score {
		lines = append(lines, fmt.Sprintf("  score %d for %s", s.Points, s.Scorer))
	}
	for _, d := range x.Decisions {
		lines = append(lines, "  setting "+d.String())
	}
	return lines
}
