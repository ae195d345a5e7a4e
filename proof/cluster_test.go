//go:build proof

// Package proof runs the built binaries as a cluster, injects the faults that
// the system must tolerate, and checks the recorded histories against its
// guarantees.
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
	// workersPerDC is the number of workers in each data centre.
	workersPerDC = 4
)

// workerSize is the size of each worker, the default of kqfake worker.
var workerSize = model.Resources{MilliCPU: 16_000, MemoryMB: 32_768}

// process is a started binary. done is closed when it has ended.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
}

// cluster is a complete system on the loopback addresses 127.base.x.y.
type cluster struct {
	t     *testing.T
	base  int
	dir   string
	bin   string
	relay *relay

	// mu guards processes, by name.
	mu        sync.Mutex
	processes map[string]*process
}

func newCluster(t *testing.T, base int) *cluster {
	bin, err := filepath.Abs("../bin")
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, base: base, dir: t.TempDir(), bin: bin, relay: newRelay(t), processes: map[string]*process{}}
	for _, sub := range []string{"log", "events", "runs", "vm"} {
		if err := os.MkdirAll(filepath.Join(c.dir, sub), 0o755); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(c.killAll)
	return c
}

func (c *cluster) ip(dc, vm int) string { return fmt.Sprintf("127.%d.0.%d%d", c.base, dc, vm) }

func (c *cluster) relayIP(dc, vm int) string   { return fmt.Sprintf("127.%d.1.%d%d", c.base, dc, vm) }
func (c *cluster) entryAddr(dc, vm int) string { return c.ip(dc, vm) + ":7100" }

// eachVM calls fn for every entry VM.
func eachVM(fn func(dc, vm int)) {
	for dc := 1; dc <= dataCentres; dc++ {
		for vm := 1; vm <= vmsPerDC; vm++ {
			fn(dc, vm)
		}
	}
}

func (c *cluster) entryAddrs() []string {
	var addrs []string
	eachVM(func(dc, vm int) { addrs = append(addrs, c.entryAddr(dc, vm)) })
	return addrs
}

// bringUp starts all processes, bootstraps the groups and applies the
// declarations in testdata.
func (c *cluster) bringUp() {
	var joinAddrs []string
	eachVM(func(dc, vm int) {
		c.relay.forward(c.t, c.relayIP(dc, vm)+":7201", c.ip(dc, vm)+":7201")
		if vm == 1 {
			joinAddrs = append(joinAddrs, c.relayIP(dc, vm)+":7201")
		}
	})
	eachVM(func(dc, vm int) {
		ip := c.ip(dc, vm)
		c.start(controlName(dc, vm), "kqcontrol", "--vm", vmName(dc, vm), "--dc", dcName(dc), "--region", "proof",
			"--wire", ip+":7201", "--advertise", c.relayIP(dc, vm)+":7201", "--http", ip+":7200", "--entry", ip+":7100",
			"--join", strings.Join(joinAddrs, ","), "--data", c.dataDir(dc, vm), "--events", c.dir+"/events", "--stop-grace", "200ms")
		c.start(entryName(dc, vm), "kqentry", "--vm", vmName(dc, vm), "--dc", dcName(dc),
			"--listen", ip+":7100", "--control", ip+":7201", "--events", c.dir+"/events", "--grace", "200ms")
	})
	c.waitFor(10*time.Second, "first kqcontrol is live", func() bool { return c.respondsOK("http://" + c.ip(1, 1) + ":7200" + api.PathLive) })
	c.mustKqctl("--server", "http://"+c.ip(1, 1)+":7200", "init")
	for dc := 1; dc <= dataCentres; dc++ {
		c.startWorkers(dc)
		c.startBackend(dc, 1, "open")
		c.startBackend(dc, 2, "keyed")
	}
	c.waitFor(30*time.Second, "every VM is ready", func() bool {
		ready := true
		eachVM(func(dc, vm int) { ready = ready && c.respondsOK("http://"+c.ip(dc, vm)+":7200"+api.PathReady) })
		return ready
	})
	c.mustKqctl("apply", "-f", "testdata", "--wait")
	c.waitFor(20*time.Second, "every group has three voters", c.allGroupsComplete)
}

// status is the part of the response at api.PathStatus that the tests read.
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

