package peerhttp

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

const (
	receiveStep = "receive forward"
	// connectionSlack is the time after the deadline of a request at which its connection is given up.
	connectionSlack = time.Second
)

// Home serves forwarded requests at the node beside the upstream.
type Home interface {
	Serve(ctx context.Context, req *caller.Request, incarnation uint64) (*caller.Answer, error)
	Report() link.Report
}

// Server is the http.Handler of forwarded requests.
type Server struct{ Home Home }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := decodeCall(r.Header.Get(headerCall))
	if err != nil {
		refusal := caller.Refuse(caller.BadRequest, receiveStep, "")
		refusal.Cause = err
		s.refuse(w, refusal)
		return
	}
	deadline := time.Now().Add(c.timeLeft)
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline.Add(connectionSlack))
	_ = controller.SetWriteDeadline(deadline.Add(connectionSlack))
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	answer, err := s.Home.Serve(ctx, requestOf(r, c, deadline), c.incarnation)
	if err != nil {
		s.refuse(w, asRefusal(err))
		return
	}
	w.Header().Set(headerReport, encodeReport(s.Home.Report()))
	w.Header().Set(transport.HeaderRequestID, c.id)
	if err := transport.WriteAnswer(w, answer); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func requestOf(r *http.Request, c call, deadline time.Time) *caller.Request {
	return &caller.Request{
		ID: c.id, Service: c.service, Route: c.route, Class: c.class, Key: c.key,
		Method: r.Method, Path: strings.TrimPrefix(r.URL.RequestURI(), ForwardPrefix),
		Header: transport.EndToEnd(r.Header), Body: bodyOf(r),
		Fingerprint: c.fingerprint, Deadline: deadline,
		Attempt: c.attempt, Depth: c.depth, BundleVersion: c.bundleVersion,
	}
}

func bodyOf(r *http.Request) *caller.Body {
	if r.Body == http.NoBody {
		return caller.NewBody(nil, 0)
	}
	return caller.NewBody(r.Body, r.ContentLength)
}

func (s *Server) refuse(w http.ResponseWriter, refusal *caller.Refusal) {
	w.Header().Set(headerReport, encodeReport(s.Home.Report()))
	transport.WriteRefusal(w, refusal)
}

func asRefusal(err error) *caller.Refusal {
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return caller.Lost(caller.UpstreamLost, receiveStep, "", err)
}
