// Command minions is a stand-in for the minions of a service. It runs one or more of them
// in one process, as PROTOCOL.md ("Running tasks", "Service discovery") tells: it sends
// heartbeats, takes /run-start, /run-stop and /hold, guards no capacity, keeps the highest
// fence, measures leases on a clock of its own, and numbers the ends.
//
// The text of a job says how its tasks behave: words of the form name=value.
//
//	ms=N        a task ends "done" after N ms; without it, it runs until it is stopped
//	fail=N      the first run of each task ends "failed" after N ms
//
// All events go to standard output, a JSON object a line.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

var (
	out   sync.Mutex
	begun = time.Now()
)

// event writes one line of the log. T is the time in Unix milliseconds.
func event(fields map[string]any) {
	out.Lock()
	defer out.Unlock()
	fields["t"] = time.Now().UnixMilli()
	data, _ := json.Marshal(fields)
	os.Stdout.Write(append(data, '\n'))
}

type run struct {
	number  int64
	started time.Time
	text    map[string]string
	timers  []*time.Timer
}

type ended struct {
	number int64
	task   string
	run    int64
	how    string
}

type minion struct {
	id, backend, addr, zone, label, rack string
	cpu, mem                             int64
	born                                 int64
	clock0                               time.Time
	maxHold                              int64
	late                                 int

	mu       sync.Mutex
	seq      int64
	fence    uint64
	leaseEnd int64
	running  map[string]*run
	endedRun map[string]int64
	ends     []ended
	lastEnd  int64
	forgot   int64
	changed  chan struct{}
}

func (m *minion) clock() int64 { return time.Since(m.clock0).Milliseconds() }

func words(spec string) map[string]string {
	w := map[string]string{}
	for _, f := range strings.Fields(spec) {
		if k, v, ok := strings.Cut(f, "="); ok {
			w[k] = v
		}
	}
	return w
}

func number(w map[string]string, name string) int64 {
	n, _ := strconv.ParseInt(w[name], 10, 64)
	return n
}

func reply(rw http.ResponseWriter, status int, body map[string]any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	json.NewEncoder(rw).Encode(body)
}

func (m *minion) answer(rw http.ResponseWriter, status int, reason string) {
	b := map[string]any{"clock-ms": m.clock(), "born": m.born}
	if reason != "" {
		b["reason"] = reason
	}
	reply(rw, status, b)
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline-ms"`
	Fence      uint64 `json:"fence"`
	LastSeen   int64  `json:"last-seen"`
	Wait       int64  `json:"wait-ms"`
	Checkpoint string `json:"last-checkpoint"`
}

func (m *minion) serve(rw http.ResponseWriter, r *http.Request) {
	var o order
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &o) != nil {
		m.answer(rw, 400, "")
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != m.id {
		m.answer(rw, 421, "")
		return
	}
	if m.late > 0 && r.URL.Path != "/hold" && rand.IntN(100) < m.late {
		<-r.Context().Done()
		time.Sleep(2*time.Second + rand.N(6*time.Second))
		if r.URL.Path == "/run-start" {
			m.start(&o)
		} else {
			m.stop(&o)
		}
		return
	}
	switch r.URL.Path {
	case "/run-start":
		if reason := m.start(&o); reason != "" {
			m.answer(rw, 409, reason)
			return
		}
		m.answer(rw, 200, "")
	case "/run-stop":
		if !m.stop(&o) {
			m.answer(rw, 409, "fence")
			return
		}
		m.answer(rw, 200, "")
	case "/hold":
		m.hold(rw, r, &o)
	default:
		m.answer(rw, 404, "")
	}
}

// extend takes a new end of the lease. The caller holds mu.
func (m *minion) extend(until int64) {
	if until == 0 {
		return
	}
	until = min(until, m.clock()+m.maxHold)
	if until <= m.leaseEnd {
		return
	}
	m.leaseEnd = until
	time.AfterFunc(time.Duration(until-m.clock())*time.Millisecond+time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.clock() < m.leaseEnd {
			return
		}
		for task, r := range m.running {
			m.end(task, r.number, "lapsed")
		}
	})
}

func (m *minion) start(o *order) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Fence < m.fence {
		return "fence"
	}
	m.fence = o.Fence
	if o.Deadline <= m.clock() {
		return "late"
	}
	if r := m.running[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	m.extend(o.Deadline)
	if r := m.running[o.Task]; o.Run <= m.endedRun[o.Task] || (r != nil && o.Run < r.number) {
		return "old"
	}
	r := &run{number: o.Run, started: time.Now(), text: words(o.Spec)}
	m.running[o.Task] = r
	event(map[string]any{"ev": "start", "minion": m.id, "task": o.Task, "run": o.Run, "fence": o.Fence})
	if ms := number(r.text, "ms"); ms > 0 {
		r.timers = append(r.timers, time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { m.endLocked(o.Task, o.Run, "done") }))
	}
	if ms := number(r.text, "fail"); ms > 0 && o.Run == 1 {
		r.timers = append(r.timers, time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { m.endLocked(o.Task, o.Run, "failed") }))
	}
	return ""
}

func (m *minion) endLocked(task string, run int64, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.end(task, run, how)
}

