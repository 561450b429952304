package answerhead_test

import (
	"bufio"
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

	"github.com/magnoliawharf/magnoliawharf/transport/answerhead"
)

// Guards against a head that is taken for a valid answer, or a valid one that is refused, at any status and version that net/http reads.
func TestCheck(t *testing.T) {
	for _, version := range []string{"1.0", "1.1", "0.9", "1.2", "1.9", "2.0", "3.0"} {
		for status := range 1000 {
			for _, length := range []string{"", "Content-Length: 0\r\n", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"} {
				head := fmt.Sprintf("HTTP/%s %03d X\r\n%s\r\n", version, status, length)
				response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
				if err != nil {
					continue
				}
				accepted := version == "1.0" || version == "1.1"
				final := accepted && status >= 200 && status <= 599
				hasLength := length != "" && (version == "1.1" || !strings.HasPrefix(length, "Transfer")) // HTTP/1.0 has no chunks
				interim := accepted && status >= 100 && status <= 199 && !hasLength
				err = answerhead.Check(response)
				assert.Assert(t, (err == nil) == (final || interim), "%q: %v", head, err)
				assert.Assert(t, err == nil || errors.Is(err, answerhead.ErrStatusLine))
				assert.Assert(t, (answerhead.CheckFinal(response) == nil) == final, "%q", head)
			}
		}
	}
}

// Guards against an odd text in place of the status that net/http reads as a number.
func TestOddTextOfTheStatus(t *testing.T) {
	for _, status := range []string{"+20", "-20", "-1", "+200", "1000", "abc", "2e2", "0x2", "２００", "20", "", "2 0"} {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+status+" X\r\n\r\n")), nil)
		assert.Assert(t, err != nil || answerhead.Check(response) != nil, "%q is read as %v", status, response)
	}
}

// Guards against a head with an invalid field name that is taken for a valid answer, and against a valid name that is refused, for each
// byte that a name may hold.
func TestFieldNames(t *testing.T) {
	const tokenMarks = "!#$%&'*+-.^_`|~"
	for c := range 256 {
		for _, name := range []string{"X" + string([]byte{byte(c)}) + "Odd", "X-Odd" + string([]byte{byte(c)})} {
			if c == '\n' || c == ':' {
				continue // the name ends there
			}
			valid := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c > 0 && strings.IndexByte(tokenMarks, byte(c)) >= 0
			for _, status := range []string{"200", "103", "503"} {
				head := "HTTP/1.1 " + status + " X\r\nX-First: 1\r\n" + name + ": 1\r\n\r\n"
				response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
				if err == nil {
					err = answerhead.Check(response)
				}
				assert.Assert(t, (err == nil) == valid, "%q: %v", head, err)
			}
		}
	}
}

// Guards against an invalid answer that a client of net/http passes on, against its connection that is used again, with bytes on it that
// follow the invalid answer, and against interim answers without end.
func TestTransportEndsConnectionsOfInvalidAnswers(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, answer := range map[string]string{
		"600":                    "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
		"600 with a body":        "HTTP/1.1 600 X\r\nContent-Length: 40\r\n\r\n" + good,
		"099":                    "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n" + good,
		"000":                    "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/2.0":               "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"switched protocols":     "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
		"interim with a length":  "HTTP/1.1 100 Continue\r\nContent-Length: 40\r\n\r\n" + good,
		"interim with chunks":    "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n28\r\n" + good + "\r\n0\r\n\r\n",
		"endless interim":        strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 1000) + good,
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
		"blank after a name":     "HTTP/1.1 200 OK\r\nContent-Length : 40\r\nContent-Length: 0\r\n\r\n",
		"blank, interim":         "HTTP/1.1 103 X\r\nX Odd: 1\r\n\r\n" + good,
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 0\r\n\r\n",
		"two lengths":            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"interim, two lengths":   "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			addr, accepted := startServer(t, answer, good)
			pool := &http.Transport{}
			t.Cleanup(pool.CloseIdleConnections)
			client := &http.Client{Transport: answerhead.Transport{Transport: pool}, Timeout: 5 * time.Second}
			response, err := client.Get("http://" + addr)
			assert.Assert(t, err != nil, "got %v", response)
			response, err = client.Get("http://" + addr)
			assert.NilError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "ok")
			assert.Equal(t, accepted.Load(), int64(2), "connections")
		})
	}
}

// startServer starts a server that writes the first answer to its first request, and the second to all later ones.
func startServer(t *testing.T, first, later string) (addr string, accepted *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.2:0")
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
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					answer := later
					if requests.Add(1) == 1 {
						answer = first
					}
					_, _ = io.WriteString(conn, answer)
				}
			}()
		}
	}()
	return listener.Addr().String(), accepted
}
