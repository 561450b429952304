package pipeline

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// readSize is the space for one read beyond the request that is served, in bytes.
const readSize = 4 << 10

var readBuffers = sync.Pool{New: func() any { return new([readSize]byte) }}

// errConnClosed is the cause with which requests that were started ahead end when their connection is closed.
var errConnClosed = errors.New("the connection of the request is closed")

// conn passes the bytes of a connection to the HTTP server one request at a time. While a request is served, the HTTP server reads
// on to notice that the client is gone; conn then keeps what it receives, and starts the requests in it.
//
// The HTTP server calls Read from one goroutine at a time. Invariants under mu: buffer begins with the requests of ahead, which
// take up its first parsed bytes; left and head are the rest of the request that is being passed on.
type conn struct {
	net.Conn
	pipeline *Pipeline
	base     context.Context // of all requests of the connection
	answers  quota           // bytes of answers kept until their turn

	mu        sync.Mutex
	buffer    []byte        // received, and not passed on
	parsed    int           // bytes of buffer that ahead covers
	ahead     []*entry      // the next requests
	waitingAt time.Time     // when the head behind ahead arrived whose request has to wait for its turn; zero without one
	current   *entry        // the request that is being served, nil unless it had been received ahead
	next      *entry        // the request after it, once its beginning has been passed on; nil likewise
	inService *http.Request // the request that the handler serves, nil between two requests
	head      []byte        // beginning of the request that is being passed on, while its head is incomplete
	left      int64         // bytes of the request that are still to be passed on, once its head is complete, without a body in chunks
	chunks    *chunkScanner // of the request that is being passed on, nil unless its body is in chunks and has not ended
	begun     uint64        // requests that were passed on, at least in part
	ended     uint64        // requests that the HTTP server has ended
	opaque    bool          // the ends of requests are not known any more; all bytes are passed on as they arrive
	stopped   bool          // no request is started ahead any more
}

// entry is a request that was received before its turn.
type entry struct {
	request   *http.Request // nil when it had to wait for its turn
	length    int64         // bytes on the connection
	arrivedAt time.Time
	run       *run // nil unless it was started
}

