package transport_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

// Guards against claims of keys, probes and bundles that wait for their timeout on a kept connection that has fallen silent.
func TestControlConnectionsAreProbed(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	client := transport.NewControlClient()
	t.Cleanup(client.Close)
	sockets.AssertProbed(t, func(ctx context.Context) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, http.NoBody)
		assert.NilError(t, err)
		response, err := client.Do(request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	})
}

// Guards against a node whose memory is taken up by the header of a response that another process sends without end.
func TestControlResponseHeaderIsBounded(t *testing.T) {
	pooled := transport.NewControlClient()
	t.Cleanup(pooled.Close)
	for name, client := range map[string]*http.Client{"pooled": &pooled.Client, "single use": transport.NewSingleUseClient()} {
		t.Run(name, func(t *testing.T) { checkHeaderIsBounded(t, client) })
	}
}

func checkHeaderIsBounded(t *testing.T, client *http.Client) {
	t.Helper()
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
