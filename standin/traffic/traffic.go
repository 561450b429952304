// Package traffic estimates the bytes that connections on loopback would take on an Ethernet network, for
// measurements.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
)

const (
	segmentPayload = 1448 // bytes of payload in a segment on Ethernet
	segmentHeader  = 52   // bytes: IPv4 20, TCP 20, timestamps 12
)

// Counter counts the bytes of connections in both directions: the payload, the header of each segment,
// and an empty segment that acknowledges each segment of a response. The acknowledgement of a request
// is part of its response, which comes within 40 ms. It is safe for concurrent use.
type Counter struct{ bytes atomic.Int64 }

// Total returns the bytes counted so far, both directions added up.
func (c *Counter) Total() int64 { return c.bytes.Load() }

// Listener returns a listener that counts the connections that l accepts.
func (c *Counter) Listener(l net.Listener) net.Listener { return listener{l, c} }

// Dial opens a counted connection. Its signature is that of http.Transport.DialContext.
func (c *Counter) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	opened, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return conn{opened, c, true}, nil
}

// add counts n bytes of payload that were written or read in one call.
func (c *Counter) add(n int, response bool) {
	segments := int64((n + segmentPayload - 1) / segmentPayload)
	bytes := int64(n) + segments*segmentHeader
	if response {
		bytes += segments * segmentHeader
	}
	c.bytes.Add(bytes)
}

type listener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{accepted, l.counter, false}, nil
}

type conn struct {
	net.Conn
	counter *Counter
	dialled bool
}

// Write implements net.Conn.
func (c conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.add(n, !c.dialled)
	return n, err
}

// Read implements net.Conn.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.add(n, c.dialled)
	return n, err
}
