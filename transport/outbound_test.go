package transport_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

const testUserTimeout = 300 * time.Millisecond

func newClient(t *testing.T) *transport.Client {
	t.Helper()
	client := transport.NewClient(transport.PoolOptions{
		DialTimeout: time.Second, UserTimeout: testUserTimeout, IdleTimeout: time.Minute, IdlePerHost: 4, HeaderBytes: 4 << 10,
	})
	t.Cleanup(client.Close)
	return client
}

// sendToSilentPeer sends a short request to a peer that accepts the connection and never reads.
func sendToSilentPeer(t *testing.T, client *transport.Client) (sent bool, err error) {
	t.Helper()
	return sendUnread(t, client, "http://"+sockets.ListenWithSmallWindow(t).Addr().String())
}

// sendUnread sends a short request whose body the server does not read.
func sendUnread(t *testing.T, client *transport.Client, url string) (sent bool, err error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(make([]byte, 30<<10)))
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, sent, err = client.RoundTrip(ctx, request)
	return sent, err
}

// Guards against a request that waits for its deadline on a connection that carries no more packets, instead of failing
// while there is time for a retry, and against taking it as not sent.
func TestUnresponsivePeerFailsRequestBeforeDeadline(t *testing.T) {
	start := time.Now()
	sent, err := sendToSilentPeer(t, newClient(t))
	assert.Assert(t, err != nil && !errors.Is(err, context.DeadlineExceeded), "%v after %v", err, time.Since(start))
	assert.Assert(t, sent)
}

// keptConns counts the connections to a server.
type keptConns struct{ opened, closed atomic.Int64 }

func (k *keptConns) observe(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		k.opened.Add(1)
	case http.StateClosed:
		k.closed.Add(1)
	}
}

// startServer starts a server that answers requests without a body and never reads the body of others.
func startServer(t *testing.T) (url string, conns *keptConns) {
	t.Helper()
	conns = &keptConns{}
	done := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			<-done
		}
		_, _ = io.WriteString(w, "ok")
	}))
	server.Listener = sockets.ListenWithSmallWindow(t)
	server.Config.ConnState = conns.observe
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(done) })
	return server.URL, conns
}

// keepConns leaves count idle connections to the server open.
func keepConns(t *testing.T, client *transport.Client, url string, count int) {
	t.Helper()
	var bodies []io.ReadCloser
	for range count {
		request, err := http.NewRequest(http.MethodGet, url, http.NoBody)
		assert.NilError(t, err)
		response, _, err := client.RoundTrip(context.Background(), request)
		assert.NilError(t, err)
		bodies = append(bodies, response.Body)
	}
	for _, body := range bodies {
		_, err := io.Copy(io.Discard, body) // else the connection is not kept
		assert.NilError(t, err)
		assert.NilError(t, body.Close())
	}
}

// assertClosed waits until a connection to the server is closed.
func assertClosed(t *testing.T, conns *keptConns) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); conns.closed.Load() == 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the idle connection is still open")
	}
}

// Guards against sending one request after another on idle connections to a peer that fell silent together with the one that
// has timed out.
func TestTimedOutConnectionClosesIdleOnesToItsPeer(t *testing.T) {
	url, conns := startServer(t)
	client := newClient(t)
	keepConns(t, client, url, 2)
	assert.Equal(t, conns.closed.Load(), int64(0))
	_, err := sendUnread(t, client, url)
	assert.Assert(t, err != nil)
	assertClosed(t, conns)
}

// Guards against sending one request after another on idle connections to all peers that fell silent together with the one
// that has timed out. Its peer accepts new connections.
func TestTimedOutConnectionClosesIdleOnes(t *testing.T) {
	url, conns := startServer(t)
	client := newClient(t)
	keepConns(t, client, url, 1)
	assert.Equal(t, conns.closed.Load(), int64(0))
	_, err := sendToSilentPeer(t, client)
	assert.Assert(t, err != nil)
	assertClosed(t, conns)
}

