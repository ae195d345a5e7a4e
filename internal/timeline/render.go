package timeline

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"kumquatwing/internal/eventlog"
)

const (
	// timeFormat and dateTimeFormat are the formats of timestamps, which are in UTC.
	timeFormat     = "15:04:05.000"
	dateTimeFormat = "2006-01-02 " + timeFormat
	// maxRows is the maximum number of events on an HTML page. Browsers become slow
	// with more rows.
	maxRows = 20_000
)

// processName returns the name of the process that recorded e, as VM/process if the
// VM is known. A lane of the HTML page shows the events of one process.
func processName(e *eventlog.Event) string {
	if e.VM == "" {
		return e.Process
	}
	return string(e.VM) + "/" + e.Process
}

// formatTime formats the wall-clock time of e in UTC.
func formatTime(e *eventlog.Event, format string) string {
	return time.UnixMilli(e.At.WallMillis).UTC().Format(format)
}

// WriteText writes events to w as text, one line for each event.
func WriteText(w io.Writer, events []eventlog.Event) error {
	for i := range events {
		e := &events[i]
		_, err := fmt.Fprintf(w, "%s.%03d %-20s %-22s %s  %s\n", formatTime(e, dateTimeFormat), e.At.Counter, processName(e), e.Kind, subject(e), e.Detail)
		if err != nil {
			return err
		}
	}
	return nil
}

// page is the data of the HTML template.
type page struct {
	// Lanes are the names of the processes, sorted.
	Lanes []string
	// Parts are the components of the kinds, such as "work", sorted.
	Parts []string
	Rows  []row
	// LeftOut is the number of older events that are omitted because of maxRows.
	LeftOut int
	// First and Last are the times of the first and the last row.
	First, Last string
}

// row is the data of one event in the HTML template. Lane is an index into
// page.Lanes.
type row struct {
	Time, Date, Kind, Part, Subject, Detail, Explain string
	Lane                                             int
}

// WriteHTML writes the newest maxRows events to w as a self-contained HTML page with a
// lane for each process. A reader of the page can filter the events by text,
// component and process.
func WriteHTML(w io.Writer, events []eventlog.Event) error {
	p := page{LeftOut: max(0, len(events)-maxRows)}
	events = events[p.LeftOut:]
	p.Lanes = distinct(events, processName)
	p.Parts = distinct(events, component)
	if len(events) > 0 {
		p.First, p.Last = formatTime(&events[0], dateTimeFormat), formatTime(&events[len(events)-1], dateTimeFormat)
	}
	for i := range events {
		p.Rows = append(p.Rows, newRow(&events[i], p.Lanes))
	}
	return pageTemplate.Execute(w, p)
}

func newRow(e *eventlog.Event, lanes []string) row {
	laneIndex, _ := slices.BinarySearch(lanes, processName(e))
	return row{
		Time:    formatTime(e, timeFormat),
		Date:    formatTime(e, dateTimeFormat),
		Kind:    string(e.Kind),
		Part:    component(e),
		Subject: subject(e),
		Detail:  e.Detail,
		Explain: indentJSON(e.Explain),
		Lane:    laneIndex,
	}
}

// component returns the component of an event's kind, which is the text before the
// first dot.
func component(e *eventlog.Event) string {
	name, _, _ := strings.Cut(string(e.Kind), ".")
	return name
}

// distinct returns the distinct values of key for events, sorted.
func distinct(events []eventlog.Event, key func(*eventlog.Event) string) []string {
	seen := map[string]bool{}
	var out []string
	for i := range events {
		if k := key(&events[i]); !seen[k] {
			seen[k] = true
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// indentJSON returns explain as indented JSON, or unchanged if it is not valid JSON.
func indentJSON(explain []byte) string {
	var out bytes.Buffer
	if json.Indent(&out, explain, "", "  ") != nil {
		return string(explain)
	}
	return out.String()
}

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))
