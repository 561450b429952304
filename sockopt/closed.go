package sockopt

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerClosed reports whether the peer has closed or reset the TCP connection, or its own direction of it. It does not block, and it
// does not read: data that waits to be read does not hide the end of the stream behind it. It returns false for a connection of
// another kind.
func PeerClosed(conn net.Conn) bool {
	socket, ok := Unwrap(conn).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	_ = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		closed = err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}

// Reset closes the connection so that the peer gets a reset, whatever a connection that wraps it does when it is closed. Data that the
// peer has not received is dropped.
func Reset(conn net.Conn) error {
	tcp, ok := Unwrap(conn).(*net.TCPConn)
	if !ok {
		return conn.Close()
	}
	_ = tcp.SetLinger(0)
	err := tcp.Close()
	_ = conn.Close() // fails, since the TCP connection is closed
	return err
}

// Unwrap returns the innermost connection of one that is wrapped in others with a method NetConn.
func Unwrap(conn net.Conn) net.Conn {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = wrapper.NetConn()
	}
}
