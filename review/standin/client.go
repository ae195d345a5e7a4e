package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Names of the deployment.
const (
	backendName = "dele69a"
	hostName    = "nony24.example"
	pathPrefix  = "/lohu930/"
	tenantKey   = "6x73d3zji9n73hh2b9wu"
)

// route is a route of the configuration.
func route(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "type": "unsafe", "timeout-ms": 3000, "slo-ms": 1000, "prio": 1,
		"backend": backendName, "attempts": 3, "stretch": 2.2, "public": false,
	}
}

// configuration returns a complete configuration.
func configuration(version int, routes ...map[string]any) []byte {
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": backendName, "health-path": "/health", "max-conns": 64, "proto": "h1", "tls": false, "cold-s": 0.0,
			"cold-per-s": 0.0, "enforces-capacity": false, "standby": false,
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "kaje80", "api-keys": []string{tenantKey}, "prio": 1, "weight": 31, "max-count": map[string]any{"cpu": 0, "mem-mb": 0, "gpu": 0}}},
	})
	return data
}

// operatorClient and callerClient send the calls of operators and clients.
var (
	operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	callerClient   = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
)

// order sends an order of the operator until a node answers it with a 2xx or refuses
// it. After a failure, a 5xx or a second without a response it calls the next node.
// first is the index of the node that it calls first.
func order(rec *record, addrs []string, first int, method, path string, body []byte, patience time.Duration) (int, error) {
	pause := 50 * time.Millisecond
	for end, n := time.Now().Add(patience), first; time.Now().Before(end); n++ {
		addr := addrs[n%len(addrs)]
		req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
		if err != nil {
			return 0, err
		}
		if body != nil {
			req.Header.Set("Content-Type", "application/json")
		}
		rec.log("order %s %s to %s", method, path, addr)
		resp, err := operatorClient.Do(req)
		if err != nil {
			rec.log("order %s %s to %s: no response", method, path, addr)
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		rec.log("order %s %s to %s: %d", method, path, addr, resp.StatusCode)
		if resp.StatusCode < 500 {
			return resp.StatusCode, nil
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0, fmt.Errorf("%s %s was not answered", method, path)
}

// step is a step of a job.
type step struct {
	Count    int   `json:"count"`
	CPU      int64 `json:"cpu"`
	Mem      int64 `json:"mem-mb"`
	Estimate int64 `json:"estimate-ms"`
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in. It tries up to five times, as clients do: with the same ID, at
// any node, unless the job was refused for good.
func submit(rec *record, addrs []string, prefix, id, spec string, steps ...step) bool {
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	for range 5 {
		addr := addrs[rand.IntN(len(addrs))]
		status, _ := call(addr, http.MethodPost, prefix+id, body, 3*time.Second)
		rec.log("client POST %s to %s: %d", id, addr, status)
		if status/100 == 2 {
			return true
		}
		if status/100 == 4 && status != http.StatusTooManyRequests {
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// call sends one call of a client. The status is 0 without a response.
func call(addr, method, path string, body []byte, deadline time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Credential", tenantKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := callerClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// state returns the state of a job as a client sees it, "" if it got none.
func state(addrs []string, prefix, id string) (int, string) {
	status, data := call(addrs[rand.IntN(len(addrs))], http.MethodGet, prefix+id, nil, 3*time.Second)
	var doc struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(data, &doc) == nil {
		return status, doc.State
	}
	return status, ""
}

// traffic submits jobs at a steady rate until it is stopped.
type traffic struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	accepted []string
}

func startTraffic(rec *record, addrs []string, perSecond float64, spec string, steps ...step) *traffic {
	t := &traffic{stop: make(chan struct{})}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		defer ticker.Stop()
		for {
			select {
			case <-t.stop:
				return
			case <-ticker.C:
			}
			t.wg.Add(1)
			go func() {
				defer t.wg.Done()
				id := newJobID()
				if submit(rec, addrs, pathPrefix, id, spec, steps...) {
					t.mu.Lock()
					t.accepted = append(t.accepted, id)
					t.mu.Unlock()
				}
			}()
		}
	}()
	return t
}

func (t *traffic) end() []string {
	close(t.stop)
	t.wg.Wait()
	return t.accepted
}
