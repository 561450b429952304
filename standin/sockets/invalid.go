package sockets

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// validHead begins a valid response. Those of invalidHeads differ from it, are read by net/http, and are no valid ones.
const validHead = "HTTP/1.1 200 OK\r\n"

var invalidHeads = []string{
	"HTTP/1.1 000 Zero\r\n", "HTTP/1.1 600 High\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/0.9 200 OK\r\n",
	"HTTP/1.1 200 OK\r\nX Odd: 1\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
}

// AssertInvalidHeadsRefused checks that a client refuses responses with invalid heads, and takes the same response with a valid one. do
// sends one request to the address and returns its error.
func AssertInvalidHeadsRefused(t *testing.T, contentType, body string, do func(addr string) error) {
	t.Helper()
	serve := func(head string) (addr string) {
		return ServeRaw(t, func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprintf(conn, "%sContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", head, contentType, len(body), body)
		})
	}
	assert.NilError(t, do(serve(validHead)))
	for _, head := range invalidHeads {
		assert.Check(t, do(serve(head)) != nil, "%q is taken for a response", head)
	}
}
