package upstreamconn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

const (
	// endlessBytes is what the stand-in writes of an endless answer before it stops. maxReadBytes is more than the kernel
	// buffers for a receiver that has stopped reading.
	endlessBytes = 64 << 20
	maxReadBytes = 16 << 20
	// promptly bounds the time to the outcome of a request whose deadline is later.
	promptly     = 5 * time.Second
	lateDeadline = 20 * time.Second
)

// startEndless starts an upstream that answers with the beginning and then repeats the unit. It returns the address and
// the number of bytes that the upstream could write.
func startEndless(t *testing.T, beginning, unit string) (addr string, written *atomic.Int64) {
	t.Helper()
	written = new(atomic.Int64)
	block := strings.Repeat(unit, 1+(32<<10)/len(unit))
	addr, _ = startUpstream(t, func(c *net.TCPConn, _ int, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := io.WriteString(c, beginning); err != nil {
			return false
		}
		for written.Load() < endlessBytes {
			n, err := io.WriteString(c, block)
			written.Add(int64(n))
			if err != nil {
				return false
			}
		}
		return false
	})
	return addr, written
}

// Guards against a node whose memory grows until the deadline of a request because the head of an answer does not end,
// and against such a request that is reported as not run.
func TestEndlessHeadsAreBounded(t *testing.T) {
	for name, endless := range map[string]struct{ beginning, unit string }{
		"no HTTP":       {"", "\x00\xff"},
		"lines":         {"", "x\r\n"},
		"status line":   {"HTTP/1.1 200 ", "x"},
		"field":         {"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Long: ", "x"},
		"folded field":  {"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Long: x\r\n", " x\r\n"},
		"fields":        {"HTTP/1.1 200 OK\r\nX-Id: r1\r\n", "X-More: x\r\n"},
		"interim heads": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, written := startEndless(t, endless.beginning, endless.unit)
			request := requestOf("r1", true, "x")
			request.Deadline = time.Now().Add(lateDeadline)
			ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
			defer cancel()
			began := time.Now()
			_, err := newClient(t).Send(ctx, request, addr)
			var refusal *caller.Refusal
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
			assert.Equal(t, refusal.Reason, caller.UpstreamLost)
			assert.Equal(t, refusal.Ran, caller.Unknown)
			assert.Check(t, time.Since(began) < promptly, "the outcome took %v", time.Since(began))
			assert.Check(t, written.Load() < maxReadBytes, "%d bytes were read", written.Load())
		})
	}
}

// Guards against a long but valid head that is refused.
func TestLongHeadIsAccepted(t *testing.T) {
	long := strings.Repeat("x", 30<<10)
	addr, _ := startUpstream(t, func(c *net.TCPConn, _ int, r *http.Request) bool {
		return reply(c, r.Header.Get("X-Id"), "ok", "X-Long: "+long, "X-Longer: "+long)
	})
	client := newClient(t)
	for _, id := range []string{"r1", "r2", "r3"} {
		body, refusal, err := send(t, client, addr, requestOf(id, false, ""))
		assert.NilError(t, err)
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, body, "ok")
	}
}

// Guards against an answer that is made up from the body of another answer: the rest of a skipped body that is too long
// must not be read as the next answer.
func TestLongSkippedBodyIsNoAnswer(t *testing.T) {
	const skippedBody = 4 << 20 // read of a skipped answer
	forged := "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 6\r\n\r\nforged"
	addr, _ := startUpstream(t, func(c *net.TCPConn, _ int, r *http.Request) bool {
		body := strings.Repeat("x", skippedBody) + forged
		return reply(c, "r0", body)
	})
	body, refusal, _ := send(t, newClient(t), addr, requestOf("r1", false, "x"))
	assert.Assert(t, refusal != nil, "answered %q", body)
	assert.Equal(t, refusal.Reason, caller.UpstreamLost)
	assert.Equal(t, refusal.Ran, caller.Unknown)
}

