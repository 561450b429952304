package upstreamconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamconn"
)

var dialect = caller.Dialect{
	RequestID: "X-Id", TimeLimit: "X-Time", Expect: "X-Expect", UpstreamID: "X-Upstream", NotRun: "X-Not-Run", Load: "X-Load", Origin: "X-Origin", Tenant: "X-Tenant",
	ParseLoad: func(value string) (load caller.UpstreamLoad, ok bool) {
		_, err := fmt.Sscanf(value, "%d,%d,%d", &load.Running, &load.Waiting, &load.Slots)
		return load, err == nil
	},
}

// script handles the n-th request that the upstream reads, counted from 0 over all connections. The connection is closed
// when it returns false.
type script func(c *net.TCPConn, n int, r *http.Request) bool

// countedAddr is the address of upstreams whose connections are counted. Tests of other packages, which run at the same time,
// dial ports at 127.0.0.1 that their processes have given up, and that the kernel may have given to this process since.
const countedAddr = "127.0.0.2:0"

// startUpstream starts a stand-in upstream and returns its address and a counter of the connections that it has accepted.
func startUpstream(t *testing.T, s script) (addr string, accepted *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", countedAddr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	accepted = new(atomic.Int64)
	var requests atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if !s(conn.(*net.TCPConn), int(requests.Add(1)-1), r) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), accepted
}

func reply(c *net.TCPConn, id, body string, fields ...string) bool {
	text := "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n"
	for _, field := range fields {
		text += field + "\r\n"
	}
	_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", text, len(body), body)
	return err == nil
}

func requestOf(id string, repeatable bool, body string) *caller.Request {
	var content *caller.Body
	if body == "" {
		content = caller.NewBody(nil, 0)
	} else {
		content = caller.NewBody(strings.NewReader(body), int64(len(body)))
	}
	return &caller.Request{
		ID: id, Method: http.MethodPost, Path: "/a/b?c=%20d", Header: http.Header{"X-Id": {id}, "X-Origin": {"forged"}}, Body: content,
		Deadline:  time.Now().Add(2 * time.Second),
		Placement: &caller.Placement{Host: "shop.example", Origin: "cart", Upstream: "u-1", Repeatable: repeatable},
	}
}

// send sends a request and returns the body of the answer, or the refusal, or the error from reading a truncated body.
func send(t *testing.T, client *upstreamconn.Client, addr string, req *caller.Request) (string, *caller.Refusal, error) {
	t.Helper()
	answer, err := client.Send(context.Background(), req, addr)
	if err != nil {
		var refusal *caller.Refusal
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		return "", refusal, nil
	}
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, answer.Body.Close())
	return string(body), nil, err
}

func newClient(t *testing.T) *upstreamconn.Client {
	client := upstreamconn.NewClient(dialect)
	t.Cleanup(client.Close)
	return client
}

// Guards against a request that reaches the upstream modified or with system fields that its caller forged.
func TestRequestArrivesUnchangedWithSystemFields(t *testing.T) {
	type seen struct {
		uri, host, origin, expect, id, limit, body string
	}
	got := make(chan seen, 1)
	addr, _ := startUpstream(t, func(c *net.TCPConn, _ int, r *http.Request) bool {
		body, _ := io.ReadAll(r.Body)
		got <- seen{r.RequestURI, r.Host, r.Header.Get("X-Origin"), r.Header.Get("X-Expect"), r.Header.Get("X-Id"), r.Header.Get("X-Time"), string(body)}
		return reply(c, r.Header.Get("X-Id"), "ok")
	})
	_, refusal, err := send(t, newClient(t), addr, requestOf("r1", true, "hello"))
	assert.NilError(t, err)
	assert.Assert(t, refusal == nil)
	arrived := <-got
	limit := arrived.limit
	arrived.limit = ""
	assert.Equal(t, arrived, seen{uri: "/a/b?c=%20d", host: "shop.example", origin: "cart", expect: "u-1", id: "r1", body: "hello"})
	var left int
	_, err = fmt.Sscanf(limit, "%d", &left)
	assert.NilError(t, err)
	assert.Assert(t, left > 1500 && left <= 2000, "time limit %d ms", left)
}

