package upstreamconn_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
)

const (
	uploadSize = 256 << 10
	// answerPart is what the upstream sends of the body of its answer.
	answerPart = "the first part of the answer"
	// writeTime is the time for a released upload to be written, or to fail.
	writeTime = 30 * time.Millisecond
)

// upload is the body of a request. It pauses behind its first 8 KiB until goOn is closed.
type upload struct {
	goOn chan struct{}
	read int
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	if u.read >= 8<<10 {
		<-u.goOn
	}
	n := min(len(p), uploadSize-u.read)
	u.read += n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// uploadRequest returns a request with the upload, which is sent in chunks unless its length is known.
func uploadRequest(id string, body io.Reader, chunked bool) *caller.Request {
	req := requestOf(id, true, "")
	length := int64(uploadSize)
	if chunked {
		length = -1
	}
	req.Body = caller.NewBody(body, length)
	return req
}

// earlyAnswers are answers to an upload, by what tells the end of their body.
var earlyAnswers = map[string]struct {
	head, body string
	whole      bool // the body is whole, however the connection ends
	cut        bool // the body is not whole, however the connection ends
}{
	"no length":               {"HTTP/1.1 200 OK\r\n", answerPart, false, false},
	"no length in HTTP/1.0":   {"HTTP/1.0 200 OK\r\n", answerPart, false, false},
	"no length after interim": {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n", answerPart, false, false},
	"a part of the length":    {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n", answerPart, false, true},
	"the whole length":        {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(answerPart)), answerPart, true, false},
	"no last chunk":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(answerPart), answerPart), false, true},
	"all chunks":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(answerPart), answerPart), true, false},
	"all chunks, with a trailer": {
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", len(answerPart), answerPart), true, false,
	},
}

// earlyEnds are the ends of a connection during an upload.
var earlyEnds = map[string]struct {
	end     func(c *net.TCPConn)
	inOrder bool
}{
	"reset":                    {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, false},
	"closed with unread bytes": {func(c *net.TCPConn) { awaitUnread(c); _ = c.Close() }, false},
	"ended, then reset":        {func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.SetLinger(0); _ = c.Close() }, true},
	"ended, read on":           {func(c *net.TCPConn) { _ = c.CloseWrite(); go func() { _, _ = io.Copy(io.Discard, c) }() }, true},
	"ended, then nothing read": {func(c *net.TCPConn) { _ = c.CloseWrite() }, true},
	"ended, reset a bit later": {func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.AfterFunc(writeTime/2, func() { _ = c.SetLinger(0); _ = c.Close() })
	}, true},
	"ended, closed a bit later": {func(c *net.TCPConn) { _ = c.CloseWrite(); time.AfterFunc(writeTime/2, func() { _ = c.Close() }) }, true},
}

// awaitUnread waits until the connection has bytes to read.
func awaitUnread(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n > 0
	})
}

// Guards against a part of an answer that is taken for the whole, since the reset of its connection was reported to the upload only,
// and against the loss of an answer that ended in order while the upload was still being written.
func TestEndOfAnswerDuringUpload(t *testing.T) {
	for answerName, answer := range earlyAnswers {
		for endName, end := range earlyEnds {
			for _, chunked := range []bool{false, true} {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s/chunked=%v/kept=%v", answerName, endName, chunked, kept), func(t *testing.T) {
						t.Parallel()
						ended := make(chan struct{})
						addr, _ := startUpstream(t, func(c *net.TCPConn, _ int, r *http.Request) bool {
							if r.Header.Get("X-Id") == "r0" {
								return reply(c, "r0", "ok")
							}
							_, _ = io.WriteString(c, answer.head+"X-Id: r1\r\n\r\n"+answer.body)
							end.end(c)
							close(ended)
							time.Sleep(time.Second) // the caller closes the connection, if that is left to do
							return false
						})
						client := newClient(t)
						if kept {
							_, refusal, err := send(t, client, addr, requestOf("r0", true, ""))
							assert.NilError(t, err)
							assert.Assert(t, refusal == nil, "%v", refusal)
						}
						body := &upload{goOn: make(chan struct{})}
						response, err := client.Send(t.Context(), uploadRequest("r1", body, chunked), addr)
						assert.NilError(t, err)
						<-ended
						close(body.goOn)
						time.Sleep(writeTime)
						began := time.Now()
						got, err := io.ReadAll(response.Body)
						assert.NilError(t, response.Body.Close())
						whole := answer.whole || (end.inOrder && !answer.cut)
						assert.Equal(t, err == nil, whole, "body %q, error %v", got, err)
						assert.Assert(t, !whole || string(got) == answerPart, "body %q", got)
						assert.Check(t, time.Since(began) < attemptLimit, "the end took %v", time.Since(began))
					})
				}
			}
		}
	}
}

// Guards against a part of an answer that is taken for the whole where the upload and the reader compete for the report of the reset.
func TestResetAnswerDuringUploadIsBroken(t *testing.T) {
	for i := range 100 {
		pause := time.Duration(rand.IntN(5000)) * time.Microsecond
		addr, _ := startUpstream(t, func(c *net.TCPConn, _ int, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n"+answerPart)
			time.Sleep(pause)
			_ = c.SetLinger(0)
			return false
		})
		got, refusal, err := send(t, newClient(t), addr, uploadRequest("r1", sockets.SlowReader(uploadSize), i%2 == 0))
		assert.Assert(t, err != nil || refusal != nil, "body %q of an answer that was reset after %v is taken for the whole", got, pause)
		assert.Assert(t, refusal == nil || refusal.Ran == caller.Unknown, "%v", refusal)
	}
}

// Guards against a health report whose connection was reset that counts as a whole one, on a new or a kept connection.
func TestResetHealthReportIsNoReport(t *testing.T) {
	addr, _ := startUpstream(t, func(c *net.TCPConn, n int, _ *http.Request) bool {
		if n == 1 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Upstream: u-1\r\nContent-Length: 2\r\n\r\nok")
			return true
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Upstream: u-1\r\n\r\npart")
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
		return false
	})
	client := newClient(t)
	for _, good := range []bool{false, true, false} {
		_, err := client.CheckHealth(context.Background(), addr, "/health")
		assert.Equal(t, err == nil, good, "%v", err)
		var refusal *caller.Refusal
		assert.Assert(t, !errors.As(err, &refusal), "a check is no request of a caller")
	}
}
