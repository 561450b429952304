package sockopt

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerClosed reports whether the peer has closed or reset the TCP connection, or its own direction of it. It does not block, and it
// does not read: data that waits to be read does not hide the end of the stream behind it. It returns false for a connection of
// another kind.
//
// Both the events of the socket and the state of the connection tell, and either is enough: where the kernel is emulated, one of the two may
// be missing. The state is not asked for while nothing is to be read, not even the end of the stream.
func PeerClosed(conn net.Conn) bool {
	closed := false
	control(conn, func(fd int) {
		ended, idle := pollEnd(fd)
		closed = ended || !idle && endReceived(fd)
	})
	return closed
}

// pollEnd reports whether the events of the socket show the end of the peer's stream, and whether they show that nothing is to be read. An
// emulated kernel may report POLLRDHUP only when POLLIN is asked for as well.
func pollEnd(fd int) (ended, idle bool) {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	n, err := unix.Poll(polled, 0)
	if err != nil || n == 0 {
		return false, err == nil
	}
	return polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0, false
}

// endReceived reports whether the state of the connection shows the end of the peer's stream.
func endReceived(fd int) bool {
	state, known := stateOf(fd)
	if !known {
		return false
	}
	switch state {
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT, unix.BPF_TCP_CLOSE:
		return true
	}
	return false
}

// stateOf returns the state of the TCP connection, one of the constants unix.BPF_TCP_*. known is false when the kernel does not tell.
func stateOf(fd int) (state uint8, known bool) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	return info.State, true
}

// control calls use with the descriptor of the connection, or of the innermost one that it wraps. It does not call it for a connection
// without a descriptor or a closed one.
func control(conn net.Conn, use func(fd int)) {
	socket, ok := Unwrap(conn).(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { use(int(fd)) })
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
