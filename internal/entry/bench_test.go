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
	"kumquatwing/internal/fake/loopback"
)

const (
	benchServers = 50
	benchSlots   = 8
	// highestMicros is the highest latency that the histograms can record, in
	// microseconds.
	highestMicros = 60_000_000
	// clockTicks is the number of ticks per second in the CPU times of /proc.
	clockTicks = 100
)

// thinProxy is a minimal proxy that checks the key and forwards with the standard
// library's client, without slots, limits, ledger records or verdicts. It is the
// baseline that shows what those cost in kqentry.
type thinProxy struct {
	servers []string
	next    atomic.Uint64
	client  *http.Client
	entry   *testEntry
}

func (t *thinProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// benchTarget is a path to the backend servers whose performance is measured.
type benchTarget struct {
	name       string
	url        func(i int) string
	idempotent bool
}

// sendRequests sends n requests, inFlight at a time. It returns the histogram of
// their latencies in microseconds and the number of failed requests.
func sendRequests(dc *testDC, t benchTarget, n, inFlight int) (*hdrhistogram.Histogram, int64) {
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
				if !sendBenchRequest(dc.client, t, i) {
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

// sendBenchRequest sends request i and reports whether it got a complete response
// with status 200.
func sendBenchRequest(client *http.Client, t benchTarget, i int) bool {
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

// newBenchDC starts a data centre with one entry VM and benchServers servers of
// benchSlots slots. It also returns the servers' addresses.
func newBenchDC(b *testing.B, change func(*fakeConfig)) (*testDC, *testEntry, []string) {
	dc := newTestDC(b)
	dc.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
	e := dc.addEntry(func(cfg *Config) { cfg.Sync = DefaultSync })
	var addrs []string
	for range benchServers {
		s := dc.startServer("orders", func(cfg *fakeConfig) {
			cfg.AnnounceInterval = 500 * time.Millisecond
			change(cfg)
		})
		addrs = append(addrs, s.Addr())
	}
	dc.awaitSlots()
	return dc, e, addrs
}

// BenchmarkPath compares a direct call, the thin proxy, and kqentry with idempotent
// and with recorded requests, all in one run. Recorded requests are those that are
// not idempotent, which need a ledger record.
func BenchmarkPath(b *testing.B) {
	dc, e, addrs := newBenchDC(b, func(*fakeConfig) {})
	thin := httptest.NewServer(&thinProxy{servers: addrs, entry: e, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 400}}})
	defer thin.Close()
	kqentry := func(int) string { return "http://" + e.Addr() + "/q/orders/" }
	targets := []benchTarget{
		{"direct", func(i int) string { return "http://" + addrs[i%len(addrs)] + "/" }, true},
		{"thin", func(int) string { return thin.URL }, true},
		{"idempotent", kqentry, true},
		{"recorded", kqentry, false},
	}
	for _, inFlight := range []int{1, 100, 400} {
		direct, thinRate := int64(0), 0.0
		for _, t := range targets {
			b.Run(fmt.Sprintf("%s/%d", t.name, inFlight), func(b *testing.B) {
				sendRequests(dc, t, 2*inFlight, inFlight)
				b.ResetTimer()
				h, failed := sendRequests(dc, t, b.N, inFlight)
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

// BenchmarkPathSlotUse measures the share of the slots that is in use. Requests take
// 100 ms, and there are as many callers as slots, or 1.5 times as many. They use
// three entry VMs evenly, or only one of them.
func BenchmarkPathSlotUse(b *testing.B) {
	const delay = 100 * time.Millisecond
	for _, oneEntry := range []bool{false, true} {
		for _, callers := range []int{benchServers * benchSlots, benchServers * benchSlots * 3 / 2} {
			b.Run(fmt.Sprintf("one-entry=%v/%d", oneEntry, callers), func(b *testing.B) {
				dc := newTestDC(b)
				dc.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
				for range 3 {
					dc.addEntry(func(cfg *Config) { cfg.Sync = DefaultSync })
				}
				for range benchServers {
					dc.startServer("orders", func(cfg *fakeConfig) { cfg.Delay, cfg.AnnounceInterval = delay, 500*time.Millisecond })
				}
				dc.awaitSlots()
				t := benchTarget{url: func(i int) string {
					if oneEntry {
						i = 0
					}
					return "http://" + dc.entries[i%3].Addr() + "/q/orders/"
				}, idempotent: true}
				sendRequests(dc, t, 20*callers, callers)
				b.ResetTimer()
				n := max(b.N, 10*callers)
				h, failed := sendRequests(dc, t, n, callers)
				used := float64(n) * delay.Seconds()
				b.ReportMetric(100*used/(b.Elapsed().Seconds()*benchServers*benchSlots), "%slots")
				b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
				b.ReportMetric(float64(failed), "failed")
			})
		}
	}
}

// residentMB returns a process's resident memory in MiB.
func residentMB(b *testing.B, pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	qt.Assert(b, err, qt.IsNil)
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	qt.Assert(b, err, qt.IsNil)
	return float64(pages*os.Getpagesize()) / (1 << 20)
}

// cpuSeconds returns the user and system CPU time that a process has used.
func cpuSeconds(b *testing.B, pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	qt.Assert(b, err, qt.IsNil)
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return float64(user+system) / clockTicks
}

// startProcess starts a kqentry process and waits until it is ready.
func startProcess(b *testing.B, dc *testDC) *process {
	p := &process{t: b, binary: buildEntry(b), vm: "e0", addr: loopback.Addr(), wire: dc.control.Node.Addr(), args: []string{"--requests", "4096"}}
	p.start()
	dc.eventually("kqentry is ready", func() bool {
		resp, err := dc.client.Get("http://" + p.addr + api.PathReady)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return p
}

// BenchmarkPathProcess measures a kqentry process: the requests per second of its
// CPU time, and its memory with 60 connections to each of 50 servers.
func BenchmarkPathProcess(b *testing.B) {
	dc := newTestDC(b)
	dc.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
	p := startProcess(b, dc)
	defer p.kill()
	pid := p.cmd.Process.Pid
	empty := residentMB(b, pid)
	manySlots := func(cfg *fakeConfig) {
		cfg.Entries, cfg.Slots, cfg.AnnounceInterval, cfg.Delay = []string{p.addr}, 60, 500*time.Millisecond, 2*time.Second
	}
	for range benchServers {
		dc.startServer("orders", manySlots).SetMode(backend.Echo)
	}
	dc.awaitSlots()
	url := func(int) string { return "http://" + p.addr + "/q/orders/" }
	for _, t := range []benchTarget{{"idempotent", url, true}, {"recorded", url, false}} {
		for _, inFlight := range []int{1, 100, 400} {
			b.Run(fmt.Sprintf("%s/%d", t.name, inFlight), func(b *testing.B) {
				sendRequests(dc, t, 2*inFlight, inFlight)
				before := cpuSeconds(b, pid)
				b.ResetTimer()
				_, failed := sendRequests(dc, t, b.N, inFlight)
				used := cpuSeconds(b, pid) - before
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
				b.ReportMetric(float64(b.N)/max(0.01, used), "req/s/core")
				b.ReportMetric(residentMB(b, pid), "rss-MB")
				b.ReportMetric(float64(failed), "failed")
			})
		}
	}
	b.Run("memory", func(b *testing.B) {
		for _, s := range dc.servers {
			s.SetMode(backend.Slow)
		}
		t := benchTarget{"", url, true}
		const all = benchServers * 60
		_, failed := sendRequests(dc, t, all, all)
		b.ReportMetric(empty, "empty-MB")
		b.ReportMetric(residentMB(b, pid), "rss-MB")
		b.ReportMetric(float64(peakConnections(dc)), "connections")
		b.ReportMetric(float64(failed), "failed")
	})
}

// peakConnections returns the sum of the servers' peak numbers of connections.
func peakConnections(dc *testDC) int {
	n := 0
	for _, s := range dc.servers {
		n += s.Counts().PeakConnections
	}
	return n
}
