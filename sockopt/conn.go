package sockopt

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// conn is a TCP connection whose reader learns of its failure, such as a reset by the peer, also when Write got it first. The kernel
// reports a failure to one call only; a read after that call returns io.EOF, as if the peer had ended the stream in order.
type conn struct {
	net.Conn

	writing sync.Mutex // held by Write
	failure error      // of the connection, as Write got it
}

// NewConn returns a connection that uses the TCP connection and whose reads report its failures, as those of a Dialer do.
func NewConn(tcp *net.TCPConn) net.Conn { return &conn{Conn: tcp} }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(*net.TCPConn).SyscallConn() }

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// isFailure reports whether the error of a Write tells that the connection has failed before the peer ended its stream. With EPIPE
// the peer had ended it before, or another call got the failure.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read implements net.Conn. It returns io.EOF only when the peer has ended its stream in order.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.isDown() {
		// The Write that got the failure may not have returned yet. On a connection that is down it does not wait for the peer.
		c.writing.Lock()
		defer c.writing.Unlock()
		if c.failure != nil {
			err = c.failure
		}
	}
	return n, err
}

// isDown reports whether neither direction of the connection is open any more, so that a Write does not wait for the peer. The direction
// to a peer that has ended its own stream, and has not reset the connection, stays open until this side closes it.
func (c *conn) isDown() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	down := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		down = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return down || err != nil // Control fails when this side has closed the connection, as net/http does after a failed write
}
