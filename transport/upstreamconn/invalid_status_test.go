package upstreamconn_test

import (
	"context"
	"errors"
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

// invalidHeads are heads of answers that are no valid final answer of HTTP/1.x, with those of invalidNames. Each is followed by a body that is a valid answer, so that
// reading on for an answer finds one.
var invalidHeads = map[string]string{
	"000":                       "HTTP/1.1 000 X\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"099":                       "HTTP/1.1 099 X\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"099 without a length":      "HTTP/1.1 099 X\r\nX-Id: r1\r\n\r\n",
	"+20":                       "HTTP/1.1 +20 X\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"-1":                        "HTTP/1.1 -1 X\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"-20":                       "HTTP/1.1 -20 X\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"1000":                      "HTTP/1.1 1000 X\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"20":                        "HTTP/1.1 20 X\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"letters":                   "HTTP/1.1 abc X\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"no status":                 "HTTP/1.1\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"600":                       "HTTP/1.1 600 X\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"999":                       "HTTP/1.1 999 X\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"HTTP/2.0":                  "HTTP/2.0 200 OK\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"HTTP/0.9":                  "HTTP/0.9 200 OK\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"HTTP/1.2":                  "HTTP/1.2 200 OK\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"another protocol":          "ICY 200 OK\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"100 with a length":         "HTTP/1.1 100 Continue\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"199 with a length":         "HTTP/1.1 199 X\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"103 with a length of 0":    "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n",
	"103 with chunks":           "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n",
	"interim in HTTP/2.0":       "HTTP/2.0 103 Early Hints\r\n\r\n",
	"two lengths":               "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 54\r\nContent-Length: 53\r\n\r\n",
	"two lengths in one field":  "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 54, 53\r\n\r\n",
	"two lengths of an interim": "HTTP/1.1 103 Early Hints\r\nContent-Length: 54\r\nContent-Length: 53\r\n\r\n",
	"valid, then 600":           "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 X\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"other ID, then 600":        "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 0\r\n\r\nHTTP/1.1 600 X\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
	"600 of another request":    "HTTP/1.1 600 X\r\nX-Id: r0\r\nContent-Length: 0\r\n\r\n",
	"refusal with status 600":   "HTTP/1.1 600 X\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 54\r\n\r\n",
	"refusal in HTTP/2.0":       "HTTP/2.0 421 X\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n",
}

// invalidNames are the names of a field in a head that is otherwise valid. RFC 9110 allows a token only.
var invalidNames = []string{
	"Content-Length ", "Transfer-Encoding ", "X Odd", "X-Odd ", "X-Not-Run ", "X-Id ", "Set-Cookie X", "X-Odd\t", "X\tOdd", "X\x00Odd", "X\x01Odd", "X\x7fOdd",
	"X\x1b[0m", "X\rOdd", "X(Odd)", "X\"Odd", "X\xe9Odd", "",
}

func init() {
	for _, name := range invalidNames {
		invalidHeads[fmt.Sprintf("name %q first", name)] = "HTTP/1.1 200 OK\r\n" + name + ": 4\r\nX-Id: r1\r\nContent-Length: 54\r\n\r\n"
		invalidHeads[fmt.Sprintf("name %q last", name)] = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 54\r\n" + name + ": 4\r\n\r\n"
		invalidHeads[fmt.Sprintf("name %q without a length", name)] = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n" + name + ": chunked\r\n\r\n"
		invalidHeads[fmt.Sprintf("name %q of an interim answer", name)] = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + name + ": 4\r\n\r\n"
		invalidHeads[fmt.Sprintf("name %q of another request", name)] = "HTTP/1.1 200 OK\r\nX-Id: r0\r\n" + name + ": 4\r\nContent-Length: 0\r\n\r\n"
		invalidHeads[fmt.Sprintf("name %q of a refusal", name)] = "HTTP/1.1 503 X\r\nX-Id: r1\r\n" + name + ": 4\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	}
}

const (
	hiddenAnswer = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 6\r\n\r\nhidden"
	// attemptLimit is the time within which an invalid answer ends an attempt whose connection stays open. The deadline is later.
	attemptLimit = time.Second
)

// startInvalid starts an upstream that writes the head and an answer behind it, and keeps the connection until the other end closes it.
// It closes ended when that has happened.
func startInvalid(t *testing.T, head string) (addr string, ended chan struct{}) {
	t.Helper()
	ended = make(chan struct{})
	addr, _ = startUpstream(t, func(c *net.TCPConn, n int, _ *http.Request) bool {
		if n > 0 {
			return reply(c, "r2", "ok")
		}
		defer close(ended)
		_, _ = io.WriteString(c, head+hiddenAnswer)
		_, _ = c.Read(make([]byte, 1)) // until the connection is closed
		return false
	})
	return addr, ended
}

// Guards against an answer without a valid status line, or with an invalid field name, that a caller gets or that states not-run, against
// one whose body is read as the answer, and against an attempt that waits for its deadline after one.
func TestInvalidAnswersEndTheAttempt(t *testing.T) {
	for name, head := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, ended := startInvalid(t, head)
			client := newClient(t)
			ctx, cancel := context.WithTimeout(context.Background(), lateDeadline)
			defer cancel()
			began := time.Now()
			answer, err := client.Send(ctx, requestOf("r1", true, "x"), addr)
			took := time.Since(began)
			if err == nil {
				body, _ := io.ReadAll(io.LimitReader(answer.Body, 100))
				t.Fatalf("answered with status %d and body %q", answer.Status, body)
			}
			var refusal *caller.Refusal
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
			assert.Equal(t, refusal.Reason, caller.UpstreamLost)
			assert.Equal(t, refusal.Ran, caller.Unknown)
			assert.Check(t, took < attemptLimit, "the attempt took %v", took)
			select {
			case <-ended:
			case <-time.After(promptly):
				t.Fatal("the connection is still open")
			}
			body, refusal, err := send(t, client, addr, requestOf("r2", true, ""))
			assert.NilError(t, err)
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Equal(t, body, "ok")
		})
	}
}

