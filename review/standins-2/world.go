package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	queueHost   = "jobs.example"
	queuePrefix = "/queue1/"
	tenantKey   = "key0tenant1"
	backend     = "svc1"
)

// world is a cluster with its minions, configured and ready for callers.
type world struct {
	*cluster
	minions []*minion
}

// newWorld starts a cluster and minions, and waits until a job has run.
func newWorld(rec *record, root string, entries, minions int) (*world, error) {
	return newWorldOnCores(rec, root, entries, minions, 0)
}

// newWorldOnCores is newWorld on machines with the given number of cores.
func newWorldOnCores(rec *record, root string, entries, minions, cores int) (*world, error) {
	c, err := newCluster(rec, root, entries, cores)
	if err != nil {
		return nil, err
	}
	w := &world{cluster: c}
	if err := c.startAll(); err != nil {
		return w, err
	}
	controls := []string{}
	for _, p := range c.controls {
		controls = append(controls, p.controlAddr())
	}
	if !waitFor(15*time.Second, func() bool { return w.configure(1, nil).status == 200 }) {
		return w, notRun("the configuration was not accepted")
	}
	for i := range minions {
		// Each minion begins with another control process.
		first := i % len(controls)
		order := append(append([]string{}, controls[first:]...), controls[:first]...)
		m := newMinion(rec, fmt.Sprintf("i-%04d", i+1), fmt.Sprintf("%s%d", c.prefix, 100+i), c.ports.control, c.zones[i%len(c.zones)], kindOf(i), fmt.Sprintf("r1-%d", 1+i/3), order)
		if err := m.start(); err != nil {
			return w, notRun("a minion could not be started: %v", err)
		}
		w.minions = append(w.minions, m)
	}
	for i := range c.entries {
		if !waitFor(15*time.Second, func() bool {
			return call("GET", c.entries[i].readyAddr(), "/ready", nil, nil, time.Second).status == 200
		}) {
			return w, notRun("an entry process did not become ready")
		}
	}
	id := newID()
	if !waitFor(15*time.Second, func() bool { return w.submit(0, id, 1, "work 100ms", time.Second).status/100 == 2 }) {
		return w, notRun("the first job was not accepted")
	}
	if !waitFor(15*time.Second, func() bool { return w.state(0, id) == "succeeded" }) {
		return w, notRun("the first job has not run")
	}
	rec.add("the system is up: a first job has run; the leader is %s", c.leader().name)
	return w, nil
}

func (w *world) close() {
	if w == nil || w.cluster == nil {
		return
	}
	for _, m := range w.minions {
		m.end()
	}
	w.cluster.close()
}

// route is a route of the configuration.
type route map[string]any

func baseRoute(name, prefix string) route {
	return route{"name": name, "host": queueHost, "prefix": prefix, "type": "unsafe", "timeout-ms": 3000, "slo-ms": 250, "prio": 0, "backend": backend, "attempts": 4, "stretch": 1.5, "public": false}
}

// configure sends a configuration with the given version to the first control process.
func (w *world) configure(version int, routes []route) answer {
	if routes == nil {
		routes = []route{baseRoute("q1", queuePrefix)}
	}
	doc, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": backend, "health-path": "/health", "max-conns": 64, "proto": "h1", "tls": false, "enforces-capacity": false, "standby": false}},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "t1", "api-keys": []string{tenantKey}, "prio": 1, "weight": 100, "max-count": map[string]int{"cpu": 0, "mem-mb": 0, "gpu": 0}}},
	})
	var a answer
	for _, p := range w.controls {
		a = call("PUT", p.controlAddr(), "/config", nil, doc, time.Second)
		w.rec.add("operator: PUT /config, version %d, to %s: %v", version, p.name, a)
		if a.status == 200 {
			break
		}
	}
	return a
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// jobBody returns the body of a job of one step, whose tasks need cpu thousandths of a core.
func jobBody(tasks, cpu int, spec string) []byte {
	b, _ := json.Marshal(map[string]any{"spec": spec, "steps": []any{map[string]any{"count": tasks, "cpu": cpu, "mem-mb": 256, "estimate-ms": 500}}})
	return b
}

func headers(deadline time.Duration) map[string]string {
	return map[string]string{"Host": queueHost, "Credential": tenantKey, "Deadline-Ms": fmt.Sprint(deadline.Milliseconds())}
}

// submit hands a job in at an entry process.
func (w *world) submit(entry int, id string, tasks int, spec string, deadline time.Duration) answer {
	a := call("POST", w.entries[entry].frontAddr(), queuePrefix+id, headers(deadline), jobBody(tasks, 1000, spec), deadline)
	w.rec.add("client: POST %s to %s: %v", queuePrefix+id, w.entries[entry].name, a)
	return a
}

// cancel cancels a job.
func (w *world) cancel(entry int, id string, deadline time.Duration) answer {
	a := call("DELETE", w.entries[entry].frontAddr(), queuePrefix+id, headers(deadline), nil, deadline)
	w.rec.add("client: DELETE %s to %s: %v", queuePrefix+id, w.entries[entry].name, a)
	return a
}

// get reads the state of a job.
func (w *world) get(entry int, id string) answer {
	return call("GET", w.entries[entry].frontAddr(), queuePrefix+id, headers(time.Second), nil, time.Second)
}

// state returns the state of a job, "" if it is not told.
func (w *world) state(entry int, id string) string {
	var doc struct{ State string }
	if a := w.get(entry, id); a.status != 200 || json.Unmarshal([]byte(a.body), &doc) != nil {
		return ""
	}
	return doc.State
}

// startsOf returns the starts of a job's tasks on all minions.
func (w *world) startsOf(job string) []startSeen {
	var out []startSeen
	for _, m := range w.minions {
		out = append(out, m.startsOf(job)...)
	}
	return out
}

// kindOf returns the label of the kind of a minion.
func kindOf(index int) string { return fmt.Sprintf("k%d", index+1) }
