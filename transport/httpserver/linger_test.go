package httpserver_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/transport/httpserver"
)

// answerSize is larger than the window of the client below, so that most of the answer is still to be sent when the server closes.
const answerSize = 100 << 10

// startClosingServer starts a server that closes each connection after its first answer, with the given beginning of a request served:
// 'read' reads its body, 'refused' does not.
func startClosingServer(t *testing.T, ahead bool) *httpserver.Server {
	t.Helper()
	options := httpserver.Options{Name: "test", Addr: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler)}
	if ahead {
		options.Repeatable = func(r *http.Request) bool { return r.Method == http.MethodGet }
	}
	server, err := httpserver.Listen(options)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	server.Handle(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		time.Sleep(50 * time.Millisecond) // a further request arrives meanwhile
		w.Header().Set("Connection", "close")
		_, _ = w.Write(bytes.Repeat([]byte("a"), answerSize))
	}))
	go func() { _ = server.Serve() }()
	return server
}

// Guards against an answer that is reset on its way when the server closes the connection while input of the client is unread, or
// arrives later: the kernel drops what it has not sent.
func TestLastAnswerArrivesWhole(t *testing.T) {
	body := strings.Repeat("b", 4000)
	post := func(path string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	}
	chunks := func(path string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", path, len(body), body)
	}
	const get = "GET /read HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, test := range map[string]struct{ first, behind string }{
		"length, nothing behind":                {post("/read"), ""},
		"length, a request behind":              {post("/read"), get},
		"length, a long request behind":         {post("/read"), strings.Repeat(post("/read"), 30)},
		"chunks, a request behind":              {chunks("/read"), get},
		"chunks, chunks behind":                 {chunks("/read"), chunks("/read")},
		"chunks, a long request behind":         {chunks("/read"), strings.Repeat(post("/read"), 30)},
		"no body, a request behind":             {get, get},
		"no body, many behind":                  {get, strings.Repeat(get, 200)},
		"no body, chunks behind":                {get, chunks("/read")},
		"upgrade, a request behind":             {"GET /read HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", get},
		"refused early, length":                 {post("/refused"), get},
		"refused early, chunks":                 {chunks("/refused"), get},
		"refused early, the body is too long":   {"POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 600000\r\n\r\n", strings.Repeat("b", 600000)},
		"refused early, the body is far longer": {"POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n", strings.Repeat("b", 9000000)},
		"refused early, the body was announced": {"POST /refused HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4000\r\n\r\n", body},
		"read, the body was announced":          {"POST /read HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4000\r\n\r\n", body + get},
		"HTTP/1.0, a request behind":            {"POST /read HTTP/1.0\r\nHost: a\r\nContent-Length: 4000\r\n\r\n" + body, get},
		"HTTP/1.0 kept, a request behind":       {"POST /read HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nContent-Length: 4000\r\n\r\n" + body, get},
	} {
		for _, ahead := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, requests ahead %v", name, ahead), func(t *testing.T) {
				t.Parallel()
				checkLastAnswer(t, startClosingServer(t, ahead).Addr(), test.first, test.behind)
			})
		}
	}
}

// checkLastAnswer sends first and then behind over a connection with a small window, and reads the answer to the first slowly.
func checkLastAnswer(t *testing.T, addr, first, behind string) {
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	go func() {
		_, _ = io.WriteString(conn, first)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(conn, behind)
	}()
	time.Sleep(200 * time.Millisecond) // the server has closed the connection by then
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err == nil && response.StatusCode == http.StatusContinue {
		response, err = http.ReadResponse(reader, nil)
	}
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(answerSize))
}

// smallWindow dials with a small window from the start, which the client keeps open as it reads.
var smallWindow = net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
	return errors.Join(err, failure)
}}

// Guards against an answer that is reset since its client goes on sending while it reads slowly: for longer than the connection lingers
// once all is sent, and for longer than it lingers for a client that takes nothing.
func TestSlowReaderThatGoesOnSendingGetsTheLastAnswer(t *testing.T) {
	for name, takes := range map[string]time.Duration{"a little at a time": time.Second, "over eight seconds": 8 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := smallWindow.Dial("tcp", startClosingServer(t, true).Addr())
			assert.NilError(t, err)
			defer conn.Close()
			const get = "GET /read HTTP/1.1\r\nHost: a\r\n\r\n"
			_, err = io.WriteString(conn, get)
			assert.NilError(t, err)
			go func() {
				for err := error(nil); err == nil; _, err = io.WriteString(conn, get) {
					time.Sleep(100 * time.Millisecond)
				}
			}()
			response, err := http.ReadResponse(bufio.NewReaderSize(conn, 1<<10), nil)
			assert.NilError(t, err)
			const steps = 20
			var read int64
			for range steps {
				time.Sleep(takes / steps)
				n, err := io.CopyN(io.Discard, response.Body, answerSize/steps)
				assert.NilError(t, err, "after %d bytes", read+n)
				read += n
			}
			assert.Equal(t, read, int64(answerSize))
		})
	}
}

// Guards against a client that sends without end and keeps a closed connection, and its place among the connections.
func TestClosedConnectionLingersForABoundedTime(t *testing.T) {
	const limit = 8 * time.Second // above the longest time that a connection lingers
	conn, err := net.Dial("tcp", startClosingServer(t, true).Addr())
	assert.NilError(t, err)
	defer conn.Close()
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	began := time.Now()
	_, err = io.WriteString(conn, "GET /read HTTP/1.1\r\nHost: a\r\n\r\n")
	for err == nil {
		assert.Assert(t, time.Since(began) < limit, "the connection is still open")
		_, err = conn.Write([]byte("x"))
		time.Sleep(20 * time.Millisecond)
	}
}
