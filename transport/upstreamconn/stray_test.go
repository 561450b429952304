package upstreamconn_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// refusalText returns a refusal that states that its request was not run, without a request ID.
func refusalText(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Not-Run: 1\r\nX-Upstream: u-2\r\nContent-Length: 4\r\n\r\nfull", status, http.StatusText(status))
}

func answerText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// writeAll writes the texts with pauses in between.
func writeAll(c net.Conn, pause time.Duration, texts ...string) bool {
	for _, text := range texts {
		if _, err := io.WriteString(c, text); err != nil {
			return false
		}
		time.Sleep(pause)
	}
	return true
}

// Guards against a request that is reported as not run because the upstream has written an earlier refusal once more on a
// kept connection, while it runs the request.
func TestStrayRefusalOnKeptConnection(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusBadRequest} {
		for name, pause := range map[string]time.Duration{"together": 0, "one by one": 20 * time.Millisecond} {
			for _, repeatable := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d %s repeatable=%t", status, name, repeatable), func(t *testing.T) {
					addr, accepted := startUpstream(t, func(c *net.TCPConn, n int, r *http.Request) bool {
						switch {
						case n == 0:
							return writeAll(c, 0, answerText("r0", "ok"))
						case pause == 0:
							return writeAll(c, 0, refusalText(status)+answerText("r1", "ran"))
						}
						return writeAll(c, pause, refusalText(status), answerText("r1", "ran"))
					})
					client := newClient(t)
					body, refusal, err := send(t, client, addr, requestOf("r0", repeatable, ""))
					assert.NilError(t, err)
					assert.Assert(t, refusal == nil, "%v", refusal)
					assert.Equal(t, body, "ok")
					body, refusal, err = send(t, client, addr, requestOf("r1", repeatable, ""))
					assert.NilError(t, err)
					assert.Assert(t, refusal == nil, "%v", refusal)
					assert.Equal(t, body, "ran")
					assert.Equal(t, accepted.Load(), int64(1))
				})
			}
		}
	}
}

// Guards against a refusal without a request ID that counts as proof although the connection has carried other answers:
// without a further answer the request may have run.
func TestUnprovenRefusalIsUnknown(t *testing.T) {
	closeAfter := func(texts ...string) script {
		return func(c *net.TCPConn, _ int, _ *http.Request) bool {
			writeAll(c, 0, texts...)
			return false
		}
	}
	for name, test := range map[string]struct {
		kept   bool // the connection has carried an earlier request
		script script
		ran    caller.RunState
	}{
		"kept connection":             {kept: true, script: closeAfter(refusalText(503)), ran: caller.Unknown},
		"kept connection, 421":        {kept: true, script: closeAfter(refusalText(421)), ran: caller.Unknown},
		"behind another's answer":     {script: closeAfter(answerText("r0", "late"), refusalText(503)), ran: caller.Unknown},
		"another request's refusal":   {script: closeAfter(strings.Replace(refusalText(503), "X-Not-Run", "X-Id: r0\r\nX-Not-Run", 1)), ran: caller.Unknown},
		"with the ID, kept":           {kept: true, script: closeAfter(strings.Replace(refusalText(503), "X-Not-Run", "X-Id: r1\r\nX-Not-Run", 1)), ran: caller.NotRun},
		"behind an interim answer":    {script: closeAfter("HTTP/1.1 103 Early Hints\r\n\r\n", refusalText(503)), ran: caller.NotRun},
		"only request of the channel": {script: closeAfter(refusalText(503)), ran: caller.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := startUpstream(t, func(c *net.TCPConn, n int, r *http.Request) bool {
				if test.kept && n == 0 {
					return writeAll(c, 0, answerText("r0", "ok"))
				}
				return test.script(c, n, r)
			})
			client := newClient(t)
			if test.kept {
				_, refusal, err := send(t, client, addr, requestOf("r0", false, ""))
				assert.NilError(t, err)
				assert.Assert(t, refusal == nil, "%v", refusal)
			}
			body, refusal, _ := send(t, client, addr, requestOf("r1", false, ""))
			assert.Assert(t, refusal != nil, "answered %q", body)
			assert.Equal(t, refusal.Ran, test.ran)
			assert.Equal(t, refusal.Reason == caller.UpstreamRejected, test.ran == caller.NotRun, "%s", refusal.Reason)
		})
	}
}

