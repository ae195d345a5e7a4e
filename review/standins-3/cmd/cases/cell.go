// Command cases starts the project's programs with the commands of the deploy file, and
// stand-ins for minions, clients, the operator and the platform, plays one case and checks
// one rule. It exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stop ends all processes that the case has started and exits.
type couldNotRun struct{ reason string }

func need(ok bool, format string, args ...any) {
	if !ok {
		panic(couldNotRun{fmt.Sprintf(format, args...)})
	}
}

// process is one of the project's programs, or a stand-in.
type process struct {
	name string
	argv []string
	env  []string
	log  string
	cmd  *exec.Cmd
	out  io.Writer
}

// runEvent is a line of a minion's log.
type runEvent struct {
	T      int64  `json:"t"`
	Ev     string `json:"ev"`
	Minion string `json:"minion"`
	Task   string `json:"task"`
	Run    int64  `json:"run"`
	How    string `json:"how"`
	Fence  uint64 `json:"fence"`
}

type cell struct {
	root, dir string
	net       int
	controls  []*process
	entries   []*process
	all       []*process
	zones     []string
	http      *http.Client
	bounds    map[string]string
	maxHold   int
	heartbeat int
	minionSeq int

	mu     sync.Mutex
	record *os.File
	events []runEvent
	begin  time.Time
}

func newCell() *cell {
	root, err := os.Getwd()
	need(err == nil, "no working folder: %v", err)
	dir, err := os.MkdirTemp("", "kq-case-")
	need(err == nil, "no temporary folder: %v", err)
	c := &cell{
		root: root, dir: dir, net: 20 + rand.IntN(200), zones: []string{"zone-a", "zone-b", "zone-c"}, begin: time.Now(),
		http: &http.Client{Timeout: 4 * time.Second}, maxHold: 10000, heartbeat: 1500,
	}
	c.record, err = os.Create(os.Getenv("RECORD"))
	need(err == nil, "no record: %v", err)
	return c
}

// note writes a line of the record.
func (c *cell) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f  %s\n", time.Since(c.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (c *cell) controlIP(i int) string { return fmt.Sprintf("127.%d.1.%d", c.net, i+1) }
func (c *cell) entryIP(i int) string   { return fmt.Sprintf("127.%d.2.%d", c.net, i+1) }
func (c *cell) minionIP(i int) string  { return fmt.Sprintf("127.%d.3.%d", c.net, i+1) }

func (c *cell) controlAddrs() []string {
	var out []string
	for i := range 3 {
		out = append(out, c.controlIP(i)+":8180")
	}
	return out
}

// settings writes a settings file as DEPLOY.md shows it, with the values of a site of three
// control machines.
func (c *cell) settings(name, class, zone, ip string, bootstrap bool, listen ...string) string {
	lines := []string{
		"node=" + name, "role=" + class, "class=" + class, "serves=" + class, "ip=" + ip, "zone=" + zone, "region=here",
		"port-range=7420,7435", "seeds=" + strings.Join(c.controlAddrs(), ","), fmt.Sprintf("bootstrap=%v", bootstrap),
		"limits.cpu-share=0.8", "limits.cores=1", "limits.memory-mb=284", "limits.max-fds=4100", "discovery=registry", "entry=vip",
		fmt.Sprintf("heartbeat-ms=%d", c.heartbeat), "tolerate.machines=1", "tolerate.zones=1", "tolerate.regions=0",
		"bounds.contact-ms=3000", "bounds.ack-ms=4000", "bounds.catchup-s=4", "bounds.drain-ms=2000", "bounds.grace-s=6",
		"bounds.config-ms=2000", "bounds.evacuate-ms=5000", "bounds.recovery-s=12", fmt.Sprintf("bounds.max-hold-ms=%d", c.maxHold),
		"bounds.stop-timeout-ms=400", "bounds.gang-timeout-ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.restore-ms=600", "config_mode=highest", "orders=rpc",
	}
	for _, z := range c.zones {
		lines = append(lines, "zones."+z+"=here")
	}
	lines = append(lines, listen...)
	path := filepath.Join(c.dir, name+".conf")
	need(os.WriteFile(path+".new", []byte(strings.Join(lines, "\n")+"\n"), 0o600) == nil, "settings")
	need(os.Rename(path+".new", path) == nil, "settings")
	return path
}

