package sockets

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ServeRaw starts a server on a loopback address that calls respond with each connection, once the head of a request has arrived on it,
// and closes the connection afterwards. It returns the address.
func ServeRaw(t *testing.T, respond func(conn *net.TCPConn, r *http.Request)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					respond(conn.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

const (
	slowPiece = 4 << 10 // bytes
	slowPause = 50 * time.Microsecond
)

// SlowReader returns a reader of the number of zero bytes, in pieces with a pause before each, like an upload over a slow link.
func SlowReader(size int) io.Reader { return &slowReader{size} }

type slowReader struct{ left int }

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(slowPause)
	n := min(len(p), r.left, slowPiece)
	clear(p[:n])
	r.left -= n
	return n, nil
}
