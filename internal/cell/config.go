package cell

import (
	"strings"

	"kumquatwing/internal/model"
)

// Advice describes the placement policy of a queue.
type Advice struct {
	// DecideMillis is the fixed part of an advice request's response time, and
	// PerWorkerMillis the additional time for each worker in it.
	DecideMillis    float64
	PerWorkerMillis float64
	// ValidMillis is the period for which a ticket is valid.
	ValidMillis int64
}

// Queue accepts the jobs that are submitted under a host and a path prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Priority 0 is the most urgent. Gangs may preempt runs of queues with higher
	// numbers.
	Priority int
	// Attempts is the number of failed runs of a task after which its job fails; 0
	// means no limit.
	Attempts int
	// TimeoutMillis limits the duration of a call to the queue.
	TimeoutMillis int64
	// ObjectiveMillis and Stretch define the time within which a job should end:
	// Stretch times the estimated time of its critical path, with advice requests
	// included, plus ObjectiveMillis.
	ObjectiveMillis int64
	Stretch         float64
	// Pool is the name of the worker pool that runs the queue's tasks.
	Pool string
	// Open queues accept jobs without a key.
	Open bool
	// Advice is nil if the queue has no placement policy.
	Advice *Advice
}

// Place is where a queue is called. A configuration may give the queue at a place
// another name.
type Place struct {
	Host   string
	Prefix string
}

// Place returns where the queue is called.
func (q *Queue) Place() Place { return Place{q.Host, q.Prefix} }

// Pool is a named set of workers.
type Pool struct {
	Name string
	// EnforcesCapacity reports that the workers refuse tasks that don't fit.
	EnforcesCapacity bool
	// Standby pools stay switched off until they are needed.
	Standby bool
}

// Workspace is a customer that submits jobs.
type Workspace struct {
	Name string
	Keys []string
	// Priority orders workspaces, 0 first.
	Priority int
	// Weight is the rate, in jobs per second, up to which the workspace's jobs count
	// as within its share when the cell is full; 0 means no limit.
	Weight float64
	// Limit limits the resources that the workspace's runs use; 0 in a dimension
	// means no limit.
	Limit model.Resources
}

// Config is the configuration of a cell that operators declare.
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

// MatchQueue returns the queue at host whose prefix is the longest one that
// path starts with, or nil.
func (c *Config) MatchQueue(host, path string) *Queue {
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

// WorkspaceOfKey returns the workspace that owns the key, or nil.
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

// Validate returns the reason why the configuration is invalid, or "" if it is valid.
func (c *Config) Validate() string {
	pools := map[string]bool{}
	for i := range c.Pools {
		pools[c.Pools[i].Name] = true
	}
	places := map[Place]bool{}
	names := map[string]bool{}
	for i := range c.Queues {
		q := &c.Queues[i]
		switch {
		case q.Name == "" || names[q.Name]:
			return "queue " + q.Name + ": its name is missing or taken"
		case q.Host == "" || q.Prefix == "":
			return "queue " + q.Name + ": host or prefix is missing"
		case !pools[q.Pool]:
			return "queue " + q.Name + ": unknown pool " + q.Pool
		case places[q.Place()]:
			return "queue " + q.Name + ": another queue has its host and prefix"
		case q.TimeoutMillis <= 0:
			return "queue " + q.Name + ": the time-out must be above 0"
		case !q.inRange():
			return "queue " + q.Name + ": a time or the stretch is out of range"
		}
		places[q.Place()], names[q.Name] = true, true
	}
	return c.checkKeys()
}

const (
	// maxMillis bounds the times of a configuration, so that they fit into a
	// time.Duration.
	maxMillis = 1 << 40
	// maxStretch bounds the stretch of a queue.
	maxStretch = 1 << 20
)

// inRange reports whether the times of a queue, and its stretch, are neither below 0 nor
// too large to be computed with.
func (q *Queue) inRange() bool {
	times := []float64{float64(q.TimeoutMillis), float64(q.ObjectiveMillis)}
	if a := q.Advice; a != nil {
		times = append(times, a.DecideMillis, a.PerWorkerMillis, float64(a.ValidMillis))
	}
	for _, t := range times {
		if t < 0 || t > maxMillis {
			return false
		}
	}
	return q.Stretch >= 0 && q.Stretch <= maxStretch
}

// checkKeys returns an error text if two workspaces share a key, or "".
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
