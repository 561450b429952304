package sockopt

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes written to the TCP connection that the peer has not acknowledged, 0 when unknown.
func Unacknowledged(conn net.Conn) (count int) {
	socket, ok := Unwrap(conn).(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			count = n
		}
	})
	return count
}
