package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fake/backend"
)

const (
	benchServers = 50
	benchSlots   = 8
	// highestMicros bounds a recorded latency.
	highestMicros = 60_000_000
	// clockTicks is the unit of process times in /proc.
	clockTicks = 100
)

// thin is the plainest path that could stand in for ours: a key check and the
// standard library's client, without slots, limits, records or verdicts. It is
// kept as the measure of what those cost.
type thin struct {
	servers []string
	next    atomic.Uint64
	client  *http.Client
	entry   *testEntry
}

func (t *thin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(api.HeaderKey) != vetsKey {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	addr := t.servers[t.next.Add(1)%uint64(len(t.servers))]
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+addr+"/", r.Body)
	if err != nil {
		return
	}
	out.ContentLength = r.ContentLength
	out.Header.Set(api.HeaderRequestID, "thin")
	resp, err := t.client.Do(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	io.Copy(w, resp.Body)
}

// target is one way to a server.
type target struct {
	name       string
	url        func(i int) string
	idempotent bool
}

// drive sends n requests, inFlight at a time, and returns their latencies and
// how many failed.
func drive(c *cell, t target, n, inFlight int) (*hdrhistogram.Histogram, int64) {
	var next, failed atomic.Int64
	var mu sync.Mutex
	all := hdrhistogram.New(1, highestMicros, 3)
	var wg sync.WaitGroup
	for range inFlight {
		wg.Go(func() {
			own := hdrhistogram.New(1, highestMicros, 3)
			for {
				i := int(next.Add(1))
				if i > n {
					break
				}
				began := time.Now()
				if !call1(c.client, t, i) {
					failed.Add(1)
				}
				own.RecordValue(max(1, time.Since(began).Microseconds()))
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(own)
		})
	}
	wg.Wait()
	return all, failed.Load()
}

var benchBody = bytes.Repeat([]byte("x"), 256)

func call1(client *http.Client, t target, i int) bool {
	req, _ := http.NewRequest(http.MethodPost, t.url(i), bytes.NewReader(benchBody))
	req.Header.Set(api.HeaderKey, vetsKey)
	if t.idempotent {
		req.Header.Set(api.HeaderIdempotent, "true")
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && len(body) == len(benchBody)
}

// benchCell has 50 servers of 8 slots and one entry VM.
func benchCell(b *testing.B, change func(*fakeConfig)) (*cell, *testEntry, []string) {
	c := newCell(b)
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
	e := c.addEntry(func(cfg *Config) { cfg.Sync = DefaultSync })
	var addrs []string
	for range benchServers {
		s := c.startServer("orders", func(cfg *fakeConfig) {
			cfg.Every = 500 * time.Millisecond
			change(cfg)
		})
		addrs = append(addrs, s.Addr())
	}
	c.awaitSlots()
	return c, e, addrs
}

// BenchmarkPath compares a direct call, the thin path and ours, with idempotent
// and with recorded requests, in one run.
func BenchmarkPath(b *testing.B) {
	c, e, addrs := benchCell(b, func(*fakeConfig) {})
	plain := httptest.NewServer(&thin{servers: addrs, entry: e, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 400}}})
	defer plain.Close()
	ours := func(int) string { return "http://" + e.Addr() + "/q/orders/" }
	targets := []target{
		{"direct", func(i int) string { return "http://" + addrs[i%len(addrs)] + "/" }, true},
		{"thin", func(int) string { return plain.URL }, true},
		{"idempotent", ours, true},
		{"recorded", ours, false},
	}
	for _, inFlight := range []int{1, 100, 400} {
		direct, thinRate := int64(0), 0.0
		for _, t := range targets {
			b.Run(fmt.Sprintf("%s/%d", t.name, inFlight), func(b *testing.B) {
				drive(c, t, 2*inFlight, inFlight)
				b.ResetTimer()
				h, failed := drive(c, t, b.N, inFlight)
				rate := float64(b.N) / b.Elapsed().Seconds()
				p50 := h.ValueAtQuantile(50)
				switch t.name {
				case "direct":
					direct = p50
				case "thin":
					thinRate = rate
				}
				b.ReportMetric(float64(p50), "p50-us")
				b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
				b.ReportMetric(float64(p50-direct), "added-p50-us")
				b.ReportMetric(rate, "req/s")
				if thinRate > 0 {
					b.ReportMetric(rate/thinRate, "of-thin")
				}
				b.ReportMetric(float64(failed), "failed")
			})
		}
	}
}

// BenchmarkPathSlotUse loads servers whose requests take 100 ms with as many
// callers as they have slots, and half as many again, through three entry VMs:
// evenly, and all through one.
func BenchmarkPathSlotUse(b *testing.B) {
	const delay = 100 * time.Millisecond
	for _, all := range []bool{false, true} {
		for _, callers := range []int{benchServers * benchSlots, benchServers * benchSlots * 3 / 2} {
			b.Run(fmt.Sprintf("one-entry=%v/%d", all, callers), func(b *testing.B) {
				c := newCell(b)
				c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
				for range 3 {
					c.addEntry(func(cfg *Config) { cfg.Sync = DefaultSync })
				}
				for range benchServers {
					c.startServer("orders", func(cfg *fakeConfig) { cfg.Delay, cfg.Every = delay, 500*time.Millisecond })
				}
				c.awaitSlots()
				t := target{url: func(i int) string {
					if all {
						i = 0
					}
					return "http://" + c.entries[i%3].Addr() + "/q/orders/"
				}, idempotent: true}
				drive(c, t, 20*callers, callers)
				b.ResetTimer()
				n := max(b.N, 10*callers)
				h, failed := drive(c, t, n, callers)
				used := float64(n) * delay.Seconds()
				b.ReportMetric(100*used/(b.Elapsed().Seconds()*benchServers*benchSlots), "%slots")
				b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
				b.ReportMetric(float64(failed), "failed")
			})
		}
	}
}

// residentMB reads a process's resident memory.
func residentMB(b *testing.B, pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	qt.Assert(b, err, qt.IsNil)
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	qt.Assert(b, err, qt.IsNil)
	return float64(pages*os.Getpagesize()) / (1 << 20)
}

// cpuSeconds reads a process's time on processors.
func cpuSeconds(b *testing.B, pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	qt.Assert(b, err, qt.IsNil)
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return float64(user+system) / clockTicks
}

// startProcess runs kqentry on its own and waits until it serves.
func startProcess(b *testing.B, c *cell) *process {
	p := &process{t: b, binary: buildEntry(b), vm: "e0", addr: freeAddr(b), wire: c.control.Node.Addr(), args: []string{"--requests", "4096"}}
	p.start()
	c.eventually("kqentry is ready", func() bool {
		resp, err := c.client.Get("http://" + p.addr + api.PathReady)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return p
}

// BenchmarkPathProcess measures a kqentry process: requests per second of its
// processor time, and memory with 60 connections to each of 50 servers.
func BenchmarkPathProcess(b *testing.B) {
	c := newCell(b)
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
	p := startProcess(b, c)
	defer p.kill()
	pid := p.cmd.Process.Pid
	empty := residentMB(b, pid)
	wide := func(cfg *fakeConfig) {
		cfg.Entries, cfg.Slots, cfg.Every, cfg.Delay = []string{p.addr}, 60, 500*time.Millisecond, 2*time.Second
	}
	for range benchServers {
		c.startServer("orders", wide).SetMode(backend.Echo)
	}
	c.awaitSlots()
	url := func(int) string { return "http://" + p.addr + "/q/orders/" }
	for _, t := range []target{{"idempotent", url, true}, {"recorded", url, false}} {
		for _, inFlight := range []int{1, 100, 400} {
			b.Run(fmt.Sprintf("%s/%d", t.name, inFlight), func(b *testing.B) {
				drive(c, t, 2*inFlight, inFlight)
				before := cpuSeconds(b, pid)
				b.ResetTimer()
				_, failed := drive(c, t, b.N, inFlight)
				used := cpuSeconds(b, pid) - before
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
				b.ReportMetric(float64(b.N)/max(0.01, used), "req/s/core")
				b.ReportMetric(residentMB(b, pid), "rss-MB")
				b.ReportMetric(float64(failed), "failed")
			})
		}
	}
	b.Run("memory", func(b *testing.B) {
		for _, s := range c.servers {
			s.SetMode(backend.Slow)
		}
		t := target{"", url, true}
		const all = benchServers * 60
		_, failed := drive(c, t, all, all)
		b.ReportMetric(empty, "empty-MB")
		b.ReportMetric(residentMB(b, pid), "rss-MB")
		b.ReportMetric(float64(peakConnections(c)), "connections")
		b.ReportMetric(float64(failed), "failed")
	})
}

// peakConnections sums the most connections that each server has seen.
func peakConnections(c *cell) int {
	n := 0
	for _, s := range c.servers {
		n += s.Counts().PeakConnections
	}
	return n
}
