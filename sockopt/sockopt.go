// Package sockopt sets socket options that package net does not offer.
package sockopt

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT on Linux, which package syscall does not define.
const tcpUserTimeout = 0x12

// UserTimeout returns a Control function for a net.Dialer that bounds how long sent data may stay unacknowledged before
// the kernel closes the connection. Where the option is not supported, an unresponsive connection is detected later, by
// the timeouts of the requests on it.
func UserTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds())) // best effort
		})
	}
}
