// Package entry is kqentry: it takes in callers' requests and backend servers'
// announcements, passes other calls on to kqcontrol, and keeps its leases and
// slots renewed.
package entry

import (
	"errors"
	"fmt"
	"net"
	"time"

	"kumquatwing/internal/model"
)

const (
	// DefaultGrace is how long an entry VM stays open after it turned unready.
	DefaultGrace = time.Second
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

// Check returns all faults of the configuration at once, naming the flags.
func (c *Config) Check() error {
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	if c.VM == "" {
		fault("--vm is missing")
	}
	if c.DC == "" {
		fault("--dc is missing")
	}
	checkAddr(fault, "--listen", c.Listen)
	checkAddr(fault, "--wire", c.Wire)
	if len(c.Control) == 0 {
		fault("--control is missing")
	}
	for _, addr := range c.Control {
		checkAddr(fault, "--control", addr)
	}
	if c.Grace < 0 || c.Drain <= 0 {
		fault("--grace must be at least 0s and --drain more than 0s")
	}
	if c.Sync < minSync || c.Sync > maxSync {
		fault("--sync is %v, not between %v and %v", c.Sync, minSync, maxSync)
	}
	if c.Requests < 1 {
		fault("--requests is %d, not at least 1", c.Requests)
	}
	if c.HeaderBytes < minHeaderBytes {
		fault("--header-bytes is %d, not at least %d", c.HeaderBytes, minHeaderBytes)
	}
	return errors.Join(faults...)
}

func checkAddr(fault func(string, ...any), flag, addr string) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		fault("%s is %q, not an address of the form ip:port", flag, addr)
		return
	}
	if net.ParseIP(host) == nil {
		fault("%s is %q: %q is not an IP number", flag, addr, host)
	}
}
