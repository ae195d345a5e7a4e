package main

import (
	"strings"
	"time"
)

// Disruptions of lostRestart. The freezes are shorter than an election takes, so that the
// leader goes on leading.
const (
	rounds      = 6
	freezes     = 7
	freezeTime  = 330 * time.Millisecond
	freezePause = 400 * time.Millisecond
	crashTime   = time.Second
	// specBytes pads the jobs; the pages allow 4,000 bytes.
	specBytes = 2000
)

// lostRestart freezes the leader for moments while jobs arrive, and then the minions of
// one rack crash and start again under their ids. Each accepted job must have ended
// finishTime after the end of the traffic.
func lostRestart(rec *record, root string, trouble bool) (bool, error) {
	w, err := newWorld(rec, root, 1, 6)
	defer w.close()
	if err != nil {
		return false, err
	}
	clients := newTraffic(w, 48, 50*time.Millisecond, "work 300ms "+strings.Repeat("x", specBytes))
	time.Sleep(3 * time.Second)
	for range rounds {
		leader := w.leader()
		for range freezes {
			if trouble {
				leader.freeze()
			}
			time.Sleep(freezeTime)
			if trouble {
				leader.thaw()
			}
			time.Sleep(freezePause)
		}
		if err := crashRack(w, trouble); err != nil {
			return false, err
		}
		rec.add("the leader was %s and is %s", leader.name, w.leader().name)
	}
	jobs := clients.end()
	rec.add("end of the traffic, %d jobs accepted", len(jobs))
	time.Sleep(finishTime)
	left := w.notSucceeded(jobs)
	rec.add("%d jobs have not ended %v after the end of the traffic", len(left), finishTime)
	for _, id := range left {
		rec.add("job %s is %q; its task was started %d times", id, w.state(0, id), len(w.startsOf(id)))
	}
	return len(left) > 0, nil
}

// crashRack ends the three minions of the first rack, which have most of the tasks, at
// once, and starts them again under their ids after crashTime.
func crashRack(w *world, trouble bool) error {
	minions := w.minions[:3]
	for _, m := range minions {
		if trouble {
			m.end()
			w.rec.add("%s has crashed", m.id)
		}
	}
	time.Sleep(crashTime)
	for _, m := range minions {
		if !trouble {
			continue
		}
		if err := m.start(); err != nil {
			return notRun("%v", err)
		}
		w.rec.add("%s is up again", m.id)
	}
	time.Sleep(crashTime)
	return nil
}