// Guards against a tenant's name that does not reach the upstream, or one that the caller has made up and that does.
func TestTenantOfRequest(t *testing.T) {
	got := make(chan []string, 1)
	addr, _ := startUpstream(t, func(c *net.TCPConn, _ int, r *http.Request) bool {
		got <- r.Header["X-Tenant"]
		return reply(c, r.Header.Get("X-Id"), "ok")
	})
	for _, test := range map[string]struct {
		placed *caller.Placement
		want   []string
	}{
		"tenant":       {&caller.Placement{Host: "h", Upstream: "u-1", Tenant: "t1"}, []string{"t1"}},
		"no tenant":    {&caller.Placement{Host: "h", Upstream: "u-1"}, nil},
		"no placement": {nil, nil},
	} {
		req := requestOf("r1", true, "")
		req.Header["X-Tenant"], req.Placement = []string{"forged", "t2"}, test.placed
		_, refusal, err := send(t, newClient(t), addr, req)
		assert.NilError(t, err)
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.DeepEqual(t, <-got, test.want)
	}
}

// Guards against an answer to another request being returned, and against a truncated answer being accepted as complete.
func TestAnswersOfFaultyUpstreams(t *testing.T) {
	tests := []struct {
		name   string
		script script
		body   string        // of a good answer
		reason caller.Reason // of a refusal
		ran    caller.RunState
		broken bool // the body is truncated
	}{
		{name: "good", script: func(c *net.TCPConn, _ int, r *http.Request) bool { return reply(c, "r1", "ok") }, body: "ok"},
		{name: "continued first", body: "ok", script: func(c *net.TCPConn, _ int, r *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			return reply(c, "r1", "ok")
		}},
		{name: "answer of another request before the own one", body: "ok", script: func(c *net.TCPConn, _ int, r *http.Request) bool {
			return reply(c, "r0", "stale") && reply(c, "r1", "ok")
		}},
		{name: "only an answer of another request", reason: caller.UpstreamLost, ran: caller.Unknown, script: func(c *net.TCPConn, _ int, r *http.Request) bool {
			reply(c, "r0", "stale")
			return false
		}},
		{name: "answer without an ID", reason: caller.UpstreamLost, ran: caller.Unknown, script: func(c *net.TCPConn, _ int, r *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return false
		}},
		{name: "no HTTP", reason: caller.UpstreamLost, ran: caller.Unknown, script: func(c *net.TCPConn, _ int, r *http.Request) bool {
			_, _ = io.WriteString(c, "\x00\x01 rubbish \r\n\r\n")
			return false
		}},
		{name: "closed without an answer", reason: caller.UpstreamLost, ran: caller.Unknown, script: func(*net.TCPConn, int, *http.Request) bool { return false }},
		{name: "truncated", broken: true, script: func(c *net.TCPConn, _ int, r *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 10\r\n\r\nhalf")
			return false
		}},
		{name: "truncated chunks", broken: true, script: func(c *net.TCPConn, _ int, r *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
			return false
		}},
		{name: "ends with the connection", body: "all of it", script: func(c *net.TCPConn, _ int, r *http.Request) bool {
			_, _ = io.Copy(io.Discard, r.Body) // a close with unread bytes is a reset
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nall of it")
			return false
		}},
		{name: "reset before the end of the connection", broken: true, script: func(c *net.TCPConn, _ int, r *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nhalf")
			time.Sleep(50 * time.Millisecond)
			_ = c.SetLinger(0)
			return false
		}},
		{name: "rejected", reason: caller.UpstreamRejected, ran: caller.NotRun, script: func(c *net.TCPConn, _ int, r *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}},
		{name: "other incarnation", reason: caller.StaleIncarnation, ran: caller.NotRun, script: func(c *net.TCPConn, _ int, r *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nX-Upstream: u-2\r\nContent-Length: 0\r\n\r\n")
			return true
		}},
		{name: "full without proof", body: "", script: func(c *net.TCPConn, _ int, r *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n")
			return true
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			addr, _ := startUpstream(t, test.script)
			body, refusal, err := send(t, newClient(t), addr, requestOf("r1", false, "x"))
			switch {
			case test.reason != "":
				assert.Assert(t, refusal != nil, "answered %q", body)
				assert.Equal(t, refusal.Reason, test.reason)
				assert.Equal(t, refusal.Ran, test.ran)
			case test.broken:
				assert.Assert(t, err != nil, "body %q taken as whole", body)
			default:
				assert.NilError(t, err)
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, body, test.body)
			}
		})
	}
}

