package upstreamconn_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamconn"
)

// validStatusLine matches the first line of whatever may lead to an answer.
var validStatusLine = regexp.MustCompile(`^HTTP/1\.[01] +[1-5][0-9][0-9]( [^\n]*)?\r?(\n|$)`)

// token matches a valid field name.
var token = regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+$")

// Guards against bytes of an upstream that end the process, that reach a caller as the whole answer to a request although the
// upstream did not echo its ID, or that reach it although their status line or the name of a field is invalid.
func FuzzAnswer(f *testing.F) {
	listener, err := net.Listen("tcp", countedAddr)
	assert.NilError(f, err)
	f.Cleanup(func() { _ = listener.Close() })
	var answer atomic.Pointer[[]byte]
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = conn.Write(*answer.Load())
				}
			}()
		}
	}()
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: r2\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n"))
	f.Add([]byte("\x00\xff"))
	for _, head := range invalidHeads {
		f.Add([]byte(head + hiddenAnswer))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		answer.Store(&raw)
		client := upstreamconn.NewClient(dialect)
		defer client.Close()
		req := requestOf("r1", true, "x")
		req.Deadline = time.Now().Add(50 * time.Millisecond)
		got, err := client.Send(t.Context(), req, listener.Addr().String())
		if err != nil {
			var refusal *caller.Refusal
			assert.Check(t, errors.As(err, &refusal) && (refusal.Ran == caller.Unknown || validStatusLine.Match(raw)), "%v", err)
			return
		}
		assert.Check(t, got.Status >= 200 && got.Status <= 599 && validStatusLine.Match(raw), "status %d", got.Status)
		defer got.Body.Close()
		for name := range got.Header {
			assert.Check(t, token.MatchString(name), "field %q", name)
		}
		notRun := http.Header(got.Header).Get("X-Not-Run") != "" || got.Status == http.StatusMisdirectedRequest
		assert.Check(t, http.Header(got.Header).Get("X-Id") == "r1" || notRun)
		_, _ = io.Copy(io.Discard, got.Body)
	})
}
