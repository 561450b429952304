package transport

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/transport/answerhead"
)

// longBodyIdleTimeout is the longest idle time after which a connection is reused for a request whose data has no user timeout:
// on a connection that fell silent it would wait for its deadline.
const longBodyIdleTimeout = 250 * time.Millisecond

// PoolOptions configures a connection pool.
type PoolOptions struct {
	DialTimeout     time.Duration
	UserTimeout     time.Duration // for which a request may stay unacknowledged before its connection is closed
	IdleTimeout     time.Duration
	IdlePerHost     int // maximum number of idle connections to one address
	HeaderBytes     int // maximum size of a response header, in bytes
	WriteBufferSize int // in bytes; 0 for the default of net/http
	ReadBufferSize  int // in bytes; 0 for the default of net/http
}

// Client sends requests over pooled HTTP/1.1 connections. It tracks whether a failed request may have
// reached the server.
type Client struct {
	peers       *peerPools
	longBodies  *http.Transport // for requests whose data has no user timeout
	userTimeout time.Duration
}

// NewClient returns a client with its own connection pools.
func NewClient(p PoolOptions) *Client {
	client := &Client{peers: newPeerPools(p), userTimeout: p.UserTimeout}
	p.IdleTimeout = min(p.IdleTimeout, longBodyIdleTimeout)
	client.longBodies = p.newTransport(client.peers.connTimedOut)
	return client
}

// Close closes the idle connections.
func (o *Client) Close() {
	o.peers.closeIdle()
	o.longBodies.CloseIdleConnections()
}

// RoundTrip sends the request. An answer without a valid status line is an error. After an error, sent reports whether any byte of the
// request was handed to a connection; when none was, the request certainly did not run.
func (o *Client) RoundTrip(ctx context.Context, request *http.Request) (response *http.Response, sent bool, err error) {
	tracker := &writeTracker{ctx: ctx, userTimeout: UserTimeoutOf(request.ContentLength, o.userTimeout)}
	tracker.trace.GotConn, tracker.trace.Got1xxResponse = tracker.gotConn, tracker.interim.Check
	response, err = o.poolFor(request).RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, &tracker.trace)))
	if err != nil {
		tracker.stopTimer()
		return nil, tracker.sent(), err
	}
	tracker.answered()
	if err := answerhead.CheckFinal(response); err != nil {
		tracker.closeConn()
		_ = response.Body.Close()
		return nil, true, err
	}
	return response, true, nil // the timer goes on: the body of the response may pause as well
}

func (o *Client) poolFor(request *http.Request) http.RoundTripper {
	if UserTimeoutOf(request.ContentLength, o.userTimeout) == 0 {
		return o.longBodies
	}
	return o.peers.poolFor(request.URL.Host, time.Now())
}

// writeTracker records whether one request was written to any of the connections that it used.
// http.Transport.RoundTrip returns an error only after it has closed the connection, so no write can start
// after sent is called.
type writeTracker struct {
	trace        httptrace.ClientTrace
	interim      answerhead.Interim
	ctx          context.Context
	userTimeout  time.Duration // for the connection while it carries the request
	acknowledged *time.Timer   // fires when the request has been acknowledged; nil before it has a connection
	conn         *trackedConn  // connection that the request got last
	writesBefore uint64        // writes on conn before the request got it
	wrote        bool          // an earlier connection was written to, or the writes on this one are not counted
}

func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	w.wrote = w.sent()
	w.stopTimer()
	w.conn, _ = info.Conn.(*trackedConn)
	if w.conn == nil {
		w.wrote = true
		return
	}
	w.writesBefore = w.conn.writes.Load()
	conn, request := w.conn, w.conn.begin(w.ctx, w.userTimeout)
	w.acknowledged = time.AfterFunc(w.userTimeout+acknowledgementSlack, func() { conn.awaitAnswer(request) })
}

func (w *writeTracker) answered() {
	if w.conn != nil {
		w.conn.answered()
	}
}

func (w *writeTracker) stopTimer() {
	if w.acknowledged != nil {
		w.acknowledged.Stop()
	}
}

// closeConn closes the connection of an invalid answer. One without a body has returned it to the pool already.
func (w *writeTracker) closeConn() {
	w.stopTimer()
	if w.conn != nil {
		_ = w.conn.Close()
	}
}

func (w *writeTracker) sent() bool {
	return w.wrote || (w.conn != nil && w.conn.writes.Load() != w.writesBefore)
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
	var refusedBody *caller.Refusal
	switch cause := ctx.Err(); {
	case errors.As(req.Body.Err(), &refusedBody):
		refusal.Reason = refusedBody.Reason
	case errors.Is(cause, context.DeadlineExceeded):
		refusal.Reason = caller.DeadlinePassed
	case req.Body.Err() != nil:
		refusal.Reason = caller.BodyCut
	case cause != nil:
		refusal.Reason = caller.Cancelled
	}
	return refusal
}
