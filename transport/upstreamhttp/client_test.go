package upstreamhttp_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
	"github.com/magnoliawharf/magnoliawharf/transport"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamhttp"
)

func newRequest() *caller.Request {
	return &caller.Request{
		ID: "id-1", Method: http.MethodPost, Path: "/charge?n=1", Body: caller.NewBody(nil, 0),
		Header: http.Header{"X-Own": {"1"}}, Deadline: time.Now().Add(time.Second), Attempt: 2, Depth: 3,
	}
}

// startRawUpstream starts a stand-in upstream that calls serve for each connection, and returns its address.
func startRawUpstream(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// respondAfterHeader reads the header of a request and writes text.
func respondAfterHeader(text string) func(net.Conn) {
	return func(conn net.Conn) {
		var seen []byte
		var one [1]byte
		for !strings.HasSuffix(string(seen), "\r\n\r\n") {
			if _, err := conn.Read(one[:]); err != nil {
				return
			}
			seen = append(seen, one[0])
		}
		_, _ = io.WriteString(conn, text)
	}
}

// Guards against a refusal that states not-run although the upstream may have run the request, and against
// answers whose truncation cannot be detected.
func TestSendFailures(t *testing.T) {
	cases := map[string]struct {
		addr   string
		reason caller.Reason
		ran    caller.RunState
	}{
		"dial refused":     {sockets.ReservePort(t), caller.UpstreamUnreachable, caller.NotRun},
		"closed midway":    {startRawUpstream(t, func(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) }), caller.UpstreamLost, caller.Unknown},
		"closed when read": {startRawUpstream(t, respondAfterHeader("")), caller.UpstreamLost, caller.Unknown},
		"unframed answer":  {startRawUpstream(t, respondAfterHeader("HTTP/1.1 200 OK\r\n\r\nhello")), caller.BodyCut, caller.Unknown},
		"oversized header": {startRawUpstream(t, respondAfterHeader("HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 1<<20)+"\r\n\r\n")), caller.UpstreamLost, caller.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := upstreamhttp.NewClient().Send(context.Background(), newRequest(), c.addr)
			var refusal *caller.Refusal
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
			assert.Equal(t, refusal.Reason, c.reason, "%v", err)
			assert.Equal(t, refusal.Ran, c.ran, "%v", err)
		})
	}
}

// Guards against a chain header that upstreams cannot forward, an empty body that arrives chunked, and header
// fields that net/http adds on its own.
func TestRequestAtUpstream(t *testing.T) {
	seen := make(chan *http.Request, 1)
	up := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen <- r }))
	defer up.Close()
	answer, err := upstreamhttp.NewClient().Send(context.Background(), newRequest(), up.Listener.Addr().String())
	assert.NilError(t, err)
	defer answer.Body.Close()
	got := <-seen
	assert.Equal(t, got.RequestURI, "/charge?n=1")
	assert.Equal(t, got.ContentLength, int64(0))
	assert.Equal(t, len(got.TransferEncoding), 0)
	assert.Equal(t, got.Header.Get("User-Agent"), "")
	assert.Equal(t, got.Header.Get("X-Own"), "1")
	chain, err := transport.DecodeChain(got.Header)
	assert.NilError(t, err)
	assert.Equal(t, chain.Attempt, 2)
	assert.Equal(t, chain.Depth, 4)
	assert.Assert(t, chain.TimeLeft > 0 && chain.TimeLeft <= time.Second)
}

// Guards against net/http resending a request that the upstream has read on a reused connection, also with a
// method and a key that net/http takes as idempotent.
func TestNoSilentResend(t *testing.T) {
	var reads atomic.Int32
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if reads.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer up.Close()
	client := upstreamhttp.NewClient()
	req := newRequest()
	req.Method = http.MethodGet
	req.Header = http.Header{"Idempotency-Key": {"k"}}
	first, err := client.Send(context.Background(), req, up.Listener.Addr().String())
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, first.Body)
	assert.NilError(t, err)
	assert.NilError(t, first.Body.Close())
	_, err = client.Send(context.Background(), req, up.Listener.Addr().String())
	var refusal *caller.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Ran, caller.Unknown)
	assert.Equal(t, reads.Load(), int32(2))
}
