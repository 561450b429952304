package httpserver

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

// Routes dispatches requests to handlers by the longest matching path prefix. Unlike http.ServeMux it does
// not clean paths, because a forwarded path must arrive as the caller sent it. Handlers are added before the
// first request.
type Routes struct{ routes []route }

type route struct {
	prefix  string
	handler http.Handler
}

// Handle adds the handler for paths that begin with prefix.
func (r *Routes) Handle(prefix string, handler http.Handler) {
	r.routes = append(r.routes, route{prefix, handler})
	slices.SortFunc(r.routes, func(a, b route) int { return len(b.prefix) - len(a.prefix) })
}

// HandleControl adds the handler of control messages for paths that begin with prefix. Control messages are
// short, so a peer that sends or reads one for longer than controlTimeout is disconnected.
func (r *Routes) HandleControl(prefix string, handler http.Handler) {
	r.Handle(prefix, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		controller := http.NewResponseController(w)
		limit := time.Now().Add(controlTimeout)
		_ = controller.SetReadDeadline(limit)
		_ = controller.SetWriteDeadline(limit)
		handler.ServeHTTP(w, request)
	}))
}

// ServeHTTP implements http.Handler.
func (r *Routes) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	for i := range r.routes {
		if strings.HasPrefix(request.URL.Path, r.routes[i].prefix) {
			r.routes[i].handler.ServeHTTP(w, request)
			return
		}
	}
	http.NotFound(w, request)
}

// drainHandler asks HTTP/1 clients to close their connections once draining is set, so that they stop using
// the connections before the listener closes. It ends the context of a request whose client leaves.
type drainHandler struct {
	draining atomic.Bool
	next     http.Handler
}

// ServeHTTP implements http.Handler.
func (d *drainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.draining.Load() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	watched, stop := watchClient(r)
	defer stop()
	d.next.ServeHTTP(w, watched)
}

// bodyLimiter limits the size of request bodies.
type bodyLimiter struct {
	maxBytes int64
	handler  http.Handler
}

// LimitBody returns handler with request bodies limited to maxBytes. Reading beyond the limit returns an error
// and closes the connection.
func LimitBody(handler http.Handler, maxBytes int64) http.Handler {
	return &bodyLimiter{maxBytes: maxBytes, handler: handler}
}

// ServeHTTP implements http.Handler.
func (l *bodyLimiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength > l.maxBytes {
		metrics.CountRefusal(caller.BadRequest)
		w.Header().Set("Connection", "close")
		w.Header().Set(transport.HeaderRefusal, string(caller.BadRequest))
		w.Header().Set(transport.HeaderRan, caller.NotRun.String())
		http.Error(w, "request body is larger than the node allows", http.StatusRequestEntityTooLarge)
		return
	}
	if r.ContentLength != 0 {
		r.Body = http.MaxBytesReader(w, r.Body, l.maxBytes)
	}
	l.handler.ServeHTTP(w, r)
}
