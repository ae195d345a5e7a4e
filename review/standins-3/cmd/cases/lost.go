package main

import (
	"fmt"
	"time"
)

func init() { cases["lost"] = lost }

// lost: the minion of a task that lasts is lost for good.
func lost(c *cell) string {
	c.start()
	c.configure(config(1, []any{route("r-serve", "/serve/", 1, 1000, 2.2)}, []any{tenant("small", "key-small", 100000, 200000)}))
	minions := map[string]*process{}
	for i := range 9 {
		minions[fmt.Sprintf("i-%04d", i)] = c.minions(1, c.zones[i%3])
	}
	time.Sleep(3 * time.Second)
	lasting := jobID()
	status, _ := c.client("POST", "/serve/", lasting, "key-small", job("kind=lasting", map[string]any{
		"count": 1, "cpu": 4000, "mem-mb": 4000, "estimate-ms": 2000, "daemon": true, "image": "web"}))
	need(status == 200, "the job was not accepted")
	c.waitFor(10*time.Second, "start of the lasting task", func() bool { return c.running(lasting) == 1 })
	time.Sleep(8 * time.Second)
	on := c.runs(lasting)[0].Minion
	if trouble {
		c.note("minion %s is killed and stays down", on)
		c.kill(minions[on])
	}
	lostAt := time.Now()
	again := 0.0
	for time.Since(lostAt) < 16*time.Second && again == 0 {
		time.Sleep(20 * time.Millisecond)
		for _, e := range c.runs(lasting) {
			if e.Ev == "start" && e.Run > 1 {
				again = float64(e.T-lostAt.UnixMilli()) / 1000
			}
		}
	}
	c.writeRuns(lasting, "the lasting job")
	if !trouble {
		need(c.running(lasting) == 1, "the task does not run")
		return ""
	}
	c.note("the task runs again %.3f s after its minion was lost (0: not within 16 s)", again)
	if again == 0 || again > 9 {
		return fmt.Sprintf("the task ran again %.3f s after its last run, not within 6 s + 3 s, while 8 of 9 minions are empty", again)
	}
	return ""
}
