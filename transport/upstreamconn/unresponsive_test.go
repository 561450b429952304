package upstreamconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
)

// pausingUpstream is an upstream whose connections take about 2 KiB before they are read. It pauses before it reads the body
// of a request.
type pausingUpstream struct {
	addr   string
	pause  time.Duration
	opened atomic.Int64 // connections
	closed atomic.Int64
}

func startPausingUpstream(t *testing.T, pause time.Duration) *pausingUpstream {
	t.Helper()
	listener := sockets.ListenWithSmallWindow(t)
	u := &pausingUpstream{addr: listener.Addr().String(), pause: pause}
	server := &http.Server{Handler: u, ConnState: func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			u.opened.Add(1)
		case http.StateClosed:
			u.closed.Add(1)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return u
}

// ServeHTTP implements http.Handler.
func (u *pausingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength > 0 {
		time.Sleep(u.pause)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	_, _ = io.WriteString(w, "ok")
}

// Guards against an upload that is cut off while the upstream pauses: a full receive window stays unacknowledged like a
// silent connection.
func TestSlowReaderOfLongBodyIsNotCutOff(t *testing.T) {
	upstream := startPausingUpstream(t, 2500*time.Millisecond)
	req := requestOf("r1", false, strings.Repeat("x", 1<<20))
	req.Deadline = time.Now().Add(10 * time.Second)
	body, refusal, err := send(t, newClient(t), upstream.addr, req)
	assert.NilError(t, err)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, body, "ok")
}

// Guards against sending one request after another on idle connections that fell silent together with the one that has
// timed out, and against a refusal which states that such a request has not run.
func TestTimedOutConnectionClosesIdleOnes(t *testing.T) {
	upstream := startPausingUpstream(t, 10*time.Second)
	client := newClient(t)
	first, err := client.Send(context.Background(), requestOf("r1", true, ""), upstream.addr)
	assert.NilError(t, err)
	_, refusal, err := send(t, client, upstream.addr, requestOf("r2", true, ""))
	assert.NilError(t, err)
	assert.Assert(t, refusal == nil, "%v", refusal)
	_, err = io.Copy(io.Discard, first.Body)
	assert.NilError(t, err)
	assert.NilError(t, first.Body.Close())
	assert.Equal(t, upstream.opened.Load(), int64(2))

	req := requestOf("r3", false, strings.Repeat("x", 30<<10))
	req.Deadline = time.Now().Add(8 * time.Second)
	start := time.Now()
	_, refusal, err = send(t, client, upstream.addr, req)
	assert.NilError(t, err)
	assert.Assert(t, refusal != nil && refusal.Reason == caller.UpstreamLost, "%v", refusal)
	assert.Equal(t, refusal.Ran, caller.Unknown)
	assert.Assert(t, time.Since(start) < 4*time.Second)
	for deadline := time.Now().Add(3 * time.Second); upstream.closed.Load() == 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the idle connections are still open")
	}
}

// Guards against an upload that waits for its deadline on a kept connection which fell silent: its data has no user timeout,
// since an upstream that reads slowly delays the acknowledgement.
func TestLongBodyIsNotSentOnConnectionThatFellSilent(t *testing.T) {
	const pause = 500 * time.Millisecond
	client, addr := newClient(t), sockets.StartServerThatFallsSilent(t)
	for id, content := range map[string]*caller.Body{
		"known length":   caller.NewBody(strings.NewReader(strings.Repeat("x", 1<<20)), 1<<20),
		"unknown length": caller.NewBody(strings.NewReader(strings.Repeat("x", 1<<20)), -1),
	} {
		_, refusal, err := send(t, client, addr, requestOf("before "+id, true, ""))
		assert.NilError(t, err)
		assert.Assert(t, refusal == nil, "%v", refusal)
		time.Sleep(pause)
		req := requestOf(id, true, "")
		req.Body = content
		ctx, cancel := context.WithDeadline(t.Context(), req.Deadline)
		defer cancel()
		answer, err := client.Send(ctx, req, addr)
		assert.NilError(t, err, id)
		assert.NilError(t, answer.Body.Close())
	}
}
