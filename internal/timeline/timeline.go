// Package timeline merges the event files of all processes into one timeline and
// renders it as text or as an HTML page.
package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"kumquatwing/internal/eventlog"
)

// maxLineBytes is the maximum length of an event in a file.
const maxLineBytes = 4 << 20

// MalformedLine is a line that could not be decoded, for example because the process
// was killed while it wrote the line.
type MalformedLine struct {
	File string
	Line int
	Err  string
}

// Load reads all event files in dirs and their subdirectories. It returns the events
// sorted by hybrid logical timestamp, then by VM and process, so that no event comes
// before one that may have caused it. Lines that can't be decoded are returned
// separately.
func Load(dirs ...string) ([]eventlog.Event, []MalformedLine, error) {
	var events []eventlog.Event
	var malformed []MalformedLine
	for _, dir := range dirs {
		files, err := eventFiles(dir)
		if err != nil {
			return nil, nil, err
		}
		for _, f := range files {
			e, m, err := readFile(f)
			if err != nil {
				return nil, nil, err
			}
			events = append(events, e...)
			malformed = append(malformed, m...)
		}
	}
	slices.SortStableFunc(events, compareEvents)
	return events, malformed, nil
}

func compareEvents(a, b eventlog.Event) int {
	if a.At.Less(b.At) {
		return -1
	}
	if b.At.Less(a.At) {
		return 1
	}
	if c := strings.Compare(string(a.VM), string(b.VM)); c != 0 {
		return c
	}
	return strings.Compare(a.Process, b.Process)
}

// eventFiles returns the event files in dir and its subdirectories, including rotated
// ones. The files of a process are in order of age, the oldest first.
func eventFiles(dir string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return merry.Prependf(err, "reading %s", path)
		}
		if !d.IsDir() && strings.Contains(d.Name(), eventlog.FileSuffix) {
			files = append(files, path)
		}
		return nil
	})
	slices.SortFunc(files, func(a, b string) int { return strings.Compare(b, a) })
	return files, err
}

func readFile(path string) ([]eventlog.Event, []MalformedLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, nil, merry.Prependf(err, "reading %s", path)
	}
	defer f.Close()
	var events []eventlog.Event
	var malformed []MalformedLine
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		var e eventlog.Event
		if err := json.Unmarshal(line, &e); err != nil {
			malformed = append(malformed, MalformedLine{path, n, err.Error()})
			continue
		}
		events = append(events, e)
	}
	if err := lines.Err(); err != nil {
		return nil, nil, merry.Prependf(err, "reading %s", path)
	}
	return events, malformed, nil
}

// Filter selects events by their fields. A field with its zero value matches all
// events.
type Filter struct {
	Task, Job, Workspace, Request, VM, Worker, Server, DC, Process string
	// Kind selects one kind or, with a trailing dot, all kinds of a component.
	Kind string
	// SinceMillis and UntilMillis are the first and the last wall-clock time that
	// match; 0 means no limit.
	SinceMillis, UntilMillis int64
}

// Match reports whether f selects e.
func (f *Filter) Match(e *eventlog.Event) bool {
	for _, field := range []struct{ want, got string }{
		{f.Task, string(e.Task)},
		{f.Job, string(e.Job)},
		{f.Workspace, string(e.Workspace)},
		{f.Request, string(e.Request)},
		{f.VM, string(e.VM)},
		{f.Worker, string(e.Worker)},
		{f.Server, string(e.Server)},
		{f.DC, string(e.DC)},
		{f.Process, e.Process},
	} {
		if field.want != "" && field.want != field.got {
			return false
		}
	}
	if f.SinceMillis != 0 && e.At.WallMillis < f.SinceMillis {
		return false
	}
	if f.UntilMillis != 0 && e.At.WallMillis > f.UntilMillis {
		return false
	}
	return matchKind(f.Kind, string(e.Kind))
}

func matchKind(want, got string) bool {
	if strings.HasSuffix(want, ".") {
		return strings.HasPrefix(got, want)
	}
	return want == "" || want == got
}

// Select returns the events that f matches, in the order of events.
func Select(events []eventlog.Event, f Filter) []eventlog.Event {
	var out []eventlog.Event
	for i := range events {
		if f.Match(&events[i]) {
			out = append(out, events[i])
		}
	}
	return out
}

// subject formats the fields of e that identify the objects concerned, and its
// cause, as name=value pairs. The job is omitted if the task is set.
func subject(e *eventlog.Event) string {
	var pairs []string
	add := func(name, value string) {
		if value != "" {
			pairs = append(pairs, name+"="+value)
		}
	}
	add("task", string(e.Task))
	if e.Task == "" {
		add("job", string(e.Job))
	}
	if e.Attempt != 0 {
		add("attempt", fmt.Sprint(e.Attempt))
	}
	add("request", string(e.Request))
	add("workspace", string(e.Workspace))
	add("worker", string(e.Worker))
	add("server", string(e.Server))
	add("queue", string(e.Queue))
	add("key", string(e.Key))
	add("dc", string(e.DC))
	if e.Epoch != 0 {
		add("epoch", fmt.Sprintf("%d.%d", e.Epoch.Generation(), e.Epoch.Term()))
	}
	if e.Revision != 0 {
		add("revision", fmt.Sprint(e.Revision))
	}
	add("cause", e.Cause)
	return strings.Join(pairs, " ")
}
