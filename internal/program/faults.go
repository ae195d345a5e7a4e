package program

import (
	"errors"
	"fmt"
	"net"
	"strings"
)

// SettingsError lists every invalid setting of a command line or of the environment
// variables that stand for flags.
type SettingsError struct{ Faults []string }

// Error implements error. Each invalid setting has a line of its own.
func (e *SettingsError) Error() string {
	return "bad flags:\n  " + strings.Join(e.Faults, "\n  ")
}

// Join merges the settings errors among errs into one, or returns nil if there are
// none. If one of errs is of another type, Join returns that error.
func Join(errs ...error) error {
	var all Faults
	for _, err := range errs {
		var settings *SettingsError
		switch {
		case err == nil:
		case errors.As(err, &settings):
			all.list = append(all.list, settings.Faults...)
		default:
			return err
		}
	}
	return all.Err()
}

// Faults collects the invalid settings of a program. The zero value is empty.
type Faults struct{ list []string }

// Add adds a message about an invalid setting. The message begins with the name of
// the flag.
func (f *Faults) Add(format string, args ...any) {
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

// Check adds err as a message about a flag, unless err is nil.
func (f *Faults) Check(flag string, err error) {
	if err != nil {
		f.Add("%s: %v", flag, err)
	}
}

// Missing adds a message if the value of a required flag is empty.
func (f *Faults) Missing(flag, value string) {
	if value == "" {
		f.Add("%s is missing", flag)
	}
}

// Addr adds a message unless addr is an IP address with a fixed port.
func (f *Faults) Addr(flag, addr string) {
	if port, ok := f.checkHostPort(flag, addr); ok && port == "0" {
		f.Add("%s is %q: a port is needed", flag, addr)
	}
}

// FreeAddr is like Addr, but also allows port 0, for which the operating system
// chooses a port.
func (f *Faults) FreeAddr(flag, addr string) { f.checkHostPort(flag, addr) }

// checkHostPort adds a message unless addr is an IP address and a port. It returns
// the port and whether addr is valid.
func (f *Faults) checkHostPort(flag, addr string) (port string, ok bool) {
	if addr == "" {
		f.Missing(flag, addr)
		return "", false
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil || port == "" {
		f.Add("%s is %q, not an address of the form IP:port", flag, addr)
		return "", false
	}
	if net.ParseIP(host) == nil {
		f.Add("%s is %q: %q is not an IP address", flag, addr, host)
		return "", false
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		f.Add("%s is %q: %q is not a port", flag, addr, port)
		return "", false
	}
	return port, true
}

// Err returns a *SettingsError with all messages, or nil if there are none.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return &SettingsError{f.list}
}
