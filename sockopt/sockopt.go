// Package sockopt sets options of sockets that package net lacks.
package sockopt

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// UserTimeout returns a Control function for a net.Dialer that bounds how long sent bytes may stay unacknowledged before
// the connection breaks. Where the option is missing, the time-outs of calls find a silent connection later.
func UserTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds())) // as above
		})
	}
}
