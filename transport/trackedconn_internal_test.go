package transport

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a user timeout that stays while the body of an answer is read: it bounds keepalive probes too, so that a
// single lost probe would cut off an answer whose upstream pauses.
func TestUserTimeoutEndsWhileABodyIsRead(t *testing.T) {
	const userTimeout = 100 * time.Millisecond
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	defer server.Close()
	defer close(release)
	client := NewClient(PoolOptions{DialTimeout: time.Second, UserTimeout: userTimeout, IdleTimeout: time.Minute, IdlePerHost: 1, HeaderBytes: 4 << 10})
	defer client.Close()
	var conn *trackedConn
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn.(*trackedConn) }})
	request, err := http.NewRequest(http.MethodGet, server.URL, http.NoBody)
	assert.NilError(t, err)
	response, _, err := client.RoundTrip(ctx, request)
	assert.NilError(t, err)
	defer response.Body.Close()
	time.Sleep(userTimeout + acknowledgementSlack + userTimeout)
	assert.Equal(t, userTimeoutMs(t, conn), 0)
}

// userTimeoutMs returns the option TCP_USER_TIMEOUT of the connection, in ms.
func userTimeoutMs(t *testing.T, conn *trackedConn) (limit int) {
	t.Helper()
	const tcpUserTimeout = 0x12
	raw, err := conn.Conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		limit, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	}))
	assert.NilError(t, err)
	return limit
}

// timedOutConn is a connection that the kernel has closed because the peer acknowledged no packets.
type timedOutConn struct{ net.Conn }

// Read implements net.Conn.
func (timedOutConn) Read([]byte) (int, error) { return 0, syscall.ETIMEDOUT }

// Write implements net.Conn.
func (timedOutConn) Write([]byte) (int, error) { return 0, syscall.ETIMEDOUT }

// Guards against a connection that counts twice as timed out, since its reader and its writer both get the error.
func TestTimeoutOfConnectionCountsOnce(t *testing.T) {
	count := 0
	conn := &trackedConn{Conn: timedOutConn{}, onTimeout: func() { count++ }}
	for range 2 {
		_, readErr := conn.Read(nil)
		assert.ErrorIs(t, readErr, syscall.ETIMEDOUT)
		_, writeErr := conn.Write(nil)
		assert.ErrorIs(t, writeErr, syscall.ETIMEDOUT)
	}
	assert.Equal(t, count, 1)
}
