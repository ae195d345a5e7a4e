//go:build capacity

// Package capacity measures the resource usage of the built binaries. Each test
// varies one variable, measures the usage at several values and fits a line
// through the points.
package capacity

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
)

const (
	wirePort  = ":7201"
	httpPort  = ":7200"
	entryPort = ":7100"
	// stopTimeout is the time limit for a process to end after SIGTERM, before it is
	// killed.
	stopTimeout = 3 * time.Second
	// callTimeout is the timeout of one HTTP call.
	callTimeout = 5 * time.Second
)

// vm is one entry VM with its processes; entry is nil in clusters without
// kqentry.
type vm struct {
	name    string
	dc      int
	ip      string
	control *exec.Cmd
	entry   *exec.Cmd
}

// cluster is a set of entry VMs on loopback addresses 127.base.dc.vm.
type cluster struct {
	t         *testing.T
	base      int
	dir       string
	bin       string
	vms       []*vm
	processes []*exec.Cmd
	http      *http.Client
	// windowLength is the duration of the measurement of one point.
	windowLength time.Duration
}

func newCluster(t *testing.T, base int) *cluster {
	bin, err := filepath.Abs("../bin")
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, base: base, dir: t.TempDir(), bin: bin, http: &http.Client{Timeout: callTimeout}, windowLength: window}
	t.Cleanup(c.close)
	return c
}

func dcName(dc int) string { return fmt.Sprintf("dc%d", dc) }

func (c *cluster) ip(dc, n int) string { return fmt.Sprintf("127.%d.%d.%d", c.base, dc, n) }

// joinAddrs returns the --join addresses: the first VM of each of the first three
// data centres.
func (c *cluster) joinAddrs() string {
	return c.ip(1, 1) + wirePort + "," + c.ip(2, 1) + wirePort + "," + c.ip(3, 1) + wirePort
}

// addVM starts the processes of the next VM of a data centre.
func (c *cluster) addVM(dc int, withEntry bool) {
	n := len(c.vmsIn(dc)) + 1
	v := &vm{name: fmt.Sprintf("dc%d-%d", dc, n), dc: dc, ip: c.ip(dc, n)}
	v.control = c.start(v.name+".kqcontrol", "kqcontrol", "--vm", v.name, "--dc", dcName(dc), "--region", "capacity",
		"--wire", v.ip+wirePort, "--http", v.ip+httpPort, "--entry", v.ip+entryPort, "--join", c.joinAddrs(),
		"--data", filepath.Join(c.dir, v.name), "--log-level", "warn")
	if withEntry {
		v.entry = c.start(v.name+".kqentry", "kqentry", "--vm", v.name, "--dc", dcName(dc),
			"--http", v.ip+entryPort, "--control", v.ip+wirePort)
	}
	c.vms = append(c.vms, v)
}

func (c *cluster) addVMs(dc, count int, withEntry bool) {
	for range count {
		c.addVM(dc, withEntry)
	}
}

// vmsIn returns the VMs of a data centre.
func (c *cluster) vmsIn(dc int) []*vm {
	var out []*vm
	for _, v := range c.vms {
		if v.dc == dc {
			out = append(out, v)
		}
	}
	return out
}

// bootstrap initialises the groups and waits until every VM is a member.
func (c *cluster) bootstrap() {
	c.waitFor("the first kqcontrol is live", func() bool { return c.respondsOK("http://" + c.vms[0].ip + httpPort + api.PathLive) })
	c.kqctl("init")
	c.waitForMembers()
}

// waitForMembers waits until every VM is ready, has a settings lease and sees a
// leader of its data centre group.
func (c *cluster) waitForMembers() {
	c.waitFor("every VM is a ready member", func() bool {
		s := c.status()
		if len(s.Processes) != len(c.vms) {
			return false
		}
		for _, p := range s.Processes {
			if p.Own.Leader == "" || p.LeaseMS <= 0 {
				return false
			}
		}
		for _, v := range c.vms {
			if !c.respondsOK("http://" + v.ip + httpPort + api.PathReady) {
				return false
			}
		}
		return true
	})
}

func (c *cluster) start(name, binary string, args ...string) *exec.Cmd {
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		c.t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(c.bin, binary), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.processes = append(c.processes, cmd)
	return cmd
}

func (c *cluster) startWorkers(dc int, name string, count int) *exec.Cmd {
	args := []string{"worker", "--dc", dcName(dc), "--name", name, "--count", fmt.Sprint(count)}
	for _, v := range c.vmsIn(dc) {
		args = append(args, "--control", "http://"+v.ip+entryPort)
	}
	return c.start(dcName(dc)+name, "kqfake", args...)
}

func (c *cluster) startBackend(dc, n int, queue string) {
	name := fmt.Sprintf("%s-%d", queue, n)
	args := []string{
		"backend", "--server", name, "--dc", dcName(dc), "--queue", queue, "--delay", "2ms", "--drain", "10ms",
		"--listen", fmt.Sprintf("127.%d.%d.%d:8000", c.base, dc, 100+n),
	}
	for _, v := range c.vmsIn(dc) {
		args = append(args, "--entry", v.ip+entryPort)
	}
	c.start(name, "kqfake", args...)
}

