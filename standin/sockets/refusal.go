package sockets

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// AssertRefusedWithoutBody checks that the handler, which refuses each request with status 503, does so while the caller has sent
// only a part of the body, and that the connection closes afterwards.
func AssertRefusedWithoutBody(t *testing.T, handler http.Handler) {
	t.Helper()
	server := httptest.NewServer(handler)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = conn.Close()
		server.Close()
	})
	_, err = fmt.Fprint(conn, "POST /any/ HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	_, err = reader.Discard(int(response.ContentLength) + 1)
	assert.ErrorContains(t, err, "EOF", "the connection stays open")
}
