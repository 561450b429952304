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

// PoolOptions configures a connection pool.
type PoolOptions struct {
	DialTimeout     time.Duration
	IdleTimeout     time.Duration
	IdlePerHost     int // maximum number of idle connections to one address
	HeaderBytes     int // maximum size of a response header, in bytes
	WriteBufferSize int // in bytes; 0 for the default of net/http
	ReadBufferSize  int // in bytes; 0 for the default of net/http
}

// Client sends requests over pooled HTTP/1.1 connections. It tracks whether a failed request may have
// reached the server.
type Client struct{ transport *http.Transport }

// NewClient returns a client with its own connection pool.
func NewClient(p PoolOptions) *Client {
	dialer := &net.Dialer{Timeout: p.DialTimeout}
	return &Client{transport: &http.Transport{
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
func (o *Client) Close() { o.transport.CloseIdleConnections() }

// RoundTrip sends the request. After an error, sent reports whether any byte of the request was
// handed to a connection; when none was, the request certainly did not run.
func (o *Client) RoundTrip(ctx context.Context, request *http.Request) (response *http.Response, sent bool, err error) {
	tracker := &writeTracker{}
	tracker.trace.GotConn = tracker.gotConn
	response, err = o.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, &tracker.trace)))
	if err != nil {
		return nil, tracker.sent(), err
	}
	return response, true, nil
}

// writeTracker records whether one request was written to any of the connections that it used.
// http.Transport.RoundTrip returns an error only after it has closed the connection, so no write can start
// after sent is called.
type writeTracker struct {
	trace        httptrace.ClientTrace
	conn         *countingConn // connection that the request got last
	writesBefore uint64        // writes on conn before the request got it
	wrote        bool          // an earlier connection was written to, or the writes on this one are not counted
}

func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	w.wrote = w.sent()
	w.conn, _ = info.Conn.(*countingConn)
	if w.conn == nil {
		w.wrote = true
		return
	}
	w.writesBefore = w.conn.writes.Load()
}

func (w *writeTracker) sent() bool {
	return w.wrote || (w.conn != nil && w.conn.writes.Load() != w.writesBefore)
}

// countingConn counts the calls of Write, including those that fail. A connection carries one request at a
// time.
type countingConn struct {
	net.Conn
	writes atomic.Uint64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// ReadFrom implements io.ReaderFrom, which net/http uses for bodies. Without it net/http would allocate a
// buffer for each body.
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
	Step        string        // step at which the request failed, for the refusal
	Peer        string        // ID or address of the receiver, for the refusal
	Sent        bool          // at least one byte was handed to a connection
	Unreachable caller.Reason // reason when nothing was sent
	Lost        caller.Reason // reason when something was sent
}

// RefusalOf returns the refusal for a request that failed with err. The refusal states not-run only when no
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