func (c *cluster) startCaller(dc int, queue string, rate, oncePercent int) *exec.Cmd {
	args := []string{
		"caller", "--queue", queue, "--rate", fmt.Sprint(rate), "--requests", "1000000",
		"--parallel", "24", "--once-percent", fmt.Sprint(oncePercent),
	}
	for _, v := range c.vmsIn(dc) {
		args = append(args, "--entry", v.ip+entryPort)
	}
	return c.start("caller", "kqfake", args...)
}

// stop sends SIGTERM to a process and waits until it has ended.
func (c *cluster) stop(cmd *exec.Cmd) {
	done := make(chan struct{})
	go func() { cmd.Wait(); close(done) }()
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(stopTimeout):
		cmd.Process.Kill()
		<-done
	}
}

func (c *cluster) close() {
	for _, p := range c.processes {
		if p.ProcessState == nil {
			p.Process.Kill()
			p.Wait()
		}
	}
}

func (c *cluster) respondsOK(url string) bool {
	resp, err := c.http.Get(url)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitFor waits up to 60 s until met returns true, and otherwise fails the test.
func (c *cluster) waitFor(condition string, met func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if met() {
			return
		}
	}
	c.t.Fatalf("condition not met within 60 s: %s: %+v", condition, c.status())
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
}

type group struct {
	Leader string `json:"leader"`
	Leads  bool   `json:"leads"`
	Voters int    `json:"voters"`
}

func (c *cluster) status() status {
	var s status
	resp, err := c.http.Get("http://" + c.vms[0].ip + httpPort + api.PathStatus)
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	json.NewDecoder(resp.Body).Decode(&s)
	return s
}

// leaderCounts returns the numbers of workers, running tasks and pending tasks
// that a data centre's leader reports, or zeros if no leader is found.
func (c *cluster) leaderCounts(dc int) (workers, running, pending int) {
	for _, p := range c.status().Processes {
		if p.DC == dcName(dc) && p.Own.Leads {
			return p.Workers, p.Running, p.Pending
		}
	}
	return 0, 0, 0
}

func (c *cluster) kqctl(args ...string) {
	cmd := exec.Command(filepath.Join(c.bin, "kqctl"), args...)
	cmd.Env = append(os.Environ(), "KQ_SERVER=http://"+c.vms[0].ip+httpPort, "KQ_ACTOR=capacity", "KQ_TIMEOUT=20s")
	if out, err := cmd.CombinedOutput(); err != nil {
		c.t.Errorf("kqctl %s: %v\n%s", strings.Join(args, " "), err, out)
	}
}

// writeDeclarations writes declarations with the given number of workspaces and
// data centres to a file and returns its path. retries is the value of
// task.retries; files that differ in it alone differ by one change.
func (c *cluster) writeDeclarations(workspaces, dcs, retries int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings:\n  task.retries: %d\nregions:\n  capacity:\n    data-centres:\n", retries)
	for dc := 1; dc <= dcs; dc++ {
		fmt.Fprintf(&b, "      dc%d: {}\n", dc)
	}
	fmt.Fprintf(&b, "queues:\n  open: {open: true}\nworkspaces:\n")
	for i := range workspaces {
		fmt.Fprintf(&b, "  workspace%03d:\n    share: %d\n    limit: {cpu: 4000, memory: 8000GiB}\n", i, 1+i%4)
		fmt.Fprintf(&b, "    workloads: {main: {settings: {request.deadline: %ds}}}\n", 5+i%20)
	}
	path := filepath.Join(c.dir, fmt.Sprintf("fleet-%d-%d.yaml", workspaces, retries))
	if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// postOK posts a JSON body to url and reports whether the response has status
// 200.
func (c *cluster) postOK(url, key string, body any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	req, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(data))
	req.Header.Set(api.HeaderKey, key)
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// grantKey grants a key to a workspace and returns its text.
func (c *cluster) grantKey(workspace int) string {
	id, secret := fmt.Sprintf("k%d", workspace), strings.ReplaceAll(uuid.NewString(), "-", "")
	hash := sha256.Sum256([]byte(secret))
	call := api.KeyCall{
		Operation: api.Operation{OpID: uuid.NewString(), Actor: "capacity"},
		Key:       model.KeyID(id), Workspace: model.WorkspaceID(fmt.Sprintf("workspace%03d", workspace)),
		Hash: base64.StdEncoding.EncodeToString(hash[:]),
	}
	if !c.postOK("http://"+c.vms[0].ip+httpPort+api.PathKeys, "", call) {
		c.t.Errorf("key %s was not granted", id)
	}
	return "kq_" + id + "_" + secret
}

// submit submits a job that may only run in data centre dc, and reports whether
// it was accepted.
func (c *cluster) submit(dc int, key string, class model.Class, tasks int, run time.Duration) bool {
	spec := model.JobSpec{
		ID: model.JobID(uuid.NewString()), Workload: "main", Class: class, Tasks: tasks, Idempotent: true,
		Size: model.Resources{MilliCPU: 50, MemoryMB: 64}, RunMillis: run.Milliseconds(),
		DataCentres: []model.DCID{model.DCID(dcName(dc))},
	}
	return c.postOK("http://"+c.vmsIn(dc)[0].ip+entryPort+api.PathJobs, key, spec)
}
