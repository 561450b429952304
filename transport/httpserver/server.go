// Package httpserver is the HTTP server that all HTTP adapters of a node share: binding, time and size limits,
// and graceful shutdown.
package httpserver

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/magnoliawharf/magnoliawharf/transport/pipeline"
)

// Limits of every listener.
const (
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is longer than the idle timeouts of the node's own HTTP clients, so that the client closes
	// an idle connection first and no request is sent on a connection that the server has closed.
	idleTimeout = 120 * time.Second
	// controlTimeout limits the time to read and to write a short message.
	controlTimeout = 10 * time.Second
	// unusedTimeout is the time that a connection without a request has to send one once the listener is closed.
	unusedTimeout = 200 * time.Millisecond
	// CallerHeaderBytes is the maximum size of the header of a caller's request.
	CallerHeaderBytes = 32 << 10
	// PeerHeaderBytes is the maximum size of the header of a forwarded request. It leaves room for the
	// metadata that a node adds to a caller's header.
	PeerHeaderBytes = 64 << 10
)

// Options configures one listener.
type Options struct {
	Name            string // name of the listener in logs and errors
	Addr            string // host:port; port 0 takes a free port
	MaxHeaderBytes  int
	MaxConnections  int  // connections open at the same time; 0 for no limit
	ControlTimeouts bool // each request must be read, and each answer written, within controlTimeout
	// Repeatable reports whether a request that an HTTP/1 client has sent ahead may be started before the answers to earlier
	// ones are complete. nil for a listener whose requests run one after another on each connection.
	Repeatable func(*http.Request) bool
	Log        *slog.Logger
}

// Server is one listener with its HTTP server. It serves HTTP/1.1 and HTTP/2 in clear text.
type Server struct {
	name      string
	listener  net.Listener
	server    *http.Server
	handler   *drainHandler
	unused    *unusedConns
	lingering *lingering
	pipeline  *pipeline.Pipeline // nil without Options.Repeatable

	cancelRequests context.CancelCauseFunc
}

// Listen binds the address. No connection is accepted before Serve, and Handle is called before Serve.
func Listen(o Options) (*Server, error) {
	listener, err := net.Listen("tcp", o.Addr)
	if err != nil {
		return nil, err
	}
	if o.MaxConnections > 0 {
		listener = limitConnections(listener, o.MaxConnections)
	}
	s := &Server{name: o.Name, handler: &drainHandler{}, lingering: &lingering{}}
	listener = &lingeringListener{listener, s.lingering}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.unused = &unusedConns{conns: make(map[net.Conn]struct{})}
	requests, cancelRequests := context.WithCancelCause(context.Background())
	s.cancelRequests = cancelRequests
	s.server = &http.Server{
		BaseContext: func(net.Listener) context.Context { return requests },
		ConnContext: withConn,
		Handler:     s.handler, Protocols: protocols, ConnState: s.unused.observe,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: o.MaxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(o.Log.With("listener", o.Name).Handler(), slog.LevelDebug),
	}
	if o.ControlTimeouts {
		s.server.ReadTimeout, s.server.WriteTimeout = controlTimeout, controlTimeout
	}
	if o.Repeatable != nil {
		listener = s.runAhead(listener, o.Repeatable)
	}
	s.listener = listener
	return s, nil
}

// runAhead prepares the server to start repeatable requests ahead.
func (s *Server) runAhead(listener net.Listener, repeatable func(*http.Request) bool) net.Listener {
	s.pipeline = &pipeline.Pipeline{Name: s.name, Repeatable: repeatable}
	s.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return s.pipeline.ConnContext(withConn(ctx, conn), conn)
	}
	s.server.ConnState = func(conn net.Conn, state http.ConnState) {
		s.unused.observe(conn, state)
		s.pipeline.ConnState(conn, state)
	}
	return s.pipeline.Listener(listener)
}

// Handle sets the handler of all requests.
func (s *Server) Handle(handler http.Handler) {
	if s.pipeline != nil {
		s.pipeline.Handler = handler
		handler = s.pipeline
	}
	s.handler.next = handler
}

// Name returns the name of the listener.
func (s *Server) Name() string { return s.name }

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts and serves connections until Shutdown or Close.
func (s *Server) Serve() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain asks HTTP/1 clients to close their connections after the next answer, or after the answers to the requests that were
// started ahead. The server continues to serve.
func (s *Server) Drain() {
	if s.pipeline != nil {
		s.pipeline.Drain()
		return
	}
	s.handler.draining.Store(true)
}

// CancelRequests ends the contexts of the requests in flight, and of later ones, with the cause. Their handlers can still
// write an answer.
func (s *Server) CancelRequests(cause error) { s.cancelRequests(cause) }

// Shutdown closes the listener and waits until ctx ends for requests in flight and for the clients to take their answers. The HTTP server
// would wait up to 5 s for a connection on which no request has been sent.
func (s *Server) Shutdown(ctx context.Context) error {
	closing := time.AfterFunc(unusedTimeout, s.unused.closeAll)
	defer closing.Stop()
	err := s.server.Shutdown(ctx)
	_ = s.lingering.conns.Wait(ctx) // the requests of these connections are complete
	return err
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	s.lingering.closed.Store(true)
	err := s.server.Close()
	s.cancelRequests(nil)
	// The HTTP server closes the listener only if Serve has been called.
	_ = s.listener.Close()
	return err
}
