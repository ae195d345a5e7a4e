package cell

import (
	"strings"

	"kumquatwing/internal/model"
)

// Advice says how the placement policy of a queue is asked.
type Advice struct {
	// DecideMillis is the time of a call, PerWorkerMillis what each worker adds.
	DecideMillis    float64
	PerWorkerMillis float64
	// ValidMillis is how long a ticket is good.
	ValidMillis int64
}

// Queue takes jobs under a host and a path prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Priority 0 goes first and may preempt others.
	Priority int
	// Attempts bounds the failed runs of a task.
	Attempts int
	// TimeoutMillis bounds a call of the queue.
	TimeoutMillis int64
	// ObjectiveMillis and Stretch give the time within which a job should end:
	// Stretch times its longest chain of work and ObjectiveMillis more.
	ObjectiveMillis int64
	Stretch         float64
	// Pool names the workers that run the queue's tasks.
	Pool string
	// Open queues take work without a key.
	Open bool
	// Advice is nil where no policy needs to be asked.
	Advice *Advice
}

// Pool is a set of workers.
type Pool struct {
	Name string
	// EnforcesCapacity says that the workers refuse what doesn't fit.
	EnforcesCapacity bool
	// Standby pools are switched off until they are needed.
	Standby bool
}

// Workspace submits jobs.
type Workspace struct {
	Name string
	Keys []string
	// Priority orders workspaces, 0 first.
	Priority int
	// Weight is the workspace's share when the cell is full.
	Weight float64
	// Limit bounds what it has running; 0 in a dimension is no bound.
	Limit model.Resources
}

// Config is what operators declare.
type Config struct {
	Version    int64
	Queues     []Queue
	Pools      []Pool
	Workspaces []Workspace
}

// Queue returns the queue of the given name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Match returns the queue with the longest prefix of path at host, or nil.
func (c *Config) Match(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}

// Workspace returns the workspace of the given name, or nil.
func (c *Config) Workspace(name string) *Workspace {
	for i := range c.Workspaces {
		if c.Workspaces[i].Name == name {
			return &c.Workspaces[i]
		}
	}
	return nil
}

// WorkspaceOfKey returns the workspace that has a key, or nil.
func (c *Config) WorkspaceOfKey(key string) *Workspace {
	if key == "" {
		return nil
	}
	for i := range c.Workspaces {
		for _, k := range c.Workspaces[i].Keys {
			if k == key {
				return &c.Workspaces[i]
			}
		}
	}
	return nil
}

// Check returns why the configuration is invalid, or "".
func (c *Config) Check() string {
	pools := map[string]bool{}
	for i := range c.Pools {
		pools[c.Pools[i].Name] = true
	}
	type place struct{ host, prefix string }
	places := map[place]bool{}
	names := map[string]bool{}
	for i := range c.Queues {
		q := &c.Queues[i]
		at := place{q.Host, q.Prefix}
		switch {
		case q.Name == "" || names[q.Name]:
			return "queue " + q.Name + ": its name is missing or taken"
		case q.Host == "" || q.Prefix == "":
			return "queue " + q.Name + ": host or prefix is missing"
		case !pools[q.Pool]:
			return "queue " + q.Name + ": unknown pool " + q.Pool
		case places[at]:
			return "queue " + q.Name + ": another queue has its host and prefix"
		case q.TimeoutMillis <= 0:
			return "queue " + q.Name + ": the time-out must be above 0"
		}
		places[at], names[q.Name] = true, true
	}
	return c.checkKeys()
}

// checkKeys reports a key that two workspaces share.
func (c *Config) checkKeys() string {
	owner := map[string]string{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.Keys {
			if other, ok := owner[k]; ok && other != w.Name {
				return "workspaces " + other + " and " + w.Name + " share a key"
			}
			owner[k] = w.Name
		}
	}
	return ""
}
