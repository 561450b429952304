package peerhttp

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

const receiveStep = "receive forward"

// UpstreamProxy serves forwarded requests at the node beside the upstream.
type UpstreamProxy interface {
	// Serve sends the request to the upstream. incarnation identifies the run of the node for which the request is
	// meant. The error is a *caller.Refusal.
	Serve(ctx context.Context, req *caller.Request, incarnation uint64) (*caller.Answer, error)
	// Report returns the current state and load of the upstream.
	Report() link.Report
}

// Server is the http.Handler of forwarded requests and of their cancellations.
type Server struct {
	Proxy     UpstreamProxy
	Version   func() uint64   // returns the current bundle version, sent with each answer; nil sends none
	OnVersion VersionObserver // called with the bundle version of each request; may be nil

	reportPacer link.ReportPacer
	calls       calls
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == CancelPath {
		s.serveCancellation(w, r)
		return
	}
	call, err := decodeCall(r.Header.Get(headerCall))
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
	w.Header().Set(transport.HeaderRequestID, call.id)
	s.exchangeVersions(w, call)
	received := time.Now()
	deadline := received.Add(call.timeLeft)
	transport.SetConnDeadlines(w, deadline)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	defer s.calls.begin(call, cancel)()
	req := requestOf(r, call, deadline)
	req.Placement = placement
	readAhead(req.Body)
	answer, err := s.Proxy.Serve(ctx, req, call.incarnation)
	if err != nil {
		s.addReport(w, received)
		transport.WriteRefusal(w, caller.AsRefusal(err, caller.UpstreamLost, receiveStep))
		return
	}
	s.addReport(w, received)
	if placement != nil && answer.Waited >= minReportedWait {
		w.Header().Set(headerWaited, encodeWaited(answer.Waited))
	}
	if notice := encodeNotice(answer.Notice); notice != "" {
		w.Header().Set(headerNotice, notice)
	}
	if err := transport.WriteAnswer(w, answer); err != nil {
		transport.AbortAnswer(w, r)
	}
}

// exchangeVersions informs both nodes of the other's bundle version, so that the node with the older bundle
// can fetch the newer one.
func (s *Server) exchangeVersions(w http.ResponseWriter, call callMetadata) {
	if s.Version != nil {
		w.Header().Set(transport.HeaderVersion, strconv.FormatUint(s.Version(), 10))
	}
	if s.OnVersion != nil {
		s.OnVersion(call.bundleVersion, call.from)
	}
}

func requestOf(r *http.Request, call callMetadata, deadline time.Time) *caller.Request {
	return &caller.Request{
		ID: call.id, Service: call.service, Route: call.route, Class: call.class, Key: call.key,
		Method: r.Method, Path: strings.TrimPrefix(r.URL.RequestURI(), ForwardPrefix),
		Header: transport.EndToEnd(r.Header), Body: bodyOf(r),
		Fingerprint: call.fingerprint, OpenFingerprint: r.Header.Get(headerOpenFingerprint) == openFingerprint, Deadline: deadline,
		Attempt: call.attempt, Depth: call.depth, BundleVersion: call.bundleVersion,
	}
}

func bodyOf(r *http.Request) *caller.Body {
	if r.Body == http.NoBody {
		return caller.NewBody(nil, 0)
	}
	return caller.NewBody(r.Body, r.ContentLength)
}

// readAhead reads a body that can be buffered while the request waits for a slot. Until a body is read to its end, net/http
// does not notice that the other node has closed the connection, and the request would run although it was given up there.
func readAhead(body *caller.Body) {
	if body.Length() == 0 || !body.Shareable() {
		return
	}
	if reader, err := body.Attempt(); err == nil {
		go func() { _, _ = io.Copy(io.Discard, reader) }() // ends with the body, which net/http closes after the request
	}
}

// addReport sets headerReport, unless the last report was sent too recently. The report includes the time that
// the request spent at this node, from which the entry node derives the network time. Most answers of a busy upstream
// carry no report, so the entry node derives the network time from a few of them only.
func (s *Server) addReport(w http.ResponseWriter, received time.Time) {
	report := s.Proxy.Report()
	if !s.reportPacer.Due(time.Now(), report) {
		return
	}
	report.Elapsed = time.Since(received)
	w.Header().Set(headerReport, encodeReport(report))
}
