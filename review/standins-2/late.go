package main

import (
	"sync"
	"time"
)

// Disruption of lateSubmit: an entry process stands still for submitFreeze, longer than
// bounds.cancel_ms after the cancelling is acknowledged.
const (
	submitFreeze = 4800 * time.Millisecond
	submitJobs   = 6
	cancelTime   = 3 * time.Second
)

// lateSubmit freezes an entry process while callers hand jobs in there. They get no
// answer within their deadline, leave, and cancel the jobs at another entry process, which
// acknowledges that. No task of the jobs may begin cancelTime later.
func lateSubmit(rec *record, root string, trouble bool) (bool, error) {
	w, err := newWorld(rec, root, 2, 3)
	defer w.close()
	if err != nil {
		return false, err
	}
	if trouble {
		w.entries[0].freeze()
	}
	frozenAt := time.Now()
	var mu sync.Mutex
	cancelled := map[string]time.Time{}
	var wg sync.WaitGroup
	for range submitJobs {
		wg.Go(func() {
			id := newID()
			w.submit(0, id, 1, "work 300ms", time.Second)
			a := w.cancel(1, id, time.Second)
			if a.status/100 != 2 && a.status != 410 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			cancelled[id] = time.Now()
		})
	}
	wg.Wait()
	if len(cancelled) == 0 {
		return false, notRun("no cancelling was acknowledged")
	}
	time.Sleep(time.Until(frozenAt.Add(submitFreeze)))
	if trouble {
		w.entries[0].thaw()
	}
	time.Sleep(3 * time.Second)
	broken := false
	for id, at := range cancelled {
		for _, s := range w.startsOf(id) {
			late := s.at.Sub(at)
			rec.add("task %s began %v after the cancelling was acknowledged", s.task, late.Round(time.Millisecond))
			broken = broken || late > cancelTime
		}
		rec.add("job %s at the end: %v", id, w.get(1, id))
	}
	return broken, nil
}