// Guards against the refusal of a health check that is taken for the refusal of a request: checks and requests share
// connections, and a check has no request ID.
func TestRefusedHealthCheckIsNoRefusalOfARequest(t *testing.T) {
	addr, _ := startUpstream(t, func(c *net.TCPConn, n int, r *http.Request) bool {
		if r.URL.Path == "/health" {
			return writeAll(c, 0, refusalText(503))
		}
		return writeAll(c, 0, refusalText(503)+answerText("r1", "ran"))
	})
	client := newClient(t)
	reading, err := client.CheckHealth(context.Background(), addr, "/health")
	assert.NilError(t, err)
	assert.Assert(t, !reading.Healthy)
	body, refusal, err := send(t, client, addr, requestOf("r1", false, ""))
	assert.NilError(t, err)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, body, "ran")
}

// Guards against a stray answer that arrives before the request is sent: the connection is not reused.
func TestStrayRefusalBeforeTheRequest(t *testing.T) {
	addr, accepted := startUpstream(t, func(c *net.TCPConn, n int, r *http.Request) bool {
		if n == 0 {
			return writeAll(c, 0, answerText("r0", "ok")) && writeAll(c, 0, refusalText(503))
		}
		return writeAll(c, 0, answerText("r1", "ran"))
	})
	client := newClient(t)
	_, refusal, err := send(t, client, addr, requestOf("r0", false, ""))
	assert.NilError(t, err)
	assert.Assert(t, refusal == nil, "%v", refusal)
	time.Sleep(30 * time.Millisecond)
	body, refusal, err := send(t, client, addr, requestOf("r1", false, ""))
	assert.NilError(t, err)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, body, "ran")
	assert.Equal(t, accepted.Load(), int64(2))
}

// Guards against a late answer that is taken for the answer to a request without an ID, which no ID tells apart.
func TestRequestWithoutIDGetsItsOwnConnection(t *testing.T) {
	addr, accepted := startUpstream(t, func(c *net.TCPConn, n int, _ *http.Request) bool {
		if n == 0 {
			return writeAll(c, 0, answerText("r0", "ok"))
		}
		return writeAll(c, 0, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	client := newClient(t)
	_, refusal, err := send(t, client, addr, requestOf("r0", true, ""))
	assert.NilError(t, err)
	assert.Assert(t, refusal == nil, "%v", refusal)
	anonymous := requestOf("", true, "")
	delete(anonymous.Header, "X-Id")
	body, refusal, err := send(t, client, addr, anonymous)
	assert.NilError(t, err)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, body, "ok")
	assert.Equal(t, accepted.Load(), int64(2))
}

// Guards against a health report that reaches a request: when a health check takes an earlier refusal for its report, its own
// report comes where the answer to the next request is due.
func TestLateHealthReportIsNoAnswer(t *testing.T) {
	healthy := "HTTP/1.1 200 OK\r\nX-Upstream: u-1\r\nX-Load: 3,1,8\r\nContent-Length: 0\r\n\r\n"
	for name, late := range map[string]string{"healthy": healthy, "refused": refusalText(503)} {
		t.Run(name, func(t *testing.T) {
			addr, accepted := startUpstream(t, func(c *net.TCPConn, _ int, r *http.Request) bool {
				if r.URL.Path == "/health" {
					return writeAll(c, 0, refusalText(503))
				}
				return writeAll(c, 0, late+answerText("r1", "ran"))
			})
			client := newClient(t)
			reading, err := client.CheckHealth(context.Background(), addr, "/health")
			assert.NilError(t, err)
			assert.Assert(t, !reading.Healthy && !reading.HasLoad)
			body, refusal, err := send(t, client, addr, requestOf("r1", false, ""))
			assert.NilError(t, err)
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Equal(t, body, "ran")
			assert.Equal(t, accepted.Load(), int64(1))
		})
	}
}
