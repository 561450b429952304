// Package backend is a stand-in for an upstream: an HTTP server that announces itself to the node
// beside it, echoes requests with a unique run ID, counts runs per idempotency key, and injects faults on
// request. Tests, the demo and `magnoliawharf dev upstream` use it; no product code depends on it.
package backend

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawharf/magnoliawharf/wait"
)

// Defaults of Options.
const (
	DefaultSlots       = 12
	DefaultServiceTime = 2 * time.Millisecond
	DefaultTTL         = 1500 * time.Millisecond
	DefaultRestart     = 500 * time.Millisecond
)

// drainGrace is the wait before shutdown for requests that the node admitted before it learned of the drain.
const drainGrace = 200 * time.Millisecond

// Options describe a Backend. Zero values take the defaults.
type Options struct {
	Service     string
	Listen      string        // host:port, default 127.0.0.1:0
	Node        string        // host:port of the node's local listener, "" sends no announcements
	Callers     string        // host:port of a callers' listener for nested calls, "" rejects them
	Slots       int           // concurrent requests
	ServiceTime time.Duration // duration of each request
	Cold        time.Duration // time after the start for which the state is cold
	TTL         time.Duration // time to live of an announcement
	Restart     time.Duration // time from a crash to the restart
	// Exit terminates the process on a crash. When it is nil, a crash closes all connections, and the
	// backend serves again after Restart.
	Exit func()
	Log  *slog.Logger
}

// Faults are the failures that a Backend injects. The zero value is a healthy upstream.
type Faults struct {
	FailFast bool          `json:"FailFast"` // every request gets status 500 without delay
	Slow     time.Duration `json:"Slow"`     // added to the service time
	Silent   bool          `json:"Silent"`   // announcements stop, requests are still served
}

// Backend is one upstream. It is safe for concurrent use.
type Backend struct {
	options Options
	addr    string
	client  *http.Client

	mu        sync.Mutex
	server    *http.Server // nil while crashed or closed
	listener  net.Listener // of server
	faults    Faults
	runs      map[string]int // by idempotency key; "" counts those without a key
	inUse     int
	peak      int
	draining  bool
	closed    bool
	coldUntil time.Time
	process   string // ID of the process in announcements; each restart after a crash gets a new one

	wake       chan struct{} // triggers an announcement
	done       chan struct{} // closed by Close
	goroutines sync.WaitGroup
}

// Start binds the address, serves and announces until Close or Drain.
func Start(o Options) (*Backend, error) {
	b := &Backend{
		options: withDefaults(o),
		client:  &http.Client{Timeout: announceTimeout},
		runs:    make(map[string]int),
		wake:    make(chan struct{}, 1), done: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", b.options.Listen)
	if err != nil {
		return nil, err
	}
	b.addr = listener.Addr().String()
	if err := b.serve(listener); err != nil {
		return nil, err
	}
	if b.options.Node != "" {
		b.goroutines.Go(b.announce)
	}
	return b, nil
}

func withDefaults(o Options) Options {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.ServiceTime == 0 {
		o.ServiceTime = DefaultServiceTime
	}
	if o.TTL == 0 {
		o.TTL = DefaultTTL
	}
	if o.Restart == 0 {
		o.Restart = DefaultRestart
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}

// serve starts the server of one process.
func (b *Backend) serve(listener net.Listener) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return errors.Join(http.ErrServerClosed, listener.Close())
	}
	b.coldUntil = time.Now().Add(b.options.Cold)
	b.process = uuid.NewString()
	server := &http.Server{Handler: b.handler(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 64 << 10}
	b.server, b.listener = server, listener
	b.goroutines.Go(func() { _ = server.Serve(listener) })
	return nil
}

// Addr returns the bound address.
func (b *Backend) Addr() string { return b.addr }

// SetFaults replaces the faults.
func (b *Backend) SetFaults(f Faults) {
	b.mu.Lock()
	b.faults = f
	b.mu.Unlock()
	b.announceNow()
}

// Runs returns the number of requests with the idempotency key that have begun.
func (b *Backend) Runs(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[key]
}

// Peak returns the highest number of concurrent requests so far.
func (b *Backend) Peak() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

// InUse returns the number of requests in progress.
func (b *Backend) InUse() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inUse
}

// Crash closes all connections at once, as the end of the process does.
func (b *Backend) Crash() {
	if b.options.Exit != nil {
		b.options.Exit()
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server == nil || b.closed {
		return
	}
	b.options.Log.Info("upstream crashed", "addr", b.addr)
	_ = b.listener.Close() // a server that has not begun to serve does not close it yet
	_ = b.server.Close()
	b.server = nil
	port, err := reservePort(b.addr)
	if err != nil {
		b.options.Log.Warn("the port of the upstream may be given away until it restarts", "addr", b.addr, "err", err)
	}
	b.goroutines.Go(func() {
		b.restart()
		if err == nil {
			port.release()
		}
	})
}

func (b *Backend) restart() {
	timer := time.NewTimer(b.options.Restart)
	defer timer.Stop()
	select {
	case <-b.done:
		return
	case <-timer.C:
	}
	listener, err := net.Listen("tcp", b.addr)
	if err == nil {
		err = b.serve(listener)
	}
	if err != nil {
		b.options.Log.Error("upstream restart failed", "addr", b.addr, "err", err)
		return
	}
	b.announceNow()
}

// Drain announces the state draining, waits for the requests in flight, withdraws the announcement and closes.
func (b *Backend) Drain(ctx context.Context) error {
	b.mu.Lock()
	b.draining = true
	server := b.server
	b.mu.Unlock()
	if b.options.Node != "" {
		b.announceOnce()
	}
	var err error
	if server != nil {
		wait.For(ctx, drainGrace)
		err = server.Shutdown(ctx)
	}
	b.deregister()
	b.Close()
	return err
}

// Close stops the backend without waiting for requests in flight. It returns when all goroutines have ended.
func (b *Backend) Close() {
	b.mu.Lock()
	server := b.server
	b.server = nil
	alreadyClosed := b.closed
	b.closed = true
	b.mu.Unlock()
	if !alreadyClosed {
		close(b.done)
	}
	if server != nil {
		_ = server.Close()
	}
	b.goroutines.Wait()
}
