package sockets

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// maxHeaderRead bounds what a client may read of a header without end, in bytes, with what the kernel buffers.
const maxHeaderRead = 4 << 20

// AssertHeaderBounded checks that a client stops to read the header of a response that does not end. do sends one request to
// the address and returns its error.
func AssertHeaderBounded(t *testing.T, do func(addr string) error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	written := make(chan int, 1)
	go func() { written <- writeEndlessHeader(listener) }()
	assert.Assert(t, do(listener.Addr().String()) != nil)
	total := <-written
	assert.Check(t, total < maxHeaderRead, "%d bytes were written", total)
}

// writeEndlessHeader writes a header to one connection until that fails, and returns the number of bytes written. It gives up at
// four times maxHeaderRead.
func writeEndlessHeader(listener net.Listener) int {
	conn, err := listener.Accept()
	if err != nil {
		return 0
	}
	defer conn.Close()
	total, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	for i := 0; err == nil && total < 4*maxHeaderRead; i++ {
		var n int
		n, err = fmt.Fprintf(conn, "X-%d: %s\r\n", i, strings.Repeat("x", 4<<10))
		total += n
	}
	return total
}
