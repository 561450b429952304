package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawharf/magnoliawharf/platform/wire"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	aheadPause = 150 * time.Millisecond // mean time between two bursts of an aheadCaller
	maxBurst   = 5                      // requests that are sent before the first answer is read
	// chunkedShare is the share of bursts whose first request has a body in chunks, of up to maxChunkedBody bytes.
	chunkedShare   = 0.3
	maxChunkedBody = 8 << 10
	// aheadStream is the first random stream of the aheadCallers, behind those of the other callers.
	aheadStream = 1000
)

// aheadCaller sends bursts of idempotent requests to one node over one connection, without waiting for the answers.
type aheadCaller struct {
	fleet  *fleet
	target *machine
	random *rand.Rand
	sent   int
}

// run sends bursts until ctx ends. It connects again after the node has closed the connection.
func (c *aheadCaller) run(ctx context.Context) {
	for wait.For(ctx, aheadPause) {
		conn, err := net.DialTimeout("tcp", c.target.address(callersPort), requestLimit)
		if err != nil {
			continue // the node is down
		}
		reader := bufio.NewReader(conn)
		for c.burst(conn, reader) && wait.For(ctx, time.Duration(c.random.ExpFloat64()*float64(aheadPause))) {
		}
		_ = conn.Close()
	}
}

// burst sends some requests and reads their answers. It reports whether the connection can be used further.
func (c *aheadCaller) burst(conn net.Conn, reader *bufio.Reader) bool {
	requests := make([]*request, 1+c.random.IntN(maxBurst))
	var text strings.Builder
	for i := range requests {
		r := c.draw()
		requests[i] = r
		body := ""
		if i == 0 && c.random.Float64() < chunkedShare {
			body = c.chunk(r)
		}
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n",
			r.method, r.uri, host, wire.RequestIDField, r.id, wire.TimeLimitField, r.limit.Milliseconds())
		for _, field := range r.identity() {
			fmt.Fprintf(&text, "%s: %s\r\n", field[0], field[1])
		}
		if r.chunked {
			text.WriteString("Transfer-Encoding: chunked\r\n")
		}
		text.WriteString("\r\n" + body)
		c.fleet.oracle.recordSent(r)
	}
	_ = conn.SetDeadline(time.Now().Add(requestLimit + responseWait))
	_, err := io.WriteString(conn, text.String())
	closing := false
	for _, r := range requests {
		if closing && err == nil {
			err = io.EOF // the answer before it has closed the connection
		}
		var response *http.Response
		var body []byte
		if err == nil {
			response, body, err = readResponse(reader)
		}
		c.fleet.oracle.recordEnd(r, time.Now(), func() {
			if r.err = err; err == nil {
				r.answered(response, body)
			}
		})
		closing = closing || err != nil || response.Close
	}
	return !closing
}

// chunk gives the request a body in chunks and a long answer, and returns the encoded body.
func (c *aheadCaller) chunk(r *request) string {
	body := strings.Repeat("c", 1+c.random.IntN(maxChunkedBody))
	r.method, r.chunked, r.bodySum, r.size = http.MethodPost, true, xxhash.Sum64String(body), manualSize
	r.uri = strings.Replace(r.uri, "size=0", fmt.Sprintf("size=%d", r.size), 1)
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

func (c *aheadCaller) draw() *request {
	c.sent++
	r := &request{
		id: fmt.Sprintf("%d-ahead-%d", c.target.index, c.sent), route: "browse", kind: wire.KindIdempotent, machine: c.target.index,
		method: http.MethodGet, limit: requestLimit, bodySum: xxhash.Sum64(nil),
	}
	r.key, r.forged = c.fleet.operator.drawKey(c.random)
	r.uri = fmt.Sprintf("/%s/%s?work=%s&size=0", r.route, r.id, time.Duration(c.random.Int64N(int64(maxWork))))
	return r
}

func readResponse(reader *bufio.Reader) (*http.Response, []byte, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}
