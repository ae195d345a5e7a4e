package route

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/api"
)

// TestRemoteDataCentreOutOfService checks that no requests are forwarded to entry
// VMs of a data centre that is out of service. TestOverflow in the entry package
// checks the other direction, that such entry VMs may forward their requests.
func TestRemoteDataCentreOutOfService(t *testing.T) {
	remotes := &remoteSet{dial: DialTCP("")}
	inService := api.RemoteEntry{VM: "dc2-1", DC: "dc2", Addr: "127.0.0.21:7100"}
	outOfService := api.RemoteEntry{VM: "dc3-1", DC: "dc3", Addr: "127.0.0.31:7100", Out: true}
	remotes.set([]api.RemoteEntry{inService, outOfService})
	picked := remotes.pick(time.Now())
	qt.Assert(t, picked, qt.HasLen, 1)
	qt.Assert(t, picked[0].DC, qt.Equals, inService.DC)
	outOfService.Out = false
	remotes.set([]api.RemoteEntry{inService, outOfService})
	qt.Assert(t, remotes.pick(time.Now()), qt.HasLen, 2)
}
