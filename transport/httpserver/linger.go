package httpserver

import (
	"errors"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/inflight"
	"github.com/magnoliawharf/magnoliawharf/sockopt"
)

const (
	// lingerTimeout is how long a closed connection on which nothing is left to send waits for the client to close it.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerPause is how long a closed connection waits for a client that takes nothing of what is left, or that goes on sending
	// when nothing is left. maxLingerTime bounds the wait for a client that reads slowly.
	maxLingerPause = 5 * time.Second
	maxLingerTime  = time.Minute
	// maxLingerBytes is the number of bytes that are read from a closed connection: a client may send its whole body before it reads the
	// answer. Nothing is read beyond, and the client gets a reset once it has taken what is left.
	maxLingerBytes = 64 << 20
	lingerReadSize = 4 << 10
	// lingerPollInterval is the time between two looks at a connection of which nothing is read any more.
	lingerPollInterval = 50 * time.Millisecond
)

// lingering holds the connections that are closed for writing and still read. The kernel answers a close with input unread, and input
// that arrives after it, by a reset, and drops what it has not sent of the last answer.
type lingering struct {
	closed atomic.Bool // connections are closed at once
	conns  inflight.Counter
}

// lingeringListener is a listener whose connections linger after Close.
type lingeringListener struct {
	net.Listener
	lingering *lingering
}

// Accept implements net.Listener.
func (l *lingeringListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingeringConn{Conn: conn, lingering: l.lingering}, nil
}

// lingeringConn is a connection whose Close sends all that was written, whatever the client goes on to send.
type lingeringConn struct {
	net.Conn
	lingering *lingering
	wrote     atomic.Bool
	closeOnce sync.Once
}

// Write implements net.Conn.
func (c *lingeringConn) Write(p []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(p)
}

// Close implements net.Conn. It ends the stream to the client, and closes the connection once the client has closed it.
func (c *lingeringConn) Close() (err error) {
	c.closeOnce.Do(func() { err = c.close() })
	return err
}

func (c *lingeringConn) close() error {
	if !c.wrote.Load() || c.lingering.closed.Load() || c.CloseWrite() != nil {
		return c.Conn.Close()
	}
	done := c.lingering.conns.Begin()
	go func() {
		defer done()
		c.discardInput()
		_ = c.Conn.Close()
	}()
	return nil
}

// discardInput reads the connection to its end, within the limits.
func (c *lingeringConn) discardInput() {
	var buffer [lingerReadSize]byte
	delivery := newDelivery(c.Conn)
	for read := 0; delivery.inTime(); {
		if read >= maxLingerBytes {
			if delivery.isComplete() {
				return
			}
			time.Sleep(lingerPollInterval)
			continue
		}
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		n, err := c.Conn.Read(buffer[:])
		read += n
		if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || delivery.isComplete()) {
			return
		}
	}
}

// delivery follows what the client takes of the data on a closed connection.
type delivery struct {
	conn       net.Conn
	began      time.Time
	progressAt time.Time // when the client was last seen to have taken something
	left       int       // bytes that it had not taken then
}

func newDelivery(conn net.Conn) *delivery {
	now := time.Now()
	return &delivery{conn: conn, began: now, progressAt: now, left: math.MaxInt}
}

// inTime reports whether the wait for the client goes on.
func (d *delivery) inTime() bool {
	now := time.Now()
	if left, _ := sockopt.Undelivered(d.conn); left < d.left {
		d.left, d.progressAt = left, now
	}
	return now.Sub(d.progressAt) < maxLingerPause && now.Sub(d.began) < maxLingerTime
}

// isComplete reports whether the client has received all.
func (d *delivery) isComplete() bool {
	_, undelivered := sockopt.Undelivered(d.conn)
	return !undelivered
}

// CloseWrite shuts down the sending direction. net/http calls it before it closes a connection whose request it has not read
// completely.
func (c *lingeringConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// NetConn returns the connection that c wraps.
func (c *lingeringConn) NetConn() net.Conn { return c.Conn }
