// Package sockopt sets socket options that package net does not offer, and makes dialers for connections that are kept
// between requests.
package sockopt

import (
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is TCP_USER_TIMEOUT on Linux, which package syscall does not define.
	tcpUserTimeout = 0x12
	// keepAliveInterval is the idle time before the first TCP keepalive probe and the interval between probes;
	// keepAliveProbes is the number of probes without an acknowledgement after which the connection is closed.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// Dialer returns a dialer for connections that are kept open between requests. Such a connection may stop carrying
// packets without a reset. The kernel closes it when sent data stays unacknowledged for userTimeout, and when keepalive
// probes stay unacknowledged while it is idle or waits for an answer.
func Dialer(dialTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			setUserTimeout(raw, userTimeout)
			return nil
		},
	}
}

// SetUserTimeout bounds how long sent data may stay unacknowledged on conn before the kernel closes it; 0 removes the
// bound. A peer that acknowledges probes but takes no more data counts as unresponsive too. Where the option is not
// supported, an unresponsive connection is detected later, by the timeouts of the requests on it.
func SetUserTimeout(conn net.Conn, limit time.Duration) {
	if socket, ok := conn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			setUserTimeout(raw, limit)
		}
	}
}

func setUserTimeout(raw syscall.RawConn, limit time.Duration) {
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds())) // best effort
	})
}
