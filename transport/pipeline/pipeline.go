// Package pipeline lets an HTTP/1.1 server work on requests that a client has sent ahead, before the answers to its earlier
// requests on the connection are complete. net/http remains the server of the connection: it parses each request, enforces the
// limits and writes the answers in order. Beside it, the package reads further on the connection while a request is served, runs
// the repeatable requests that it finds there, and keeps their answers until net/http arrives at them.
//
// Layout: a Pipeline represents one listener, a conn one connection, a run one request that was started ahead. Concurrency: one
// goroutine per run; the state of a connection and of a run is under its own lock.
package pipeline

import (
	"context"
	"net"
	"net/http"
	"reflect"
	"sync/atomic"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

const (
	// maxAhead is the number of requests of one connection that are parsed before their turn.
	maxAhead = 16
	// maxAheadHead is the largest head, in bytes, of a request that is started ahead. The HTTP server refuses heads that are
	// several times as long.
	maxAheadHead = 8 << 10
	// maxUnread is the number of bytes of one connection that are read before their turn.
	maxUnread = 64 << 10
	// maxConnAnswers is the number of bytes of answers that one connection keeps until their turn.
	maxConnAnswers = 256 << 10
	// maxAnswers is the number of bytes of answers that all connections keep until their turn.
	maxAnswers = 16 << 20
)

var (
	startedAhead = metrics.Counter("magnoliawharf_requests_ahead_total")
	unusedAhead  = metrics.Counter("magnoliawharf_requests_ahead_unused_total")
)

// Pipeline serves the connections of one listener. Its exported fields are set before the first connection.
type Pipeline struct {
	Name    string // name of the listener, for the metrics
	Handler http.Handler
	// Repeatable reports whether a request may be started before earlier ones have ended.
	Repeatable func(*http.Request) bool

	draining atomic.Bool
	answers  quota // bytes of answers kept for all connections
}

// Listener returns the listener with its connections prepared for the Pipeline.
func (p *Pipeline) Listener(l net.Listener) net.Listener { return &listener{l, p} }

type listener struct {
	net.Listener
	pipeline *Pipeline
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, pipeline: l.pipeline}, nil
}

type connKey struct{}

// ConnContext is the ConnContext hook of the http.Server.
func (p *Pipeline) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*conn); ok {
		c.base = ctx
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// ConnState is the ConnState hook of the http.Server.
func (p *Pipeline) ConnState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*conn); ok && state == http.StateIdle {
		c.endRequest()
	}
}

// Drain asks clients to close their connections, each after the answers to the requests that were started ahead on it. No
// further request is started ahead.
func (p *Pipeline) Drain() { p.draining.Store(true) }

// ServeHTTP implements http.Handler. It runs the request, or delivers its answer when it was started ahead.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || r.ProtoMajor != 1 {
		p.Handler.ServeHTTP(w, r)
		return
	}
	current := c.serve(r)
	defer c.handled()
	if p.draining.Load() && !c.hasRuns() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case current == nil:
		p.Handler.ServeHTTP(w, r)
	case current.run != nil && sameRequest(current.request, r):
		current.run.deliver(w, r)
	default:
		current.discard()
		p.Handler.ServeHTTP(w, r.WithContext(transport.WithArrival(r.Context(), transport.Arrival{At: current.arrivedAt})))
	}
}

// sameRequest reports whether two requests without bodies are equal.
func sameRequest(a, b *http.Request) bool {
	return a.Method == b.Method && a.RequestURI == b.RequestURI && a.Host == b.Host && reflect.DeepEqual(a.Header, b.Header)
}

// quota counts what is in use of a limited amount.
type quota struct{ used atomic.Int64 }

// take reports whether n more fit below the limit, and takes them if so.
func (q *quota) take(n, limit int64) bool {
	if q.used.Add(n) <= limit {
		return true
	}
	q.used.Add(-n)
	return false
}

func (q *quota) put(n int64) { q.used.Add(-n) }