func (c *cell) controlSettings(i int, bootstrap bool) string {
	name, ip := fmt.Sprintf("core-%d", i+1), c.controlIP(i)
	data := filepath.Join(c.dir, name+"-data")
	need(os.MkdirAll(data, 0o700) == nil, "data folder")
	return c.settings(name, "core", c.zones[i], ip, bootstrap, "listen.control="+ip+":8180", "data-dir="+data, "counts-as-loss=true", "limits.disk-mb=128")
}

// start starts three control processes and two entry processes with the commands of the
// deploy file, and waits until they answer.
func (c *cell) start() {
	for i := range 3 {
		conf := c.controlSettings(i, true)
		p := &process{name: fmt.Sprintf("core-%d", i+1), argv: []string{"target/kqcontrol", "--platform"}, env: []string{"KUMQUATWING_BOOT=" + conf}}
		c.controls = append(c.controls, p)
		c.launch(p)
	}
	for i := range 2 {
		name, ip := fmt.Sprintf("edge-%d", i+1), c.entryIP(i)
		conf := c.settings(name, "edge", c.zones[i], ip, true, "listen.front="+ip+":8183", "listen.ready="+ip+":8184", "counts-as-loss=false")
		p := &process{name: name, argv: []string{"target/kqentry", "--platform"}, env: []string{"KUMQUATWING_BOOT=" + conf}}
		c.entries = append(c.entries, p)
		c.launch(p)
	}
}

// launch starts a process. Its output goes to a file in the temporary folder, or to p.out.
func (c *cell) launch(p *process) {
	cmd := exec.Command(filepath.Join(c.root, p.argv[0]), p.argv[1:]...)
	cmd.Dir = c.root
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}, p.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.log = filepath.Join(c.dir, p.name+".log")
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	need(err == nil, "log: %v", err)
	cmd.Stdout, cmd.Stderr = f, f
	if p.out != nil {
		cmd.Stdout = p.out
	}
	err = cmd.Start()
	f.Close()
	need(err == nil, "%s does not start: %v", p.name, err)
	p.cmd = cmd
	known := false
	for _, q := range c.all {
		known = known || q == p
	}
	if !known {
		c.all = append(c.all, p)
	}
}

// kill ends a process with SIGKILL and waits for its end.
func (c *cell) kill(p *process) {
	if p.cmd == nil {
		return
	}
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.cmd.Process.Kill()
	p.cmd.Wait()
	p.cmd = nil
}

func (c *cell) close() {
	for i := len(c.all) - 1; i >= 0; i-- {
		c.kill(c.all[i])
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
	c.record.Close()
}

// minions starts a process with n minions, and reads its log.
func (c *cell) minions(n int, zones ...string) *process {
	if len(zones) == 0 {
		zones = c.zones
	}
	host := c.minionIP(c.minionSeq % 200)
	p := &process{name: fmt.Sprintf("minions-%d", c.minionSeq), argv: []string{
		"review/standins-3/bin/minions", "-ip", host, "-first", fmt.Sprint(c.minionSeq), "-n", fmt.Sprint(n),
		"-controls", strings.Join(c.controlAddrs(), ","), "-zones", strings.Join(zones, ","), "-max-hold", fmt.Sprint(c.maxHold), "-beat", fmt.Sprint(c.heartbeat),
	}}
	c.minionSeq += n
	c.readLog(p)
	c.launch(p)
	return p
}

// readLog reads the log of a process with minions that is about to be started.
func (c *cell) readLog(p *process) {
	r, w := io.Pipe()
	p.out = w
	go func() {
		s := bufio.NewScanner(r)
		for s.Scan() {
			var e runEvent
			if json.Unmarshal(s.Bytes(), &e) == nil {
				c.mu.Lock()
				c.events = append(c.events, e)
				c.mu.Unlock()
			}
		}
	}()
}

// runs returns the events of the tasks of a job so far.
func (c *cell) runs(job string) []runEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []runEvent
	for _, e := range c.events {
		if strings.HasPrefix(e.Task, job+".") {
			out = append(out, e)
		}
	}
	return out
}

