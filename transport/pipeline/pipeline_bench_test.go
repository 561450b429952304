package pipeline_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/transport/httpserver"
)

// startPlain starts a server with a handler that answers at once, with and without requests that are started ahead.
func startPlain(tb testing.TB, ahead bool) *httpserver.Server {
	tb.Helper()
	options := httpserver.Options{Name: "test", Addr: "127.0.0.1:0", MaxHeaderBytes: httpserver.CallerHeaderBytes, Log: slog.New(slog.DiscardHandler)}
	if ahead {
		options.Repeatable = func(*http.Request) bool { return true }
	}
	server, err := httpserver.Listen(options)
	assert.NilError(tb, err)
	server.Handle(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
	go func() { _ = server.Serve() }()
	tb.Cleanup(func() { _ = server.Close() })
	return server
}

// BenchmarkRequest is one request on a kept connection.
func BenchmarkRequest(b *testing.B) {
	for name, ahead := range map[string]bool{"in turn": false, "ahead": true} {
		b.Run(name, func(b *testing.B) {
			server := startPlain(b, ahead)
			conn, err := net.Dial("tcp", server.Addr())
			assert.NilError(b, err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			request := []byte(get("/any/0"))
			b.ReportAllocs()
			for b.Loop() {
				_, err := conn.Write(request)
				assert.NilError(b, err)
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(b, err)
			}
		})
	}
}

// maxIdleExtra is the memory in bytes that an idle connection may take beyond one of the plain server.
const maxIdleExtra = 1 << 10

// Guards against kept connections that hold buffers for requests ahead while their callers send nothing.
func TestIdleConnectionsNeedNoBuffers(t *testing.T) {
	_ = idleMemory(t, false) // what earlier tests have left is freed meanwhile, and does not count as memory of the first connections
	plain, ahead := idleMemory(t, false), idleMemory(t, true)
	assert.Assert(t, ahead <= plain+maxIdleExtra, "%d bytes for an idle connection, %d without requests ahead", ahead, plain)
}

// idleMemory returns the memory for one idle connection that has carried requests sent ahead, in bytes.
func idleMemory(t *testing.T, ahead bool) int64 {
	const conns = 1000
	server := startPlain(t, ahead)
	before := liveMemory()
	for range conns {
		conn, err := net.Dial("tcp", server.Addr())
		assert.NilError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, get("/any/0")+get("/any/1"))
		assert.NilError(t, err)
		reader := bufio.NewReader(conn)
		for range 2 {
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
		}
	}
	return (liveMemory() - before) / conns
}

func liveMemory() int64 {
	time.Sleep(50 * time.Millisecond) // the last connections become idle
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