// discard abandons the request if it was started. The entry is not used for its answer any more.
func (e *entry) discard() {
	if e.run != nil {
		unusedAhead.Inc()
		e.run.abandon(errConnClosed)
		e.run = nil
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.isServing() && len(c.buffer) < maxUnread {
		c.mu.Unlock()
		return c.readAhead(p)
	}
	if len(c.buffer) > 0 {
		defer c.mu.Unlock()
		return c.passBuffered(p), nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	passed := c.pass(p[:n])
	c.buffer = append(c.buffer, p[passed:n]...)
	c.parse()
	return passed, err
}

// isServing reports whether the last request has been passed on to its end and is being served.
func (c *conn) isServing() bool {
	return !c.opaque && c.begun == c.ended+1 && c.isBetweenRequests()
}

// isBetweenRequests reports whether the last request has been passed on to its end.
func (c *conn) isBetweenRequests() bool { return c.left == 0 && c.chunks == nil && len(c.head) == 0 }

// pass returns how many bytes of data belong to the current request, and begins the next one between two requests.
func (c *conn) pass(data []byte) int {
	if c.opaque || len(data) == 0 {
		return len(data)
	}
	if c.left > 0 || c.chunks != nil {
		return c.passRest(data)
	}
	before := len(c.head)
	if before == 0 {
		c.begin(nil)
	}
	head := data
	if before > 0 {
		c.head = append(c.head, data...)
		head = c.head
	}
	end := endOfHead(head, before)
	if end < 0 && len(head) < maxUnread {
		c.head = bytes.Clone(head)
		return len(data)
	}
	var f framing
	if end >= 0 {
		f = frame(head[:end])
	}
	c.head = nil
	if !f.known {
		c.opaque = true
		return len(data)
	}
	c.left = int64(end-before) + f.body
	if f.chunked {
		c.chunks = &chunkScanner{}
	}
	return c.passRest(data)
}

// endOfHead returns the length of the head, negative while it is incomplete. The end is not within the first searched bytes.
func endOfHead(data []byte, searched int) int {
	from := max(0, searched-len(headEnd)+1)
	end := bytes.Index(data[from:], headEnd)
	if end < 0 {
		return end
	}
	return from + end + len(headEnd)
}

// passRest returns how many bytes of data belong to the current request, whose head is complete.
func (c *conn) passRest(data []byte) int {
	passed := int(min(int64(len(data)), c.left))
	c.left -= int64(passed)
	if c.chunks == nil || c.left > 0 {
		return passed
	}
	n, ok := c.chunks.scan(data[passed:])
	if !ok {
		c.opaque, c.chunks = true, nil
		return len(data)
	}
	if c.chunks.state == chunksEnded {
		c.chunks = nil
	}
	return passed + n
}

// begin starts to pass on the next request.
func (c *conn) begin(e *entry) {
	if e == nil && !c.waitingAt.IsZero() {
		e = &entry{arrivedAt: c.waitingAt}
		c.waitingAt = time.Time{}
	}
	c.begun++
	if c.begun == c.ended+1 {
		c.current = e
	} else {
		c.next = e
	}
}

// passBuffered moves bytes of the current request from the buffer to p, and begins the next one between two requests.
func (c *conn) passBuffered(p []byte) int {
	if c.isBetweenRequests() && len(c.ahead) > 0 {
		next := c.ahead[0]
		if c.ahead = c.ahead[1:]; len(c.ahead) == 0 {
			c.ahead = nil // keeps nothing for an idle connection
		}
		c.parsed -= int(next.length)
		c.begin(next)
		c.left = next.length
	}
	n := c.pass(c.buffer[:min(len(p), len(c.buffer))])
	copy(p, c.buffer[:n])
	if c.buffer = c.buffer[n:]; len(c.buffer) == 0 {
		c.buffer = nil
	}
	return n
}

// readAhead receives what the client sends while a request is served, until the HTTP server ends the read by its deadline or
// the connection fails. It passes something on only when the buffer is full: the HTTP server then stops reading.
func (c *conn) readAhead(p []byte) (int, error) {
	space := p[:1] // needs no further buffer while the client sends nothing
	for {
		n, err := c.Conn.Read(space)
		c.mu.Lock()
		if n > 0 {
			c.buffer = append(c.buffer, space[:n]...)
			c.parse()
		}
		switch {
		case err != nil:
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.discardAhead() // the client is gone
			}
			c.mu.Unlock()
			return 0, err
		case len(c.buffer) >= maxUnread:
			defer c.mu.Unlock()
			return c.passBuffered(p), nil
		}
		c.mu.Unlock()
		if len(space) < readSize {
			buffer := readBuffers.Get().(*[readSize]byte)
			defer readBuffers.Put(buffer)
			space = buffer[:]
		}
	}
}

// parse parses the requests in the buffer up to the first one that has to wait for its turn, and starts them. What arrives
// after the handler has returned is left to the HTTP server, which is about to read it.
func (c *conn) parse() {
	if c.inService == nil || len(c.buffer) == 0 {
		return
	}
	for !c.opaque && c.isBetweenRequests() && c.waitingAt.IsZero() && len(c.ahead) < maxAhead {
		rest := c.buffer[c.parsed:]
		end := endOfHead(rest, 0)
		if end < 0 {
			break
		}
		e := c.entryOf(rest[:end])
		if e.request == nil {
			c.waitingAt = e.arrivedAt
			break
		}
		c.ahead = append(c.ahead, e)
		c.parsed += end
	}
	c.start()
}

// entryOf returns the entry of the request with this head. It has no request when that has to wait for its turn.
func (c *conn) entryOf(head []byte) *entry {
	e := &entry{length: int64(len(head)), arrivedAt: time.Now()}
	if len(head) > maxAheadHead || !frame(head).ahead {
		return e
	}
	r, err := parse(head)
	if err != nil || !c.pipeline.Repeatable(r) {
		return e
	}
	r.RemoteAddr = c.RemoteAddr().String()
	e.request = r
	return e
}

// start starts the requests that were received ahead, as far as the limits allow, if the one in service is repeatable: a
// request that is not repeatable runs alone.
func (c *conn) start() {
	if len(c.ahead) == 0 || c.stopped || c.pipeline.draining.Load() || !c.pipeline.Repeatable(c.inService) {
		return
	}
	for position, e := range c.ahead {
		if e.run == nil {
			startedAhead.Inc()
			e.run = startRun(c, e, position+1)
		}
	}
}

// serve records that the handler serves the request, and returns its entry, nil unless it had been received ahead.
func (c *conn) serve(r *http.Request) *entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inService = r
	c.parse()
	return c.current
}

// handled records that the handler has returned.
func (c *conn) handled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inService = nil
}

// hasRuns reports whether requests behind the one in service were started.
func (c *conn) hasRuns() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.ahead, func(e *entry) bool { return e.run != nil })
}

// endRequest records that the HTTP server has written the answer to the current request and expects the next one.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended++
	c.current, c.next = c.next, nil
}

// discardAhead abandons the requests that were received ahead.
func (c *conn) discardAhead() {
	c.stopped = true
	for _, e := range c.ahead {
		e.discard()
	}
	c.ahead, c.buffer, c.parsed = nil, nil, 0
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.discardAhead()
	c.mu.Unlock()
	return c.Conn.Close()
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite shuts down the sending direction. net/http calls it before it closes a connection whose request it has not read
// completely.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
