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

// Routes sends requests to handlers by path prefix; the longest prefix counts. Unlike
// http.ServeMux it does not clean paths, because a forwarded path must arrive as its caller sent it.
// Handlers are added before the first request.
type Routes struct{ entries []entry }

type entry struct {
	prefix  string
	handler http.Handler
}

// Handle adds the handler for paths that begin with prefix.
func (r *Routes) Handle(prefix string, handler http.Handler) {
	r.entries = append(r.entries, entry{prefix, handler})
	slices.SortFunc(r.entries, func(a, b entry) int { return len(b.prefix) - len(a.prefix) })
}

// HandleControl adds the handler of control messages for paths that begin with prefix. They are short,
// so that a peer that sends or reads slowly is cut off.
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
	for i := range r.entries {
		if strings.HasPrefix(request.URL.Path, r.entries[i].prefix) {
			r.entries[i].handler.ServeHTTP(w, request)
			return
		}
	}
	http.NotFound(w, request)
}

// closing asks HTTP/1 clients to close their connections once draining is set, so that they stop
// using them before the listener closes.
type closing struct {
	draining atomic.Bool
	handler  http.Handler
}

// ServeHTTP implements http.Handler.
func (c *closing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.draining.Load() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	c.handler.ServeHTTP(w, r)
}

// limitBody bounds the bytes of request bodies.
type limitBody struct {
	most    int64
	handler http.Handler
}

// LimitBody returns handler with request bodies bounded to most bytes. A longer one reads as an
// error and closes the connection.
func LimitBody(handler http.Handler, most int64) http.Handler {
	return &limitBody{most: most, handler: handler}
}

// ServeHTTP implements http.Handler.
func (l *limitBody) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength > l.most {
		metrics.CountRefusal(caller.BadRequest)
		w.Header().Set("Connection", "close")
		w.Header().Set(transport.HeaderRefusal, string(caller.BadRequest))
		w.Header().Set(transport.HeaderRan, caller.NotRun.String())
		http.Error(w, "request body is larger than the node allows", http.StatusRequestEntityTooLarge)
		return
	}
	if r.ContentLength != 0 {
		r.Body = http.MaxBytesReader(w, r.Body, l.most)
	}
	l.handler.ServeHTTP(w, r)
}
