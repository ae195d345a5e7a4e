// Package inbound sets up the listeners of a process with their limits: it divides the memory
// that uncontrolled clients can use, creates the budgets for bodies, and limits connections, with
// the metrics and log lines by which an operator sees that a limit is reached.
package inbound

import (
	"math"
	"net"
	"runtime/debug"
	"syscall"

	"golang.org/x/sys/unix"

	"kumquatwing/internal/wire"
)

// Sizes of the buffers of sockets, which count against the memory of the VM. The kernel takes
// twice as much for each. An ordinary body of a caller, of up to 12 KB, fits into one window,
// and so does a worker's report. Larger buffers for workers would leave the smallest VMs fewer
// connections than their descriptors do, and thousands of workers would connect anew for each
// report.
const (
	callersReceiveBuffer = 16 << 10
	callersSendBuffer    = 8 << 10
	controlReceiveBuffer = 16 << 10
	controlSendBuffer    = 16 << 10
)

// connectionBytes is what a connection takes in the process: 8 KB while it is idle (2,156
// connections took 16.6 MB), and the header of a request.
const connectionBytes = 24 << 10

// Parts of the VM's memory, one in this many bytes, for the purposes that uncontrolled clients
// can use. The Go runtime's own limit holds them and the rest of the heap; see runtimeShare.
const (
	bodiesPart      = 8
	peersPart       = 8
	peerSocketsPart = 12
	entryConnsPart  = 8
	entryConnsPer   = 3
	controlConns    = 4
)

// MaxBodyBytes is the largest body of any request: a worker's report and a configuration with
// many routes may have as much.
const MaxBodyBytes = 4 << 20

const (
	// minBodies lets a body of MaxBodyBytes through, since a fourth of a budget is for small
	// bodies only. minFrames does so for a frame of our own processes.
	minBodies = 6 << 20
	minFrames = wire.MaxFrameBytes * 3 / 2
	// minPeerBuffer and maxPeerBuffer bound the receive buffer of a connection of our own
	// processes. Smaller buffers than minPeerBuffer slow down senders that send at the same
	// time, so that on small VMs the number of connections is limited instead.
	minPeerBuffer = 32 << 10
	maxPeerBuffer = 256 << 10
	// unknownMemory is assumed for a process whose memory isn't limited.
	unknownMemory = 1 << 30
)

// Memory divides the memory of a VM that uncontrolled clients can use.
type Memory struct {
	// Bodies is the budget in bytes of each account for requests' bodies, and Frames the
	// one for frames of our own processes.
	Bodies, Frames int64
	// PeerBuffers is what the receive buffers of the connections of our own processes may
	// take in bytes.
	PeerBuffers int64
	// Conns is the highest number of connections of the listener for callers, or of the one
	// for operators and workers.
	Conns int
}

// EntryMemory divides the memory of a VM with an entry process, in MiB, 0 if not known.
func EntryMemory(memoryMB int64) Memory {
	memory := memoryOrDefault(memoryMB)
	perConn := int64(2*(callersReceiveBuffer+callersSendBuffer) + connectionBytes)
	return Memory{
		Bodies: max(minBodies, memory/bodiesPart),
		Frames: max(minFrames, memory/peersPart), PeerBuffers: memory / peerSocketsPart,
		Conns: int(memory * entryConnsPer / entryConnsPart / perConn),
	}
}

// ControlMemory divides the memory of a VM with a control process, in MiB, 0 if not known. The
// process has an account for operators and one for workers.
func ControlMemory(memoryMB int64) Memory {
	memory := memoryOrDefault(memoryMB)
	perConn := int64(2*(controlReceiveBuffer+controlSendBuffer) + connectionBytes)
	return Memory{
		Bodies: max(minBodies, memory/bodiesPart/2),
		Frames: max(minFrames, memory/peersPart), PeerBuffers: memory / peerSocketsPart,
		Conns: int(memory / controlConns / perConn),
	}
}

// peerConns returns how many connections of our own processes fit into PeerBuffers, at most
// limit.
func (m Memory) peerConns(limit int) int {
	return max(1, min(limit, int(m.PeerBuffers/(2*minPeerBuffer))))
}

// peerBuffer returns the size of the receive buffer of each of conns connections of our own
// processes. The kernel takes twice as much.
func (m Memory) peerBuffer(conns int) int {
	return int(min(max(m.PeerBuffers/2/int64(max(1, conns)), minPeerBuffer), maxPeerBuffer))
}

// memoryOrDefault returns the memory in bytes of a VM with memoryMB MiB. If that is 0, it is as
// much as lets the Go runtime's limit (GOMEMLIMIT) be runtimeShare of it, or unknownMemory if
// there is no limit.
func memoryOrDefault(memoryMB int64) int64 {
	if memoryMB > 0 {
		return memoryMB << 20
	}
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return unknownMemory
	}
	// Rounded, so that it reverses RuntimeLimit.
	return max(1, int64(math.Round(float64(limit)/runtimeShare/(1<<20)))) << 20
}

// runtimeShare is the part of a process's memory that is set as the memory limit of the Go
// runtime. The rest is for the kernel's buffers, the program itself and what exceeds the limit,
// which is a soft one.
const runtimeShare = 0.6

// RuntimeLimit returns the memory limit in bytes for the Go runtime of a process with memoryMB
// MiB.
func RuntimeLimit(memoryMB int64) int64 { return int64(float64(memoryMB<<20) * runtimeShare) }

// Buffers are the sizes of the socket buffers of a listener's connections in bytes.
type Buffers struct{ receive, send int }

// Buffers of the connections of callers, and of those of operators and workers.
var (
	CallersBuffers = Buffers{callersReceiveBuffer, callersSendBuffer}
	ControlBuffers = Buffers{controlReceiveBuffer, controlSendBuffer}
)

// listenConfig returns the configuration of a listener whose connections have these buffers, or
// those of the kernel for zero Buffers.
func (b Buffers) listenConfig() *net.ListenConfig {
	if b == (Buffers{}) {
		return &net.ListenConfig{}
	}
	return &net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			if optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, b.receive); optionErr == nil {
				optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, b.send)
			}
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
}