// status returns the status response of one VM's kqcontrol and whether there was
// one.
func (c *cluster) status(dc, vm int) (status, bool) {
	var s status
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Get("http://" + c.ip(dc, vm) + ":7200" + api.PathStatus)
	if err != nil {
		return s, false
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

// allGroupsComplete reports whether every process of the cluster sees three voters
// in both of its groups, a leader of its data centre group and a settings lease.
func (c *cluster) allGroupsComplete() bool {
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

// leaderOf returns the numbers of the data centre and of the VM that lead the
// group of data centre dc, or the fleet group if dc is 0.
func (c *cluster) leaderOf(dc int) (int, int) {
	for range 100 {
		statusDC := max(dc, 1)
		for vm := 1; vm <= vmsPerDC; vm++ {
			s, ok := c.status(statusDC, vm)
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
	c.t.Fatalf("no leader found for data centre %d (0 is the fleet)", dc)
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
		args = append(args, "--control", "http://"+c.entryAddr(dc, vm))
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
		args = append(args, "--entry", c.entryAddr(dc, vm))
	}
	c.start("backend."+name, "kqfake", args...)
}

// start starts a binary in the background with its output in a log file.
func (c *cluster) start(name, binary string, args ...string) {
	logFile, err := os.OpenFile(filepath.Join(c.dir, "log", name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(c.bin, binary), args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	p := &process{name, append([]string{binary}, args...), cmd, make(chan struct{})}
	go func() {
		cmd.Wait()
		logFile.Close()
		close(p.done)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = p
}

func (c *cluster) proc(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processes[name]
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

// stop sends SIGTERM to a process and returns its exit code. A process that does
// not end within the timeout is killed, and the test fails.
func (c *cluster) stop(name string, timeout time.Duration) int {
	p := c.proc(name)
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		c.t.Errorf("%s did not stop within %s", name, timeout)
		c.kill(name)
		return -1
	}
}

// stopAll stops all processes whose name contains namePart, concurrently.
func (c *cluster) stopAll(namePart string) {
	c.mu.Lock()
	var names []string
	for name := range c.processes {
		if strings.Contains(name, namePart) {
			names = append(names, name)
		}
	}
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() {
			if code := c.stop(name, 20*time.Second); code != 0 {
				c.t.Errorf("%s exited with status %d", name, code)
			}
		})
	}
	wg.Wait()
}

// restart starts a process again that has ended, with the same arguments.
func (c *cluster) restart(name string) {
	p := c.proc(name)
	c.start(name, p.args[0], p.args[1:]...)
}

// removeDataDir removes the data folder of a VM whose kqcontrol has ended, as
// after the loss of its disk.
func (c *cluster) removeDataDir(dc, vm int) {
	if err := os.RemoveAll(c.dataDir(dc, vm)); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
}

// isolateVM cuts or restores the traffic between a VM and all others, in both
// directions.
func (c *cluster) isolateVM(dc, vm int, cut bool) {
	eachVM(func(d, v int) {
		if d != dc || v != vm {
			c.relay.setCut(c.ip(dc, vm), c.ip(d, v), cut)
			c.relay.setCut(c.ip(d, v), c.ip(dc, vm), cut)
		}
	})
}

// isolateDC cuts or restores the traffic between a data centre and the others, in
// both directions.
func (c *cluster) isolateDC(dc int, cut bool) {
	eachVM(func(d, v int) {
		if d == dc {
			return
		}
		for vm := 1; vm <= vmsPerDC; vm++ {
			c.relay.setCut(c.ip(dc, vm), c.ip(d, v), cut)
			c.relay.setCut(c.ip(d, v), c.ip(dc, vm), cut)
		}
	})
}

// kqctl runs kqctl against all VMs, or against the one given by a leading
// --server, and returns its combined output.
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

// mustKqctl is kqctl for commands that must succeed.
func (c *cluster) mustKqctl(args ...string) string {
	out, err := c.kqctl(args...)
	if err != nil {
		c.t.Fatalf("kqctl %s: %v\n%s", strings.Join(args, " "), err, out)
	}
	return out
}

// grantKey grants a key, waits until it is in force and returns its text.
func (c *cluster) grantKey(workspace string) string { return c.grantKeyWithFlags(workspace, "--wait") }

// grantKeyNoWait grants a key and returns its text without waiting until it is in
// force.
func (c *cluster) grantKeyNoWait(workspace string) string { return c.grantKeyWithFlags(workspace) }

func (c *cluster) grantKeyWithFlags(workspace string, flags ...string) string {
	out := c.mustKqctl(append([]string{"key", "grant", workspace}, flags...)...)
	at := strings.Index(out, "kq_")
	if at < 0 {
		c.t.Fatalf("no key in the output of kqctl key grant: %q", out)
	}
	return strings.Fields(out[at:])[0]
}

func keyID(text string) string { return strings.Split(text, "_")[1] }

func (c *cluster) respondsOK(url string) bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get(url)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitFor waits until met returns true. After the timeout it fails the test and
// prints the status of the cluster.
func (c *cluster) waitFor(timeout time.Duration, condition string, met func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if met() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	out, _ := c.kqctl("status")
	c.t.Fatalf("condition not met within %s: %s\n%s", timeout, condition, out)
}

// submit sends a job to the entry VMs in turn until one accepts it, and reports
// whether one did before the timeout.
func (c *cluster) submit(key string, spec *model.JobSpec, timeout time.Duration) bool {
	body, err := json.Marshal(spec)
	if err != nil {
		c.t.Fatal(err)
	}
	addrs := c.entryAddrs()
	deadline := time.Now().Add(timeout)
	for i := 0; time.Now().Before(deadline); i++ {
		req, _ := http.NewRequest(http.MethodPost, "http://"+addrs[i%len(addrs)]+api.PathJobs, bytes.NewReader(body))
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
