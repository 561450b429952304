// Package entryhttp is the HTTP adapter for the callers of a node of package sidecar: it reads HTTP requests, looks up
// their route, and writes answers and refusals with the header fields of the deployment's dialect.
package entryhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

const (
	acceptStep = "accept"
	// defaultTimeout is the time limit of a request whose route sets none. The caller can only shorten it.
	defaultTimeout = 30 * time.Second
	// startupRetryAfter is the delay before a retry while the node has not yet loaded any contracts.
	startupRetryAfter = 200 * time.Millisecond
	// defaultRetryAfter is the delay before a retry when the refusal sets none.
	defaultRetryAfter = 100 * time.Millisecond
)

// Dispatcher sends a request to an upstream and returns its answer. The error is a *caller.Refusal.
type Dispatcher interface {
	Dispatch(ctx context.Context, req *caller.Request, route *contract.Route) (*caller.Answer, error)
}

// Handler is the http.Handler of the callers' listener. Its fields are set before the first request.
type Handler struct {
	Contracts  *contract.Current
	Splits     *contract.Splitter
	Dispatcher Dispatcher
	Dialect    caller.Dialect
	Origin     string // service of the upstream beside this node
	// IsCurrent reports whether the contracts are known to be the newest; while they are not, an unknown key is not rejected for good.
	// nil is taken for true.
	IsCurrent func() bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	arrival := transport.ArrivalOf(r.Context())
	if arrival.At.IsZero() {
		arrival.At = start
	}
	defer transport.InterruptBody(w, r)()
	body := transport.TrackBody(r)
	req, route, refusal := h.accept(w, r, arrival)
	if refusal != nil {
		refuse(w, body, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	answer, err := h.Dispatcher.Dispatch(ctx, req, route)
	metrics.Histogram("magnoliawharf_request_seconds", "route", route.Name).UpdateDuration(start)
	transport.ExtendConnDeadlines(w, req.Deadline)
	if err != nil {
		refuse(w, body, caller.AsRefusal(err, caller.PeerLost, acceptStep))
		return
	}
	if _, ok := answer.Header["Content-Type"]; !ok {
		w.Header()["Content-Type"] = nil // keeps net/http from detecting one
	}
	if err := transport.WriteAnswer(w, answer); err != nil {
		metrics.CountRefusal(caller.BodyCut)
		transport.AbortAnswer(w, r)
	}
}

// Repeatable reports whether the route of the request allows it to run more than once.
func (h *Handler) Repeatable(r *http.Request) bool {
	contracts := h.Contracts.Load()
	if contracts == nil {
		return false
	}
	route, ok := contracts.Match(r.Host, r.URL.EscapedPath())
	return ok && route.Rule == bundle.Idempotent
}

// accept converts the HTTP request to a request for its route. It reads the body when it is short enough to be replayed.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request, arrival transport.Arrival) (*caller.Request, *contract.Route, *caller.Refusal) {
	found := h.match(h.Contracts.Load(), r)
	if found.Refusal != nil {
		return nil, nil, found.Refusal
	}
	contracts, route := found.Contracts, found.Route
	if limit := contracts.Limits.MaxBodyBytes; limit > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	deadline := arrival.At.Add(h.TimeLimit(r, route))
	transport.SetConnDeadlines(w, deadline)
	body, refusal := bufferBody(r)
	if refusal != nil {
		return nil, nil, refusal
	}
	req := h.newRequest(r, found, body, deadline)
	req.Service, req.Behind = h.Splits.Next(route), arrival.Behind
	return req, route, nil
}

// Match is what the contracts say of a request before its body is read. Route is nil when Refusal says that there is none.
type Match struct {
	Contracts *contract.Contracts // nil before the first ones were read
	Route     *contract.Route
	Tenant    string // whose key the request bears, "" for none
	Refusal   *caller.Refusal

	holder holder
}

// PriorityOffset returns what the tenant adds to the priority of the route.
func (m Match) PriorityOffset() int { return m.holder.offset }

// match finds the route and the tenant of the request, or refuses it.
func (h *Handler) match(contracts *contract.Contracts, r *http.Request) Match {
	found := Match{Contracts: contracts}
	if contracts == nil {
		found.Refusal = caller.Refuse(caller.NoBundle, acceptStep, "")
		found.Refusal.RetryAfter = startupRetryAfter
		return found
	}
	var ok bool
	if found.Route, ok = contracts.Match(r.Host, r.URL.EscapedPath()); !ok {
		found.Refusal = caller.Refuse(caller.NoRoute, acceptStep, "")
		return found
	}
	if found.holder, found.Refusal = h.authenticate(contracts, found.Route, r); found.Refusal != nil {
		return found
	}
	found.Tenant = found.holder.tenant
	if limit := contracts.Limits.MaxBodyBytes; limit > 0 && r.ContentLength > limit {
		found.Refusal = caller.Refuse(caller.BodyTooLarge, acceptStep, "")
	}
	return found
}

// Preview returns what the contracts say of the request, and the request as it would be dispatched, without its service. The request is
// nil when it would be refused. No split is advanced.
func (h *Handler) Preview(r *http.Request) (Match, *caller.Request) {
	found := h.match(h.Contracts.Load(), r)
	if found.Refusal != nil {
		return found, nil
	}
	body, refusal := bufferBody(r)
	if found.Refusal = refusal; refusal != nil {
		return found, nil
	}
	return found, h.newRequest(r, found, body, time.Now().Add(h.TimeLimit(r, found.Route)))
}

// newRequest returns the request without its service.
func (h *Handler) newRequest(r *http.Request, found Match, body *caller.Body, deadline time.Time) *caller.Request {
	contracts, route, holder, path := found.Contracts, found.Route, found.holder, r.URL.RequestURI()
	req := &caller.Request{
		ID: h.requestID(r), Route: route.Name, Class: route.Name, Method: r.Method, Path: path,
		Header: h.header(r, contracts.Keyed()), Body: body, Deadline: deadline, Attempt: 1, BundleVersion: contracts.Version,
		Tenant: holder.tenant, PriorityOffset: holder.offset, Credential: holder.credential, Public: route.Public,
		Placement: &caller.Placement{Host: r.Host, Origin: h.Origin, Tenant: holder.tenant, Repeatable: route.Rule == bundle.Idempotent},
	}
	req.SetFingerprint(route.Name + " " + h.Origin)
	return req
}

// requestID returns the request ID that the caller sets. A request without one gets a random ID, for the logs only.
func (h *Handler) requestID(r *http.Request) string {
	if id := r.Header.Get(h.Dialect.RequestID); id != "" {
		return id
	}
	return uuid.NewString()
}

// header returns the fields that are forwarded, without those that only the node may set. While the contracts have keys, the
// Authorization field is removed, since it is for the node alone.
func (h *Handler) header(r *http.Request, keyed bool) http.Header {
	out := transport.EndToEnd(r.Header)
	for _, name := range []string{h.Dialect.Origin, h.Dialect.Expect, h.Dialect.TimeLimit, h.Dialect.Tenant} {
		out.Del(name)
	}
	if keyed {
		out.Del(authorizationField)
	}
	return out
}

// TimeLimit returns the shorter of the time limits of the caller and of the route.
func (h *Handler) TimeLimit(r *http.Request, route *contract.Route) time.Duration {
	limit := defaultTimeout
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	if milliseconds, err := strconv.ParseUint(r.Header.Get(h.Dialect.TimeLimit), 10, 31); err == nil {
		limit = min(limit, time.Duration(milliseconds)*time.Millisecond)
	}
	return limit
}

// bufferBody reads the body when it is short enough to be replayed.
func bufferBody(r *http.Request) (*caller.Body, *caller.Refusal) {
	if r.Body == http.NoBody || r.ContentLength == 0 {
		return caller.NewBody(nil, 0), nil
	}
	if r.ContentLength > caller.ReplayLimit {
		return caller.NewBody(r.Body, r.ContentLength), nil
	}
	var buffer bytes.Buffer
	n, err := io.CopyN(&buffer, r.Body, caller.ReplayLimit+1)
	switch {
	case err == nil:
		return caller.NewBody(io.MultiReader(&buffer, r.Body), -1), nil
	case errors.Is(err, io.EOF):
	default:
		return nil, transport.BodyRefusal(r, err, acceptStep)
	}
	body := caller.NewBody(&buffer, n)
	_, _ = body.Buffer() // fails for no body that fits
	return body, nil
}

// statusOf returns the HTTP status of a refusal. 503 guarantees that the request has not run and will not run.
func statusOf(refusal *caller.Refusal) int {
	switch refusal.Reason {
	case caller.NoRoute:
		return http.StatusNotFound
	case caller.BadRequest, caller.BodyCut:
		if refusal.Ran == caller.NotRun {
			return http.StatusBadRequest
		}
	case caller.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case caller.Unauthenticated:
		if refusal.Ran == caller.NotRun {
			return http.StatusUnauthorized
		}
	case caller.QuotaExceeded:
		if refusal.Ran == caller.NotRun {
			return http.StatusTooManyRequests
		}
	}
	switch {
	case refusal.Ran == caller.NotRun:
		return http.StatusServiceUnavailable
	case refusal.Reason == caller.DeadlinePassed:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// Response returns the HTTP status of a refusal and the delay that Retry-After suggests, 0 for none.
func Response(refusal *caller.Refusal) (status int, retryAfter time.Duration) {
	status = statusOf(refusal)
	switch {
	case status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests:
		return status, 0
	case refusal.RetryAfter <= 0:
		return status, defaultRetryAfter
	}
	return status, refusal.RetryAfter
}

// Refuse refuses a request whose body has not been read.
func (h *Handler) Refuse(w http.ResponseWriter, r *http.Request, refusal *caller.Refusal) {
	refuse(w, transport.TrackBody(r), refusal)
}

// refuse writes the refusal as an HTTP response.
func refuse(w http.ResponseWriter, body *transport.RequestBody, refusal *caller.Refusal) {
	metrics.CountRefusal(refusal.Reason)
	body.LimitRest(w)
	header := w.Header()
	header.Set(transport.HeaderRefusal, string(refusal.Reason))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	status, after := Response(refusal)
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", bearerScheme)
	}
	if after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, string(refusal.Reason)+": the request is "+refusal.Ran.String()+"\n")
}
