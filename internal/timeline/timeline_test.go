package timeline

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/eventlog"
)

// TestLoadOrdersByCause has two processes exchange a message whose receiver's
// wall clock is behind: the effect must still come after its cause.
func TestLoadOrdersByCause(t *testing.T) {
	dir := t.TempDir()
	sender, err := eventlog.OpenFile(dir, "kqcontrol", "b", eventlog.DefaultFileBytes)
	qt.Assert(t, err, qt.IsNil)
	receiver, err := eventlog.OpenFile(dir, "kqcontrol", "a", eventlog.DefaultFileBytes)
	qt.Assert(t, err, qt.IsNil)
	ahead := sender.Now()
	ahead.WallMillis += 60_000
	sender.Observe(ahead)
	sender.Record(eventlog.Event{Kind: "test.cause"})
	receiver.Observe(sender.Now())
	receiver.Record(eventlog.Event{Kind: "test.effect", Task: "j.0"})
	qt.Assert(t, sender.Close(), qt.IsNil)
	qt.Assert(t, receiver.Close(), qt.IsNil)

	events, damage, err := Load(dir)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, damage, qt.HasLen, 0)
	qt.Assert(t, events, qt.HasLen, 2)
	qt.Assert(t, events[0].Kind, qt.Equals, eventlog.Kind("test.cause"))
	selected := Select(events, Filter{Task: "j.0"})
	qt.Assert(t, selected, qt.HasLen, 1)
	var page bytes.Buffer
	qt.Assert(t, WriteHTML(&page, events), qt.IsNil)
	qt.Assert(t, page.String(), qt.Contains, "test.effect")
}

func TestLoadReportsTornLine(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a.kqentry"+eventlog.FileSuffix)
	qt.Assert(t, os.WriteFile(path, []byte("{\"kind\":\"x.y\"}\n{\"kind\":\"to"), 0o644), qt.IsNil)
	events, damage, err := Load(dir)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, events, qt.HasLen, 1)
	qt.Assert(t, damage, qt.HasLen, 1)
	qt.Assert(t, damage[0].Line, qt.Equals, 2)
}

func TestRotationKeepsBoundedFiles(t *testing.T) {
	dir := t.TempDir()
	f, err := eventlog.OpenFile(dir, "kqentry", "a", 1000)
	qt.Assert(t, err, qt.IsNil)
	for range 200 {
		f.Record(eventlog.Event{Kind: "test.tick", Detail: "some text to fill the file"})
	}
	qt.Assert(t, f.Close(), qt.IsNil)
	entries, err := os.ReadDir(dir)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, entries, qt.HasLen, 4)
	events, _, err := Load(dir)
	qt.Assert(t, err, qt.IsNil)
	for i := 1; i < len(events); i++ {
		qt.Assert(t, events[i-1].At.Less(events[i].At), qt.IsTrue)
	}
}
