// Package localhttp is the HTTP adapter of a node's local listener: metrics, health and readiness of the node,
// and the announcements of its upstream.
package localhttp

import (
	"io"
	"net/http"

	"github.com/magnoliawharf/magnoliawharf/transport/upstreamhttp"
)

// Paths of the local listener, in addition to upstreamhttp.AnnouncePath.
const (
	MetricsPath = "/metrics" // counters in the Prometheus text format
	HealthPath  = "/healthz" // 200 while the process serves
	ReadyPath   = "/readyz"  // 200 while the node accepts calls, else 503 with the reason
)

// State is the state of the node that the local listener reports.
type State interface {
	// NotReady returns the reason why the node accepts no calls, "" when it accepts them.
	NotReady() string
	// WriteMetrics writes the node's metrics in the Prometheus text format.
	WriteMetrics(w io.Writer)
}

// New returns the http.Handler of the local listener.
func New(state State, announcer upstreamhttp.Announcer) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(upstreamhttp.AnnouncePath, &upstreamhttp.AnnounceHandler{Announcer: announcer})
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		state.WriteMetrics(w)
	})
	mux.HandleFunc("GET "+HealthPath, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET "+ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if reason := state.NotReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	return mux
}
