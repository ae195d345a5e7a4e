// Package entry is kqentry: it takes in callers' requests and backend servers'
// announcements, passes other calls on to kqcontrol, and keeps its leases and
// slots renewed.
package entry

import (
	"time"

	"kumquatwing/internal/model"
	"kumquatwing/internal/program"
)

const (
	// DefaultDrain bounds the time for requests in flight to end.
	DefaultDrain = 60 * time.Second
	// DefaultRequests bounds the requests taken in at the same time.
	DefaultRequests = 1024
	// DefaultHeaderBytes bounds the headers of a caller's request.
	DefaultHeaderBytes = 32 << 10
	// DefaultSync is the pause between two syncs with kqcontrol.
	DefaultSync = 200 * time.Millisecond

	minSync        = 10 * time.Millisecond
	maxSync        = time.Second
	minHeaderBytes = 1 << 10
)

// Config is what a kqentry process is started with.
type Config struct {
	VM model.VMID
	DC model.DCID
	// Listen is the address for callers, backend servers and operators.
	Listen string
	// Wire is the address of this process's own end of the wire transport.
	Wire string
	// Control lists kqcontrol wire addresses: that of the own VM first.
	Control []string
	// EventDir takes the event file; empty records nothing.
	EventDir string
	// Grace is the pause between turning unready and refusing requests, for
	// the balancer to notice. Drain bounds what follows.
	Grace, Drain time.Duration
	// Sync is the pause between two syncs.
	Sync time.Duration
	// Requests bounds the requests taken in at the same time.
	Requests int
	// HeaderBytes bounds the headers of a caller's request.
	HeaderBytes int
}

// Check returns a *program.SettingsError that names every fault of c, by flag.
func (c *Config) Check() error {
	var faults program.Faults
	faults.Missing("--vm", string(c.VM))
	faults.Missing("--dc", string(c.DC))
	faults.FreeAddr("--http", c.Listen)
	if c.Listen != "" || c.Wire != "" {
		faults.FreeAddr("--wire", c.Wire)
	}
	if len(c.Control) == 0 {
		faults.Missing("--control", "")
	}
	for _, addr := range c.Control {
		faults.Addr("--control", addr)
	}
	if c.Grace < 0 {
		faults.Add("--stop-grace is %s, not at least 0s", c.Grace)
	}
	if c.Drain <= 0 {
		faults.Add("--drain is %s, not more than 0s", c.Drain)
	}
	if c.Sync < minSync || c.Sync > maxSync {
		faults.Add("--sync is %s, not between %s and %s", c.Sync, minSync, maxSync)
	}
	if c.Requests < 1 {
		faults.Add("--requests is %d, not at least 1", c.Requests)
	}
	if c.HeaderBytes < minHeaderBytes {
		faults.Add("--header-bytes is %d, not at least %d", c.HeaderBytes, minHeaderBytes)
	}
	return faults.Err()
}
