package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// maxHold and maxEnds are from the pages: the longest lease, and how many ends a
	// minion lists at a time.
	maxHold = 10 * time.Second
	maxEnds = 500
)

// minion is a minion as the pages describe it. It has one life at a time; a new life
// keeps the id and the address.
type minion struct {
	id      string
	zone    string
	backend string
	// addr is the address that the minion announces, and listen the one on which it
	// listens behind a proxy, "" if there is none.
	addr     string
	listen   string
	labels   []string
	cpu, mem int64
	controls []string
	rec      *record
	// duration returns how long a task takes; the text is the job's spec.
	duration func(spec string) time.Duration
	// cut is set while the minion is cut off from all machines of the system.
	cut *link

	mu   sync.Mutex
	life *life
	// incarnation counts the lives.
	incarnation int
}

// life is one life of a minion.
type life struct {
	m      *minion
	name   string
	born   int64
	began  time.Time
	server *http.Server
	cancel context.CancelFunc
	ctx    context.Context

	mu       sync.Mutex
	dead     bool
	draining bool
	// leaves is when the minion goes, while it drains.
	leaves  time.Time
	seq     int64
	fence   int64
	lease   int64
	running map[string]*activeRun
	// highest holds the highest run of each task that has ended or was stopped here.
	highest map[string]int64
	ends    []*listedEnd
	count   int64
	wake    chan struct{}
}

type activeRun struct {
	event    *runEvent
	began    time.Time
	duration time.Duration
}

// listedEnd is an end that the minion lists until last-seen reaches it.
type listedEnd struct {
	number int64
	task   string
	run    int64
	how    string
	done   *doneEvent
}

