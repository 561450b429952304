package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/sockopt"
)

// watchInterval is the time between two checks whether the client of a request has closed its connection. A request may wait at two
// nodes, one after the other.
const watchInterval = 100 * time.Millisecond

// errClientLeft is the cause with which the context of a request ends whose client has closed its connection.
var errClientLeft = errors.New("the client has closed its connection")

var clientsLeft = metrics.Counter("magnoliawharf_requests_client_left_total")

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
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watchClient returns the request with a context that ends when its client has left. stop ends the watch and the context.
func watchClient(r *http.Request) (watched *http.Request, stop func()) {
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok || r.ProtoMajor != 1 {
		return r, func() {}
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	w := &clientWatch{conn: conn, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchInterval, w.check)
	return r.WithContext(ctx), w.stop
}

func (w *clientWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case sockopt.PeerClosed(w.conn):
		clientsLeft.Inc()
		w.cancel(errClientLeft)
	default:
		w.timer.Reset(watchInterval)
	}
}

func (w *clientWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	w.cancel(nil)
}
