package route

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
)

// TestRemotesOfDataCentreThatIsOut checks that the entry VMs of a data centre
// that is out get no requests from here. That they may pass theirs on is
// checked by TestOverflow of the entry package.
func TestRemotesOfDataCentreThatIsOut(t *testing.T) {
	r := &remotes{dial: DialTCP("")}
	in := api.RemoteEntry{VM: "dc2-1", DC: "dc2", Addr: "127.0.0.21:7100"}
	out := api.RemoteEntry{VM: "dc3-1", DC: "dc3", Addr: "127.0.0.31:7100", Out: true}
	r.set([]api.RemoteEntry{in, out})
	picked := r.pick(time.Now())
	qt.Assert(t, picked, qt.HasLen, 1)
	qt.Assert(t, picked[0].DC, qt.Equals, in.DC)
	out.Out = false
	r.set([]api.RemoteEntry{in, out})
	qt.Assert(t, r.pick(time.Now()), qt.HasLen, 2)
}
