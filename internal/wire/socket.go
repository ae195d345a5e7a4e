package wire

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout is how long a peer may leave sent bytes unacknowledged before
// the kernel ends the connection. Without it TCP goes on with ever longer pauses
// between its tries (RFC 6298), up to two minutes, so that a link that is whole
// again after a long silent cut would stay unused for as long. The kernel
// acknowledges for a process that is frozen.
const unackedTimeout = 3 * time.Second

// setUnackedTimeout sets TCP_USER_TIMEOUT (RFC 5482) on a TCP connection; others
// are left as they are.
func setUnackedTimeout(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
