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
	// clockTicks is the number of clock ticks per second, the unit of CPU time in
	// /proc/PID/stat.
	clockTicks = 100
	// settleTime is the pause between a change of the variable and the measurement.
	settleTime = 2500 * time.Millisecond
	// window is the default duration of the measurement of one point. longWindow
	// also covers work that is done every ten seconds.
	window     = 6 * time.Second
	longWindow = 20 * time.Second
	// maxAttempts is the maximum number of measurements of a point, which is
	// measured again if a leader changes meanwhile.
	maxAttempts = 3
)

// role is the role of a process in the cluster.
type role string

const (
	fleetLeader role = "kqcontrol, fleet leader"
	dcLeader    role = "kqcontrol, data centre leader"
	follower    role = "kqcontrol, follower"
	entryRole   role = "kqentry"
)

var roles = []role{fleetLeader, dcLeader, follower, entryRole}

// cost is the resource usage of one process.
type cost struct {
	// rss and heap are in MiB.
	rss, heap float64
	// cpu is in percent of a core.
	cpu float64
	// sent and received are in bytes per second, between the system's own
	// processes.
	sent, received float64
}

// measures lists the fields of cost with their names and units for the report.
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

// point is the cost per role at one value x of the variable.
type point struct {
	x    float64
	cost map[role]cost
}

// counters are the raw counters and gauges of a process at one instant.
type counters struct {
	at             time.Time
	cpuTicks       float64
	sent, received float64
	rss, heap      float64
}

// readCPUTicks returns the user and system CPU time of a process in clock ticks.
func readCPUTicks(cmd *exec.Cmd) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	if err != nil {
		return math.NaN()
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return user + system
}

// residentMiB returns the resident memory of a process.
func residentMiB(cmd *exec.Cmd) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	if err != nil {
		return math.NaN()
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// scrape returns the metrics of a process by name. Lines that are not a name and
// a number separated by a space, such as comments, are skipped.
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

// readCounters reads the counters of a process. The metrics are scraped before the
// first sample and after the last one, so that the scrape adds no CPU time to the
// measurement.
func (c *cluster) readCounters(cmd *exec.Cmd, base string, begin bool) counters {
	var n counters
	sampleProcess := func() { n.at, n.cpuTicks, n.rss = time.Now(), readCPUTicks(cmd), residentMiB(cmd) }
	if !begin {
		sampleProcess()
	}
	metrics := c.scrape(base)
	n.sent, n.received = metrics["kq_wire_sent_bytes"], metrics["kq_wire_received_bytes"]
	n.heap = metrics["go_memstats_heap_inuse_bytes"] / (1 << 20)
	if begin {
		sampleProcess()
	}
	return n
}

func costBetween(a, b counters) cost {
	seconds := b.at.Sub(a.at).Seconds()
	return cost{
		rss: b.rss, heap: b.heap, cpu: (b.cpuTicks - a.cpuTicks) / clockTicks / seconds * 100,
		sent: (b.sent - a.sent) / seconds, received: (b.received - a.received) / seconds,
	}
}

// rolesByVM returns the roles of the kqcontrol processes that are measured, by VM:
// the fleet leader and the members in data centre dc.
func (c *cluster) rolesByVM(dc int) map[string]role {
	vmRoles := map[string]role{}
	for _, p := range c.status().Processes {
		switch {
		case p.Fleet.Leads:
			vmRoles[p.VM] = fleetLeader
		case p.DC == dcName(dc) && p.Own.Leads:
			vmRoles[p.VM] = dcLeader
		case p.DC == dcName(dc):
			vmRoles[p.VM] = follower
		}
	}
	return vmRoles
}

// dcWithoutFleetLeader returns data centre 2, or 3 if the fleet leader is in 2.
func (c *cluster) dcWithoutFleetLeader() int {
	dc := 0
	c.waitFor("the fleet has a leader", func() bool {
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

// measure measures the point at x. The cost of a role is the average of its
// processes. If a leader changes during the measurement, it is repeated.
func (c *cluster) measure(dc int, x float64) point {
	time.Sleep(settleTime)
	for range maxAttempts {
		before := c.rolesByVM(dc)
		p := point{x: x, cost: c.measureWindow(dc, before)}
		after := c.rolesByVM(dc)
		same := len(before) == len(after)
		for vm, r := range before {
			same = same && after[vm] == r
		}
		if same {
			return p
		}
		c.t.Logf("a leader changed at %g; measuring again", x)
	}
	c.t.Errorf("a leader changed in each of %d measurements at %g", maxAttempts, x)
	return point{x: x}
}

func (c *cluster) measureWindow(dc int, vmRoles map[string]role) map[role]cost {
	type probe struct {
		role  role
		cmd   *exec.Cmd
		base  string
		begin counters
	}
	var probes []*probe
	for _, v := range c.vms {
		if r, ok := vmRoles[v.name]; ok {
			probes = append(probes, &probe{role: r, cmd: v.control, base: v.ip + httpPort})
		}
		if v.dc == dc && v.entry != nil {
			probes = append(probes, &probe{role: entryRole, cmd: v.entry, base: v.ip + entryPort})
		}
	}
	for _, p := range probes {
		p.begin = c.readCounters(p.cmd, p.base, true)
	}
	time.Sleep(c.windowLength)
	sums, counts := map[role]cost{}, map[role]float64{}
	for _, p := range probes {
		n, s := costBetween(p.begin, c.readCounters(p.cmd, p.base, false)), sums[p.role]
		sums[p.role] = cost{s.rss + n.rss, s.heap + n.heap, s.cpu + n.cpu, s.sent + n.sent, s.received + n.received}
		counts[p.role]++
	}
	for r, s := range sums {
		n := counts[r]
		sums[r] = cost{s.rss / n, s.heap / n, s.cpu / n, s.sent / n, s.received / n}
	}
	return sums
}

// linearFit is a fitted line with the root mean square of its residuals.
type linearFit struct{ intercept, slope, residual float64 }

// fit fits a line through the points by ordinary least squares.
func fit(xs, ys []float64) linearFit {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	var l linearFit
	if d := n*sxx - sx*sx; d != 0 {
		l.slope = (n*sxy - sx*sy) / d
	}
	l.intercept = (sy - l.slope*sx) / n
	for i, x := range xs {
		r := ys[i] - l.intercept - l.slope*x
		l.residual += r * r
	}
	l.residual = math.Sqrt(l.residual / n)
	return l
}

// report logs the points and the fits of one variable as a Markdown table.
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
	fmt.Fprintf(out, "| %s | %s |%s %.3g | %.3g | %.2g |\n", r, name, cells, l.slope, l.intercept, l.residual)
}
