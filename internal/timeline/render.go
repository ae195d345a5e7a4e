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
	// clockFormat and dateFormat label events for people, in UTC.
	clockFormat = "15:04:05.000"
	dateFormat  = "2006-01-02 " + clockFormat
	// maxRows bounds the events of a page, the newest; browsers get slow beyond.
	maxRows = 20_000
)

// lane names the process that recorded e.
func lane(e *eventlog.Event) string {
	if e.VM == "" {
		return e.Process
	}
	return string(e.VM) + "/" + e.Process
}

func wall(e *eventlog.Event, format string) string {
	return time.UnixMilli(e.At.WallMillis).UTC().Format(format)
}

// WriteText writes one line an event.
func WriteText(w io.Writer, events []eventlog.Event) error {
	for i := range events {
		e := &events[i]
		_, err := fmt.Fprintf(w, "%s.%03d %-20s %-22s %s  %s\n", wall(e, dateFormat), e.At.Counter, lane(e), e.Kind, subject(e), e.Detail)
		if err != nil {
			return err
		}
	}
	return nil
}

// page is the data of the HTML template.
type page struct {
	Lanes []string
	// Parts are the first halves of the kinds, such as "work".
	Parts []string
	Rows  []row
	// LeftOut counts older events that the page has no room for.
	LeftOut     int
	First, Last string
}

// row is one event on the page.
type row struct {
	Time, Date, Kind, Part, Subject, Detail, Explain string
	Lane                                             int
}

// WriteHTML writes one self-contained page of the newest events with a lane per
// process. It filters by text, by part and by lane.
func WriteHTML(w io.Writer, events []eventlog.Event) error {
	p := page{LeftOut: max(0, len(events)-maxRows)}
	events = events[p.LeftOut:]
	p.Lanes = distinct(events, lane)
	p.Parts = distinct(events, part)
	if len(events) > 0 {
		p.First, p.Last = wall(&events[0], dateFormat), wall(&events[len(events)-1], dateFormat)
	}
	for i := range events {
		p.Rows = append(p.Rows, newRow(&events[i], p.Lanes))
	}
	return pageTemplate.Execute(w, p)
}

func newRow(e *eventlog.Event, lanes []string) row {
	at, _ := slices.BinarySearch(lanes, lane(e))
	return row{
		Time:    wall(e, clockFormat),
		Date:    wall(e, dateFormat),
		Kind:    string(e.Kind),
		Part:    part(e),
		Subject: subject(e),
		Detail:  e.Detail,
		Explain: indented(e.Explain),
		Lane:    at,
	}
}

// part is the first half of an event's kind.
func part(e *eventlog.Event) string {
	first, _, _ := strings.Cut(string(e.Kind), ".")
	return first
}

// distinct returns the values of key over all events, sorted.
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

// indented lays an explanation out for reading.
func indented(explain []byte) string {
	var out bytes.Buffer
	if json.Indent(&out, explain, "", "  ") != nil {
		return string(explain)
	}
	return out.String()
}

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))
