package peerhttp_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
	"github.com/magnoliawharf/magnoliawharf/transport/peerhttp"
)

// rawPeer answers each connection's first request with what respond writes, then closes.
func rawPeer(t *testing.T, respond func(w io.Writer, r *http.Request)) string {
	t.Helper()
	return sockets.ServeRaw(t, func(conn *net.TCPConn, r *http.Request) { respond(conn, r) })
}

func newRequest(body *caller.Body) *caller.Request {
	return &caller.Request{
		ID: "id-1", Service: "ledger", Route: "all", Class: "short", Method: http.MethodPost, Path: "/charge",
		Body: body, Deadline: time.Now().Add(300 * time.Millisecond), Attempt: 1,
	}
}

func answerWith(head string, body string) func(io.Writer, *http.Request) {
	return func(w io.Writer, _ *http.Request) {
		_, _ = io.WriteString(w, "HTTP/1.1 "+strings.ReplaceAll(head, "\n", "\r\n")+"\r\n\r\n"+body)
	}
}

// Guards against a refusal that states not-run although the peer may have run the request, and against an
// answer that belongs to another request or is truncated and accepted as complete.
func TestForwardFailures(t *testing.T) {
	cases := map[string]struct {
		respond func(io.Writer, *http.Request) // nil: the connection is refused
		body    *caller.Body
		cancel  bool
		late    bool // the deadline has passed before the attempt
		reason  caller.Reason
		ran     caller.RunState
	}{
		"dial refused":      {reason: caller.PeerUnreachable, ran: caller.NotRun},
		"closed at once":    {respond: func(io.Writer, *http.Request) {}, reason: caller.PeerLost},
		"header cut":        {respond: func(w io.Writer, _ *http.Request) { _, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nMagno") }, reason: caller.PeerLost},
		"wrong request ID":  {respond: answerWith("200 OK\nMagnoliawharf-Request-Id: id-2\nContent-Length: 0", ""), reason: caller.AnswerMismatch},
		"no request ID":     {respond: answerWith("200 OK\nContent-Length: 0", ""), reason: caller.AnswerMismatch},
		"refused":           {respond: answerWith("503 No\nMagnoliawharf-Request-Id: id-1\nMagnoliawharf-Refusal: draining\nMagnoliawharf-Ran: not-run\nContent-Length: 0", ""), reason: caller.Draining, ran: caller.NotRun},
		"other's refusal":   {respond: answerWith("503 No\nMagnoliawharf-Request-Id: id-2\nMagnoliawharf-Refusal: draining\nMagnoliawharf-Ran: not-run\nContent-Length: 0", ""), reason: caller.AnswerMismatch},
		"unknown reason":    {respond: answerWith("503 No\nMagnoliawharf-Request-Id: id-1\nMagnoliawharf-Refusal: tired\nMagnoliawharf-Ran: not-run\nContent-Length: 0", ""), reason: caller.PeerLost},
		"refusal, no ran":   {respond: answerWith("503 No\nMagnoliawharf-Request-Id: id-1\nMagnoliawharf-Refusal: draining\nContent-Length: 0", ""), reason: caller.Draining},
		"refusal, answered": {respond: answerWith("503 No\nMagnoliawharf-Request-Id: id-1\nMagnoliawharf-Refusal: draining\nMagnoliawharf-Ran: answered\nContent-Length: 0", ""), reason: caller.PeerLost},
		"oversized header":  {respond: answerWith("200 OK\nX: "+strings.Repeat("x", 1<<20), ""), reason: caller.PeerLost},
		"no HTTP":           {respond: func(w io.Writer, _ *http.Request) { _, _ = io.WriteString(w, "hello\r\n\r\n") }, reason: caller.PeerLost},
		"deadline reached":  {respond: func(io.Writer, *http.Request) { time.Sleep(time.Second) }, reason: caller.DeadlinePassed},
		"deadline over":     {respond: func(io.Writer, *http.Request) {}, late: true, reason: caller.DeadlinePassed, ran: caller.NotRun},
		"caller cancelled":  {respond: func(io.Writer, *http.Request) { time.Sleep(time.Second) }, cancel: true, reason: caller.Cancelled},
		"request body cut":  {respond: func(_ io.Writer, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }, body: caller.NewBody(&cutReader{}, 10), reason: caller.BodyCut},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr := sockets.ReservePort(t) // refuses connections
			if c.respond != nil {
				addr = rawPeer(t, c.respond)
			}
			req := newRequest(caller.NewBody(nil, 0))
			if c.body != nil {
				req.Body = c.body
			}
			if c.late {
				req.Deadline = time.Now()
			}
			ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
			defer cancel()
			if c.cancel {
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			answer, _, err := peerhttp.NewClient("self", nil).Forward(ctx, req, instance.Record{ID: "peer", PeerAddr: addr})
			assert.Assert(t, answer == nil)
			var refusal *caller.Refusal
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
			assert.Equal(t, refusal.Reason, c.reason, "%v", err)
			assert.Equal(t, refusal.Ran, c.ran, "%v", err)
		})
	}
}

// cutReader returns some bytes and then io.ErrUnexpectedEOF.
type cutReader struct{ given bool }

func (r *cutReader) Read(p []byte) (int, error) {
	if r.given {
		return 0, io.ErrUnexpectedEOF
	}
	r.given = true
	return copy(p, "part"), nil
}

// Guards against answers that are truncated after their header and read as complete.
func TestTruncatedBodiesReadAsErrors(t *testing.T) {
	cases := map[string]func(io.Writer, *http.Request){
		"content length": answerWith("200 OK\nMagnoliawharf-Request-Id: id-1\nContent-Length: 50", "part"),
		"chunked":        answerWith("200 OK\nMagnoliawharf-Request-Id: id-1\nTransfer-Encoding: chunked", "4\r\npart\r\n"),
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			req := newRequest(caller.NewBody(nil, 0))
			answer, _, err := peerhttp.NewClient("self", nil).Forward(context.Background(), req, instance.Record{ID: "peer", PeerAddr: rawPeer(t, respond)})
			assert.NilError(t, err)
			defer answer.Body.Close()
			_, err = io.ReadAll(answer.Body)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// Guards against an answer of another node without a valid status line that reaches the caller, or states that the request did not run.
func TestInvalidAnswersOfNodes(t *testing.T) {
	const fields = "\r\nMagnoliawharf-Request-Id: id-1\r\nContent-Length: 0\r\n\r\n"
	const refusal = "\r\nMagnoliawharf-Refusal: draining\r\nMagnoliawharf-Ran: not-run" + fields
	const good = "HTTP/1.1 200 OK" + fields
	for name, answer := range map[string]string{
		"000": "HTTP/1.1 000 X" + fields, "099": "HTTP/1.1 099 X" + fields, "+20": "HTTP/1.1 +20 X" + fields, "600": "HTTP/1.1 600 X" + fields,
		"1000": "HTTP/1.1 1000 X" + fields, "-1": "HTTP/1.1 -1 X" + fields, "letters": "HTTP/1.1 abc X" + fields,
		"HTTP/2.0": "HTTP/2.0 200 OK" + fields, "HTTP/0.9": "HTTP/0.9 200 OK" + fields, "101": "HTTP/1.1 101 X" + fields,
		"interim with a length": "HTTP/1.1 103 X" + fields + good, "refusal with 999": "HTTP/1.1 999 X" + refusal, "refusal in HTTP/2.0": "HTTP/2.0 503 X" + refusal,
		"blank in a name": "HTTP/1.1 200 OK\r\nX Odd: 1" + fields, "blank in a name, interim": "HTTP/1.1 103 X\r\nX Odd: 1\r\n\r\n" + good,
		"blank after the name of a refusal": "HTTP/1.1 503 X\r\nMagnoliawharf-Refusal : draining" + fields, "refusal with a blank in a name": "HTTP/1.1 503 X\r\nX Odd: 1" + refusal,
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01Odd: 1" + fields,
		"two lengths":            "HTTP/1.1 200 OK\r\nContent-Length: 1" + fields, "endless interim": strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 1000) + good,
	} {
		t.Run(name, func(t *testing.T) {
			addr := rawPeer(t, func(w io.Writer, _ *http.Request) { _, _ = io.WriteString(w, answer) })
			_, _, err := peerhttp.NewClient("self", nil).Forward(t.Context(), newRequest(caller.NewBody(nil, 0)), instance.Record{ID: "peer", PeerAddr: addr})
			var refusal *caller.Refusal
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
			assert.Equal(t, refusal.Reason, caller.PeerLost)
			assert.Equal(t, refusal.Ran, caller.Unknown)
		})
	}
}

// Guards against a malformed report that invalidates a good answer.
func TestMalformedReportIsIgnored(t *testing.T) {
	addr := rawPeer(t, answerWith("200 OK\nMagnoliawharf-Request-Id: id-1\nMagnoliawharf-Report: s=99&n=-1\nContent-Length: 2", "ok"))
	answer, report, err := peerhttp.NewClient("self", nil).Forward(context.Background(), newRequest(caller.NewBody(nil, 0)), instance.Record{ID: "peer", PeerAddr: addr})
	assert.NilError(t, err)
	defer answer.Body.Close()
	assert.Assert(t, report == nil)
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
}
