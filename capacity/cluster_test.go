//go:build capacity

// Package capacity measures what the binaries as built cost at several sizes
// of one variable at a time, and fits a line through the points.
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
	// stopWait bounds the wait for a process that was told to stop.
	stopWait = 3 * time.Second
	// callTimeout bounds one HTTP call.
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
	t     *testing.T
	base  int
	dir   string
	bin   string
	vms   []*vm
	procs []*exec.Cmd
	http  *http.Client
	// measureFor is the time that one point is measured over.
	measureFor time.Duration
}

func newCluster(t *testing.T, base int) *cluster {
	bin, err := filepath.Abs("../bin")
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, base: base, dir: t.TempDir(), bin: bin, http: &http.Client{Timeout: callTimeout}, measureFor: window}
	t.Cleanup(c.close)
	return c
}

func dcName(dc int) string { return fmt.Sprintf("dc%d", dc) }

func (c *cluster) ip(dc, n int) string { return fmt.Sprintf("127.%d.%d.%d", c.base, dc, n) }

// join names the first VM of the first three data centres.
func (c *cluster) join() string {
	return c.ip(1, 1) + wirePort + "," + c.ip(2, 1) + wirePort + "," + c.ip(3, 1) + wirePort
}

// addVM starts the processes of the next VM of a data centre.
func (c *cluster) addVM(dc int, withEntry bool) {
	n := len(c.in(dc)) + 1
	v := &vm{name: fmt.Sprintf("dc%d-%d", dc, n), dc: dc, ip: c.ip(dc, n)}
	v.control = c.start(v.name+".kqcontrol", "kqcontrol", "--vm", v.name, "--dc", dcName(dc), "--region", "capacity",
		"--wire", v.ip+wirePort, "--http", v.ip+httpPort, "--entry", v.ip+entryPort, "--join", c.join(),
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

// in lists the VMs of a data centre.
func (c *cluster) in(dc int) []*vm {
	var out []*vm
	for _, v := range c.vms {
		if v.dc == dc {
			out = append(out, v)
		}
	}
	return out
}

// found forms the groups and waits until every VM is a member.
func (c *cluster) found() {
	c.until("the first process is up", func() bool { return c.ok("http://" + c.vms[0].ip + httpPort + api.PathLive) })
	c.kqctl("init")
	c.joined()
}

// joined waits until every VM is ready and in the groups.
func (c *cluster) joined() {
	c.until("every VM is a member", func() bool {
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
			if !c.ok("http://" + v.ip + httpPort + api.PathReady) {
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
	c.procs = append(c.procs, cmd)
	return cmd
}

func (c *cluster) startWorkers(dc int, name string, count int) *exec.Cmd {
	args := []string{"worker", "--dc", dcName(dc), "--name", name, "--count", fmt.Sprint(count)}
	for _, v := range c.in(dc) {
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
	for _, v := range c.in(dc) {
		args = append(args, "--entry", v.ip+entryPort)
	}
	c.start(name, "kqfake", args...)
}

func (c *cluster) startCaller(dc int, queue string, rate, oncePercent int) *exec.Cmd {
	args := []string{
		"caller", "--queue", queue, "--rate", fmt.Sprint(rate), "--requests", "1000000",
		"--parallel", "24", "--once-percent", fmt.Sprint(oncePercent),
	}
	for _, v := range c.in(dc) {
		args = append(args, "--entry", v.ip+entryPort)
	}
	return c.start("caller", "kqfake", args...)
}

// stop ends a process that this cluster started.
func (c *cluster) stop(cmd *exec.Cmd) {
	done := make(chan struct{})
	go func() { cmd.Wait(); close(done) }()
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(stopWait):
		cmd.Process.Kill()
		<-done
	}
}

func (c *cluster) close() {
	for _, p := range c.procs {
		if p.ProcessState == nil {
			p.Process.Kill()
			p.Wait()
		}
	}
}

func (c *cluster) ok(url string) bool {
	resp, err := c.http.Get(url)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// until waits for a condition or ends the test.
func (c *cluster) until(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.t.Fatalf("not in time: %s: %+v", what, c.status())
}

// status is the part of PathStatus that is read here.
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

// counts returns the leader's view of a data centre.
func (c *cluster) counts(dc int) (workers, running, pending int) {
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

// declare writes declarations of some workspaces to a file and returns its path.
// Each retries sets another value, so that a second file is a change.
func (c *cluster) declare(workspaces, dcs, retries int) string {
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

// post sends a JSON body to the first VM of a data centre and reports success.
func (c *cluster) post(url, key string, body any) bool {
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
	if !c.post("http://"+c.vms[0].ip+httpPort+api.PathKeys, "", call) {
		c.t.Errorf("key %s was not granted", id)
	}
	return "kq_" + id + "_" + secret
}

// submit sends a job for one data centre and reports whether it was accepted.
func (c *cluster) submit(dc int, key string, class model.Class, tasks int, run time.Duration) bool {
	spec := model.JobSpec{
		ID: model.JobID(uuid.NewString()), Workload: "main", Class: class, Tasks: tasks, Idempotent: true,
		Size: model.Resources{MilliCPU: 50, MemoryMB: 64}, RunMillis: run.Milliseconds(),
		DataCentres: []model.DCID{model.DCID(dcName(dc))},
	}
	return c.post("http://"+c.in(dc)[0].ip+entryPort+api.PathJobs, key, spec)
}
