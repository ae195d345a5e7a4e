package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// minion is a stand-in for a worker of the platform. It follows PROTOCOL.md: leases on
// its own clock, fences, run numbers, ends in order, and a heartbeat to one control
// process after the other.
type minion struct {
	rec     *record
	id      string
	host    string
	port    int
	zone    string
	backend string
	labels  []string
	cpu     int64
	// answerTime is how long an order takes to reach the minion, to be read and to be
	// answered.
	answerTime time.Duration
	// startTime is how long after its start a minion sends its first heartbeat.
	startTime time.Duration
	// work is how long a task takes, unless its spec tells another time.
	work     time.Duration
	controls []string

	mu    sync.Mutex
	life  *life
	lives int
	// latency is how long the minion takes to answer an order.
	latency  time.Duration
	listener net.Listener
	server   *http.Server
	starts   []startSeen
}

// firstUptime is how long the minions have been up when a case begins.
const firstUptime = 10 * time.Minute

// startSeen is a start that a minion has carried out.
type startSeen struct {
	at     time.Time
	minion string
	task   string
	run    int64
	spec   string
	fence  uint64
}

// life is one incarnation of a minion.
type life struct {
	born     int64
	begun    time.Time
	seq      int64
	fence    uint64
	deadline int64
	running  map[string]*runSeen
	highest  map[string]int64
	ended    []endSeen
	lastEnd  int64
	state    string
	stop     chan struct{}
	changed  chan struct{}
	// refused counts the orders with a fence that is too low.
	refused int
}

type runSeen struct {
	task  string
	run   int64
	begun time.Time
	timer *time.Timer
}

type endSeen struct {
	number int64
	task   string
	run    int64
	how    string
}

func newMinion(rec *record, id, host string, port int, zone, kind, rack string, controls []string) *minion {
	return &minion{rec: rec, id: id, host: host, port: port, zone: zone, backend: backend, labels: []string{kind, rack}, cpu: 16000, work: 500 * time.Millisecond, controls: controls}
}

func (m *minion) addr() string { return fmt.Sprintf("%s:%d", m.host, m.port) }

// start begins a new life of the minion.
func (m *minion) start() error {
	l, err := net.Listen("tcp", m.addr())
	if err != nil {
		return err
	}
	if m.port == 0 {
		m.port = l.Addr().(*net.TCPAddr).Port
	}
	now := time.Now()
	m.mu.Lock()
	begun := now
	if m.lives == 0 {
		begun = now.Add(-firstUptime)
	}
	m.lives++
	m.life = &life{
		born: begun.UnixMilli(), begun: begun, running: map[string]*runSeen{}, highest: map[string]int64{},
		state: "ready", stop: make(chan struct{}), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.runStart)
	mux.HandleFunc("POST /run-stop", m.runStop)
	mux.HandleFunc("POST /hold", m.hold)
	m.listener, m.server = l, &http.Server{Handler: mux}
	server, lf := m.server, m.life
	m.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go m.beats(lf)
	go m.leases(lf)
	return nil
}

// end ends the present life at once.
func (m *minion) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil {
		return
	}
	close(m.life.stop)
	for _, r := range m.life.running {
		r.timer.Stop()
	}
	m.life = nil
	m.server.Close()
}

