package program

import (
	"errors"
	"fmt"
	"net"
	"strings"
)

// SettingsError names every fault of a command line, or of the environment
// variables that stand for flags.
type SettingsError struct{ Faults []string }

// Error implements error; each fault stands on a line of its own.
func (e *SettingsError) Error() string {
	return "bad flags:\n  " + strings.Join(e.Faults, "\n  ")
}

// Join returns one error with the faults of all errs, or nil if none has any. An
// error of another type is returned as it is.
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

// Faults collects what is wrong with settings. The zero value has none.
type Faults struct{ list []string }

// Add notes a fault; the text begins with the flag's name.
func (f *Faults) Add(format string, args ...any) {
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

// Check notes the fault err of a flag, unless it is nil.
func (f *Faults) Check(flag string, err error) {
	if err != nil {
		f.Add("%s: %v", flag, err)
	}
}

// Missing notes a fault if a value is empty.
func (f *Faults) Missing(flag, value string) {
	if value == "" {
		f.Add("%s is missing", flag)
	}
}

// Addr notes a fault unless addr is IP:port with a port that others can reach.
func (f *Faults) Addr(flag, addr string) {
	if port, ok := f.hostPort(flag, addr); ok && port == "0" {
		f.Add("%s is %q: a port is needed", flag, addr)
	}
}

// FreeAddr is Addr that allows port 0, for which the system picks one.
func (f *Faults) FreeAddr(flag, addr string) { f.hostPort(flag, addr) }

func (f *Faults) hostPort(flag, addr string) (port string, ok bool) {
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
		f.Add("%s is %q: %q is not an IP number", flag, addr, host)
		return "", false
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		f.Add("%s is %q: %q is not a port", flag, addr, port)
		return "", false
	}
	return port, true
}

// Err returns a *SettingsError with all faults, or nil.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return &SettingsError{f.list}
}
