// Package loopback allots loopback addresses to the tests of one process.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// firstPort is the first port that is allotted. Up to the start of the kernel's range
// of ephemeral ports, 32768, no outgoing connection takes one.
const firstPort = 20_000

var allotted atomic.Uint32

// Addr returns an address, IP:port, that it returns only once. Its IP is derived from
// the process ID, so that neither another process of the tests nor an outgoing
// connection can take the port between two starts of a server.
func Addr() string {
	pid := os.Getpid()
	port := firstPort + allotted.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16&0x3f, pid>>8&0xff, pid&0xff, port)
}
