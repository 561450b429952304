// Package sockopt sets socket options that package net does not offer, and makes dialers for connections that are kept
// between requests.
package sockopt

import (
	"context"
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

// Dialer opens TCP connections that are kept open between requests. Such a connection may stop carrying packets without a
// reset. The kernel closes it when sent data stays unacknowledged for the user timeout, and when keepalive probes stay
// unacknowledged while it is idle or waits for an answer.
//
// A read from such a connection returns io.EOF only when the peer has ended its stream in order, which is the end of an answer
// without a length. The error of a connection that was reset or has timed out is returned to the reader as well when a Write
// got it first.
type Dialer struct{ dialer net.Dialer }

// NewDialer returns a dialer with the user timeout for sent data.
func NewDialer(dialTimeout, userTimeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			setUserTimeout(raw, userTimeout)
			return nil
		},
	}}
}

// DialContext connects to the TCP address. Its signature is that of http.Transport.DialContext.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewConn(opened.(*net.TCPConn)), nil
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
