package sockopt

import (
	"net"

	"golang.org/x/sys/unix"
)

// Undelivered reports whether data written to the TCP connection, or the end of the stream behind it, may not have reached the peer yet,
// and the number of bytes that have not, 0 when unknown. It returns true when the kernel does not tell, and false for a connection of
// another kind.
//
// The length of the send queue and the state of the connection tell. Where the kernel is emulated, one of the two may be missing.
func Undelivered(conn net.Conn) (bytes int, undelivered bool) {
	control(conn, func(fd int) {
		queued, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		state, stateKnown := stateOf(fd)
		if err == nil {
			bytes = queued
		}
		undelivered = bytes > 0 || stateKnown && awaitsAcknowledgement(state) || err != nil && !stateKnown
	})
	return bytes, undelivered
}

// awaitsAcknowledgement reports whether this side has ended its stream and the peer has not acknowledged the end.
func awaitsAcknowledgement(state uint8) bool {
	return state == unix.BPF_TCP_FIN_WAIT1 || state == unix.BPF_TCP_CLOSING || state == unix.BPF_TCP_LAST_ACK
}