// start begins a new life at the minion's address.
func (m *minion) start() error {
	l, err := listen(cmp.Or(m.listen, m.addr))
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnation++
	ctx, cancel := context.WithCancel(context.Background())
	f := &life{
		m: m, name: fmt.Sprintf("%s/%d", m.id, m.incarnation), born: time.Now().UnixMilli(), began: time.Now(),
		ctx: ctx, cancel: cancel, running: map[string]*activeRun{}, highest: map[string]int64{}, wake: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", f.guard(f.handleStart))
	mux.HandleFunc("POST /run-stop", f.guard(f.handleStop))
	mux.HandleFunc("POST /hold", f.guard(f.handleHold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	f.server = &http.Server{Handler: mux}
	go f.server.Serve(l)
	go f.beat()
	m.life = f
	m.rec.log("minion %s is up, born %d", f.name, f.born)
	return nil
}

// listen opens the address, which the life before may have left just now.
func listen(addr string) (net.Listener, error) {
	var err error
	for range 100 {
		var l net.Listener
		if l, err = net.Listen("tcp", addr); err == nil {
			return l, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil, err
}

// crash ends the life at once: all that runs is gone, and connections break.
func (m *minion) crash() {
	m.mu.Lock()
	f := m.life
	m.life = nil
	m.mu.Unlock()
	if f == nil {
		return
	}
	f.mu.Lock()
	f.dead = true
	for t, a := range f.running {
		m.rec.ended(a.event, "gone with its minion")
		delete(f.running, t)
	}
	f.mu.Unlock()
	f.cancel()
	f.server.Close()
	m.rec.log("minion %s is gone", f.name)
}

// current returns the minion's present life, nil while it is down.
func (m *minion) current() *life {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life
}

// clock returns the minion's steady clock, which starts anew with each life.
func (f *life) clock() int64 { return time.Since(f.began).Milliseconds() + 1 }

// guard refuses calls that name another minion.
func (f *life) guard(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("Expect-Instance"); id != "" && id != f.m.id {
			f.reply(w, http.StatusMisdirectedRequest, nil)
			return
		}
		h(w, r)
	}
}

func (f *life) reply(w http.ResponseWriter, status int, extra map[string]any) {
	body := map[string]any{"clock-ms": f.clock()}
	for k, v := range extra {
		body[k] = v
	}
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

func (f *life) conflict(w http.ResponseWriter, reason string) {
	f.reply(w, http.StatusConflict, map[string]any{"reason": reason})
}

type startOrder struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    int64  `json:"fence"`
}

func (f *life) handleStart(w http.ResponseWriter, r *http.Request) {
	var o startOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		f.reply(w, http.StatusBadRequest, nil)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead {
		return
	}
	if o.Fence < f.fence {
		f.conflict(w, "fence")
		return
	}
	f.fence = o.Fence
	if o.Deadline <= f.clock() {
		f.conflict(w, "late")
		return
	}
	f.extend(o.Deadline)
	if a := f.running[o.Task]; a != nil && a.event.run == o.Run {
		f.reply(w, http.StatusOK, nil)
		return
	}
	if o.Run <= f.highest[o.Task] || f.running[o.Task] != nil {
		f.conflict(w, "old")
		return
	}
	a := &activeRun{event: &runEvent{task: o.Task, run: o.Run, life: f.name}, began: time.Now(), duration: f.m.duration(o.Spec)}
	f.running[o.Task] = a
	f.m.rec.started(a.event)
	time.AfterFunc(a.duration, func() { f.finish(a, "done") })
	f.reply(w, http.StatusOK, nil)
}

// finish ends a run that is still running. It lists the end.
func (f *life) finish(a *activeRun, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishLocked(a, how)
}

func (f *life) finishLocked(a *activeRun, how string) {
	t := a.event.task
	if f.dead || f.running[t] != a {
		return
	}
	delete(f.running, t)
	f.highest[t] = max(f.highest[t], a.event.run)
	f.count++
	f.ends = append(f.ends, &listedEnd{f.count, t, a.event.run, how, f.m.rec.ended(a.event, how)})
	close(f.wake)
	f.wake = make(chan struct{})
}

// extend sets the end of the lease, which never shortens.
func (f *life) extend(deadline int64) {
	deadline = min(deadline, f.clock()+maxHold.Milliseconds())
	if deadline <= f.lease {
		return
	}
	f.lease = deadline
	time.AfterFunc(time.Duration(deadline-f.clock())*time.Millisecond+time.Millisecond, f.lapse)
}

// lapse ends all that runs once the lease has expired.
func (f *life) lapse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead || f.clock() < f.lease {
		return
	}
	for _, e := range f.ends {
		f.m.rec.lapsed(e.done)
	}
	for _, a := range f.running {
		f.finishLocked(a, "lapsed")
	}
}

type stopOrder struct {
	Task  string `json:"task"`
	Run   int64  `json:"run"`
	Fence int64  `json:"fence"`
}

func (f *life) handleStop(w http.ResponseWriter, r *http.Request) {
	var o stopOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		f.reply(w, http.StatusBadRequest, nil)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead {
		return
	}
	if o.Fence < f.fence {
		f.conflict(w, "fence")
		return
	}
	f.fence = o.Fence
	f.highest[o.Task] = max(f.highest[o.Task], o.Run)
	if a := f.running[o.Task]; a != nil && a.event.run <= o.Run {
		f.finishLocked(a, "stopped")
	}
	f.reply(w, http.StatusOK, nil)
}

type holdOrder struct {
	Fence    int64 `json:"fence"`
	LastSeen int64 `json:"last-seen"`
	Deadline int64 `json:"deadline-ms"`
	Wait     int64 `json:"wait-ms"`
}

func (f *life) handleHold(w http.ResponseWriter, r *http.Request) {
	var o holdOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		f.reply(w, http.StatusBadRequest, nil)
		return
	}
	f.mu.Lock()
	if f.dead {
		f.mu.Unlock()
		return
	}
	if o.Fence < f.fence {
		f.mu.Unlock()
		f.conflict(w, "fence")
		return
	}
	f.fence = o.Fence
	if o.Deadline > 0 {
		f.extend(o.Deadline)
	}
	for len(f.ends) > 0 && f.ends[0].number <= o.LastSeen {
		f.m.rec.noted(f.ends[0].done)
		f.ends = f.ends[1:]
	}
	wake, empty := f.wake, len(f.ends) == 0
	f.mu.Unlock()
	if empty && o.Wait > 0 {
		select {
		case <-wake:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead {
		return
	}
	running, finished := []any{}, []any{}
	for t, a := range f.running {
		percent := min(99, int(100*time.Since(a.began)/a.duration))
		running = append(running, []any{t, a.event.run, "", percent, 0})
	}
	for _, e := range f.ends[:min(len(f.ends), maxEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	f.reply(w, http.StatusOK, map[string]any{"born": f.born, "running": running, "finished": finished})
}

// beat sends heartbeats, the first one at once.
func (f *life) beat() {
	next := int(f.born)
	for {
		f.report(&next)
		select {
		case <-time.After(heartbeatInterval):
		case <-f.ctx.Done():
			return
		}
	}
}

// report sends one heartbeat. Without a 2xx within a second the next node is called.
func (f *life) report(next *int) bool {
	for range 2 * len(f.m.controls) {
		if f.ctx.Err() != nil {
			return false
		}
		addr := f.m.controls[*next%len(f.m.controls)]
		if f.send(addr) {
			return true
		}
		*next++
	}
	return false
}

func (f *life) send(addr string) bool {
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	if f.m.cut.down.Load() {
		<-ctx.Done()
		return false
	}
	f.mu.Lock()
	f.seq++
	state := "ready"
	if f.draining {
		state = "draining"
	}
	body := map[string]any{
		"backend": f.m.backend, "addr": f.m.addr, "zone": f.m.zone, "version": "v1", "slots": 8, "state": state,
		"cold-left-ms": 0, "capacity": map[string]any{"cpu": f.m.cpu, "mem-mb": f.m.mem, "gpu": 0}, "labels": f.m.labels,
		"clock-ms": f.clock(), "seq": f.seq, "born": f.born,
	}
	if f.draining {
		body["remaining-ms"] = max(0, time.Until(f.leaves).Milliseconds())
	}
	f.mu.Unlock()
	data, _ := json.Marshal(body)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+addr+"/instances/"+f.m.id, bytes.NewReader(data))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := beatClient.Do(req)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	// What arrives while the minion is cut off is lost.
	return resp.StatusCode/100 == 2 && !f.m.cut.down.Load()
}

// beatClient sends heartbeats, each on a connection of its own.
var beatClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
