// Package httpserver is the listener side that all HTTP adapters of a node share: binding, time and
// size limits, and a shutdown that cuts no request off.
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
	// idleTimeout is longer than the idle timeouts of the project's own clients, so that the client
	// closes an idle connection first and no request meets a closed one.
	idleTimeout = 120 * time.Second
	// controlTimeout bounds the reading and writing of a short message.
	controlTimeout = 10 * time.Second
	// CallerHeaderBytes bounds the header of a caller's request.
	CallerHeaderBytes = 32 << 10
	// PeerHeaderBytes leaves room for the metadata that a node adds to a caller's header.
	PeerHeaderBytes = 64 << 10
)

// Options describe one listener.
type Options struct {
	Name           string // name in logs and errors
	Addr           string // host:port; port 0 takes a free port
	MaxHeaderBytes int
	MaxConnections int  // connections served at the same time; 0 sets no limit
	Short          bool // requests and answers are short: each must be read and written within 10 s
	Log            *slog.Logger
}

// Server is one listener with its HTTP server. It serves HTTP/1.1 and HTTP/2 in clear text.
type Server struct {
	name     string
	listener net.Listener
	server   *http.Server
	closing  *closing
}

// Listen binds the address. Nothing is accepted before Serve, and Handle comes before Serve.
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
	handler := &closing{}
	server := &http.Server{
		Handler: handler, Protocols: protocols,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: o.MaxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(o.Log.With("listener", o.Name).Handler(), slog.LevelDebug),
	}
	if o.Short {
		server.ReadTimeout, server.WriteTimeout = controlTimeout, controlTimeout
	}
	return &Server{name: o.Name, listener: listener, closing: handler, server: server}, nil
}

// Handle sets the handler of all requests.
func (s *Server) Handle(handler http.Handler) { s.closing.handler = handler }

// Name returns the name of the listener.
func (s *Server) Name() string { return s.name }

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain goes on serving and asks HTTP/1 clients to close their connections after the next answer.
func (s *Server) Drain() { s.closing.draining.Store(true) }

// Shutdown closes the listener and waits for requests in flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	err := s.server.Close()
	// Serve may not have run, so that the server does not know the listener yet.
	_ = s.listener.Close()
	return err
}
