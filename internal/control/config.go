// Package control is the kqcontrol process: it joins the fleet group and the
// group of its data centre, passes leases on, answers entry VMs, workers and
// operators, and runs the scheduler's tick while it leads its data centre.
package control

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"kumquatwing/internal/model"
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

// Check returns one error that names every fault of c.
func (c *Config) Check() error {
	var faults []string
	fault := func(format string, args ...any) {
		faults = append(faults, fmt.Sprintf(format, args...))
	}
	if c.VM == "" {
		fault("--vm is missing")
	}
	if c.DC == "" {
		fault("--dc is missing")
	}
	checkAddr(fault, "--wire", c.WireAddr)
	checkAddr(fault, "--http", c.HTTPAddr)
	if c.AdvertiseAddr == "" {
		c.AdvertiseAddr = c.WireAddr
	}
	checkAddr(fault, "--advertise", c.AdvertiseAddr)
	if c.EntryAddr != "" {
		checkAddr(fault, "--entry", c.EntryAddr)
	}
	for _, a := range c.Join {
		checkAddr(fault, "--join", a)
	}
	if c.Tick == 0 {
		c.Tick = defaultTick
	}
	if c.Tick < minTick || c.Tick > maxTick {
		fault("--tick %s is not between %s and %s", c.Tick, minTick, maxTick)
	}
	if c.StopGrace < 0 {
		fault("--stop-grace %s is negative", c.StopGrace)
	}
	if len(faults) > 0 {
		return merry.New("bad settings: " + strings.Join(faults, "; "))
	}
	return nil
}

func checkAddr(fault func(string, ...any), flag, addr string) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		fault("%s %q is not host:port", flag, addr)
		return
	}
	if net.ParseIP(host) == nil {
		fault("%s %q does not name an IP number", flag, addr)
	}
	if port == "" || port == "0" {
		fault("%s %q has no port", flag, addr)
	}
}
