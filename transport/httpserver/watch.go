package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/sockopt"
)

const (
	// watchInterval is the time between two looks at the socket of a request. A request may wait at two nodes, one after the other.
	watchInterval = 100 * time.Millisecond
	// minLookInterval is the age of a look up to which a further one is not worth its system calls.
	minLookInterval = 20 * time.Millisecond
)

// errClientLeft is the cause with which the context of a request ends whose client has closed its connection.
var errClientLeft = errors.New("the client has closed its connection")

// The requests whose client has left, by the sign that told: a read of net/http, a look each watchInterval, or a look at the moment at which
// the request was about to be sent on.
var (
	leftByRead  = metrics.Counter(`magnoliawharf_requests_client_left_total{sign="read"}`)
	leftByWatch = metrics.Counter(`magnoliawharf_requests_client_left_total{sign="watch"}`)
	leftBySend  = metrics.Counter(`magnoliawharf_requests_client_left_total{sign="send"}`)
)

type connKey struct{}

// withConn is the ConnContext hook of the http.Server.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// clientWatch ends the context of a request when its client closes the connection. net/http notices that only while nothing waits to
// be read: not behind a body that the handler does not read yet, nor behind a further request. The end of the client's stream alone
// counts as well, as it does in net/http: it cannot be told from a closed connection.
type clientWatch struct {
	conn   net.Conn
	parent context.Context // ends when net/http has noticed that the client is gone
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	timer    *time.Timer
	lookedAt time.Time
	gone     bool
	stopped  bool
}

// watchClient returns the request with a context that ends when its client has left, and that tells so when it is asked, see
// caller.HasLeft. stop ends the watch and the context.
func watchClient(r *http.Request) (watched *http.Request, stop func()) {
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok || r.ProtoMajor != 1 {
		return r, func() {}
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	w := &clientWatch{conn: conn, parent: r.Context(), cancel: cancel, lookedAt: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchInterval, w.check)
	return r.WithContext(caller.WithPresence(ctx, w.hasLeft)), w.stop
}

// check looks at the socket, now and each watchInterval.
func (w *clientWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.gone {
		return
	}
	if w.look() {
		leftByWatch.Inc()
		return
	}
	w.timer.Reset(watchInterval)
}

// hasLeft reports whether the client has left.
func (w *clientWatch) hasLeft() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.gone || time.Since(w.lookedAt) < minLookInterval {
		return w.gone
	}
	if w.look() {
		leftBySend.Inc()
	}
	return w.gone
}

// look records what the socket tells, and ends the context of the request when the client has left. It is called with the lock held.
func (w *clientWatch) look() bool {
	w.lookedAt = time.Now()
	if w.gone = sockopt.PeerClosed(w.conn); w.gone {
		w.cancel(errClientLeft)
	}
	return w.gone
}

func (w *clientWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.gone && context.Cause(w.parent) == context.Canceled {
		leftByRead.Inc()
	}
	w.stopped = true
	w.timer.Stop()
	w.cancel(nil)
}
