// Package timeline merges the event files of all processes into one time line.
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

// maxLineBytes bounds one event in a file.
const maxLineBytes = 4 << 20

// Damage is a line that could not be read, for example one that was being
// written when its process was killed.
type Damage struct {
	File string
	Line int
	Err  string
}

// Load reads every event file below the given folders and returns the events
// in causal order: by hybrid logical time, then by process, so that an event
// never comes before one that it could depend on.
func Load(dirs ...string) ([]eventlog.Event, []Damage, error) {
	var events []eventlog.Event
	var damage []Damage
	for _, dir := range dirs {
		files, err := eventFiles(dir)
		if err != nil {
			return nil, nil, err
		}
		for _, f := range files {
			e, d, err := readFile(f)
			if err != nil {
				return nil, nil, err
			}
			events = append(events, e...)
			damage = append(damage, d...)
		}
	}
	slices.SortStableFunc(events, compareEvents)
	return events, damage, nil
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

// eventFiles lists the event files of dir and its folders, rotated ones
// included, oldest first within a process.
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

func readFile(path string) ([]eventlog.Event, []Damage, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, nil, merry.Prependf(err, "reading %s", path)
	}
	defer f.Close()
	var events []eventlog.Event
	var damage []Damage
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		var e eventlog.Event
		if err := json.Unmarshal(line, &e); err != nil {
			damage = append(damage, Damage{path, n, err.Error()})
			continue
		}
		events = append(events, e)
	}
	if err := lines.Err(); err != nil {
		return nil, nil, merry.Prependf(err, "reading %s", path)
	}
	return events, damage, nil
}

// Filter selects events; empty fields select all.
type Filter struct {
	Task, Job, Workspace, Request, VM, Worker, Server, DC, Process string
	// Kind selects a kind or, with a trailing dot, all kinds of a part.
	Kind string
	// SinceMillis and UntilMillis bound the wall time; 0 means no bound.
	SinceMillis, UntilMillis int64
}

// Match reports whether e passes the filter.
func (f *Filter) Match(e *eventlog.Event) bool {
	for _, c := range []struct{ want, got string }{
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
		if c.want != "" && c.want != c.got {
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

// Select returns the events that pass f, in order.
func Select(events []eventlog.Event, f Filter) []eventlog.Event {
	var out []eventlog.Event
	for i := range events {
		if f.Match(&events[i]) {
			out = append(out, events[i])
		}
	}
	return out
}

// subject names what an event is about, most specific part first.
func subject(e *eventlog.Event) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
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
	return strings.Join(parts, " ")
}
