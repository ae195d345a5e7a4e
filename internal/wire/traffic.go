package wire

import (
	"net"
	"sync/atomic"
)

// Traffic is the number of bytes a node has sent and received.
type Traffic struct {
	SentBytes, ReceivedBytes uint64
}

// trafficCounter counts the bytes of all connections of a node.
type trafficCounter struct {
	sent, received atomic.Uint64
}

// Traffic returns the numbers of bytes sent and received since the node was opened.
func (n *Node) Traffic() Traffic {
	return Traffic{n.traffic.sent.Load(), n.traffic.received.Load()}
}

// countingConn adds the bytes read from and written to a connection to counter.
type countingConn struct {
	net.Conn
	counter *trafficCounter
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(uint64(n))
	return n, err
}
