package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	oddTasks = 12
	// oddWork is how long each task works.
	oddWork = 6 * time.Second
	// oddWatch is how long the minions are watched after the odd heartbeat.
	oddWatch = 4 * time.Second
)

// oddWriter sends one heartbeat of another writer while tasks run: it names a service that
// the configuration doesn't name, under an id of its own, with the address of a minion. No
// task may run on two minions at the same time.
func oddWriter(rec *record, root string, trouble bool) (bool, error) {
	w, err := newWorld(rec, root, 1, 3)
	defer w.close()
	if err != nil {
		return false, err
	}
	id := newID()
	if a := w.submit(0, id, oddTasks, "work "+oddWork.String(), 3*time.Second); a.status/100 != 2 {
		return false, notRun("the job was not accepted")
	}
	if !waitFor(5*time.Second, func() bool { return len(w.startsOf(id)) == oddTasks }) {
		return false, notRun("the tasks have not begun")
	}
	time.Sleep(time.Second)
	busy := w.startsOf(id)[0].minion
	if trouble {
		for _, m := range w.minions {
			if m.id == busy {
				sendOdd(w, m)
			}
		}
	}
	return w.watchTwice(oddWatch), nil
}

// sendOdd sends the heartbeat of another writer with the address of a minion.
func sendOdd(w *world, m *minion) {
	body, _ := json.Marshal(map[string]any{
		"backend": "svc0-retired", "addr": m.addr(), "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"capacity": map[string]int64{"cpu": 16000, "mem-mb": 32768, "gpu": 0}, "labels": []string{"old", "r9-9"}, "clock-ms": 5000, "seq": 4, "born": time.Now().UnixMilli(),
	})
	a := call("PUT", w.controls[0].controlAddr(), "/instances/x-retired", nil, body, time.Second)
	w.rec.add("another writer: PUT /instances/x-retired, service svc0-retired, address of %s, to %s: %v", m.id, w.controls[0].name, a)
}

// watchTwice watches the minions for limit, and reports whether a task ran on two of them
// at the same time.
func (w *world) watchTwice(limit time.Duration) bool {
	seen := map[string]bool{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for task, where := range w.running() {
			if len(where) > 1 && !seen[task] {
				seen[task] = true
				w.rec.add("TWICE: %s runs as %v at the same time", task, where)
			}
		}
	}
	w.rec.add("%d tasks ran on two minions at the same time", len(seen))
	return len(seen) > 0
}

// running returns the runs that are at work on minions that are up, by task.
func (w *world) running() map[string][]string {
	out := map[string][]string{}
	for _, m := range w.minions {
		m.mu.Lock()
		defer m.mu.Unlock()
	}
	for _, m := range w.minions {
		if m.life == nil {
			continue
		}
		for _, r := range m.life.running {
			out[r.task] = append(out[r.task], fmt.Sprintf("run %d on %s", r.run, m.id))
		}
	}
	return out
}
