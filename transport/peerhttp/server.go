package peerhttp

import (
	"context"
	"net/http"
	"strconv"
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
type Server struct {
	Home    Home
	Version func() uint64 // bundle version in force, told with each answer; nil tells none
	Seen    VersionSeen   // told of the version that each request carries; may be nil

	pacer link.ReportPacer
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := decodeCall(r.Header.Get(headerCall))
	var placement *caller.Placement
	if err == nil {
		placement, err = decodePlacement(r.Header.Get(headerPlacement))
	}
	if err != nil {
		refusal := caller.Refuse(caller.BadRequest, receiveStep, "")
		refusal.Cause = err
		transport.WriteRefusal(w, refusal)
		return
	}
	w.Header().Set(transport.HeaderRequestID, c.id)
	s.exchangeVersions(w, c)
	received := time.Now()
	deadline := received.Add(c.timeLeft)
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline.Add(connectionSlack))
	_ = controller.SetWriteDeadline(deadline.Add(connectionSlack))
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	req := requestOf(r, c, deadline)
	req.Placement = placement
	answer, err := s.Home.Serve(ctx, req, c.incarnation)
	if err != nil {
		s.report(w, received)
		transport.WriteRefusal(w, caller.AsRefusal(err, caller.UpstreamLost, receiveStep))
		return
	}
	s.report(w, received)
	if placement != nil && answer.Waited >= leastWaited {
		w.Header().Set(headerWaited, encodeWaited(answer.Waited))
	}
	if err := transport.WriteAnswer(w, answer); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// exchangeVersions tells both nodes of the bundle version of the other, so that the one that lags
// fetches the newer one.
func (s *Server) exchangeVersions(w http.ResponseWriter, c call) {
	if s.Version != nil {
		w.Header().Set(transport.HeaderVersion, strconv.FormatUint(s.Version(), 10))
	}
	if s.Seen != nil {
		s.Seen(c.bundleVersion, c.from)
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

// report adds the report with the time that the request has spent at this node, from which the entry
// node learns the time on the network. Most answers of a busy upstream carry none.
func (s *Server) report(w http.ResponseWriter, received time.Time) {
	report := s.Home.Report()
	if !s.pacer.Due(time.Now(), report) {
		return
	}
	report.Elapsed = time.Since(received)
	w.Header().Set(headerReport, encodeReport(report))
}
