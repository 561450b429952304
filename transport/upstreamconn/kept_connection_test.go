package upstreamconn_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamconn"
)

// staleConnWindow is the time after the start of a request in which the client takes a reset of a kept connection for one that the
// upstream had closed before. After it, the upstream may have worked on the request.
const staleConnWindow = 20 * time.Millisecond

// Guards against a request that arrives twice without being charged to a retry budget, when the upstream resets kept
// connections as soon as it has read a request on them.
func TestResetRequestArrivesOnce(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		var arrivals atomic.Int64
		addr, _ := startUpstream(t, func(c *net.TCPConn, n int, r *http.Request) bool {
			arrivals.Add(1)
			if n%2 == 1 {
				_ = c.SetLinger(0)
				return false
			}
			return reply(c, r.Header.Get("X-Id"), "ok")
		})
		client := newClient(t)
		const requests = 20
		for n := range requests {
			began := time.Now()
			body, refusal, err := send(t, client, addr, requestOf(fmt.Sprint("r", n), repeatable, ""))
			took := time.Since(began)
			assert.NilError(t, err)
			if n%2 == 0 {
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, body, "ok")
				continue
			}
			assert.Assert(t, refusal != nil, "request %d is answered %q", n, body)
			if refusal.Reason != caller.UpstreamLost || took < staleConnWindow {
				assert.Equal(t, refusal.Reason, caller.KeptConnectionLost, "after %v", took)
			}
			assert.Equal(t, refusal.Ran, caller.Unknown)
		}
		assert.Equal(t, arrivals.Load(), int64(requests))
	}
}

// sendTogether sends requests at the same time, each of which must be answered. An upstream that answers none before it has all
// of them gets each on a connection of its own.
func sendTogether(t *testing.T, client *upstreamconn.Client, addr string, count int) {
	t.Helper()
	var sent sync.WaitGroup
	for n := range count {
		sent.Go(func() {
			_, refusal, err := send(t, client, addr, requestOf(fmt.Sprint("together", n), true, ""))
			assert.Check(t, err == nil && refusal == nil, "%v %v", err, refusal)
		})
	}
	sent.Wait()
}

// Guards against a retry that is lost in the same way as the attempt before it: an upstream that resets each request on a kept
// connection resets that on the next kept one too, for example on that of a health check.
func TestRetryAfterALostKeptConnectionUsesANewOne(t *testing.T) {
	const conns = 3
	var together sync.WaitGroup
	together.Add(conns)
	var used sync.Map // connections that have carried a request
	addr, _ := startUpstream(t, func(c *net.TCPConn, n int, r *http.Request) bool {
		if _, reused := used.LoadOrStore(c, true); reused {
			_ = c.SetLinger(0)
			return false
		}
		if n < conns {
			together.Done()
			together.Wait()
		}
		return reply(c, r.Header.Get("X-Id"), "ok")
	})
	client := newClient(t)
	sendTogether(t, client, addr, conns)
	_, refusal, _ := send(t, client, addr, requestOf("r1", true, ""))
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Reason, caller.KeptConnectionLost)
	retry := requestOf("r1", true, "")
	retry.Attempt = 2
	_, refusal, err := send(t, client, addr, retry)
	assert.NilError(t, err)
	assert.Assert(t, refusal == nil, "%v", refusal)
}

// Guards against many lost requests when the upstream drops all its idle connections: the loss of one must keep requests off
// the others, which have been idle as long, and off those that are idle as long later.
func TestOneRequestIsLostOnDroppedIdleConnections(t *testing.T) {
	const conns = 8
	var together sync.WaitGroup
	together.Add(conns)
	var drops atomic.Int64   // times that all open connections were dropped
	var openedAfter sync.Map // by connection, the drops before it
	addr, accepted := startUpstream(t, func(c *net.TCPConn, n int, r *http.Request) bool {
		if before, _ := openedAfter.LoadOrStore(c, drops.Load()); before.(int64) < drops.Load() {
			_ = c.SetLinger(0)
			return false
		}
		if n < conns {
			together.Done()
			together.Wait()
		}
		return reply(c, r.Header.Get("X-Id"), "ok")
	})
	client := newClient(t)
	sendTogether(t, client, addr, conns)
	assert.Equal(t, accepted.Load(), int64(conns))
	const idle = 300 * time.Millisecond
	lost := 0
	for n := range 2 * conns {
		if n%conns == 0 {
			time.Sleep(idle)
			drops.Add(1)
		}
		if _, refusal, _ := send(t, client, addr, requestOf(fmt.Sprint("r", n), true, "")); refusal != nil {
			assert.Equal(t, refusal.Reason, caller.KeptConnectionLost)
			lost++
		}
	}
	assert.Equal(t, lost, 1)
}

// Guards against a refusal that says not-run of a request that may have run, when the upstream ends with the request on a
// kept connection and refuses new connections afterwards.
func TestUpstreamThatEndsUnderARequestOnAKeptConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if r, err := http.ReadRequest(reader); err == nil && reply(conn.(*net.TCPConn), r.Header.Get("X-Id"), "ok") {
			_, _ = http.ReadRequest(reader)
		}
		_ = listener.Close()
	}()
	client := newClient(t)
	_, refusal, err := send(t, client, listener.Addr().String(), requestOf("r1", true, ""))
	assert.NilError(t, err)
	assert.Assert(t, refusal == nil, "%v", refusal)
	_, refusal, err = send(t, client, listener.Addr().String(), requestOf("r2", true, ""))
	assert.NilError(t, err)
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Ran, caller.Unknown, "%v", refusal)
}

// Guards against a request that runs twice at one upstream without being charged to the retry budget: an upstream that
// closes a reused connection after it has worked on the request had not closed the connection before.
func TestLostAnswerOnReusedConnectionIsNotResent(t *testing.T) {
	var arrivals atomic.Int64
	addr, _ := startUpstream(t, func(c *net.TCPConn, n int, r *http.Request) bool {
		arrivals.Add(1)
		if n == 1 {
			time.Sleep(100 * time.Millisecond)
			return false
		}
		return reply(c, r.Header.Get("X-Id"), "ok")
	})
	client := newClient(t)
	_, refusal, err := send(t, client, addr, requestOf("r1", true, ""))
	assert.NilError(t, err)
	assert.Assert(t, refusal == nil)
	_, refusal, _ = send(t, client, addr, requestOf("r2", true, ""))
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Reason, caller.UpstreamLost)
	assert.Equal(t, refusal.Ran, caller.Unknown)
	assert.Equal(t, arrivals.Load(), int64(2))
}
