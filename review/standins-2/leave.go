package main

import (
	"sync"
	"time"
)

// Disruption of lateLeave: leaveRounds times, a control process that doesn't lead stands
// still for leaveFreeze, while leaveMinions minions are replaced at a time.
const (
	leaveRounds  = 4
	leaveMinions = 3
	leaveFreeze  = 6500 * time.Millisecond
	// leaveStart is how long a minion takes from its start to its first heartbeat.
	leaveStart = 4 * time.Second
)

// lateLeave restarts minions under their ids while a control process is frozen. Their
// calls that they leave go there first, get no answer within a second and are made again
// at another control process, which acknowledges them. Once the frozen process has gone
// on, jobs for the minions, which are up again and say that they are ready, must run.
func lateLeave(rec *record, root string, trouble bool) (bool, error) {
	w, err := newWorldOnCores(rec, root, 1, leaveRounds*leaveMinions, 1)
	defer w.close()
	if err != nil {
		return false, err
	}
	for i := range leaveRounds {
		if err := leaveRound(w, w.minions[i*leaveMinions:(i+1)*leaveMinions], trouble); err != nil {
			return false, err
		}
	}
	return jobsWait(w), nil
}

// leaveRound replaces minions while a control process is frozen.
func leaveRound(w *world, minions []*minion, trouble bool) error {
	frozen := w.follower()
	if trouble {
		frozen.freeze()
	}
	frozenAt := time.Now()
	var wg sync.WaitGroup
	errs := make(chan error, len(minions))
	for _, m := range minions {
		wg.Go(func() { errs <- replaceMinion(w, m, frozen) })
	}
	wg.Wait()
	for range minions {
		if err := <-errs; err != nil {
			return err
		}
	}
	time.Sleep(time.Until(frozenAt.Add(leaveFreeze)))
	if trouble {
		frozen.thaw()
	}
	time.Sleep(2 * time.Second)
	return nil
}

// follower returns a control process that doesn't lead.
func (w *world) follower() *process {
	leader := w.leader()
	for _, p := range w.controls {
		if p != leader {
			return p
		}
	}
	return nil
}

// replaceMinion has a minion leave, end and start again. It calls the control process
// first before the others.
func replaceMinion(w *world, m *minion, first *process) error {
	order := []string{first.controlAddr()}
	for _, p := range w.controls {
		if p != first {
			order = append(order, p.controlAddr())
		}
	}
	for _, addr := range order {
		a := call("DELETE", addr, "/instances/"+m.id, nil, nil, time.Second)
		w.rec.add("%s: DELETE /instances/%s to %s: %v", m.id, m.id, addr, a)
		if a.status/100 == 2 {
			break
		}
	}
	m.end()
	w.rec.add("%s has ended", m.id)
	m.startTime = leaveStart
	if err := m.start(); err != nil {
		return notRun("a minion could not be started again: %v", err)
	}
	w.rec.add("%s begins a new life", m.id)
	return nil
}
