package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fake/loopback"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

// process is a kqentry in an operating system process, which tests can kill and
// pause.
type process struct {
	t      testing.TB
	binary string
	vm     string
	addr   string
	wire   string
	args   []string
	cmd    *exec.Cmd
	// stderr holds the output of all starts, which is logged if the test fails.
	stderr bytes.Buffer
}

// buildEntry builds the kqentry binary and returns its path.
func buildEntry(t testing.TB) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "kqentry")
	out, err := exec.Command("go", "build", "-o", binary, "kumquatwing/cmd/kqentry").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

func (p *process) start() {
	args := []string{"--vm", p.vm, "--dc", "a", "--listen", p.addr, "--control", p.wire, "--sync", "50ms", "--grace", "100ms"}
	p.cmd = exec.Command(p.binary, append(args, p.args...)...)
	p.cmd.Stderr = &p.stderr
	qt.Assert(p.t, p.cmd.Start(), qt.IsNil)
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits for the process to end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.cmd.Wait()
}

// history records the results that callers got, by request id.
type history struct {
	mu        sync.Mutex
	byRequest map[model.RequestID][]result
}

func (h *history) add(id model.RequestID, res result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byRequest[id] = append(h.byRequest[id], res)
}

// caller sends requests. It repeats each one with the same id, at the next entry VM
// each time, until the verdict is certain or 4 requests have been sent.
type caller struct {
	dc      *testDC
	addrs   []string
	history *history
}

// mint gets a request id from an entry VM. It returns "" if that fails.
func (cl *caller) mint(turn int) model.RequestID {
	resp, err := cl.dc.client.Post("http://"+cl.addrs[turn%len(cl.addrs)]+api.PathRequestIDs, "", nil)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var m requestIDReply
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&m) != nil {
		return ""
	}
	return m.ID
}

func (cl *caller) sendWithRetries(turn int) {
	id := cl.mint(turn)
	if id == "" {
		time.Sleep(20 * time.Millisecond)
		return
	}
	for attempt := range 4 {
		res := cl.dc.sendTo(cl.addrs[(turn+attempt)%len(cl.addrs)], request{
			path: "/q/orders", key: vetsKey, body: string(id), id: id, deadline: 900 * time.Millisecond,
		})
		cl.history.add(id, res)
		if res.verdict == verdict.Done && res.err == nil || res.verdict == verdict.NotRun {
			return
		}
	}
}

// TestAtMostOnceOverFaults runs three kqentry processes under load while one is
// killed and restarted, one is paused until its slots have been granted to others,
// and one is stopped gracefully. It then compares the verdict of every result with
// the runs that the backend servers counted.
func TestAtMostOnceOverFaults(t *testing.T) {
	t.Parallel()
	dc := newTestDC(t)
	dc.client.Timeout = 2 * time.Second
	binary := buildEntry(t)
	cl := &caller{dc: dc, history: &history{byRequest: map[model.RequestID][]result{}}}
	var entries []*process
	for i := range 3 {
		p := &process{t: t, binary: binary, vm: fmt.Sprint("e", i), addr: loopback.Addr(), wire: dc.control.Node.Addr()}
		p.start()
		entries = append(entries, p)
		cl.addrs = append(cl.addrs, p.addr)
	}
	defer func() {
		for _, p := range entries {
			p.kill()
			if t.Failed() {
				t.Logf("output of %s: %s", p.vm, p.stderr.String())
			}
		}
	}()
	for range 3 {
		dc.addServer("orders", func(cfg *fakeConfig) {
			cfg.Entries, cfg.Slots, cfg.Connections, cfg.Delay = cl.addrs, 3, 10, 20*time.Millisecond
		})
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			for turn := i; ; turn++ {
				select {
				case <-stop:
					return
				default:
					cl.sendWithRetries(turn)
				}
			}
		})
	}
	pause := func(d time.Duration) { time.Sleep(d) }
	pause(500 * time.Millisecond)
	entries[1].kill()
	pause(300 * time.Millisecond)
	entries[1].start()
	pause(500 * time.Millisecond)
	entries[2].signal(syscall.SIGSTOP)
	pause(4 * time.Second)
	entries[2].signal(syscall.SIGCONT)
	pause(700 * time.Millisecond)
	entries[0].signal(syscall.SIGTERM)
	qt.Check(t, entries[0].cmd.Wait(), qt.IsNil)
	entries[0].start()
	pause(300 * time.Millisecond)
	close(stop)
	wg.Wait()
	checkHistory(t, dc, cl.history)
}

// checkHistory checks the callers' results against what the backend servers counted:
// no request ran twice, no verdict was wrong, and no server ran more requests or had
// more connections than it announced.
func checkHistory(t *testing.T, dc *testDC, h *history) {
	runs := map[model.RequestID]int{}
	for _, s := range dc.servers {
		counts := s.Counts()
		qt.Check(t, counts.Peak <= 3, qt.IsTrue, qt.Commentf("%d requests in 3 slots", counts.Peak))
		qt.Check(t, counts.PeakConnections <= 10, qt.IsTrue)
		for id, n := range counts.Runs {
			runs[id] += n
		}
	}
	verdicts := map[verdict.Verdict]int{}
	lost := 0
	for id, results := range h.byRequest {
		qt.Check(t, runs[id] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, runs[id]))
		for _, res := range results {
			verdicts[res.verdict]++
			if res.err != nil {
				lost++
				continue
			}
			switch res.verdict {
			case verdict.Done:
				qt.Check(t, res.status == 200 && res.body != string(id), qt.IsFalse, qt.Commentf("%s got %q", id, res.body))
				qt.Check(t, runs[id], qt.Equals, 1)
			case verdict.NotRun:
				qt.Check(t, runs[id], qt.Equals, 0, qt.Commentf("%s ran despite a not-run verdict: %s", id, res.body))
			}
		}
	}
	t.Logf("%d requests, %d ran, verdicts %v, %d connections lost", len(h.byRequest), len(runs), verdicts, lost)
	qt.Check(t, verdicts[verdict.Done] > 100, qt.IsTrue)
}
