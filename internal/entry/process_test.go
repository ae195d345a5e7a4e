package entry

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

// process is a kqentry of its own, which can be killed and paused.
type process struct {
	t      testing.TB
	binary string
	vm     string
	addr   string
	wire   string
	args   []string
	cmd    *exec.Cmd
}

func buildEntry(t testing.TB) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "kqentry")
	out, err := exec.Command("go", "build", "-o", binary, "kumquatwing/cmd/kqentry").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

func freeAddr(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}

func (p *process) start() {
	args := []string{"--vm", p.vm, "--dc", "a", "--listen", p.addr, "--control", p.wire, "--sync", "50ms", "--grace", "100ms"}
	p.cmd = exec.Command(p.binary, append(args, p.args...)...)
	qt.Assert(p.t, p.cmd.Start(), qt.IsNil)
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.cmd.Wait()
}

// history is what callers saw, by request id.
type history struct {
	mu  sync.Mutex
	all map[model.RequestID][]answer
}

func (h *history) add(id model.RequestID, a answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all[id] = append(h.all[id], a)
}

// caller sends requests and repeats each at other entry VMs until one of them
// knows how it ended.
type caller struct {
	c       *cell
	addrs   []string
	history *history
}

func (k *caller) mint(turn int) model.RequestID {
	resp, err := k.c.client.Post("http://"+k.addrs[turn%len(k.addrs)]+api.PathRequestIDs, "", nil)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var m mintedID
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&m) != nil {
		return ""
	}
	return m.ID
}

func (k *caller) one(turn int) {
	id := k.mint(turn)
	if id == "" {
		time.Sleep(20 * time.Millisecond)
		return
	}
	for again := range 4 {
		a := k.c.sendTo(k.addrs[(turn+again)%len(k.addrs)], request{
			path: "/q/orders", key: vetsKey, body: string(id), id: id, deadline: 900 * time.Millisecond,
		})
		k.history.add(id, a)
		if a.verdict == verdict.Done && a.err == nil || a.verdict == verdict.NotRun {
			return
		}
	}
}

// TestAtMostOnceOverFaults runs three kqentry processes under load while one is
// killed and started again, one is paused until its slots are lent to others,
// and one is stopped gracefully. Every answer is then held against what the
// backend servers ran.
func TestAtMostOnceOverFaults(t *testing.T) {
	t.Parallel()
	c := newCell(t)
	c.client.Timeout = 2 * time.Second
	binary := buildEntry(t)
	k := &caller{c: c, history: &history{all: map[model.RequestID][]answer{}}}
	var entries []*process
	for i := range 3 {
		p := &process{t: t, binary: binary, vm: fmt.Sprint("e", i), addr: freeAddr(t), wire: c.control.Node.Addr()}
		p.start()
		entries = append(entries, p)
		k.addrs = append(k.addrs, p.addr)
	}
	defer func() {
		for _, p := range entries {
			p.kill()
		}
	}()
	for range 3 {
		c.addServer("orders", func(cfg *fakeConfig) {
			cfg.Entries, cfg.Slots, cfg.Connections, cfg.Delay = k.addrs, 3, 10, 20*time.Millisecond
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
					k.one(turn)
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
	checkHistory(t, c, k.history)
}

// checkHistory holds what callers were told against what ran.
func checkHistory(t *testing.T, c *cell, h *history) {
	runs := map[model.RequestID]int{}
	for _, s := range c.servers {
		counts := s.Counts()
		qt.Check(t, counts.Peak <= 3, qt.IsTrue, qt.Commentf("%d requests in 3 slots", counts.Peak))
		qt.Check(t, counts.PeakConnections <= 10, qt.IsTrue)
		for id, n := range counts.Runs {
			runs[id] += n
		}
	}
	told := map[verdict.Verdict]int{}
	lost := 0
	for id, answers := range h.all {
		qt.Check(t, runs[id] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, runs[id]))
		for _, a := range answers {
			told[a.verdict]++
			if a.err != nil {
				lost++
				continue
			}
			switch a.verdict {
			case verdict.Done:
				qt.Check(t, a.status == 200 && a.body != string(id), qt.IsFalse, qt.Commentf("%s got %q", id, a.body))
				qt.Check(t, runs[id], qt.Equals, 1)
			case verdict.NotRun:
				qt.Check(t, runs[id], qt.Equals, 0, qt.Commentf("%s was said not to have run: %s", id, a.body))
			}
		}
	}
	t.Logf("%d requests, %d ran, answers %v, %d connections lost", len(h.all), len(runs), told, lost)
	qt.Check(t, told[verdict.Done] > 100, qt.IsTrue)
}
