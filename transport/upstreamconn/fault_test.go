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
