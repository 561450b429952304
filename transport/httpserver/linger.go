package httpserver

import (
	"errors"
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
	// maxLingerTime is how long a closed connection waits for a client that reads slowly.
	maxLingerTime = 5 * time.Second
	// maxLingerBytes is the number of bytes that are read from a closed connection. A client that sends more is reset.
	maxLingerBytes = 1 << 20
	lingerReadSize = 4 << 10
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
	end := time.Now().Add(maxLingerTime)
	for read := 0; read < maxLingerBytes && time.Now().Before(end); {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		n, err := c.Conn.Read(buffer[:])
		read += n
		isSending := errors.Is(err, os.ErrDeadlineExceeded) && sockopt.Unacknowledged(c.Conn) > 0
		if err != nil && !isSending {
			return
		}
	}
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
