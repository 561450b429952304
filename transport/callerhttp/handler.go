// Package callerhttp is the HTTP adapter for callers: it reads HTTP/1.1 and HTTP/2 requests, looks up their
// contract and route, and writes answers and refusals.
package callerhttp

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

const acceptStep = "accept"

const (
	// maxKeyLength is the largest length of an idempotency key, in bytes.
	maxKeyLength = 128
	// maxBodyReadFirst is the size in bytes of the largest body that is read before the request is sent, so that one in quarantine is
	// refused at once.
	maxBodyReadFirst = 4 << 10
)

// Dispatcher sends a request to an upstream and returns its answer. The error is a *caller.Refusal.
type Dispatcher interface {
	Dispatch(ctx context.Context, req *caller.Request) (*caller.Answer, error)
}

var (
	callsTotal   = metrics.Counter("magnoliawharf_calls_total")
	answersTotal = metrics.Counter("magnoliawharf_answers_total")
)

// Handler is the http.Handler of the callers' listener.
type Handler struct {
	Bundles    *bundle.Current
	Dispatcher Dispatcher
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	callsTotal.Inc()
	defer transport.InterruptBody(w, r)()
	body := transport.TrackBody(r)
	req, refusal := h.accept(w, r)
	if refusal != nil {
		refuse(w, body, refusal)
		return
	}
	w.Header().Set(transport.HeaderRequestID, req.ID)
	w.Header().Set(transport.HeaderVersion, strconv.FormatUint(req.BundleVersion, 10))
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	answer, err := h.Dispatcher.Dispatch(ctx, req)
	transport.ExtendConnDeadlines(w, req.Deadline)
	if err != nil {
		refuse(w, body, caller.AsRefusal(err, caller.PeerLost, acceptStep))
		return
	}
	w.Header().Set(transport.HeaderUpstream, answer.Upstream)
	if err := transport.WriteAnswer(w, answer); err != nil {
		metrics.CountRefusal(caller.BodyCut)
		transport.AbortAnswer(w, r)
	}
	answersTotal.Inc()
}

// accept converts the HTTP request to a request under the current contract.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request) (*caller.Request, *caller.Refusal) {
	current := h.Bundles.Load()
	if current == nil {
		return nil, caller.Refuse(caller.NoBundle, acceptStep, "")
	}
	contract, path, ok := current.Resolve(hostOf(r), r.URL.EscapedPath())
	if !ok {
		return nil, caller.Refuse(caller.NoService, acceptStep, "")
	}
	route, ok := contract.Match(r.Method, path)
	if !ok {
		return nil, caller.Refuse(caller.NoRoute, acceptStep, contract.Service)
	}
	chain, err := transport.DecodeChain(r.Header)
	timeout, ok := timeoutOf(r, route.Timeout)
	key := r.Header.Get(transport.HeaderIdempotency)
	if err != nil || !ok || len(key) > maxKeyLength {
		return nil, caller.Refuse(caller.BadRequest, acceptStep, "")
	}
	if chain.Depth >= caller.MaxDepth {
		return nil, caller.Refuse(caller.DepthExceeded, acceptStep, contract.Service)
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	now := time.Now()
	req := &caller.Request{
		ID: uuid.NewString(), Service: contract.Service, Route: route.Name, Class: route.Class,
		Method: r.Method, Path: path, Header: transport.EndToEnd(r.Header),
		Body: bodyOf(r), Key: key,
		Deadline: now.Add(chain.Limit(now, timeout)),
		Attempt:  chain.Attempt, Depth: chain.Depth, BundleVersion: current.Version,
	}
	return req, prepare(w, r, req)
}

func bodyOf(r *http.Request) *caller.Body {
	if r.Body == http.NoBody {
		return caller.NewBody(nil, 0)
	}
	return caller.NewBody(r.Body, r.ContentLength)
}

// prepare sets the fingerprint of the request, for which it reads a short body, and the deadlines of the
// connection, so that a caller that stops sending or reading is disconnected after the deadline.
func prepare(w http.ResponseWriter, r *http.Request, req *caller.Request) *caller.Refusal {
	transport.SetConnDeadlines(w, req.Deadline)
	if length := req.Body.Length(); length >= 0 && length <= maxBodyReadFirst {
		if _, err := req.Body.Buffer(); err != nil {
			return transport.BodyRefusal(r, err, acceptStep)
		}
	}
	req.SetFingerprint(req.Service)
	return nil
}

// timeoutOf returns the timeout that the caller sets in HeaderTimeout, at most maxTimeout. The value is either a
// Go duration or a whole number of milliseconds. It returns false for any other value.
func timeoutOf(r *http.Request, maxTimeout time.Duration) (time.Duration, bool) {
	text := r.Header.Get(transport.HeaderTimeout)
	if text == "" {
		return maxTimeout, true
	}
	timeout, err := time.ParseDuration(text)
	if err != nil {
		milliseconds, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return 0, false
		}
		timeout = time.Duration(milliseconds) * time.Millisecond
	}
	return min(timeout, maxTimeout), timeout > 0
}

func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

func refuse(w http.ResponseWriter, body *transport.RequestBody, refusal *caller.Refusal) {
	metrics.CountRefusal(refusal.Reason)
	body.LimitRest(w)
	transport.WriteRefusal(w, refusal)
}