// Guards against an answer whose framing does not end: it must not look complete, and must not be held in memory.
func TestEndlessBodiesDoNotLookComplete(t *testing.T) {
	const limit = 500 * time.Millisecond // time limit of the request
	const chunked = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, endless := range map[string]struct {
		beginning, unit string
		bounded         bool // ends without the whole answer having been read
	}{
		"without a length":      {beginning: "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n", unit: "x"},
		"chunks":                {beginning: chunked, unit: "4\r\nbody\r\n"},
		"chunk size":            {beginning: chunked, unit: "0", bounded: true},
		"chunk extension":       {beginning: chunked + "4;x=", unit: "x", bounded: true},
		"extensions of chunks":  {beginning: chunked, unit: "1;x=" + strings.Repeat("x", 900) + "\r\nb\r\n", bounded: true},
		"trailer field":         {beginning: chunked + "0\r\nX-T: ", unit: "x", bounded: true},
		"trailer fields":        {beginning: chunked + "0\r\n", unit: "X-T: x\r\n", bounded: true},
		"other request's body":  {beginning: "HTTP/1.1 200 OK\r\nX-Id: r0\r\n\r\n", unit: "x", bounded: true},
		"other request's chunk": {beginning: strings.Replace(chunked, "r1", "r0", 1), unit: "4\r\nbody\r\n", bounded: true},
	} {
		t.Run(name, func(t *testing.T) {
			addr, written := startEndless(t, endless.beginning, endless.unit)
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			began := time.Now()
			answer, err := newClient(t).Send(ctx, requestOf("r1", false, "x"), addr)
			if err == nil {
				slow := &slowReader{answer.Body}
				_, err = io.Copy(io.Discard, slow)
				assert.NilError(t, answer.Body.Close())
			}
			assert.Assert(t, err != nil, "the answer looks complete")
			assert.Check(t, time.Since(began) < promptly, "the end took %v", time.Since(began))
			if endless.bounded {
				assert.Check(t, written.Load() < maxReadBytes, "%d bytes were read", written.Load())
			}
		})
	}
}

// slowReader reads slowly enough that an endless answer of the stand-in outlasts the time limit.
type slowReader struct{ io.Reader }

func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return r.Reader.Read(p)
}

// Guards against health checks that read megabytes: they repeat many times a second, and the report is in the head.
func TestEndlessHealthReportIsNotRead(t *testing.T) {
	const maxWritten = 1 << 20 // in bytes, with what the kernel buffers
	for name, beginning := range map[string]string{
		"without a length": "HTTP/1.1 200 OK\r\nX-Upstream: u-1\r\nX-Load: 3,1,8\r\n\r\n",
		"with a length":    "HTTP/1.1 200 OK\r\nX-Upstream: u-1\r\nX-Load: 3,1,8\r\nContent-Length: 99999999\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			written := new(atomic.Int64)
			done := make(chan struct{})
			addr, _ := startUpstream(t, func(c *net.TCPConn, _ int, _ *http.Request) bool {
				defer close(done)
				_ = c.SetWriteBuffer(64 << 10)
				_, err := io.WriteString(c, beginning)
				for block := strings.Repeat("x", 4<<10); err == nil && written.Load() < endlessBytes; {
					var n int
					n, err = io.WriteString(c, block)
					written.Add(int64(n))
				}
				return false
			})
			reading, err := newClient(t).CheckHealth(context.Background(), addr, "/health")
			assert.NilError(t, err)
			assert.Assert(t, reading.Healthy && reading.HasLoad)
			<-done
			assert.Check(t, written.Load() < maxWritten, "%d bytes were written", written.Load())
		})
	}
}

// Guards against interim answers that use up the number of skipped answers.
func TestInterimAnswersAreNotCountedAsSkipped(t *testing.T) {
	addr, _ := startUpstream(t, func(c *net.TCPConn, _ int, _ *http.Request) bool {
		return writeInterim(c, 20) && reply(c, "r1", "ok")
	})
	body, refusal, err := send(t, newClient(t), addr, requestOf("r1", false, ""))
	assert.NilError(t, err)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, body, "ok")
}

func writeInterim(c net.Conn, count int) bool {
	_, err := io.WriteString(c, strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", count))
	return err == nil
}
