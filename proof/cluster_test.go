//go:build proof

// Package proof runs the binaries as built, brings about the failures that the
// promises are meant for, and checks the recorded histories.
package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
)

const (
	dataCentres = 3
	vmsPerDC    = 3
	// workersPerDC workers have workerSize each.
	workersPerDC = 4
)

var workerSize = model.Resources{MilliCPU: 16_000, MemoryMB: 32_768}

// process is one started binary.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
}

// cluster is a whole system on loopback addresses 127.base.x.y.
type cluster struct {
	t     *testing.T
	base  int
	dir   string
	bin   string
	relay *relay

	mu    sync.Mutex
	procs map[string]*process
}

func newCluster(t *testing.T, base int) *cluster {
	bin, err := filepath.Abs("../bin")
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, base: base, dir: t.TempDir(), bin: bin, relay: newRelay(t), procs: map[string]*process{}}
	for _, sub := range []string{"log", "events", "runs", "vm"} {
		if err := os.MkdirAll(filepath.Join(c.dir, sub), 0o755); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(c.killAll)
	return c
}

func (c *cluster) ip(dc, vm int) string      { return fmt.Sprintf("127.%d.0.%d%d", c.base, dc, vm) }
func (c *cluster) relayIP(dc, vm int) string { return fmt.Sprintf("127.%d.1.%d%d", c.base, dc, vm) }
func (c *cluster) entry(dc, vm int) string   { return c.ip(dc, vm) + ":7100" }

// eachVM calls fn for every entry VM.
func eachVM(fn func(dc, vm int)) {
	for dc := 1; dc <= dataCentres; dc++ {
		for vm := 1; vm <= vmsPerDC; vm++ {
			fn(dc, vm)
		}
	}
}

func (c *cluster) entries() []string {
	var out []string
	eachVM(func(dc, vm int) { out = append(out, c.entry(dc, vm)) })
	return out
}

// up starts everything, founds the groups and applies the declarations.
func (c *cluster) up() {
	var join []string
	eachVM(func(dc, vm int) {
		c.relay.carry(c.t, c.relayIP(dc, vm)+":7201", c.ip(dc, vm)+":7201")
		if vm == 1 {
			join = append(join, c.relayIP(dc, vm)+":7201")
		}
	})
	eachVM(func(dc, vm int) {
		ip := c.ip(dc, vm)
		c.start(controlName(dc, vm), "kqcontrol", "--vm", vmName(dc, vm), "--dc", dcName(dc), "--region", "proof",
			"--wire", ip+":7201", "--advertise", c.relayIP(dc, vm)+":7201", "--http", ip+":7200", "--entry", ip+":7100",
			"--join", strings.Join(join, ","), "--data", c.dataDir(dc, vm), "--events", c.dir+"/events", "--stop-grace", "200ms")
		c.start(entryName(dc, vm), "kqentry", "--vm", vmName(dc, vm), "--dc", dcName(dc),
			"--listen", ip+":7100", "--control", ip+":7201", "--events", c.dir+"/events", "--grace", "200ms")
	})
	c.until(10*time.Second, "first process is up", func() bool { return c.ready("http://" + c.ip(1, 1) + ":7200" + api.PathLive) })
	c.must("--server", "http://"+c.ip(1, 1)+":7200", "init")
	for dc := 1; dc <= dataCentres; dc++ {
		c.startWorkers(dc)
		c.startBackend(dc, 1, "open")
		c.startBackend(dc, 2, "keyed")
	}
	c.until(30*time.Second, "every VM is ready", func() bool {
		ready := true
		eachVM(func(dc, vm int) { ready = ready && c.ready("http://"+c.ip(dc, vm)+":7200"+api.PathReady) })
		return ready
	})
	c.must("apply", "-f", "testdata", "--wait")
	c.until(20*time.Second, "groups have three voters each", c.allVoters)
}

// status is the part of PathStatus that the proofs read.
type status struct {
	Processes []struct {
		VM      string `json:"vm"`
		DC      string `json:"dc"`
		LeaseMS int64  `json:"settings_lease_ms"`
		Fleet   group  `json:"fleet_group"`
		Own     group  `json:"data_centre_group"`
		Running int    `json:"running"`
		Pending int    `json:"pending"`
		Workers int    `json:"workers"`
	} `json:"processes"`
	Silent []string `json:"silent"`
}

