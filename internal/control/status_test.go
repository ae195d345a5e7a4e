package control

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestStatusLine checks that the line names what the process can't do.
func TestStatusLine(t *testing.T) {
	fleet := GroupStatus{Leader: "dc1-1", Voters: 3}
	dc := GroupStatus{Leader: "dc2-1", Voters: 3}
	cases := []struct {
		name string
		info ProcessStatus
		want string
	}{
		{"not a member", ProcessStatus{}, "in no fleet group"},
		{"stopping", ProcessStatus{Stopping: true, Fleet: fleet, DataCentre: dc}, "; stopping"},
		{"no leader", ProcessStatus{Fleet: fleet}, "data centre without leader"},
		{"no lease", ProcessStatus{Fleet: fleet, DataCentre: dc}, "without settings lease"},
		{"rebuilding", ProcessStatus{Fleet: fleet, DataCentre: dc, Rebuilding: true}, "rebuilding"},
		{"well", ProcessStatus{Fleet: fleet, DataCentre: dc, LeaseMillis: 900}, "data centre leader dc2-1$"},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			qt.Assert(t, k.info.line(), qt.Matches, ".*"+k.want+".*")
		})
	}
}
