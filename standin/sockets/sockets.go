// Package sockets checks the socket options of connections in tests.
package sockets

import (
	"context"
	"net/http/httptrace"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tcpUserTimeout is TCP_USER_TIMEOUT on Linux, which package syscall does not define.
const tcpUserTimeout = 0x12

// AssertProbed checks that the kernel probes the connection on which do sends a request with the context, and closes it within
// seconds when the peer acknowledges nothing, but not when a single probe is lost. Loopback acknowledges all packets, so that a silent connection cannot be simulated.
func AssertProbed(t *testing.T, do func(ctx context.Context)) {
	t.Helper()
	probed := false
	do(httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		raw, err := info.Conn.(syscall.Conn).SyscallConn()
		assert.NilError(t, err)
		assert.NilError(t, raw.Control(func(fd uintptr) {
			idle, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)
			assert.Check(t, err)
			interval, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)
			assert.Check(t, err)
			count, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
			assert.Check(t, err)
			userTimeout, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
			assert.Check(t, err)
			lastProbe := time.Duration(idle+(count-1)*interval) * time.Second
			assert.Check(t, time.Duration(userTimeout)*time.Millisecond > lastProbe, "a single lost probe closes a connection, user timeout %d ms", userTimeout)
			silent := idle + count*interval
			assert.Check(t, silent <= maxSilentSeconds, "a silent connection is closed after %d s", silent)
			probed = true
		}))
	}}))
	assert.Assert(t, probed, "no connection was used")
}

// maxSilentSeconds is the longest time after which a silent connection is closed, in seconds. A version of the contracts must be
// in force within 3 s.
const maxSilentSeconds = 3
