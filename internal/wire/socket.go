package wire

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout is how long sent data may stay unacknowledged before the kernel
// closes the connection. Without it, TCP doubles the retransmission timeout up to
// two minutes (RFC 6298), so that after a long network partition a connection would
// stay unusable for that long. A frozen process doesn't trigger the timeout as long
// as what is sent fits into its receive buffer, since its kernel still acknowledges data.
const unackedTimeout = 3 * time.Second

// setUnackedTimeout sets TCP_USER_TIMEOUT (RFC 5482) on c if it is a TCP connection.
func setUnackedTimeout(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	return setSocketOption(tcp, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
}

// setReceiveBuffer sets the size of the receive buffer of the connections that l accepts, unless
// size is 0. They inherit it from the listening socket: a size that is set on an accepted
// connection is below the window that the handshake has offered, and the kernel drops what
// exceeds it.
func setReceiveBuffer(l net.Listener, size int) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok || size == 0 {
		return nil
	}
	return setSocketOption(tcp, unix.SOL_SOCKET, unix.SO_RCVBUF, size)
}

// setSocketOption sets an integer option of the socket of c.
func setSocketOption(c syscall.Conn, level, option, value int) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), level, option, value)
	})
	if err != nil {
		return err
	}
	return optionErr
}
