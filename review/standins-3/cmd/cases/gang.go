package main

import (
	"fmt"
	"time"
)

func init() { cases["gang"] = gang }

// gang: a task that lasts fails once while a gang waits for more places than are free.
func gang(c *cell) string {
	c.start()
	c.configure(config(1, []any{route("r-gang", "/gang/", 1, 1000, 2.2), route("r-serve", "/serve/", 2, 1000, 2.2)},
		[]any{tenant("big", "key-big", 0, 0), tenant("small", "key-small", 100000, 200000)}))
	for range 4 {
		c.minions(12)
	}
	time.Sleep(3 * time.Second)
	spec := "kind=lasting"
	if trouble {
		spec += " fail=20000"
	}
	lasting := jobID()
	status, _ := c.client("POST", "/serve/", lasting, "key-small", job(spec, map[string]any{
		"count": 1, "cpu": 4000, "mem-mb": 4000, "estimate-ms": 2000, "daemon": true, "image": "web"}))
	need(status == 200, "the job was not accepted")
	c.waitFor(10*time.Second, "start of the lasting task", func() bool { return c.running(lasting) == 1 })
	// Other tasks that last take 174 of the 192 places of this size.
	fill := jobID()
	status, _ = c.client("POST", "/serve/", fill, "key-big", job("kind=lasting", map[string]any{
		"count": 174, "cpu": 4000, "mem-mb": 4000, "estimate-ms": 2000, "daemon": true, "image": "other"}))
	need(status == 200, "the other job was not accepted")
	c.waitFor(15*time.Second, "start of the other tasks", func() bool { return c.running(fill) == 174 })
	c.note("175 of 192 places are taken, 17 are free: 68 of 768 cores")
	// A gang of 24 tasks comes. It could run only if 7 more places were free.
	waiting := jobID()
	status, _ = c.client("POST", "/gang/", waiting, "key-big", job("ms=30000", map[string]any{
		"count": 24, "cpu": 4000, "mem-mb": 4000, "estimate-ms": 30000, "gang": true}))
	need(status == 200, "the gang was not accepted")
	return c.watchLasting(lasting, "17 places for it are free")
}

// watchLasting waits for the end of the first run of a job's only task, which lasts, and
// returns how the rule was broken: the task must not be without a run for 3 s from 6 s after
// its last run.
func (c *cell) watchLasting(lasting, free string) string {
	broken := ""
	begin := time.Now()
	var ended int64
	for time.Since(begin) < 45*time.Second && broken == "" {
		time.Sleep(50 * time.Millisecond)
		ended = 0
		again := false
		for _, e := range c.runs(lasting) {
			switch {
			case e.Ev == "end":
				ended = e.T
			case e.Ev == "start" && ended != 0:
				again = true
			}
		}
		if ended != 0 && !again && time.Now().UnixMilli()-ended > 9000 {
			broken = fmt.Sprintf("task %s.0.0.0 ended at %.3f s and has not run for 9 s since, while %s", lasting, c.at(ended), free)
		}
		if again && time.Now().UnixMilli()-ended > 12000 {
			break
		}
	}
	if broken != "" {
		// How long it goes on is told, and not judged.
		for time.Since(begin) < 85*time.Second && c.running(lasting) == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		c.note("%.1f s after its end it runs again: %v", float64(time.Now().UnixMilli()-ended)/1000, c.running(lasting) == 1)
	}
	c.client("GET", "/serve/", lasting, "key-small", nil)
	c.writeRuns(lasting, "the lasting job")
	return broken
}
