package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// Pool describes the connections of an Outbound.
type Pool struct {
	DialTimeout     time.Duration
	IdleTimeout     time.Duration
	IdlePerHost     int // connections kept open to one address
	HeaderBytes     int // largest response header
	WriteBufferSize int // 0 for the default of net/http
	ReadBufferSize  int // 0 for the default of net/http
}

// Outbound sends requests over pooled HTTP/1.1 connections. It knows whether a failed request can
// have reached the other side.
type Outbound struct{ transport *http.Transport }

// NewOutbound returns an Outbound with its own pool.
func NewOutbound(p Pool) *Outbound {
	dialer := &net.Dialer{Timeout: p.DialTimeout}
	return &Outbound{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost:    p.IdlePerHost,
		IdleConnTimeout:        p.IdleTimeout,
		MaxResponseHeaderBytes: int64(p.HeaderBytes),
		WriteBufferSize:        p.WriteBufferSize,
		ReadBufferSize:         p.ReadBufferSize,
		DisableCompression:     true,
	}}
}

// Close closes the idle connections.
func (o *Outbound) Close() { o.transport.CloseIdleConnections() }

// RoundTrip sends the request. After an error, sent reports whether any byte of the request was
// handed to a connection; when none was, the request certainly did not run.
func (o *Outbound) RoundTrip(ctx context.Context, request *http.Request) (response *http.Response, sent bool, err error) {
	w := &watch{}
	w.trace.GotConn = w.gotConn
	response, err = o.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, &w.trace)))
	if err != nil {
		return nil, w.sent(), err
	}
	return response, true, nil
}

// watch follows the connections that one request uses. RoundTrip returns an error only after the
// connection is closed, so that no write can begin after sent was asked.
type watch struct {
	trace  httptrace.ClientTrace
	conn   *countingConn
	before uint64
	wrote  bool
}

func (w *watch) gotConn(info httptrace.GotConnInfo) {
	w.wrote = w.sent()
	w.conn, _ = info.Conn.(*countingConn)
	if w.conn == nil {
		w.wrote = true
		return
	}
	w.before = w.conn.writes.Load()
}

func (w *watch) sent() bool {
	return w.wrote || (w.conn != nil && w.conn.writes.Load() != w.before)
}

// countingConn counts writes, also those that fail. A connection carries one request at a time.
type countingConn struct {
	net.Conn
	writes atomic.Uint64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// ReadFrom implements io.ReaderFrom, which net/http uses for bodies. Without it each body would
// cost a new buffer.
func (c *countingConn) ReadFrom(src io.Reader) (int64, error) {
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

// Failure describes a request that got no response.
type Failure struct {
	Step        string
	Peer        string
	Sent        bool          // some byte was handed to a connection
	Unreachable caller.Reason // reason when nothing was sent
	Lost        caller.Reason // reason when something was sent
}

// RefusalOf returns the refusal for a request that failed with err. It says not-run only when no
// byte of the request was handed to a connection.
func (f Failure) RefusalOf(ctx context.Context, req *caller.Request, err error) *caller.Refusal {
	refusal := &caller.Refusal{Reason: f.Lost, Ran: caller.Unknown, Step: f.Step, Peer: f.Peer, Cause: err}
	if !f.Sent {
		refusal.Reason, refusal.Ran = f.Unreachable, caller.NotRun
	}
	switch cause := ctx.Err(); {
	case errors.Is(cause, context.DeadlineExceeded):
		refusal.Reason = caller.DeadlinePassed
	case req.Body.Err() != nil:
		refusal.Reason = caller.BodyCut
	case cause != nil:
		refusal.Reason = caller.Cancelled
	}
	return refusal
}
