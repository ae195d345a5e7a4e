package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// reborn: minions are cut off, crash behind the cut, and start again under their id and
// at their address. Then the cut heals.
func reborn(e *env) error {
	const (
		minions  = 24
		rounds   = 9
		interval = 4 * time.Second
		// atOnce is how many minions are cut off at a time: a share of 0.17.
		atOnce   = 4
		cutFor   = 1200 * time.Millisecond
		crashAt  = 200 * time.Millisecond
		rebornAt = 500 * time.Millisecond
	)
	e.proxied = true
	if err := e.addMinions(minions, func(string) time.Duration { return 2 * time.Second }); err != nil {
		return err
	}
	if err := e.configure(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	t := startTraffic(e.rec, e.d.entryAddrs(), 12, "reborn", step{Count: 5, CPU: 1300, Mem: 1800, Estimate: 2000})
	time.Sleep(3 * time.Second)
	for range rounds {
		if e.trouble {
			for _, i := range rand.Perm(minions)[:atOnce] {
				m := e.minions[i]
				e.rec.log("minion %s is cut off", m.id)
				m.cut.down.Store(true)
				time.AfterFunc(crashAt, m.crash)
				time.AfterFunc(rebornAt, func() {
					if err := m.start(); err != nil {
						e.rec.log("%s could not start: %v", m.id, err)
					}
				})
				time.AfterFunc(cutFor, func() {
					e.rec.log("minion %s is reached again", m.id)
					m.cut.down.Store(false)
				})
			}
		}
		time.Sleep(interval)
	}
	e.finish(t.end(), 20*time.Second)
	return nil
}

// manyEnds: a minion with many small tasks is cut off while they end. After the cut it
// lists 500 of the ends.
func manyEnds(e *env) error {
	const (
		minions = 6
		jobs    = 72
		width   = 50
		cutAt   = time.Second
		cutFor  = 5 * time.Second
	)
	e.proxied = true
	// Tasks last 3 to 5.5 s, so that their ends spread.
	duration := func(string) time.Duration { return 3*time.Second + rand.N(2500*time.Millisecond) }
	if err := e.addMinions(minions, duration); err != nil {
		return err
	}
	if err := e.configure(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var accepted []string
	for range jobs {
		id := newJobID()
		if submit(e.rec, e.d.entryAddrs(), pathPrefix, id, "small", step{Count: width, CPU: 25, Mem: 50, Estimate: 4000}) {
			accepted = append(accepted, id)
		}
	}
	time.Sleep(cutAt)
	if e.trouble {
		m := e.fullest()
		e.rec.log("minion %s is cut off with %d runs", m.id, m.runs())
		m.cut.down.Store(true)
		time.Sleep(cutFor)
		e.rec.log("minion %s is reached again", m.id)
		m.cut.down.Store(false)
	}
	e.finish(accepted, 30*time.Second)
	return nil
}

// fullest returns the minion with the most runs.
func (e *env) fullest() *minion {
	best := e.minions[0]
	for _, m := range e.minions {
		if m.runs() > best.runs() {
			best = m
		}
	}
	return best
}

// runs returns the number of runs at work.
func (m *minion) runs() int {
	f := m.current()
	if f == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.running)
}

// drain makes the minion report that it drains. It goes after the given time.
func (m *minion) drain(stays time.Duration) bool {
	f := m.current()
	f.mu.Lock()
	f.draining, f.leaves = true, time.Now().Add(stays)
	f.mu.Unlock()
	next := 0
	ok := f.report(&next)
	m.rec.log("minion %s reports draining, acknowledged: %v", f.name, ok)
	return ok
}

// leave ends the minion after it has announced that.
func (m *minion) leave() {
	for _, addr := range m.controls {
		if status, err := order(m.rec, []string{addr}, 0, "DELETE", "/instances/"+m.id, nil, time.Second); err == nil && status == 200 {
			break
		}
	}
	m.crash()
}

// drainingCut: a minion drains, the leader is stopped and started as planned, and then
// the minion is cut off and runs on. A new minion takes its place.
func drainingCut(e *env) error {
	const (
		minions = 6
		rounds  = 3
		taskFor = 8 * time.Second
		stays   = 9 * time.Second
		cutFor  = 5500 * time.Millisecond
	)
	e.proxied = true
	duration := func(string) time.Duration { return taskFor }
	if err := e.addMinions(minions, duration); err != nil {
		return err
	}
	if err := e.configure(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	t := startTraffic(e.rec, e.d.entryAddrs(), 3, "long", step{Count: 2, CPU: 1300, Mem: 1800, Estimate: taskFor.Milliseconds()})
	time.Sleep(5 * time.Second)
	for round := range rounds {
		time.Sleep(5 * time.Second)
		m := e.minions[round]
		e.rec.log("round %d: minion %s has %d runs", round, m.id, m.runs())
		m.drain(stays)
		gone := time.After(stays)
		time.Sleep(300 * time.Millisecond)
		leader := e.d.leader()
		e.rec.log("%s, which leads, gets SIGTERM", leader.name)
		stopped := make(chan error, 1)
		go func() {
			leader.end(syscall.SIGTERM)
			stopped <- leader.start(false)
		}()
		time.Sleep(1500 * time.Millisecond)
		if e.trouble {
			e.rec.log("minion %s is cut off with %d runs", m.id, m.runs())
			m.cut.down.Store(true)
			time.Sleep(cutFor)
			e.rec.log("minion %s is reached again", m.id)
			m.cut.down.Store(false)
		}
		if err := <-stopped; err != nil {
			return err
		}
		<-gone
		m.leave()
		if err := e.addMinions(1, duration); err != nil {
			return err
		}
	}
	e.finish(t.end(), 20*time.Second)
	return nil
}

// lateWithdrawal: a zone is evacuated. The operator takes the evacuation back and, as
// its first order was a mistake, evacuates the zone again. While it does so, the control
// process that got the first order and the leader can't reach each other.
func lateWithdrawal(e *env) error {
	const (
		minions    = 6
		evacuateMS = 5000
		cutFor     = 1200 * time.Millisecond
		watchFor   = 8 * time.Second
	)
	if err := e.addMinions(minions, func(string) time.Duration { return 800 * time.Millisecond }); err != nil {
		return err
	}
	if err := e.configure(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	t := startTraffic(e.rec, e.d.entryAddrs(), 8, "short", step{Count: 2, CPU: 1300, Mem: 1800, Estimate: 800})
	addrs := e.d.controlAddrs()
	for round := range 3 {
		zone := zones[round]
		path := "/evacuations/" + zone
		if _, err := order(e.rec, addrs, round, "POST", path, nil, 4*time.Second); err != nil {
			return err
		}
		time.Sleep(6 * time.Second)
		leader := e.d.leader()
		l := slices.Index(e.d.controls, leader)
		x, y := (l+1)%len(addrs), (l+2)%len(addrs)
		link := e.d.link(leader.ip, e.d.controls[x].ip)
		if e.trouble {
			e.rec.log("%s, which leads, and %s can't reach each other", leader.name, e.d.controls[x].name)
			link.down.Store(true)
			time.AfterFunc(cutFor, func() {
				e.rec.log("%s and %s reach each other again", leader.name, e.d.controls[x].name)
				link.down.Store(false)
			})
		}
		if _, err := order(e.rec, addrs, x, "DELETE", path, nil, 4*time.Second); err != nil {
			return err
		}
		if _, err := order(e.rec, addrs, y, "POST", path, nil, 4*time.Second); err != nil {
			return err
		}
		evacuated := e.rec.now()
		time.Sleep(watchFor)
		inZone := func(life string) bool {
			for _, m := range e.minions {
				if m.zone == zone && strings.HasPrefix(life, m.id+"/") {
					return true
				}
			}
			return false
		}
		late := e.rec.startsOn(inZone, evacuated+evacuateMS*time.Millisecond)
		if len(late) > 0 {
			e.rec.breaks("EVAC: %d tasks started in %s later than %d ms after its evacuation was acknowledged at %.3f, which nobody took back; one is %s on %s at %.3f",
				len(late), zone, evacuateMS, evacuated.Seconds(), late[0].task, late[0].life, late[0].at.Seconds())
		}
		if _, err := order(e.rec, addrs, l, "DELETE", path, nil, 4*time.Second); err != nil {
			return err
		}
		time.Sleep(4 * time.Second)
	}
	e.finish(t.end(), 15*time.Second)
	return nil
}

// removedRoute: the operator removes a route while its clients still hand jobs in. The
// leader is cut off from the other control processes for a moment.
func removedRoute(e *env) error {
	const (
		minions = 6
		rounds  = 5
		cutFor  = 150 * time.Millisecond
		postAt  = 50 * time.Millisecond
		clients = 5
		// waitFor is how long an accepted job may wait; the rule allows 3 s.
		waitFor = 10 * time.Second
	)
	if err := e.addMinions(minions, func(string) time.Duration { return 500 * time.Millisecond }); err != nil {
		return err
	}
	if err := e.configure(routesFrom(0, rounds)...); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	accepted := map[string]time.Duration{}
	job := step{Count: 2, CPU: 1300, Mem: 1800, Estimate: 500}
	for round := range rounds {
		if !submit(e.rec, e.d.entryAddrs(), routePrefix(round), newJobID(), "before", job) {
			return errors.New("a job was not accepted")
		}
		time.Sleep(3 * time.Second)
		leader := e.d.leader()
		if e.trouble {
			e.rec.log("%s, which leads, is cut off from the other control processes", leader.name)
			e.cutFromOthers(leader, true)
			time.AfterFunc(cutFor, func() {
				e.rec.log("%s reaches the other control processes again", leader.name)
				e.cutFromOthers(leader, false)
			})
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		for range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(postAt)
				id := newJobID()
				if submit(e.rec, e.d.entryAddrs(), routePrefix(round), id, "during", job) {
					mu.Lock()
					defer mu.Unlock()
					accepted[id] = e.rec.now()
				}
			}()
		}
		next := configuration(2+round, routesFrom(round+1, rounds)...)
		status, err := order(e.rec, e.d.controlAddrs(), slices.Index(e.d.controls, leader), "PUT", "/config", next, 4*time.Second)
		if err != nil || status != 200 {
			return fmt.Errorf("the configuration got %d, %v", status, err)
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
	}
	time.Sleep(waitFor)
	e.rec.log("%d jobs were accepted while their route was being removed", len(accepted))
	for id, at := range accepted {
		if e.rec.startsOf(id) == 0 {
			e.rec.breaks("LOST: job %s was accepted at %.3f, and none of its tasks has started by %.3f", id, at.Seconds(), e.rec.now().Seconds())
		}
	}
	return nil
}

// routePrefix returns the prefix of the route that a round removes.
func routePrefix(round int) string { return fmt.Sprintf("/pule%d/", round) }

// routesFrom returns the routes that are left before the given round.
func routesFrom(round, rounds int) []map[string]any {
	routes := []map[string]any{route("r-cpihhac", pathPrefix)}
	for ; round < rounds; round++ {
		routes = append(routes, route(fmt.Sprintf("r-v3nax%d", round), routePrefix(round)))
	}
	return routes
}

// cutFromOthers cuts the links between a control process and the others, or restores
// them.
func (e *env) cutFromOthers(p *process, down bool) {
	for _, c := range e.d.controls {
		if c != p {
			e.d.link(p.ip, c.ip).down.Store(down)
		}
	}
}

// refusedYetRun: the leader takes a job, and its answer to the entry process is lost, as
// the two are cut off from each other. While the entry process looks for another way to
// the leader, the operator removes the job's route.
func refusedYetRun(e *env) error {
	const rounds = 5
	if err := e.addMinions(6, func(string) time.Duration { return 500 * time.Millisecond }); err != nil {
		return err
	}
	if err := e.configure(routesFrom(0, rounds)...); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	job := step{Count: 2, CPU: 1300, Mem: 1800, Estimate: 500}
	for round := range rounds {
		leader, entry := e.d.leader(), e.d.entries[round%len(e.d.entries)]
		link := e.d.link(leader.ip, entry.ip)
		id := newJobID()
		accepted := make(chan bool, 1)
		if e.trouble {
			e.rec.log("%s and %s are cut off from each other once a request has passed", leader.name, entry.name)
			link.cutAfterNext.Store(true)
		}
		go func() {
			entryAddr := fmt.Sprintf("%s:%d", entry.ip, callersPort)
			accepted <- submit(e.rec, []string{entryAddr}, routePrefix(round), id, "refused", job)
		}()
		time.Sleep(200 * time.Millisecond)
		next := configuration(2+round, routesFrom(round+1, rounds)...)
		status, err := order(e.rec, e.d.controlAddrs(), slices.Index(e.d.controls, leader), "PUT", "/config", next, 4*time.Second)
		if err != nil || status != 200 {
			return fmt.Errorf("the configuration got %d, %v", status, err)
		}
		ok := <-accepted
		link.down.Store(false)
		time.Sleep(2 * time.Second)
		n := e.rec.startsOf(id)
		e.rec.log("job %s: accepted %v, %d starts", id, ok, n)
		if !ok && n > 0 {
			e.rec.breaks("REFUSED: all attempts to hand in job %s were rejected, and %d of its tasks started", id, n)
		}
	}
	return nil
}
