// Package control implements the kqcontrol process. It runs a member of the fleet
// group and a member of the group of its data centre, relays settings leases, serves
// entry VMs, workers and operators, and runs the scheduler while it leads the group
// of its data centre.
package control

import (
	"time"

	"kumquatwing/internal/model"
	"kumquatwing/internal/program"
)

// Config holds the settings of one process, from flags and environment variables.
type Config struct {
	VM     model.VMID
	DC     model.DCID
	Region string
	// WireAddr and HTTPAddr are the listen addresses, as IP:port.
	WireAddr string
	HTTPAddr string
	// AdvertiseAddr is the address at which other processes reach WireAddr. The
	// default is WireAddr.
	AdvertiseAddr string
	// EntryAddr is the HTTP address of the kqentry on the same VM.
	EntryAddr string
	// Join lists wire addresses of other kqcontrol processes, in any order.
	Join []string
	// DataDir is the folder of the durable state. It is empty on a VM without a disk;
	// the state is then kept in memory.
	DataDir string
	// EventDir is the folder of the event files. If empty, no event files are written.
	EventDir string
	// OperatorToken must be sent with the calls of operators. If empty, it is not
	// checked.
	OperatorToken string
	// Tick is the interval between two runs of the scheduler.
	Tick time.Duration
	// Threads is the maximum number of threads that run Go code at the same time.
	Threads int
	// StopGrace is how long a process that is shutting down reports that it is not
	// ready before it transfers its leaderships.
	StopGrace time.Duration
}

const (
	defaultTick = 100 * time.Millisecond
	minTick     = 10 * time.Millisecond
	maxTick     = 5 * time.Second
	// defaultThreads allows one thread for the control state and one for incoming
	// calls. With more, the Go scheduler's search for runnable goroutines costs more
	// processor time, and the process more memory.
	defaultThreads = 2
)

// Check sets defaults and validates c. It returns a *program.SettingsError that
// lists every invalid setting by its flag.
func (c *Config) Check() error {
	var v program.SettingsValidator
	v.Required("--vm", string(c.VM))
	v.Required("--dc", string(c.DC))
	v.Addr("--wire", c.WireAddr)
	v.Addr("--http", c.HTTPAddr)
	if c.AdvertiseAddr == "" {
		c.AdvertiseAddr = c.WireAddr
	} else {
		v.Addr("--advertise", c.AdvertiseAddr)
	}
	if c.EntryAddr != "" {
		v.Addr("--entry", c.EntryAddr)
	}
	for _, a := range c.Join {
		v.Addr("--join", a)
	}
	if c.Tick == 0 {
		c.Tick = defaultTick
	}
	if c.Tick < minTick || c.Tick > maxTick {
		v.Add("--tick is %s, not between %s and %s", c.Tick, minTick, maxTick)
	}
	if c.Threads == 0 {
		c.Threads = defaultThreads
	}
	if c.Threads < 1 {
		v.Add("--threads is %d, not at least 1", c.Threads)
	}
	if c.StopGrace < 0 {
		v.Add("--stop-grace is %s, not at least 0s", c.StopGrace)
	}
	return v.Err()
}
