package control

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestStatusLine checks what a line says that a process can't do.
func TestStatusLine(t *testing.T) {
	fleet := GroupInfo{Leader: "dc1-1", Voters: 3}
	dc := GroupInfo{Leader: "dc2-1", Voters: 3}
	cases := []struct {
		name string
		info ProcessInfo
		want string
	}{
		{"not taken in", ProcessInfo{}, "in no fleet group"},
		{"stopping", ProcessInfo{Stopping: true, Fleet: fleet, DataCentre: dc}, "; stopping"},
		{"no leader", ProcessInfo{Fleet: fleet}, "data centre without leader"},
		{"no lease", ProcessInfo{Fleet: fleet, DataCentre: dc}, "without settings lease"},
		{"rebuilding", ProcessInfo{Fleet: fleet, DataCentre: dc, Rebuilding: true}, "rebuilding"},
		{"well", ProcessInfo{Fleet: fleet, DataCentre: dc, LeaseMillis: 900}, "data centre leader dc2-1$"},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			qt.Assert(t, k.info.line(), qt.Matches, ".*"+k.want+".*")
		})
	}
}
