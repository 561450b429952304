// Package sockets checks the socket options of connections in tests.
package sockets

import (
	"context"
	"net/http/httptrace"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// AssertProbed checks that the kernel probes the connection on which do sends a request with the context, and closes it within
// seconds when the peer acknowledges nothing. Loopback acknowledges all packets, so that a silent connection cannot be simulated.
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
