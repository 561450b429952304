package transport_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/transport"
)

// Guards against a node whose memory is taken up by the header of a response that another process sends without end.
func TestControlResponseHeaderIsBounded(t *testing.T) {
	const maxRead = 4 << 20 // in bytes, with what the kernel buffers
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	written := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		total, _ := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for i := 0; err == nil && total < 4*maxRead; i++ {
			var n int
			n, err = fmt.Fprintf(conn, "X-%d: %s\r\n", i, strings.Repeat("x", 4<<10))
			total += n
		}
		written <- total
	}()
	client := transport.NewControlClient()
	defer client.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), http.NoBody)
	assert.NilError(t, err)
	response, err := client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	assert.Assert(t, err != nil)
	total := <-written
	assert.Check(t, total < maxRead, "%d bytes were written", total)
}
