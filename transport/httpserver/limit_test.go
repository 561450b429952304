package httpserver_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/transport/httpserver"
)

// Guards against connections above the limit being served, against closed connections that do not release
// their slot, and against a listener that cannot be shut down while all slots are in use.
func TestConnectionLimit(t *testing.T) {
	server, err := httpserver.Listen(httpserver.Options{
		Name: "test", Addr: "127.0.0.1:0", MaxHeaderBytes: 4 << 10, MaxConnections: 2, Log: slog.New(slog.DiscardHandler),
	})
	assert.NilError(t, err)
	server.Handle(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()

	answers := func(conn net.Conn, within time.Duration) bool {
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(within)))
		_, err := conn.Read(make([]byte, 1))
		return err == nil
	}
	var conns [3]net.Conn
	for i := range conns {
		conns[i], err = net.Dial("tcp", server.Addr())
		assert.NilError(t, err)
		defer conns[i].Close()
	}
	assert.Assert(t, answers(conns[0], 5*time.Second))
	assert.Assert(t, answers(conns[1], 5*time.Second))
	assert.Assert(t, !answers(conns[2], 200*time.Millisecond))
	assert.NilError(t, conns[0].Close())
	assert.Assert(t, answers(conns[2], 5*time.Second))

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	assert.NilError(t, server.Shutdown(ctx))
	assert.NilError(t, <-served)
}
