package timeline

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
)

// TestLoadOrdersByCause records an event in one process and its effect in another one
// whose wall clock is behind. Load must return the effect after the cause.
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

	events, malformed, err := Load(dir)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, malformed, qt.HasLen, 0)
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
	events, malformed, err := Load(dir)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, events, qt.HasLen, 1)
	qt.Assert(t, malformed, qt.HasLen, 1)
	qt.Assert(t, malformed[0].Line, qt.Equals, 2)
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

// TestPageIsBoundedAndEscaped checks that a page shows only the newest events, and
// that it escapes text that comes from callers.
func TestPageIsBoundedAndEscaped(t *testing.T) {
	events := make([]eventlog.Event, maxRows+5)
	for i := range events {
		events[i] = eventlog.Event{
			At:   eventlog.Timestamp{WallMillis: int64(i)},
			VM:   model.VMID(fmt.Sprintf("dc%d-1", i%3)),
			Kind: "work.placed", Process: "kqcontrol",
		}
	}
	last := &events[len(events)-1]
	last.Kind = "request.refused"
	last.Detail = "<script>alert(1)</script>"
	last.Explain = []byte(`{"considered":16}`)
	last.Epoch = model.NewEpoch(2, 7)
	var page bytes.Buffer
	qt.Assert(t, WriteHTML(&page, events), qt.IsNil)
	text := page.String()
	qt.Assert(t, strings.Count(text, "<tr data-l="), qt.Equals, maxRows)
	qt.Assert(t, text, qt.Contains, "5 older events are omitted")
	qt.Assert(t, strings.Count(text, "<button"), qt.Equals, 3)
	qt.Assert(t, text, qt.Contains, "<option>request</option><option>work</option>")
	qt.Assert(t, text, qt.Not(qt.Contains), "<script>alert")
	qt.Assert(t, text, qt.Contains, "epoch=2.7")
	qt.Assert(t, text, qt.Contains, "&#34;considered&#34;: 16")
	qt.Assert(t, len(text) < 300*maxRows, qt.IsTrue, qt.Commentf("%d bytes", len(text)))
}
