package sidecar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/transport/peerhttp"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamconn"
)

const (
	cancelNode = "home"
	cancelBoot = 5
)

// blockedUpstream is an upstream with one slot that answers a request when it is released.
type blockedUpstream struct {
	arrived chan string   // IDs of requests
	closed  chan string   // IDs of requests whose connection was closed before the answer
	release chan struct{} // lets one request be answered
}

// serve handles one connection, which carries one request.
func (u *blockedUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Id")
	u.arrived <- id
	ended := make(chan struct{})
	go func() {
		if _, err := reader.Peek(1); err != nil {
			close(ended)
		}
	}()
	select {
	case <-ended:
		u.closed <- id
	case <-u.release:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", id)
	}
}

// sign is how a node learns that another one has given up a request. Each has to do alone: either may be missing.
type sign string

const (
	byConnection sign = "the connection" // no message arrives
	byMessage    sign = "a message"      // the connection stays open behind a proxy
)

// startHome starts a node beside the upstream, to which only the sign comes through. It returns both and a function that sends a request to
// the node.
func startHome(t *testing.T, s sign, repeatable bool) (*blockedUpstream, *inbound.Proxy, func(ctx context.Context, id, body string) error) {
	t.Helper()
	u := &blockedUpstream{arrived: make(chan string, 10), closed: make(chan string, 10), release: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	client := upstreamconn.NewClient(caller.Dialect{RequestID: "X-Id", TimeLimit: "X-Time", Expect: "X-Expect", UpstreamID: "X-Upstream", NotRun: "X-Not-Run", Origin: "X-Origin"})
	t.Cleanup(client.Close)
	proxy := inbound.New(inbound.Options{
		Node: cancelNode, Boot: cancelBoot, Service: "s", Upstream: listener.Addr().String(), HealthPath: func(string) string { return "" },
		AnnounceEvery: time.Second, LivenessTimeout: time.Minute, SlotShare: 1, Client: client, Suspects: quarantine.NewList(nil),
		OnStatusChange: func() {}, Log: slog.New(slog.DiscardHandler),
	})
	assert.NilError(t, proxy.Announce(time.Now(), inbound.Announcement{ID: "u", Born: 1, Sequence: 1, Address: listener.Addr().String(), Service: "s", Slots: 1}))
	forwarded := &peerhttp.Server{Proxy: proxy}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s == byConnection && r.URL.Path == peerhttp.CancelPath {
			return
		}
		forwarded.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	addr := server.Listener.Addr().String()
	if s == byMessage {
		addr = keepOpen(t, addr)
	}
	remote := peerhttp.NewClient("entry", nil)
	t.Cleanup(remote.Close)
	send := func(ctx context.Context, id, body string) error {
		req := &caller.Request{
			ID: id, Service: "s", Route: "r", Class: "c", Method: http.MethodPut, Path: "/", Header: map[string][]string{"X-Id": {id}}, Body: caller.NewBody(nil, 0),
			Deadline: time.Now().Add(20 * time.Second), Attempt: 1,
			Placement: &caller.Placement{Host: "h", Upstream: "u", Objective: 20 * time.Second, Repeatable: repeatable},
		}
		if body != "" {
			req.Body = caller.NewBody(strings.NewReader(body), int64(len(body)))
		}
		answer, _, err := remote.Forward(ctx, req, instance.Record{ID: cancelNode, Incarnation: cancelBoot, PeerAddr: addr})
		if err != nil {
			return err
		}
		return answer.Body.Close()
	}
	return u, proxy, send
}

// keepOpen returns the address of a proxy that passes on all bytes to the target, and keeps its connections there open after their clients
// have closed them.
func keepOpen(t *testing.T, target string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = to.Close() })
			go func() { _, _ = io.Copy(to, from) }()
			go func() { _, _ = io.Copy(from, to) }()
		}
	}()
	return listener.Addr().String()
}

// next returns the next value of the channel.
func next(t *testing.T, values <-chan string) string {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(10 * time.Second):
		assert.Assert(t, false, "nothing within 10 s")
		return ""
	}
}

// Guards against an upstream that goes on working on the slower attempt of a hedged request, and against an attempt that still
// waits at its node and reaches the upstream although it is cancelled, where one of the signs of the end is missing.
func TestCancelledAttemptReachesTheUpstream(t *testing.T) {
	for name, body := range map[string]string{
		"no body": "", "short body": "some content", "longer body": strings.Repeat("x", 16<<10), "longest body that is read": strings.Repeat("x", caller.ReplayLimit),
		"long body": strings.Repeat("x", 200<<10),
	} {
		for _, s := range []sign{byConnection, byMessage} {
			if s == byConnection && len(body) > caller.ReplayLimit {
				continue // such a body is not read before it is sent on, and this listener does not look at its sockets
			}
			for _, repeatable := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, repeatable %v", name, s, repeatable), func(t *testing.T) {
					t.Run("running", func(t *testing.T) { checkCancelledWhileRunning(t, s, repeatable, body) })
					t.Run("waiting", func(t *testing.T) { checkCancelledWhileWaiting(t, s, repeatable, body) })
				})
			}
		}
	}
}

func checkCancelledWhileRunning(t *testing.T, s sign, repeatable bool, body string) {
	u, _, send := startHome(t, s, repeatable)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- send(ctx, "slow", body) }()
	assert.Equal(t, next(t, u.arrived), "slow")
	cancel()
	assert.Equal(t, next(t, u.closed), "slow")
	assert.Assert(t, <-ended != nil)
}

func checkCancelledWhileWaiting(t *testing.T, s sign, repeatable bool, body string) {
	u, home, send := startHome(t, s, repeatable)
	sent := make(chan error, 2)
	go func() { sent <- send(t.Context(), "first", "") }()
	assert.Equal(t, next(t, u.arrived), "first")
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := make(chan error, 1)
	go func() { cancelled <- send(ctx, "cancelled", body) }()
	eventually(t, "waits for the slot", 10*time.Second, func() bool { return home.Report().Queued == 1 })
	cancel()
	assert.Assert(t, <-cancelled != nil)
	eventually(t, "dropped at its node", 10*time.Second, func() bool { return home.Report().Queued == 0 })
	go func() { sent <- send(t.Context(), "last", "") }()
	u.release <- struct{}{}
	assert.Equal(t, next(t, u.arrived), "last", "the upstream got the cancelled request")
	u.release <- struct{}{}
	assert.NilError(t, <-sent)
	assert.NilError(t, <-sent)
}