// beats sends a heartbeat every 1.5 s, to another control process after a failure.
func (m *minion) beats(lf *life) {
	next := 0
	select {
	case <-lf.stop:
		return
	case <-time.After(m.startTime):
	}
	for {
		for range m.controls {
			if m.beat(lf, m.controls[next%len(m.controls)]) {
				break
			}
			next++
		}
		select {
		case <-lf.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (m *minion) beat(lf *life, control string) bool {
	m.mu.Lock()
	if m.life != lf {
		m.mu.Unlock()
		return true
	}
	lf.seq++
	body, _ := json.Marshal(map[string]any{
		"backend": m.backend, "addr": m.addr(), "zone": m.zone, "version": "v1", "slots": 8, "state": lf.state, "cold-left-ms": 0,
		"capacity": map[string]int64{"cpu": m.cpu, "mem-mb": 32768, "gpu": 0}, "labels": m.labels, "clock-ms": m.clock(lf), "seq": lf.seq, "born": lf.born,
	})
	state := lf.state
	m.mu.Unlock()
	a := call("PUT", control, "/instances/"+m.id, nil, body, time.Second)
	m.rec.add("%s (born %d): heartbeat, %s, to %s: %v", m.id, lf.born, state, control, a)
	return a.status/100 == 2
}

// clock returns the reading of the minion's steady clock, in milliseconds. It starts anew
// with each life.
func (m *minion) clock(lf *life) int64 { return time.Since(lf.begun).Milliseconds() }

// leases ends everything that runs when the lease has run out.
func (m *minion) leases(lf *life) {
	for {
		select {
		case <-lf.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		m.mu.Lock()
		if m.clock(lf) > lf.deadline {
			for _, r := range lf.running {
				m.finish(lf, r, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// finish ends a run. The lock is held.
func (m *minion) finish(lf *life, r *runSeen, how string) {
	if lf.running[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(lf.running, r.task)
	lf.lastEnd++
	lf.ended = append(lf.ended, endSeen{lf.lastEnd, r.task, r.run, how})
	close(lf.changed)
	lf.changed = make(chan struct{})
	m.rec.add("%s: run %d of %s has ended: %s", m.id, r.run, r.task, how)
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline-ms"`
	Fence      uint64 `json:"fence"`
	LastSeen   int64  `json:"last-seen"`
	WaitMS     int64  `json:"wait-ms"`
}

// read decodes an order. It answers those that are meant for another minion or can't be
// read, and returns nil.
func (m *minion) read(w http.ResponseWriter, r *http.Request) (*orderBody, *life) {
	data, err := io.ReadAll(r.Body)
	var b orderBody
	if err != nil || json.Unmarshal(data, &b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil, nil
	}
	time.Sleep(m.answerTime)
	m.mu.Lock()
	lf := m.life
	m.mu.Unlock()
	if want := r.Header.Get("Expect-Instance"); lf == nil || (want != "" && want != m.id) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return nil, nil
	}
	return &b, lf
}

func (m *minion) reply(w http.ResponseWriter, lf *life, status int, reason string) {
	out := map[string]any{"clock-ms": m.clock(lf), "born": lf.born}
	if reason != "" {
		out["reason"] = reason
	}
	data, _ := json.Marshal(out)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// grant extends the lease. The lock is held.
func (m *minion) grant(lf *life, deadline int64) {
	lf.deadline = max(lf.deadline, min(deadline, m.clock(lf)+6000))
}

func (m *minion) runStart(w http.ResponseWriter, r *http.Request) {
	b, lf := m.read(w, r)
	if b == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	present := lf.running[b.Task]
	switch {
	case b.Fence < lf.fence:
		lf.refused++
		m.reply(w, lf, 409, "fence")
		return
	case present != nil && present.run == b.Run:
		m.grant(lf, b.DeadlineMS)
		m.reply(w, lf, 200, "")
		return
	case b.Run <= lf.highest[b.Task]:
		lf.fence = b.Fence
		m.grant(lf, b.DeadlineMS)
		m.reply(w, lf, 409, "old")
		return
	case b.DeadlineMS <= m.clock(lf):
		lf.fence = b.Fence
		m.reply(w, lf, 409, "late")
		return
	}
	lf.fence, lf.highest[b.Task] = b.Fence, b.Run
	m.grant(lf, b.DeadlineMS)
	run := &runSeen{task: b.Task, run: b.Run, begun: time.Now()}
	work := m.work
	if words := strings.Fields(b.Spec); len(words) > 1 && words[0] == "work" {
		if d, err := time.ParseDuration(words[1]); err == nil {
			work = d
		}
	}
	run.timer = time.AfterFunc(work, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.finish(lf, run, "done")
	})
	lf.running[b.Task] = run
	m.starts = append(m.starts, startSeen{time.Now(), m.id, b.Task, b.Run, b.Spec, b.Fence})
	m.rec.add("%s: run %d of %s begins, fence %d, spec %.20q", m.id, b.Run, b.Task, b.Fence, b.Spec)
	m.reply(w, lf, 200, "")
}

func (m *minion) runStop(w http.ResponseWriter, r *http.Request) {
	b, lf := m.read(w, r)
	if b == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.Fence < lf.fence {
		lf.refused++
		m.reply(w, lf, 409, "fence")
		return
	}
	lf.fence, lf.highest[b.Task] = b.Fence, max(lf.highest[b.Task], b.Run)
	if run := lf.running[b.Task]; run != nil && run.run <= b.Run {
		m.finish(lf, run, "stopped")
	}
	m.reply(w, lf, 200, "")
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	b, lf := m.read(w, r)
	if b == nil {
		return
	}
	m.mu.Lock()
	if b.Fence < lf.fence {
		lf.refused++
		m.reply(w, lf, 409, "fence")
		m.mu.Unlock()
		return
	}
	lf.fence = b.Fence
	if b.DeadlineMS > 0 {
		m.grant(lf, b.DeadlineMS)
	}
	for len(lf.ended) > 0 && lf.ended[0].number <= b.LastSeen {
		lf.ended = lf.ended[1:]
	}
	changed := lf.changed
	wait := len(lf.ended) == 0 && b.WaitMS > 0
	m.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-lf.stop:
			return
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(b.WaitMS) * time.Millisecond):
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, run := range lf.running {
		running = append(running, []any{run.task, run.run, "", min(99, 1+int(time.Since(run.begun).Milliseconds()/10)), 0})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range lf.ended[:min(500, len(lf.ended))] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	data, _ := json.Marshal(map[string]any{"clock-ms": m.clock(lf), "born": lf.born, "running": running, "finished": finished})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// startsOf returns the starts of the tasks of a job that the minion has carried out.
func (m *minion) startsOf(job string) []startSeen {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []startSeen
	for _, s := range m.starts {
		if strings.HasPrefix(s.task, job+".") {
			out = append(out, s)
		}
	}
	return out
}

// refusedFences returns how many orders the present life has refused for their fence.
func (m *minion) refusedFences() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil {
		return 0
	}
	return m.life.refused
}
