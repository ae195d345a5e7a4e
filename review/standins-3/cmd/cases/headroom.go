package main

import "time"

// route and tenant return parts of a configuration.
func route(name, prefix string, prio int, slo int, stretch float64) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "type": "unsafe", "timeout-ms": 3000, "slo-ms": slo, "prio": prio,
		"backend": "svc", "attempts": 4, "stretch": stretch, "public": false,
	}
}

func tenant(name, key string, cpu, mem int) map[string]any {
	return map[string]any{"name": name, "api-keys": []string{key}, "prio": 1, "weight": 30, "max-count": map[string]any{"cpu": cpu, "mem-mb": mem, "gpu": 0}}
}

func config(version int, routes, tenants []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []any{map[string]any{"name": "svc", "health-path": "/health", "max-conns": 64, "proto": "h1", "enforces-capacity": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

func job(spec string, steps ...map[string]any) map[string]any {
	return map[string]any{"spec": spec, "steps": steps}
}

func init() { cases["headroom"] = headroom }

// headroom: a task that lasts fails once in a pool of which less than 4 % is free.
func headroom(c *cell) string {
	c.start()
	c.configure(config(1, []any{route("r-urgent", "/urgent/", 0, 250, 1.5), route("r-serve", "/serve/", 1, 1000, 2.2)},
		[]any{tenant("big", "key-big", 0, 0), tenant("small", "key-small", 100000, 200000)}))
	for range 4 {
		c.minions(12)
	}
	time.Sleep(3 * time.Second)
	spec := "kind=lasting"
	if trouble {
		spec += " fail=20000"
	}
	// The job under test: one task that lasts, of a tenant far below its limit.
	lasting := jobID()
	status, _ := c.client("POST", "/serve/", lasting, "key-small", job(spec, map[string]any{
		"count": 1, "cpu": 4000, "mem-mb": 4000, "estimate-ms": 60000, "daemon": true, "image": "web"}))
	need(status == 200, "the job was not accepted")
	c.waitFor(10*time.Second, "start of the lasting task", func() bool { return c.running(lasting) == 1 })
	// Other tasks that last take most of the pool: 186 of the 192 places of this size.
	fill := jobID()
	status, _ = c.client("POST", "/urgent/", fill, "key-big", job("kind=lasting", map[string]any{
		"count": 186, "cpu": 4000, "mem-mb": 4000, "estimate-ms": 60000, "daemon": true, "image": "other"}))
	need(status == 200, "the other job was not accepted")
	c.waitFor(15*time.Second, "start of the other tasks", func() bool { return c.running(fill) == 186 })
	c.note("187 of 192 places are taken, 5 are free: 20 of 768 cores")
	return c.watchLasting(lasting, "5 places for it are free")
}