func (c *cell) at(t int64) float64 { return float64(t-c.begin.UnixMilli()) / 1000 }

// call makes one HTTP call and returns the status, 0 for none.
func (c *cell) call(method, url, host, key string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	need(err == nil, "request: %v", err)
	if host != "" {
		req.Host = host
	}
	if key != "" {
		req.Header.Set("Credential", key)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	got, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, got
}

// configure sends a configuration until it is acknowledged.
func (c *cell) configure(cfg map[string]any) {
	for i := range 100 {
		status, _ := c.call("PUT", "http://"+c.controlAddrs()[i%3]+"/config", "", "", cfg)
		if status == 200 {
			c.note("operator: configuration %v acknowledged", cfg["version"])
			return
		}
		need(status/100 != 4, "configuration refused: %d", status)
		time.Sleep(100 * time.Millisecond)
	}
	need(false, "configuration not acknowledged")
}

const host = "front.example"

// client calls an entry process for a job and tries others after 5xx or no answer.
func (c *cell) client(method, prefix, id, key string, body any) (int, string) {
	var status int
	var got []byte
	for i := range 20 {
		status, got = c.call(method, "http://"+c.entryIP(i%2)+":8183"+prefix+id, host, key, body)
		if status != 0 && status/100 != 5 && status != 429 {
			break
		}
		time.Sleep(150 * time.Millisecond)
	}
	c.note("client: %s %s%s -> %d %s", method, prefix, id, status, strings.TrimSpace(string(got)))
	return status, string(got)
}

func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// waitFor waits until ok, for limit at most.
func (c *cell) waitFor(limit time.Duration, what string, ok func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	need(false, "not in time: %s", what)
}

// running returns how many runs of a job's tasks are running, by the minions' own account.
func (c *cell) running(job string) int {
	on := map[string]bool{}
	for _, e := range c.runs(job) {
		k := e.Minion + " " + e.Task + " " + fmt.Sprint(e.Run)
		switch e.Ev {
		case "start":
			on[k] = true
		case "end":
			delete(on, k)
		}
	}
	return len(on)
}

// listening reports whether something accepts connections at an address.
func listening(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// writeRuns adds the events of a job to the record.
func (c *cell) writeRuns(job, what string) {
	for _, e := range c.runs(job) {
		if e.Ev == "seen" {
			continue
		}
		c.mu.Lock()
		fmt.Fprintf(c.record, "%8.3f  minion %s: %s of %s, task %s run %d %s\n", c.at(e.T), e.Minion, e.Ev, what, e.Task, e.Run, e.How)
		c.mu.Unlock()
	}
}

// minionAt starts one minion with a given number, port, zone, label and share of late orders.
func (c *cell) minionAt(i, port int, zone, label string, late int) *process {
	p := &process{name: fmt.Sprintf("minion-%d", i), argv: []string{
		"review/standins-3/bin/minions", "-ip", c.minionIP(i), "-first", fmt.Sprint(i), "-n", "1", "-port", fmt.Sprint(port), "-kinds", label,
		"-late", fmt.Sprint(late), "-controls", strings.Join(c.controlAddrs(), ","), "-zones", zone, "-max-hold", fmt.Sprint(c.maxHold), "-beat", fmt.Sprint(c.heartbeat),
	}}
	c.readLog(p)
	c.launch(p)
	return p
}

func sortEvents(es []runEvent) {
	slices.SortStableFunc(es, func(a, b runEvent) int { return cmp.Compare(a.T, b.T) })
}
