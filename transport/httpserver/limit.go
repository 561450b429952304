package httpserver

import (
	"net"
	"sync"
)

// limitedListener limits the number of connections that are open at the same time. Further connections wait
// in the accept queue of the operating system, so that a flood of connections does not exhaust the file
// descriptors that the node needs for its upstream and its peers.
type limitedListener struct {
	net.Listener
	slots     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func limitConnections(listener net.Listener, maxConnections int) net.Listener {
	return &limitedListener{Listener: listener, slots: make(chan struct{}, maxConnections), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn releases its slot when it is closed.
type limitedConn struct {
	net.Conn
	releaseOnce sync.Once
	release     func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.releaseOnce.Do(c.release)
	return err
}

// NetConn returns the connection that c wraps.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite shuts down the sending direction. net/http calls it, where a connection has it, before it closes
// a connection whose request it has not read completely. Without it the close resets the connection and the
// answer is lost.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
