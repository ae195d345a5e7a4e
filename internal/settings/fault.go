package settings

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with declarations.
type Fault struct {
	// File and Line say where it stands; they are empty if it came without a file.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Field is the dotted path, for example "workspaces.vets.limit.memory".
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String formats f as "file:line: field: message".
func (f Fault) String() string {
	if f.File == "" {
		return fmt.Sprintf("%s: %s", f.Field, f.Message)
	}
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Message)
}

// Faults is all that is wrong with declarations, as one error.
type Faults []Fault

// Error implements error, one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// orNil returns f as an error, or nil if there are none.
func (f Faults) orNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
