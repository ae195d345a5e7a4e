package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine's services. Every machine has a loopback address of its own, so all
// use the same ports, as on the platform.
type ports struct{ control, front, ready, wire int }

// cluster is the system under test: its programs as separate processes, started with the
// commands of the deploy file.
type cluster struct {
	rec    *record
	root   string
	temp   string
	prefix string
	ports  ports
	zones  []string
	// cores is how many cores the runtime of the programs takes the machine to have, 0 for
	// those that it has. On the platform each machine has one.
	cores int

	controls []*process
	entries  []*process
}

// process is one of the system's programs on a machine of its own.
type process struct {
	cluster  *cluster
	name     string
	program  string
	ip       string
	zone     string
	settings string
	listen   []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// newCluster prepares a cluster of three control processes and the given number of entry
// processes. Its addresses are loopback addresses that nothing else uses.
func newCluster(rec *record, root string, entries, cores int) (*cluster, error) {
	temp, err := os.MkdirTemp("", "kq-review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, root: root, temp: temp, cores: cores, zones: []string{"zone-a", "zone-b", "zone-c"}}
	if err := c.choosePorts(); err != nil {
		return nil, err
	}
	for i := range 3 {
		c.controls = append(c.controls, c.newProcess("control", "target/kqcontrol", i, 10+i))
	}
	for i := range entries {
		c.entries = append(c.entries, c.newProcess("entry", "target/kqentry", i, 30+i))
	}
	return c, nil
}

// choosePorts chooses a loopback network and ports that are free on all its addresses.
func (c *cluster) choosePorts() error {
	for range 50 {
		c.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		base := 20000 + rand.IntN(10000)
		c.ports = ports{base, base + 1, base + 2, base + 10}
		if c.portsFree() {
			return nil
		}
	}
	return notRun("no free ports")
}

func (c *cluster) portsFree() bool {
	for _, host := range []int{10, 11, 12, 30, 31} {
		for _, port := range []int{c.ports.control, c.ports.front, c.ports.ready, c.ports.wire, c.ports.wire + 1, 9464, 9465} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", c.prefix, host, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (c *cluster) newProcess(role, program string, index, host int) *process {
	p := &process{
		cluster: c, name: fmt.Sprintf("%s-%d", role, index+1), program: program,
		ip: fmt.Sprintf("%s%d", c.prefix, host), zone: c.zones[index%len(c.zones)],
	}
	p.settings = filepath.Join(c.temp, p.name+".conf")
	if role == "control" {
		p.listen = []string{fmt.Sprintf("listen.control=%s:%d", p.ip, c.ports.control), "data-dir=" + filepath.Join(c.temp, p.name+"-data"), "serves=control", "class=core", "counts-as-loss=true", "limits.cpu-share=0.8", "limits.memory-mb=280", "limits.max-fds=4096", "limits.disk-mb=128"}
	} else {
		p.listen = []string{fmt.Sprintf("listen.front=%s:%d", p.ip, c.ports.front), fmt.Sprintf("listen.ready=%s:%d", p.ip, c.ports.ready), "serves=edge", "class=edge", "counts-as-loss=false", "limits.cpu-share=0.4", "limits.memory-mb=284", "limits.max-fds=4100", "limits.disk-mb=0"}
	}
	return p
}

// writeSettings writes the settings file of a process, with the bounds of the site
// ppfg-kumquat.
func (p *process) writeSettings(bootstrap bool) error {
	c := p.cluster
	seeds := make([]string, len(c.controls))
	for i, s := range c.controls {
		seeds[i] = fmt.Sprintf("%s:%d", s.ip, c.ports.control)
	}
	lines := []string{
		"node=" + p.name, "role=my-role", "ip=" + p.ip, "zone=" + p.zone, "region=region-1",
		fmt.Sprintf("port-range=%d,%d", c.ports.wire, c.ports.wire+15), "seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("bootstrap=%t", bootstrap), "limits.cores=1", "discovery=registry", "entry=vip", "heartbeat-ms=1500",
		"tolerate.machines=1", "tolerate.zones=1", "tolerate.regions=0", "bounds.contact-ms=3000", "bounds.ack-ms=4000", "bounds.catchup-s=4",
		"bounds.drain-ms=2000", "bounds.grace-s=6", "bounds.config-ms=2000", "bounds.evacuate-ms=5000", "bounds.recovery-s=12",
		"bounds.max-hold-ms=6000", "bounds.stop-timeout-ms=400", "bounds.gang-timeout-ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.checkpoint-s=1", "bounds.restore-ms=100", "config_mode=highest", "orders=rpc",
	}
	for _, z := range c.zones {
		lines = append(lines, "zones."+z+"=region-1")
	}
	lines = append(lines, p.listen...)
	return os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// start starts the process.
func (p *process) start(bootstrap bool) error {
	if err := p.writeSettings(bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.cluster.temp, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(p.cluster.root, p.program), "--platform")
	cmd.Dir = p.cluster.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.cluster.temp, "KUMQUATWING_BOOT=" + p.settings}
	if p.cluster.cores > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprintf("GOMAXPROCS=%d", p.cluster.cores))
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return notRun("%s could not be started: %v", p.name, err)
	}
	keep(cmd.Process)
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// freeze stops the process, and thaw lets it go on.
func (p *process) freeze() { p.cluster.rec.add("%s is frozen", p.name); p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.cluster.rec.add("%s goes on", p.name); p.signal(syscall.SIGCONT) }

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// startAll starts all processes for the first time.
func (c *cluster) startAll() error {
	for _, p := range append(append([]*process{}, c.controls...), c.entries...) {
		if err := p.start(true); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	for _, p := range append(append([]*process{}, c.controls...), c.entries...) {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.temp)
	} else {
		fmt.Println("kept", c.temp)
	}
}

func (p *process) controlAddr() string { return fmt.Sprintf("%s:%d", p.ip, p.cluster.ports.control) }
func (p *process) frontAddr() string   { return fmt.Sprintf("%s:%d", p.ip, p.cluster.ports.front) }
func (p *process) readyAddr() string   { return fmt.Sprintf("%s:%d", p.ip, p.cluster.ports.ready) }

// log returns what the process has logged so far.
func (p *process) log() string {
	data, _ := os.ReadFile(filepath.Join(p.cluster.temp, p.name+".log"))
	return string(data)
}

// leader returns the control process whose scheduler started leading last, by its log,
// which is written with a delay.
func (c *cluster) leader() *process {
	var best *process
	waitFor(5*time.Second, func() bool {
		best = c.leaderInLogs()
		return best != nil
	})
	return best
}

func (c *cluster) leaderInLogs() *process {
	var best *process
	term := ""
	for _, p := range c.controls {
		for _, line := range strings.Split(p.log(), "\n") {
			if strings.Contains(line, "scheduler started leading") {
				if i := strings.Index(line, `"term":`); i >= 0 {
					t := fmt.Sprintf("%012s", strings.TrimRight(strings.TrimSpace(line[i+7:]), "}"))
					if t > term {
						best, term = p, t
					}
				}
			}
		}
	}
	return best
}

// answer is the answer to an HTTP call: the status, 0 without one.
type answer struct {
	status int
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer (" + a.err.Error() + ")"
	}
	return fmt.Sprintf("%d %s", a.status, strings.TrimSpace(a.body))
}

// call makes one HTTP call on a connection of its own, which is closed after timeout.
func call(method, addr, path string, header map[string]string, body []byte, timeout time.Duration) answer {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://"+addr+path, reader)
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		if k == "Host" {
			req.Host = v
		} else {
			req.Header.Set(k, v)
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, body: string(data)}
}

// waitFor polls until ok, at most for limit.
func waitFor(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
