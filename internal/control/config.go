// Package control is the kqcontrol process: it joins the fleet group and the
// group of its data centre, passes leases on, answers entry VMs, workers and
// operators, and runs the scheduler's tick while it leads its data centre.
package control

import (
	"time"

	"kumquatwing/internal/model"
	"kumquatwing/internal/program"
)

// Config is the setting of one process, from flags and environment variables.
type Config struct {
	VM     model.VMID
	DC     model.DCID
	Region string
	// WireAddr and HTTPAddr are host:port to listen at.
	WireAddr string
	HTTPAddr string
	// AdvertiseAddr is where other processes reach WireAddr, if that differs.
	AdvertiseAddr string
	// EntryAddr is the HTTP address of the kqentry on the same VM.
	EntryAddr string
	// Join lists wire addresses of other kqcontrol processes, in any order.
	Join []string
	// DataDir holds the durable state; empty means that the VM has no disk.
	DataDir string
	// EventDir holds the event files; empty turns them off.
	EventDir string
	// OperatorToken must come with operators' calls, unless it is empty.
	OperatorToken string
	// Tick is the period of the scheduler.
	Tick time.Duration
	// StopGrace is how long readiness is withdrawn before the process hands
	// its duties over on a graceful stop.
	StopGrace time.Duration
}

const (
	defaultTick = 100 * time.Millisecond
	minTick     = 10 * time.Millisecond
	maxTick     = 5 * time.Second
)

// Check returns a *program.SettingsError that names every fault of c, by flag.
func (c *Config) Check() error {
	var faults program.Faults
	faults.Missing("--vm", string(c.VM))
	faults.Missing("--dc", string(c.DC))
	faults.Addr("--wire", c.WireAddr)
	faults.Addr("--http", c.HTTPAddr)
	if c.AdvertiseAddr == "" {
		c.AdvertiseAddr = c.WireAddr
	} else {
		faults.Addr("--advertise", c.AdvertiseAddr)
	}
	if c.EntryAddr != "" {
		faults.Addr("--entry", c.EntryAddr)
	}
	for _, a := range c.Join {
		faults.Addr("--join", a)
	}
	if c.Tick == 0 {
		c.Tick = defaultTick
	}
	if c.Tick < minTick || c.Tick > maxTick {
		faults.Add("--tick is %s, not between %s and %s", c.Tick, minTick, maxTick)
	}
	if c.StopGrace < 0 {
		faults.Add("--stop-grace is %s, not at least 0s", c.StopGrace)
	}
	return faults.Err()
}
