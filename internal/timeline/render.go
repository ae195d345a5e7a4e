package timeline

import (
	"fmt"
	"html/template"
	"io"
	"slices"
	"time"

	"kumquatwing/internal/eventlog"
)

// timeFormat labels events for people.
const timeFormat = "15:04:05.000"

func lane(e *eventlog.Event) string {
	if e.VM == "" {
		return e.Process
	}
	return string(e.VM) + "/" + e.Process
}

func wall(e *eventlog.Event) string {
	return time.UnixMilli(e.At.WallMillis).UTC().Format(timeFormat)
}

// WriteText writes one line an event.
func WriteText(w io.Writer, events []eventlog.Event) error {
	for i := range events {
		e := &events[i]
		_, err := fmt.Fprintf(w, "%s.%03d %-20s %-22s %s  %s\n", wall(e), e.At.Counter, lane(e), e.Kind, subject(e), e.Detail)
		if err != nil {
			return err
		}
	}
	return nil
}

// page is the data of the HTML template.
type page struct {
	Lanes []string
	Rows  []row
}

// row is one event on the page.
type row struct {
	Time, Kind, Subject, Detail, Explain string
	Lane                                 int
}

// WriteHTML writes one self-contained page with a lane per process. The page
// has a text box that filters the rows as one types.
func WriteHTML(w io.Writer, events []eventlog.Event) error {
	p := page{Lanes: lanes(events)}
	for i := range events {
		e := &events[i]
		p.Rows = append(p.Rows, row{
			Time:    wall(e),
			Kind:    string(e.Kind),
			Subject: subject(e),
			Detail:  e.Detail,
			Explain: string(e.Explain),
			Lane:    slices.Index(p.Lanes, lane(e)),
		})
	}
	return pageTemplate.Execute(w, p)
}

func lanes(events []eventlog.Event) []string {
	var out []string
	for i := range events {
		out = append(out, lane(&events[i]))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>kumquatwing time line</title>
<style>
body{font:13px/1.4 system-ui,sans-serif;margin:1rem;color:#222;background:#fff}
input{font:inherit;width:30rem;padding:.3rem}
table{border-collapse:collapse;margin-top:1rem;width:100%}
th{position:sticky;top:0;background:#eef;text-align:left;font-weight:600;padding:.2rem .4rem}
th.lane{writing-mode:vertical-rl;font-weight:400;padding:.3rem 0;min-width:1.1rem}
td{padding:.1rem .4rem;border-top:1px solid #eee;vertical-align:top}
td.lane{padding:0;border-left:1px solid #eee;text-align:center}
td.lane.on{background:#dbe7ff}
code{color:#555}details{color:#555}
</style></head><body>
<h1>Time line</h1>
<p><label>Filter <input id="q" placeholder="task, request, team, VM, kind…"></label> <span id="n"></span></p>
<table><thead><tr><th>time</th>{{range .Lanes}}<th class="lane">{{.}}</th>{{end}}<th>event</th><th>about</th><th>what</th></tr></thead><tbody>
{{$lanes := .Lanes}}{{range .Rows}}{{$row := .}}<tr><td>{{.Time}}</td>{{range $i, $l := $lanes}}<td class="lane{{if eq $i $row.Lane}} on{{end}}" title="{{$l}}">{{if eq $i $row.Lane}}●{{end}}</td>{{end}}<td>{{.Kind}}</td><td><code>{{.Subject}}</code></td><td>{{.Detail}}{{if .Explain}}<details><summary>why</summary>{{.Explain}}</details>{{end}}</td></tr>
{{end}}</tbody></table>
<script>
const q=document.getElementById("q"),n=document.getElementById("n"),rows=[...document.querySelectorAll("tbody tr")];
const texts=rows.map(r=>(r.textContent+" "+(r.querySelector("td.on")||{title:""}).title).toLowerCase());
function show(){const w=q.value.toLowerCase().split(/\s+/).filter(Boolean);let c=0;
rows.forEach((r,i)=>{const on=w.every(x=>texts[i].includes(x));r.hidden=!on;if(on)c++});n.textContent=c+" of "+rows.length+" events"}
q.addEventListener("input",show);show();
</script></body></html>
`))
