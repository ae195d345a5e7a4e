package main

import (
	"sync"
	"time"
)

// trafficCPU is what each task of the traffic needs, in thousandths of a core.
const trafficCPU = 100

// traffic is a number of clients that hand in jobs of one task, one after the other.
type traffic struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	accepted []string
}

func newTraffic(w *world, clients int, pause time.Duration, spec string) *traffic {
	t := &traffic{stop: make(chan struct{})}
	for range clients {
		t.wg.Go(func() { t.client(w, pause, spec) })
	}
	return t
}

// client hands in jobs until the end of the traffic. A job without a clear answer is not
// sent again, and not counted as accepted.
func (t *traffic) client(w *world, pause time.Duration, spec string) {
	for {
		select {
		case <-t.stop:
			return
		case <-time.After(pause):
		}
		id := newID()
		a := call("POST", w.entries[0].frontAddr(), queuePrefix+id, headers(3*time.Second), jobBody(1, trafficCPU, spec), 3*time.Second)
		if a.status/100 != 2 {
			w.rec.add("client: POST %s%s: %v", queuePrefix, id, a)
			continue
		}
		t.mu.Lock()
		t.accepted = append(t.accepted, id)
		t.mu.Unlock()
	}
}

// end ends the traffic and returns the accepted jobs.
func (t *traffic) end() []string {
	close(t.stop)
	t.wg.Wait()
	return t.accepted
}

// notSucceeded returns the jobs that are not shown as succeeded.
func (w *world) notSucceeded(jobs []string) []string {
	var mu sync.Mutex
	var left []string
	var wg sync.WaitGroup
	next := make(chan string)
	for range 16 {
		wg.Go(func() {
			for id := range next {
				if w.state(0, id) != "succeeded" {
					mu.Lock()
					left = append(left, id)
					mu.Unlock()
				}
			}
		})
	}
	for _, id := range jobs {
		next <- id
	}
	close(next)
	wg.Wait()
	return left
}
