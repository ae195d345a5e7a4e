package main

import (
	"encoding/json"
	"time"
)

// Disruption of lockedOut: the minions crash one after the other, so that one of
// lockoutMinions is down at a time, and start again under their ids.
const (
	lockoutMinions = 12
	lockoutDown    = time.Second
	lockoutPause   = 300 * time.Millisecond
	// crossZoneTime is about two round trips between zones of the site statlantis-yb: one
	// opens a connection, the other carries an order and its answer.
	crossZoneTime = 5 * time.Millisecond
	// waitingTime is how long a job may have nothing running while there is room.
	waitingTime = 3 * time.Second
	// finishTime is bounds.finish_s.
	finishTime = 14 * time.Second
)

// lockedOut crashes idle minions and starts them again. Then it hands in a job for each of
// them. The minions are up, ready and idle, so that the jobs must run.
func lockedOut(rec *record, root string, trouble bool) (bool, error) {
	w, err := newWorld(rec, root, 1, lockoutMinions)
	defer w.close()
	if err != nil {
		return false, err
	}
	for _, m := range w.minions {
		m.answerTime = crossZoneTime
		if trouble {
			m.end()
			rec.add("%s has crashed", m.id)
		}
		time.Sleep(lockoutDown)
		if trouble {
			if err := m.start(); err != nil {
				return false, notRun("a minion could not be started again: %v", err)
			}
			rec.add("%s is up again", m.id)
		}
		time.Sleep(lockoutPause)
	}
	time.Sleep(2 * time.Second)
	return jobsWait(w), nil
}

// jobsWait hands in one job for each minion, which only that one may run, and reports
// whether any of them has not ended waitingTime and finishTime later.
func jobsWait(w *world) bool {
	ids := map[string]*minion{}
	for _, m := range w.minions {
		id, kind := newID(), m.labels[0]
		body, _ := json.Marshal(map[string]any{"spec": "work 300ms", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem-mb": 256, "estimate-ms": 500, "requires": kind}}})
		a := call("POST", w.entries[0].frontAddr(), queuePrefix+id, headers(3*time.Second), body, 3*time.Second)
		w.rec.add("client: POST %s%s, which requires the label %s of %s: %v", queuePrefix, id, kind, m.id, a)
		if a.status/100 == 2 {
			ids[id] = m
		}
	}
	time.Sleep(waitingTime + finishTime)
	waiting := 0
	for id, m := range ids {
		st := w.state(0, id)
		if st == "succeeded" {
			continue
		}
		waiting++
		w.rec.add("job %s for %s is %q and was started %d times, %v after it was accepted; %s has refused %d orders for their fence",
			id, m.id, st, len(w.startsOf(id)), waitingTime+finishTime, m.id, m.refusedFences())
	}
	w.rec.add("%d of %d accepted jobs have not run, though their minions are up, ready and idle", waiting, len(ids))
	return waiting > 0
}
