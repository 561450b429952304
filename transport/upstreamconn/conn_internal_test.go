package upstreamconn

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// Guards against a health check that waits for its deadline on a connection which fell silent, because the last request on it
// had a long body and removed the user timeout.
func TestHealthCheckAfterLongBodyHasUserTimeout(t *testing.T) {
	const answerDelay = 50 * time.Millisecond // else the answer may arrive before the write of the body returns
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		assert.Check(t, err)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		time.Sleep(answerDelay)
	}))
	defer server.Close()
	client := NewClient(caller.Dialect{RequestID: "X-Id", TimeLimit: "X-Limit", Origin: "X-Origin", Expect: "X-Expect"})
	defer client.Close()
	const length = 64 << 10
	addr := server.Listener.Addr().String()
	answer, err := client.Send(t.Context(), &caller.Request{
		ID: "r1", Method: http.MethodPut, Path: "/", Header: http.Header{"X-Id": {"r1"}},
		Body: caller.NewBody(strings.NewReader(strings.Repeat("x", length)), length), Deadline: time.Now().Add(5 * time.Second),
	}, addr)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	assert.Equal(t, idleUserTimeoutMs(t, client, addr), 0)
	_, err = client.CheckHealth(t.Context(), addr, "/health")
	assert.NilError(t, err)
	assert.Equal(t, idleUserTimeoutMs(t, client, addr), int(userTimeout.Milliseconds()))
}

// idleUserTimeoutMs returns the option TCP_USER_TIMEOUT of the only idle connection to addr, in ms.
func idleUserTimeoutMs(t *testing.T, client *Client, addr string) (limit int) {
	t.Helper()
	const tcpUserTimeout = 0x12
	assert.Equal(t, len(client.pool.idle[addr]), 1)
	raw, err := client.pool.idle[addr][0].Conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		limit, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	}))
	assert.NilError(t, err)
	return limit
}
