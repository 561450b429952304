package sockets

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// ListenWithSmallWindow returns a loopback listener whose connections take about 2 KiB before they are read. Loopback
// acknowledges all that fits the receive window.
func ListenWithSmallWindow(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			assert.Check(t, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1))
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// StartServerThatFallsSilent starts an HTTP/1.1 server and returns its address. Each connection answers one request, with its
// field X-Id, and reads nothing more.
func StartServerThatFallsSilent(t *testing.T) (addr string) {
	t.Helper()
	listener := ListenWithSmallWindow(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go answerOnce(conn)
		}
	}()
	return listener.Addr().String()
}

func answerOnce(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nContent-Length: 2\r\n\r\nok")
}
