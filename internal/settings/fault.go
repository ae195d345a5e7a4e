package settings

import (
	"fmt"
	"strings"
)

// Fault is one error in a set of declarations.
type Fault struct {
	// File and Line locate the fault; both are zero if the declarations were not
	// read from a file.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Field is the dotted path of the faulty field, for example "workspaces.vets.limit.memory".
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String formats f as "file:line: field: message", without the parts that are
// not known.
func (f Fault) String() string {
	if f.File == "" {
		return fmt.Sprintf("%s: %s", f.Field, f.Message)
	}
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Message)
}

// Faults is the list of all errors in a set of declarations, as one error.
type Faults []Fault

// Error implements error; each fault is on a line of its own.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// orNil returns f as an error, or a nil error if f is empty.
func (f Faults) orNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
