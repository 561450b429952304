package sockets_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
)

// ipLocalPortRange is IP_LOCAL_PORT_RANGE on Linux, which package syscall does not define: it limits the ports that the kernel
// chooses from, with the lowest in the low and the highest in the high 16 bits.
const ipLocalPortRange = 51

// Guards against a port of a process that is down being given to another socket, so that the process cannot start again on
// its address.
func TestReservedPortIsNotGivenAway(t *testing.T) {
	addr := sockets.ReservePort(t)
	tcp, err := net.ResolveTCPAddr("tcp", addr)
	assert.NilError(t, err)
	other, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer other.Close()

	dialer := net.Dialer{Timeout: time.Second, Control: chooseOnly(tcp.Port)}
	for range 2 { // before the first listener and after it
		_, err = dialer.Dial("tcp", other.Addr().String())
		assert.Assert(t, errors.Is(err, syscall.EADDRNOTAVAIL), "connection from the reserved port: %v", err)
		config := net.ListenConfig{Control: chooseOnly(tcp.Port)}
		_, err = config.Listen(context.Background(), "tcp", "127.0.0.1:0")
		assert.Assert(t, errors.Is(err, syscall.EADDRINUSE), "listener on the reserved port: %v", err)

		listener, err := net.Listen("tcp", addr)
		assert.NilError(t, err)
		assert.NilError(t, listener.Close())
	}
}

// chooseOnly makes the kernel choose the port of a socket from this port only.
func chooseOnly(port int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipLocalPortRange, port<<16|port)
		})
		return errors.Join(err, set)
	}
}