// Guards against an upstream that counts as healthy, or as the one expected, by a report without a valid head.
func TestInvalidHealthReportsAreFaults(t *testing.T) {
	for name, head := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, _ := startInvalid(t, strings.ReplaceAll(head, "X-Id: r1\r\n", "X-Upstream: u-1\r\n"))
			ctx, cancel := context.WithTimeout(context.Background(), promptly)
			defer cancel()
			_, err := newClient(t).CheckHealth(ctx, addr, "/health")
			assert.Assert(t, err != nil && ctx.Err() == nil, "%v", err)
		})
	}
}

// Guards against valid answers that the check refuses.
func TestValidStatusLinesAreAccepted(t *testing.T) {
	for name, head := range map[string]string{
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n",
		"200":               "HTTP/1.1 200 OK\r\n",
		"599":               "HTTP/1.1 599 X\r\n",
		"no reason phrase":  "HTTP/1.1 404\r\n",
		"interim":           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n",
		"unknown interim":   "HTTP/1.1 199 X\r\n\r\nHTTP/1.1 200 OK\r\n",
		"two equal lengths": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
	} {
		addr, _ := startUpstream(t, func(c *net.TCPConn, _ int, _ *http.Request) bool {
			_, _ = io.WriteString(c, head+"X-Id: r1\r\nContent-Length: 2\r\n\r\nok")
			return false
		})
		body, refusal, err := send(t, newClient(t), addr, requestOf("r1", false, ""))
		assert.NilError(t, err)
		assert.Assert(t, refusal == nil, "%s: %v", name, refusal)
		assert.Equal(t, body, "ok", name)
	}
}

// Guards against a valid field name that is refused, and against a trailer with an invalid name that is passed on, that takes the body of
// its answer with it, or that is taken for a part of the next answer.
func TestValidFieldNamesAreAccepted(t *testing.T) {
	const chunks = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for name, rest := range map[string]string{
		"all characters of a token": "!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 2\r\n\r\nok",
		"blanks around the value":   "X-Odd: \t 1 \r\nContent-Length: 2\r\n\r\nok",
		"blank in the value":        "X-Odd: a b\r\nContent-Length: 2\r\n\r\nok",
		"no value":                  "X-Odd:\r\nContent-Length: 2\r\n\r\nok",
		"trailer":                   chunks + "X-Odd: 1\r\n\r\n",
		"trailer with a blank":      chunks + "X Odd: 1\r\nContent-Length : 4\r\n\r\n",
	} {
		addr, _ := startUpstream(t, func(c *net.TCPConn, _ int, r *http.Request) bool {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\n"+rest)
			return err == nil
		})
		client := newClient(t)
		for _, id := range []string{"r1", "r2"} {
			answer, err := client.Send(t.Context(), requestOf(id, true, ""), addr)
			assert.NilError(t, err, name)
			body, err := io.ReadAll(answer.Body)
			assert.NilError(t, err, name)
			assert.NilError(t, answer.Body.Close())
			assert.Equal(t, string(body), "ok", name)
			for field := range answer.Header {
				assert.Check(t, !strings.Contains(field, " "), "%s: field %q", name, field)
			}
		}
	}
}
