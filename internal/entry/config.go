// Package entry implements kqentry, the daemon of an entry VM. It forwards
// callers' requests to backend servers, accepts the announcements of backend
// servers, forwards other API calls to kqcontrol, and renews its settings lease
// and its slots by periodic syncs with kqcontrol.
package entry

import (
	"time"

	"kumquatwing/internal/model"
	"kumquatwing/internal/program"
)

const (
	// DefaultDrain limits how long a stop waits for requests in flight.
	DefaultDrain = 60 * time.Second
	// DefaultRequests limits the number of requests in flight.
	DefaultRequests = 1024
	// DefaultHeaderBytes limits the size of a request's headers.
	DefaultHeaderBytes = 32 << 10
	// DefaultSync is the time from one sync with kqcontrol to the next.
	DefaultSync = 200 * time.Millisecond

	minSync        = 10 * time.Millisecond
	maxSync        = time.Second
	minHeaderBytes = 1 << 10
)

// Config is the configuration of a kqentry process.
type Config struct {
	VM model.VMID
	DC model.DCID
	// Listen is the HTTP address for callers, backend servers and operators.
	Listen string
	// Wire is the local address of the wire transport to kqcontrol.
	Wire string
	// Control lists wire addresses of kqcontrol processes in order of preference,
	// that of this VM first.
	Control []string
	// EventDir is the folder of the event file. No events are recorded if it is
	// empty.
	EventDir string
	// Grace is how long a stopping process still accepts requests after it has
	// reported itself as not ready, so that the load balancer can notice. Drain
	// then limits the wait for requests in flight.
	Grace, Drain time.Duration
	// Sync is the time from the end of one sync with kqcontrol to the start of the
	// next.
	Sync time.Duration
	// Requests limits the number of requests in flight.
	Requests int
	// HeaderBytes limits the size of a request's headers.
	HeaderBytes int
}

// Check validates c. It returns a *program.SettingsError that lists every invalid
// setting by its flag, or nil if there is none.
func (c *Config) Check() error {
	var v program.SettingsValidator
	v.Required("--vm", string(c.VM))
	v.Required("--dc", string(c.DC))
	v.AddrOrAnyPort("--http", c.Listen)
	if c.Listen != "" || c.Wire != "" {
		v.AddrOrAnyPort("--wire", c.Wire)
	}
	if len(c.Control) == 0 {
		v.Required("--control", "")
	}
	for _, addr := range c.Control {
		v.Addr("--control", addr)
	}
	if c.Grace < 0 {
		v.Add("--stop-grace is %s, not at least 0s", c.Grace)
	}
	if c.Drain <= 0 {
		v.Add("--drain is %s, not more than 0s", c.Drain)
	}
	if c.Sync < minSync || c.Sync > maxSync {
		v.Add("--sync is %s, not between %s and %s", c.Sync, minSync, maxSync)
	}
	if c.Requests < 1 {
		v.Add("--requests is %d, not at least 1", c.Requests)
	}
	if c.HeaderBytes < minHeaderBytes {
		v.Add("--header-bytes is %d, not at least %d", c.HeaderBytes, minHeaderBytes)
	}
	return v.Err()
}