// Guards against the loss of one machine that costs new connections to all others.
func TestLostPeerKeepsIdleConnectionsToOthers(t *testing.T) {
	url, conns := startServer(t)
	client := newClient(t)
	keepConns(t, client, url, 1)
	lost := sockets.ListenWithSmallWindow(t)
	go func() {
		if conn, err := lost.Accept(); err == nil {
			_ = lost.Close()
			<-t.Context().Done()
			_ = conn.Close()
		}
	}()
	_, err := sendUnread(t, client, "http://"+lost.Addr().String())
	assert.Assert(t, err != nil)
	time.Sleep(200 * time.Millisecond)
	keepConns(t, client, url, 1)
	assert.Equal(t, conns.opened.Load(), int64(1))
}

// Guards against connections that are closed again and again while those that fell silent with the first one time out one
// after the other.
func TestLaterTimeoutOfOldConnectionKeepsNewOnes(t *testing.T) {
	url, conns := startServer(t)
	client := newClient(t)
	keepConns(t, client, url, 1)
	silent := "http://" + sockets.ListenWithSmallWindow(t).Addr().String()
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { _, err := sendUnread(t, client, silent); first <- err }()
	time.Sleep(testUserTimeout / 2)
	go func() { _, err := sendUnread(t, client, silent); second <- err }()
	assert.Assert(t, <-first != nil)
	assertClosed(t, conns)
	keepConns(t, client, url, 1)
	assert.Assert(t, <-second != nil)
	time.Sleep(200 * time.Millisecond)
	keepConns(t, client, url, 1)
	assert.Equal(t, conns.opened.Load(), int64(2))
}

// Guards against an upload that is cut off while its receiver pauses: a full receive window stays unacknowledged like a
// silent connection, also on a connection that has carried a request before.
func TestSlowReaderOfLongBodyIsNotCutOff(t *testing.T) {
	const length = 1 << 20
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			time.Sleep(3 * testUserTimeout)
		}
		n, err := io.Copy(io.Discard, r.Body)
		assert.Check(t, err)
		assert.Check(t, n == r.ContentLength)
	}))
	server.Listener = sockets.ListenWithSmallWindow(t)
	server.Start()
	defer server.Close()
	client := newClient(t)
	for _, body := range [][]byte{nil, make([]byte, length), make([]byte, length)} {
		request, err := http.NewRequest(http.MethodPost, server.URL, bytes.NewReader(body))
		assert.NilError(t, err)
		response, _, err := client.RoundTrip(context.Background(), request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	}
}

// Guards against an upload that is cut off on a new connection while its receiver pauses, because the user timeout with which
// the connection was opened stays.
func TestSlowReaderOfLongBodyOnNewConnectionIsNotCutOff(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * testUserTimeout)
		n, err := io.Copy(io.Discard, r.Body)
		assert.Check(t, err)
		assert.Check(t, n == r.ContentLength)
	}))
	server.Listener = sockets.ListenWithSmallWindow(t)
	server.Start()
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL, bytes.NewReader(make([]byte, 1<<20)))
	assert.NilError(t, err)
	response, _, err := newClient(t).RoundTrip(context.Background(), request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
}

// Guards against an upload that waits for its deadline on a kept connection which fell silent: its data has no user timeout,
// since a receiver that reads slowly delays the acknowledgement.
func TestLongBodyIsNotSentOnConnectionThatFellSilent(t *testing.T) {
	const pause = 500 * time.Millisecond
	client, addr := newClient(t), sockets.StartServerThatFallsSilent(t)
	for _, length := range []int64{0, 1 << 20, -1} {
		body := io.LimitReader(zeroReader{}, 1<<20)
		if length == 0 {
			body = http.NoBody
		}
		request, err := http.NewRequest(http.MethodPut, "http://"+addr+"/", body)
		assert.NilError(t, err)
		request.ContentLength = length
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		response, _, err := client.RoundTrip(ctx, request)
		assert.NilError(t, err, "body of %d bytes", length)
		_, err = io.Copy(io.Discard, response.Body) // else the connection is not kept
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		time.Sleep(pause)
	}
}

// zeroReader reads zero bytes without end.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }
