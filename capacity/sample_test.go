//go:build capacity

package capacity

import (
	"bufio"
	"bytes"
	"fmt"
	"math"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"kumquatwing/internal/api"
)

const (
	// clockTicks is the unit of /proc/PID/stat, per second.
	clockTicks = 100
	// settle is the pause between a change of size and its window.
	settle = 2500 * time.Millisecond
	// window is the time that one point is measured over.
	window = 6 * time.Second
	// attempts bounds how often a window is repeated because a leader changed.
	attempts = 3
)

// role is the part that a process plays.
type role string

const (
	fleetLeader role = "kqcontrol, fleet leader"
	dcLeader    role = "kqcontrol, data centre leader"
	follower    role = "kqcontrol, follower"
	entryRole   role = "kqentry"
)

var roles = []role{fleetLeader, dcLeader, follower, entryRole}

// cost is what one process spends.
type cost struct {
	// rss and heap are in MiB.
	rss, heap float64
	// cpu is in percent of a core.
	cpu float64
	// sent and received are bytes a second between our own processes.
	sent, received float64
}

// measures names the parts of a cost, with their units.
var measures = []struct {
	name string
	of   func(cost) float64
}{
	{"resident MiB", func(c cost) float64 { return c.rss }},
	{"heap in use MiB", func(c cost) float64 { return c.heap }},
	{"core %", func(c cost) float64 { return c.cpu }},
	{"sent B/s", func(c cost) float64 { return c.sent }},
	{"received B/s", func(c cost) float64 { return c.received }},
}

// point is one measured size of a variable.
type point struct {
	x    float64
	cost map[role]cost
}

// counters are a process's figures at one instant.
type counters struct {
	at             time.Time
	ticks          float64
	sent, received float64
	rss, heap      float64
}

// processorTicks reads a process's time on processors.
func processorTicks(cmd *exec.Cmd) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	if err != nil {
		return math.NaN()
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return user + system
}

// residentMiB reads a process's resident memory.
func residentMiB(cmd *exec.Cmd) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	if err != nil {
		return math.NaN()
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// scrape reads the metrics page of a process.
func (c *cluster) scrape(base string) map[string]float64 {
	out := map[string]float64{}
	resp, err := c.http.Get("http://" + base + api.PathMetrics)
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			out[name] = v
		}
	}
	return out
}

// read takes the figures of a process; the page is read outside of the window.
func (c *cluster) read(cmd *exec.Cmd, base string, begin bool) counters {
	var n counters
	clock := func() { n.at, n.ticks, n.rss = time.Now(), processorTicks(cmd), residentMiB(cmd) }
	if !begin {
		clock()
	}
	page := c.scrape(base)
	n.sent, n.received = page["kq_wire_sent_bytes"], page["kq_wire_received_bytes"]
	n.heap = page["go_memstats_heap_inuse_bytes"] / (1 << 20)
	if begin {
		clock()
	}
	return n
}

func costBetween(a, b counters) cost {
	seconds := b.at.Sub(a.at).Seconds()
	return cost{
		rss: b.rss, heap: b.heap, cpu: (b.ticks - a.ticks) / clockTicks / seconds * 100,
		sent: (b.sent - a.sent) / seconds, received: (b.received - a.received) / seconds,
	}
}

// parts says which processes play which role, with dc as the data centre that
// is measured.
func (c *cluster) parts(dc int) map[string]role {
	out := map[string]role{}
	for _, p := range c.status().Processes {
		switch {
		case p.Fleet.Leads:
			out[p.VM] = fleetLeader
		case p.DC == dcName(dc) && p.Own.Leads:
			out[p.VM] = dcLeader
		case p.DC == dcName(dc):
			out[p.VM] = follower
		}
	}
	return out
}

// quietDC picks a data centre that the fleet's leader is not in.
func (c *cluster) quietDC() int {
	dc := 0
	c.until("a data centre without the fleet's leader", func() bool {
		s := c.status()
		for _, p := range s.Processes {
			if p.Fleet.Leads {
				dc = 2
				if p.DC == dcName(2) {
					dc = 3
				}
				return true
			}
		}
		return false
	})
	return dc
}

// measure takes one point. Processes of one role are averaged. A window in
// which a leader changed is measured again.
func (c *cluster) measure(dc int, x float64) point {
	time.Sleep(settle)
	for range attempts {
		before := c.parts(dc)
		p := point{x: x, cost: c.window(dc, before)}
		after := c.parts(dc)
		same := len(before) == len(after)
		for vm, r := range before {
			same = same && after[vm] == r
		}
		if same {
			return p
		}
		c.t.Logf("a leader changed at %g; measuring again", x)
	}
	c.t.Errorf("no window without a change of leader at %g", x)
	return point{x: x}
}

func (c *cluster) window(dc int, parts map[string]role) map[role]cost {
	type probe struct {
		role  role
		cmd   *exec.Cmd
		base  string
		begin counters
	}
	var probes []*probe
	for _, v := range c.vms {
		if r, ok := parts[v.name]; ok {
			probes = append(probes, &probe{role: r, cmd: v.control, base: v.ip + httpPort})
		}
		if v.dc == dc && v.entry != nil {
			probes = append(probes, &probe{role: entryRole, cmd: v.entry, base: v.ip + entryPort})
		}
	}
	for _, p := range probes {
		p.begin = c.read(p.cmd, p.base, true)
	}
	time.Sleep(window)
	sums, counts := map[role]cost{}, map[role]float64{}
	for _, p := range probes {
		n, s := costBetween(p.begin, c.read(p.cmd, p.base, false)), sums[p.role]
		sums[p.role] = cost{s.rss + n.rss, s.heap + n.heap, s.cpu + n.cpu, s.sent + n.sent, s.received + n.received}
		counts[p.role]++
	}
	for r, s := range sums {
		n := counts[r]
		sums[r] = cost{s.rss / n, s.heap / n, s.cpu / n, s.sent / n, s.received / n}
	}
	return sums
}

// line is a least-squares fit with the root mean square of its residuals.
type line struct{ base, slope, residual float64 }

// fit is ordinary least squares over one variable.
func fit(xs, ys []float64) line {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	var l line
	if d := n*sxx - sx*sx; d != 0 {
		l.slope = (n*sxy - sx*sy) / d
	}
	l.base = (sy - l.slope*sx) / n
	for i, x := range xs {
		r := ys[i] - l.base - l.slope*x
		l.residual += r * r
	}
	l.residual = math.Sqrt(l.residual / n)
	return l
}

// report prints the points and fits of one series as rows of a table.
func (c *cluster) report(variable string, points []point) {
	var out strings.Builder
	fmt.Fprintf(&out, "\n\n## %s\n\n| role | measure |", variable)
	for _, p := range points {
		fmt.Fprintf(&out, " %g |", p.x)
	}
	fmt.Fprintf(&out, " slope | at 0 | residual |\n|%s\n", strings.Repeat(" --- |", len(points)+5))
	for _, r := range roles {
		for _, m := range measures {
			reportRow(&out, r, m.name, points, m.of)
		}
	}
	c.t.Log(out.String())
}

func reportRow(out *strings.Builder, r role, name string, points []point, of func(cost) float64) {
	var xs, ys []float64
	nonzero := false
	cells := ""
	for _, p := range points {
		n, ok := p.cost[r]
		if !ok {
			cells += " - |"
			continue
		}
		y := of(n)
		xs, ys = append(xs, p.x), append(ys, y)
		nonzero = nonzero || y != 0
		cells += fmt.Sprintf(" %.4g |", y)
	}
	if !nonzero {
		return
	}
	l := fit(xs, ys)
	fmt.Fprintf(out, "| %s | %s |%s %.3g | %.3g | %.2g |\n", r, name, cells, l.slope, l.base, l.residual)
}
