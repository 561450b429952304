package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/sockopt"
)

const (
	// maxUserTimeoutBody is the longest body, in bytes, of a request whose data must be acknowledged within the user timeout.
	// It fits the receive window of a new connection, so that a peer which pauses before it reads the body acknowledges it.
	maxUserTimeoutBody = 32 << 10
	// acknowledgementSlack is the time after the user timeout by which the kernel has closed an unresponsive connection: it
	// counts from the first retransmission. The second keepalive probe is due later.
	acknowledgementSlack = time.Second
)

// ConnsTimedOut counts the connections that the kernel has closed because the peer acknowledged no packets.
var ConnsTimedOut = metrics.Counter("magnoliawharf_connections_timed_out_total")

// UserTimeoutOf returns the user timeout for a request with a body of the given length in bytes, negative when unknown: limit,
// or 0 for none when the peer may delay the acknowledgement of the body by reading it slowly.
func UserTimeoutOf(length int64, limit time.Duration) time.Duration {
	if length < 0 || length > maxUserTimeoutBody {
		return 0
	}
	return limit
}

// trackedConn counts the calls of Write, including those that fail, and detects that the peer no longer responds. A
// connection carries one request at a time.
type trackedConn struct {
	net.Conn
	writes    atomic.Uint64
	timedOut  sync.Once // Read and Write may both return the error
	onTimeout func()    // called when the kernel has closed the connection because the peer acknowledged no packets

	mu          sync.Mutex
	userTimeout time.Duration   // as set on the connection; from the dialer at first
	requests    uint64          // requests that the connection has carried
	awaited     context.Context // of the request that waits for its answer, nil without one
}

// begin sets the user timeout for the next request, whose context is ctx, and returns the number of the request on this connection.
func (c *trackedConn) begin(ctx context.Context, userTimeout time.Duration) (request uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.awaited = ctx
	c.setUserTimeout(userTimeout)
	return c.requests
}

// awaitAnswer removes the user timeout once the request has been acknowledged. It also bounds the time for which keepalive
// probes may stay unacknowledged: while the answer is awaited or read, a single lost probe would close the connection.
func (c *trackedConn) awaitAnswer(request uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == request {
		c.setUserTimeout(0)
	}
}

// answered records that the answer to the request has begun.
func (c *trackedConn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaited = nil
}

// Close implements net.Conn. When the request was given up before its answer, the connection is reset: the end of the stream would
// wait behind a body that the peer does not read yet, and the peer would not learn that the request is no longer wanted.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	givenUp := c.awaited != nil && c.awaited.Err() != nil
	c.mu.Unlock()
	if givenUp {
		return sockopt.Reset(c.Conn)
	}
	return c.Conn.Close()
}

func (c *trackedConn) setUserTimeout(limit time.Duration) {
	if limit != c.userTimeout {
		c.userTimeout = limit
		sockopt.SetUserTimeout(c.Conn, limit)
	}
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.observe(err)
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	c.observe(err)
	return n, err
}

func (c *trackedConn) observe(err error) {
	if errors.Is(err, syscall.ETIMEDOUT) {
		c.timedOut.Do(c.onTimeout)
	}
}

// ReadFrom implements io.ReaderFrom, which net/http uses for bodies. Without it net/http would allocate a
// buffer for each body.
func (c *trackedConn) ReadFrom(src io.Reader) (int64, error) {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	var total int64
	for {
		n, err := src.Read(buffer[:])
		if n > 0 {
			written, writeErr := c.Write(buffer[:n])
			total += int64(written)
			if writeErr != nil {
				return total, writeErr
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}