// Guards against the reuse of a connection that the upstream closes or on which it sends unsolicited data.
func TestConnectionReuse(t *testing.T) {
	for name, test := range map[string]struct {
		first script
		want  int64 // connections over two requests
	}{
		"good": {func(c *net.TCPConn, _ int, r *http.Request) bool { return reply(c, r.Header.Get("X-Id"), "ok") }, 1},
		"says that it ends": {func(c *net.TCPConn, _ int, r *http.Request) bool {
			return reply(c, r.Header.Get("X-Id"), "ok", "Connection: close")
		}, 2},
		"keeps it for 1 s": {func(c *net.TCPConn, _ int, r *http.Request) bool {
			return reply(c, r.Header.Get("X-Id"), "ok", "Keep-Alive: timeout=1")
		}, 2},
		"keeps it for 60 s": {func(c *net.TCPConn, _ int, r *http.Request) bool {
			return reply(c, r.Header.Get("X-Id"), "ok", "Keep-Alive: timeout=60, max=9")
		}, 1},
		"sends more": {func(c *net.TCPConn, _ int, r *http.Request) bool {
			return reply(c, r.Header.Get("X-Id"), "ok") && reply(c, r.Header.Get("X-Id"), "again")
		}, 2},
		"closes it silently": {func(c *net.TCPConn, _ int, r *http.Request) bool { reply(c, r.Header.Get("X-Id"), "ok"); return false }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			addr, accepted := startUpstream(t, test.first)
			client := newClient(t)
			for _, id := range []string{"r1", "r2"} {
				body, refusal, err := send(t, client, addr, requestOf(id, true, ""))
				assert.NilError(t, err)
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, body, "ok")
				time.Sleep(30 * time.Millisecond)
			}
			assert.Equal(t, accepted.Load(), test.want)
		})
	}
}

// Guards against the loss of an answer that the upstream sends before it has read the body, and against later requests on
// the same connection, which the upstream would read as the rest of that body.
func TestEarlyAnswerToLongBody(t *testing.T) {
	addr, accepted := startUpstream(t, func(c *net.TCPConn, n int, r *http.Request) bool {
		if n > 0 {
			return reply(c, r.Header.Get("X-Id"), "ok")
		}
		reply(c, r.Header.Get("X-Id"), "early")
		time.Sleep(200 * time.Millisecond)
		return false
	})
	client := newClient(t)
	body, refusal, err := send(t, client, addr, requestOf("r1", true, strings.Repeat("x", 8<<20)))
	assert.NilError(t, err)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, body, "early")
	body, _, err = send(t, client, addr, requestOf("r2", true, ""))
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, accepted.Load(), int64(2))
}

// Guards against a refusal that states unknown although nothing was sent.
func TestConnectionRefused(t *testing.T) {
	_, refusal, _ := send(t, newClient(t), sockets.ReservePort(t), requestOf("r1", false, ""))
	assert.Equal(t, refusal.Reason, caller.UpstreamUnreachable)
	assert.Equal(t, refusal.Ran, caller.NotRun)
}

// Guards against a crash that is not recognised, because a health check can't tell that nothing listens from other failures.
func TestHealthCheckTellsARefusedConnection(t *testing.T) {
	_, err := newClient(t).CheckHealth(t.Context(), sockets.ReservePort(t), "/health")
	assert.ErrorIs(t, err, inbound.ErrRefused)
	addr, _ := startUpstream(t, func(*net.TCPConn, int, *http.Request) bool { return false })
	_, err = newClient(t).CheckHealth(t.Context(), addr, "/health")
	assert.Assert(t, err != nil && !errors.Is(err, inbound.ErrRefused), "%v", err)
}

// Guards against work that continues at the upstream after the caller has cancelled the request.
func TestCancellationClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	addr, _ := startUpstream(t, func(c *net.TCPConn, _ int, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newClient(t).Send(ctx, requestOf("r1", true, ""), addr)
	var refusal *caller.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Reason, caller.Cancelled)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the upstream still waits")
	}
}

// Guards against the load in an upstream's health response being misread or ignored.
func TestReadLoad(t *testing.T) {
	addr, _ := startUpstream(t, func(c *net.TCPConn, _ int, r *http.Request) bool {
		assert.Check(t, r.Method == http.MethodGet && r.RequestURI == "/health" && r.Header.Get("X-Id") == "")
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Upstream: u-1\r\nX-Load: 3,1,8\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	reading, err := newClient(t).CheckHealth(context.Background(), addr, "/health")
	assert.NilError(t, err)
	assert.Assert(t, reading.Healthy && reading.HasLoad)
	assert.Equal(t, reading.UpstreamID, "u-1")
	assert.Equal(t, reading.Load, caller.UpstreamLoad{Running: 3, Waiting: 1, Slots: 8})
}
