package sockopt_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/sockopt"
)

// dialSilent returns a connection to a loopback listener that accepts it and never reads.
func dialSilent(t *testing.T, userTimeout time.Duration) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := sockopt.NewDialer(time.Second, userTimeout).DialContext(context.Background(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against kept connections without keepalive probes, or with the default ones that need minutes to detect a
// connection that no longer carries packets: requests were sent on it until then.
func TestDialedConnectionIsProbed(t *testing.T) {
	raw, err := dialSilent(t, 700*time.Millisecond).(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	const userTimeout = 0x12 // TCP_USER_TIMEOUT
	for _, option := range []struct{ level, name, want int }{
		{syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
		{syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, 1},
		{syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, 1},
		{syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, 2},
		{syscall.IPPROTO_TCP, userTimeout, 700},
	} {
		assert.NilError(t, raw.Control(func(fd uintptr) {
			got, err := syscall.GetsockoptInt(int(fd), option.level, option.name)
			assert.Check(t, err)
			assert.Check(t, got == option.want, "option %#x: %d", option.name, got)
		}))
	}
}

// Guards against a request that waits for its deadline on a connection whose peer takes no more data. Loopback always
// acknowledges what fits the receive window, so the window is filled first.
func TestUnacknowledgedDataEndsConnection(t *testing.T) {
	conn := dialSilent(t, 300*time.Millisecond)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	block := make([]byte, 1<<20)
	var err error
	for err == nil {
		_, err = conn.Write(block)
	}
	assert.Assert(t, errors.Is(err, syscall.ETIMEDOUT), "%v", err)
}
