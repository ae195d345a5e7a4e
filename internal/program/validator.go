package program

import (
	"errors"
	"fmt"
	"net"
	"strings"
)

// SettingsError lists every invalid setting of a command line or of the environment
// variables that stand for flags. Messages has one message for each of them.
type SettingsError struct{ Messages []string }

// Error implements error. Each invalid setting has a line of its own.
func (e *SettingsError) Error() string {
	return "bad flags:\n  " + strings.Join(e.Messages, "\n  ")
}

// Join merges the settings errors among errs into one, or returns nil if there are
// none. If one of errs is of another type, Join returns that error.
func Join(errs ...error) error {
	var all SettingsValidator
	for _, err := range errs {
		var settings *SettingsError
		switch {
		case err == nil:
		case errors.As(err, &settings):
			all.messages = append(all.messages, settings.Messages...)
		default:
			return err
		}
	}
	return all.Err()
}

// SettingsValidator collects a message about each invalid setting of a program. The
// zero value is empty.
type SettingsValidator struct{ messages []string }

// Add adds a message about an invalid setting. The message begins with the name of
// the flag.
func (v *SettingsValidator) Add(format string, args ...any) {
	v.messages = append(v.messages, fmt.Sprintf(format, args...))
}

// Check adds err as a message about a flag, unless err is nil.
func (v *SettingsValidator) Check(flag string, err error) {
	if err != nil {
		v.Add("%s: %v", flag, err)
	}
}

// Required adds a message if the value of a required flag is empty.
func (v *SettingsValidator) Required(flag, value string) {
	if value == "" {
		v.Add("%s is missing", flag)
	}
}

// Addr adds a message unless addr is an IP address with a fixed port.
func (v *SettingsValidator) Addr(flag, addr string) {
	if port, ok := v.checkHostPort(flag, addr); ok && port == "0" {
		v.Add("%s is %q: a port is needed", flag, addr)
	}
}

// AddrOrAnyPort is like Addr, but also allows port 0, for which the operating system
// chooses any free port.
func (v *SettingsValidator) AddrOrAnyPort(flag, addr string) { v.checkHostPort(flag, addr) }

// checkHostPort adds a message unless addr is an IP address and a port. It returns
// the port and whether addr is valid.
func (v *SettingsValidator) checkHostPort(flag, addr string) (port string, ok bool) {
	if addr == "" {
		v.Required(flag, addr)
		return "", false
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil || port == "" {
		v.Add("%s is %q, not an address of the form IP:port", flag, addr)
		return "", false
	}
	if net.ParseIP(host) == nil {
		v.Add("%s is %q: %q is not an IP address", flag, addr, host)
		return "", false
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		v.Add("%s is %q: %q is not a port", flag, addr, port)
		return "", false
	}
	return port, true
}

// Err returns a *SettingsError with all messages, or nil if there are none.
func (v *SettingsValidator) Err() error {
	if len(v.messages) == 0 {
		return nil
	}
	return &SettingsError{v.messages}
}