type group struct {
	Leader     string `json:"leader"`
	Leads      bool   `json:"leads"`
	Voters     int    `json:"voters"`
	Generation uint64 `json:"generation"`
}

// status asks the process of one VM.
func (c *cluster) status(dc, vm int) (status, bool) {
	var s status
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Get("http://" + c.ip(dc, vm) + ":7200" + api.PathStatus)
	if err != nil {
		return s, false
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

func (c *cluster) allVoters() bool {
	s, ok := c.status(1, 1)
	if !ok || len(s.Processes) != dataCentres*vmsPerDC {
		return false
	}
	for _, p := range s.Processes {
		if p.Fleet.Voters != 3 || p.Own.Voters != 3 || p.Own.Leader == "" || p.LeaseMS == 0 {
			return false
		}
	}
	return true
}

// leaderOf returns the VM number that leads a data centre, or the data centre
// and VM that lead the fleet for dc 0.
func (c *cluster) leaderOf(dc int) (int, int) {
	for range 100 {
		ask := max(dc, 1)
		for vm := 1; vm <= vmsPerDC; vm++ {
			s, ok := c.status(ask, vm)
			if !ok {
				continue
			}
			for _, p := range s.Processes {
				if dc == 0 && p.Fleet.Leads || dc != 0 && p.DC == dcName(dc) && p.Own.Leads {
					var d, v int
					fmt.Sscanf(p.VM, "dc%d-%d", &d, &v)
					return d, v
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("no leader found for %d", dc)
	return 0, 0
}

func dcName(dc int) string          { return fmt.Sprintf("dc%d", dc) }
func vmName(dc, vm int) string      { return fmt.Sprintf("dc%d-%d", dc, vm) }
func controlName(dc, vm int) string { return vmName(dc, vm) + ".kqcontrol" }
func entryName(dc, vm int) string   { return vmName(dc, vm) + ".kqentry" }

func (c *cluster) dataDir(dc, vm int) string { return filepath.Join(c.dir, "vm", vmName(dc, vm)) }

func (c *cluster) startWorkers(dc int) {
	args := []string{
		"worker", "--dc", dcName(dc), "--name", fmt.Sprintf("w%d-", dc), "--count", fmt.Sprint(workersPerDC),
		"--events", c.dir + "/events",
	}
	for vm := 1; vm <= vmsPerDC; vm++ {
		args = append(args, "--control", "http://"+c.entry(dc, vm))
	}
	c.start(dcName(dc)+".workers", "kqfake", args...)
}

func (c *cluster) startBackend(dc, n int, queue string) {
	name := fmt.Sprintf("%s-%d-%d", queue, dc, n)
	args := []string{
		"backend", "--server", name, "--dc", dcName(dc), "--queue", queue,
		"--listen", fmt.Sprintf("127.%d.2.%d%d:8000", c.base, dc, n), "--delay", "100ms", "--drain", "100ms",
		"--runs", filepath.Join(c.dir, "runs", name),
	}
	for vm := 1; vm <= vmsPerDC; vm++ {
		args = append(args, "--entry", c.entry(dc, vm))
	}
	c.start("backend."+name, "kqfake", args...)
}

// start runs a binary in the background.
func (c *cluster) start(name, binary string, args ...string) {
	out, err := os.OpenFile(filepath.Join(c.dir, "log", name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(c.bin, binary), args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	p := &process{name, append([]string{binary}, args...), cmd, make(chan struct{})}
	go func() {
		cmd.Wait()
		out.Close()
		close(p.done)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.procs[name] = p
}

func (c *cluster) proc(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.procs[name]
	if p == nil {
		c.t.Fatalf("no process %q", name)
	}
	return p
}

func (c *cluster) signal(name string, s syscall.Signal) { c.proc(name).cmd.Process.Signal(s) }

func (c *cluster) kill(name string) {
	c.signal(name, syscall.SIGKILL)
	<-c.proc(name).done
}

func (c *cluster) pause(name string)  { c.signal(name, syscall.SIGSTOP) }
func (c *cluster) resume(name string) { c.signal(name, syscall.SIGCONT) }

// stop ends a process gracefully and reports its exit code.
func (c *cluster) stop(name string, within time.Duration) int {
	p := c.proc(name)
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(within):
		c.t.Errorf("%s did not stop within %s", name, within)
		c.kill(name)
		return -1
	}
}

// stopAll stops all processes with part in their names, at once.
func (c *cluster) stopAll(part string) {
	c.mu.Lock()
	var names []string
	for name := range c.procs {
		if strings.Contains(name, part) {
			names = append(names, name)
		}
	}
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() {
			if code := c.stop(name, 20*time.Second); code != 0 {
				c.t.Errorf("%s ended with code %d", name, code)
			}
		})
	}
	wg.Wait()
}

// again starts a process that has ended with the same arguments.
func (c *cluster) again(name string) {
	p := c.proc(name)
	c.start(name, p.args[0], p.args[1:]...)
}

// loseDisk removes the data folder of a VM whose kqcontrol has ended.
func (c *cluster) loseDisk(dc, vm int) {
	if err := os.RemoveAll(c.dataDir(dc, vm)); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.procs {
		p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
}

// isolate cuts a VM off from all others, or joins it up again.
func (c *cluster) isolate(dc, vm int, on bool) {
	eachVM(func(d, v int) {
		if d != dc || v != vm {
			c.relay.cut(c.ip(dc, vm), c.ip(d, v), on)
			c.relay.cut(c.ip(d, v), c.ip(dc, vm), on)
		}
	})
}

// cutOff separates a data centre from the others.
func (c *cluster) cutOff(dc int, on bool) {
	eachVM(func(d, v int) {
		if d == dc {
			return
		}
		for vm := 1; vm <= vmsPerDC; vm++ {
			c.relay.cut(c.ip(dc, vm), c.ip(d, v), on)
			c.relay.cut(c.ip(d, v), c.ip(dc, vm), on)
		}
	})
}

// kqctl runs the command line against all entry VMs.
func (c *cluster) kqctl(args ...string) (string, error) {
	var servers []string
	if len(args) > 1 && args[0] == "--server" {
		servers, args = []string{args[1]}, args[2:]
	} else {
		eachVM(func(dc, vm int) { servers = append(servers, "http://"+c.ip(dc, vm)+":7200") })
	}
	cmd := exec.Command(filepath.Join(c.bin, "kqctl"), args...)
	cmd.Env = append(os.Environ(), "KQ_SERVER="+strings.Join(servers, ","), "KQ_TIMEOUT=20s")
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func (c *cluster) must(args ...string) string {
	out, err := c.kqctl(args...)
	if err != nil {
		c.t.Fatalf("kqctl %s: %v\n%s", strings.Join(args, " "), err, out)
	}
	return out
}

// grantKey returns the text of a new key.
func (c *cluster) grantKey(workspace string) string { return c.grant(workspace, "--wait") }

// grantKeyNow doesn't wait until the key is in force.
func (c *cluster) grantKeyNow(workspace string) string { return c.grant(workspace) }

func (c *cluster) grant(workspace string, flags ...string) string {
	out := c.must(append([]string{"key", "grant", workspace}, flags...)...)
	at := strings.Index(out, "kq_")
	if at < 0 {
		c.t.Fatalf("no key in %q", out)
	}
	return strings.Fields(out[at:])[0]
}

func keyID(text string) string { return strings.Split(text, "_")[1] }

func (c *cluster) ready(url string) bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get(url)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// until waits for a condition or fails.
func (c *cluster) until(limit time.Duration, what string, ok func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if ok() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	out, _ := c.kqctl("status")
	c.t.Fatalf("not within %s: %s\n%s", limit, what, out)
}

// submit sends a job to one entry VM after the other until one takes it.
func (c *cluster) submit(key string, spec *model.JobSpec, patience time.Duration) bool {
	body, err := json.Marshal(spec)
	if err != nil {
		c.t.Fatal(err)
	}
	entries := c.entries()
	deadline := time.Now().Add(patience)
	for i := 0; time.Now().Before(deadline); i++ {
		req, _ := http.NewRequest(http.MethodPost, "http://"+entries[i%len(entries)]+api.PathJobs, bytes.NewReader(body))
		req.Header.Set(api.HeaderKey, key)
		resp, err := (&http.Client{Timeout: 4 * time.Second}).Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
