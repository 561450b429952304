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
	Log             *slog.Logger
}

// Server is one listener with its HTTP server. It serves HTTP/1.1 and HTTP/2 in clear text.
type Server struct {
	name     string
	listener net.Listener
	server   *http.Server
	handler  *drainHandler
	unused   *unusedConns

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
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	handler := &drainHandler{}
	unused := &unusedConns{conns: make(map[net.Conn]struct{})}
	requests, cancelRequests := context.WithCancelCause(context.Background())
	server := &http.Server{
		BaseContext: func(net.Listener) context.Context { return requests },
		Handler:     handler, Protocols: protocols, ConnState: unused.observe,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: o.MaxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(o.Log.With("listener", o.Name).Handler(), slog.LevelDebug),
	}
	if o.ControlTimeouts {
		server.ReadTimeout, server.WriteTimeout = controlTimeout, controlTimeout
	}
	return &Server{name: o.Name, listener: listener, handler: handler, unused: unused, server: server, cancelRequests: cancelRequests}, nil
}

// Handle sets the handler of all requests.
func (s *Server) Handle(handler http.Handler) { s.handler.next = handler }

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

// Drain asks HTTP/1 clients to close their connections after the next answer. The server continues to serve.
func (s *Server) Drain() { s.handler.draining.Store(true) }

// CancelRequests ends the contexts of the requests in flight, and of later ones, with the cause. Their handlers can still
// write an answer.
func (s *Server) CancelRequests(cause error) { s.cancelRequests(cause) }

// Shutdown closes the listener and waits for requests in flight until ctx ends. The HTTP server would wait up to 5 s for a
// connection on which no request has been sent.
func (s *Server) Shutdown(ctx context.Context) error {
	closing := time.AfterFunc(unusedTimeout, s.unused.closeAll)
	defer closing.Stop()
	return s.server.Shutdown(ctx)
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	err := s.server.Close()
	s.cancelRequests(nil)
	// The HTTP server closes the listener only if Serve has been called.
	_ = s.listener.Close()
	return err
}
