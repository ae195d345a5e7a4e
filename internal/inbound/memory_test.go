package inbound

import (
	"runtime/debug"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/fdlimit"
	"kumquatwing/internal/wire"
)

// Memory that the processes take in normal operation, in bytes.
const (
	entryBaseBytes   = 13 << 20
	controlBaseBytes = 120 << 20
)

// TestMemoryLimitsFitTheVM checks that the parts for uncontrolled clients and normal operation
// fit into the memory of every VM, and that one request within the limits is served.
func TestMemoryLimitsFitTheVM(t *testing.T) {
	check := func(name string, l Memory, memoryMB, base, accounts, perConn int64, peers int) {
		peers = l.peerConns(peers)
		sum := base + accounts*l.Bodies + l.Frames + int64(l.Conns)*perConn + int64(peers*2*l.peerBuffer(peers))
		qt.Check(t, sum <= memoryMB<<20, qt.IsTrue, qt.Commentf("%s of %d MB: %+v and %d MB make %d MB", name, memoryMB, l, base>>20, sum>>20))
		qt.Check(t, l.Bodies*3/4 >= MaxBodyBytes, qt.IsTrue, qt.Commentf("%+v", l))
		qt.Check(t, l.Frames*3/4 >= wire.MaxFrameBytes, qt.IsTrue, qt.Commentf("%+v", l))
	}
	for _, mb := range []int64{64, 144, 184, 424} {
		check("entry VM", EntryMemory(mb), mb, entryBaseBytes, 1, 2*(callersReceiveBuffer+callersSendBuffer)+connectionBytes, fdlimit.SplitEntry(3075).Peers)
	}
	for _, mb := range []int64{408, 1024} {
		check("control VM", ControlMemory(mb), mb, controlBaseBytes, 2, 2*(controlReceiveBuffer+controlSendBuffer)+connectionBytes, fdlimit.Split(4096).PeersIn)
	}
	// Thousands of workers need all the connections that the descriptors allow: with fewer they
	// connect anew for each report.
	qt.Check(t, ControlMemory(280).Conns >= fdlimit.Split(4096).Inbound, qt.IsTrue, qt.Commentf("%+v", ControlMemory(280)))
	qt.Check(t, EntryMemory(144).Conns >= 600, qt.IsTrue, qt.Commentf("%+v", EntryMemory(144)))
	qt.Check(t, EntryMemory(0), qt.Equals, EntryMemory(unknownMemory>>20))
	// As many processes as a large deployment has keep a connection to the leader.
	peers := fdlimit.Split(4096).PeersIn
	qt.Check(t, ControlMemory(408).peerConns(peers), qt.Equals, peers)
}

// TestEntryDescriptorsFit checks that the parts of an entry process's descriptors leave some
// for its own connections and files.
func TestEntryDescriptorsFit(t *testing.T) {
	for _, limit := range []int{400, 1024, 2875} {
		b := fdlimit.SplitEntry(limit)
		sum := b.Callers + b.Policy + b.Ready + b.Metrics + b.Peers
		qt.Check(t, sum <= limit*92/100, qt.IsTrue, qt.Commentf("%d: %+v", limit, b))
	}
}

// TestMemoryFollowsRuntimeLimit guards against a process with a small runtime limit and no
// memory-mb that divides a gigabyte.
func TestMemoryFollowsRuntimeLimit(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	const memoryMB = 200
	debug.SetMemoryLimit(RuntimeLimit(memoryMB))
	qt.Check(t, EntryMemory(0), qt.Equals, EntryMemory(memoryMB))
	qt.Check(t, ControlMemory(0), qt.Equals, ControlMemory(memoryMB))
	debug.SetMemoryLimit(1)
	qt.Check(t, EntryMemory(0), qt.Equals, EntryMemory(1))
	qt.Check(t, EntryMemory(1).Conns > 0 && ControlMemory(1).Conns > 0, qt.IsTrue)
}