// end ends a run. The caller holds mu.
func (m *minion) end(task string, run int64, how string) {
	r := m.running[task]
	if r == nil || r.number != run {
		return
	}
	for _, t := range r.timers {
		t.Stop()
	}
	delete(m.running, task)
	m.endedRun[task] = max(m.endedRun[task], run)
	m.lastEnd++
	m.ends = append(m.ends, ended{m.lastEnd, task, run, how})
	event(map[string]any{"ev": "end", "minion": m.id, "task": task, "run": run, "how": how})
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) stop(o *order) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Fence < m.fence {
		return false
	}
	m.fence = o.Fence
	if r := m.running[o.Task]; r != nil && r.number <= o.Run {
		m.end(o.Task, r.number, "stopped")
	}
	m.endedRun[o.Task] = max(m.endedRun[o.Task], o.Run)
	return true
}

func (m *minion) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	m.mu.Lock()
	if o.Fence < m.fence {
		m.mu.Unlock()
		m.answer(rw, 409, "fence")
		return
	}
	m.fence = o.Fence
	m.extend(o.Deadline)
	if o.LastSeen > m.forgot {
		m.forgot = o.LastSeen
		for len(m.ends) > 0 && m.ends[0].number <= o.LastSeen {
			event(map[string]any{"ev": "seen", "minion": m.id, "task": m.ends[0].task, "run": m.ends[0].run, "how": m.ends[0].how})
			m.ends = m.ends[1:]
		}
	}
	changed := m.changed
	wait := len(m.ends) == 0 && o.Wait > 0
	m.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
	}
	m.mu.Lock()
	running, finished := [][]any{}, [][]any{}
	for task, run := range m.running {
		percent := int64(100)
		if ms := number(run.text, "ms"); ms > 0 {
			percent = min(99, time.Since(run.started).Milliseconds()*100/ms)
		} else if time.Since(run.started) < 300*time.Millisecond {
			percent = 10
		}
		running = append(running, []any{task, run.number, "", percent, 10})
	}
	for _, e := range m.ends[:min(len(m.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	m.mu.Unlock()
	reply(rw, 200, map[string]any{"clock-ms": m.clock(), "born": m.born, "running": running, "finished": finished})
}

// beat sends a heartbeat to the first of the control addresses that acknowledges it.
func (m *minion) beat(c *http.Client, controls []string, at int) int {
	m.mu.Lock()
	m.seq++
	body, _ := json.Marshal(map[string]any{
		"backend": m.backend, "addr": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"capacity": map[string]any{"cpu": m.cpu, "mem-mb": m.mem, "gpu": 0}, "labels": []string{m.label, m.rack},
		"clock-ms": m.clock(), "seq": m.seq, "born": m.born,
	})
	m.mu.Unlock()
	for i := range controls {
		k := (at + i) % len(controls)
		req, _ := http.NewRequest("PUT", "http://"+controls[k]+"/instances/"+m.id, strings.NewReader(string(body)))
		req.Header.Set("Content-Type", "application/json")
		resp, err := c.Do(req)
		if err != nil {
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			return k
		}
	}
	return (at + 1) % len(controls)
}

func main() {
	ip := flag.String("ip", "127.0.0.1", "address to listen on; the port is chosen")
	first := flag.Int("first", 0, "number of the first minion")
	n := flag.Int("n", 1, "number of minions")
	controls := flag.String("controls", "", "control addresses, joined by commas")
	backend := flag.String("backend", "svc", "service")
	zones := flag.String("zones", "a,b,c", "zones, joined by commas")
	cpu := flag.Int64("cpu", 16000, "capacity, thousandths of a core")
	mem := flag.Int64("mem", 32768, "capacity, MB")
	maxHold := flag.Int64("max-hold", 10000, "longest lease, ms")
	beatMS := flag.Int64("beat", 1500, "time between heartbeats, ms")
	port := flag.Int("port", 0, "port of the first minion, 0 for any")
	kinds := flag.String("kinds", "a", "labels of the minions in turn, joined by commas")
	late := flag.Int("late", 0, "this share of the orders, in percent, gets no answer and is carried out 2 to 8 s later")
	flag.Parse()
	zs, cs, ks := strings.Split(*zones, ","), strings.Split(*controls, ","), strings.Split(*kinds, ",")
	client := &http.Client{Timeout: time.Second}
	for i := *first; i < *first+*n; i++ {
		at := 0
		if *port != 0 {
			at = *port + i - *first
		}
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", *ip, at))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		m := &minion{
			id: fmt.Sprintf("i-%04d", i), backend: *backend, addr: l.Addr().String(), zone: zs[i%len(zs)], label: ks[i%len(ks)], late: *late, rack: fmt.Sprintf("r%d", i/8),
			cpu: *cpu, mem: *mem, born: time.Now().UnixMilli(), clock0: begun, maxHold: *maxHold,
			running: map[string]*run{}, endedRun: map[string]int64{}, changed: make(chan struct{}),
		}
		go http.Serve(l, http.HandlerFunc(m.serve))
		go func() {
			at := i
			time.Sleep(time.Duration(i%10) * time.Duration(*beatMS) / 10 * time.Millisecond)
			for {
				at = m.beat(client, cs, at)
				time.Sleep(time.Duration(*beatMS) * time.Millisecond)
			}
		}()
	}
	select {}
}
