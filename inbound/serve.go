package inbound

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/inflight"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

const (
	serveStep = "gate"
	// maxQueuePerSlot is the number of requests of one route that may wait per slot of the upstream.
	maxQueuePerSlot = 2
	// longShare is the share of the slots that requests with long answers may hold, which leaves slots to short requests.
	longShare = 0.7
	// aging is the wait after which a route gains one step of priority.
	aging = time.Second
)

// Serve admits a request that was placed for the upstream beside this node, sends it and returns the answer. The slot is
// released when the body of the answer is closed. boot identifies the run of the node that the sender addressed. The
// error is a *caller.Refusal.
func (g *Proxy) Serve(ctx context.Context, req *caller.Request, boot uint64) (*caller.Answer, error) {
	began := time.Now()
	answer, err := g.admitAndSend(ctx, req, boot)
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		g.options.Log.Info("request refused by the node of the upstream", "id", req.ID, "service", req.Service, "route", req.Route,
			"upstream", req.Placement.Upstream, "reason", string(refusal.Reason), "ran", refusal.Ran.String(),
			"took_ms", time.Since(began).Milliseconds(), "left_ms", time.Until(req.Deadline).Milliseconds(), "cause", errorText(refusal.Cause))
	}
	return answer, err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (g *Proxy) admitAndSend(ctx context.Context, req *caller.Request, boot uint64) (*caller.Answer, error) {
	if refusal := g.checkPlacement(req, boot); refusal != nil {
		return nil, refusal
	}
	arrived := time.Now()
	release, err := g.upstream.Admit(ctx, g.admitRequest(req))
	if err != nil {
		return nil, err
	}
	waited := time.Since(arrived)
	// The upstream may have been replaced while the request waited, and the caller may have cancelled it.
	addr, refusal := g.recheckPlacement(ctx, req, boot)
	if refusal != nil {
		release()
		return nil, refusal
	}
	done := g.inFlight.Begin()
	began := time.Now()
	answer, err := g.options.Client.Send(ctx, req, addr)
	g.crashes.RecordResult(ctx, req, began, answer, err)
	if err != nil {
		release()
		done()
		g.recordFailure(req, err)
		return nil, err
	}
	g.recordAnswer(time.Now(), req.Placement.Upstream, answer)
	answer.Upstream, answer.Waited = g.options.Node, waited
	answer.Body = inflight.OnClose(answer.Body, func() { release(); done() })
	return answer, nil
}

// checkPlacement refuses a request that was placed for another run of the node, another incarnation of the upstream or
// another service, and every request while the upstream accepts none.
func (g *Proxy) checkPlacement(req *caller.Request, boot uint64) *caller.Refusal {
	if req.Placement == nil {
		return caller.Refuse(caller.BadRequest, serveStep, g.options.Node)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case boot != g.options.Boot || req.Placement.Upstream != g.current.ID:
		return caller.Refuse(caller.StaleIncarnation, serveStep, g.options.Node)
	case req.Service != g.current.Service:
		return caller.Refuse(caller.NotReady, serveStep, g.options.Node)
	case g.state == draining || g.stopping:
		return caller.Refuse(caller.Draining, serveStep, g.options.Node)
	case g.state != serving:
		return caller.Refuse(caller.NotReady, serveStep, g.options.Node)
	}
	return nil
}

// recheckPlacement checks the request again after admission, and returns the current address of the upstream.
func (g *Proxy) recheckPlacement(ctx context.Context, req *caller.Request, boot uint64) (addr string, refusal *caller.Refusal) {
	if refusal := g.checkPlacement(req, boot); refusal != nil {
		return "", refusal
	}
	if refusal := g.crashes.Check(req); refusal != nil {
		return "", refusal
	}
	if ctx.Err() != nil {
		return "", caller.Refuse(caller.Cancelled, serveStep, g.options.Node)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current.Address, nil
}

func (g *Proxy) admitRequest(req *caller.Request) upstream.AdmitRequest {
	g.mu.Lock()
	slots := g.current.Slots
	g.mu.Unlock()
	return upstream.AdmitRequest{
		ID:       req.ID,
		Class:    bundle.Class{Name: req.Route, Priority: req.Placement.Priority, MaxQueue: maxQueuePerSlot * slots, Long: req.Placement.Long},
		Rules:    upstream.Rules{Aging: aging, LongShare: longShare},
		Deadline: earlier(req.Deadline, time.Now().Add(req.Placement.Objective)),
	}
}

// earlier returns the earlier of two times. A request is admitted against its objective as well as its deadline, since a
// slot is worth more to a request that can still be answered within its objective.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// recordFailure takes the upstream out of service when a request failed because the upstream is unreachable or its
// address belongs to another incarnation.
func (g *Proxy) recordFailure(req *caller.Request, err error) {
	var refusal *caller.Refusal
	if !errors.As(err, &refusal) {
		return
	}
	var next state
	switch refusal.Reason {
	case caller.UpstreamUnreachable:
		next = down
	case caller.StaleIncarnation:
		next = unknown
	default:
		return
	}
	g.mu.Lock()
	if req.Placement.Upstream != g.current.ID || g.state != serving {
		g.mu.Unlock()
		return
	}
	notify := g.setState(time.Now(), next, string(refusal.Reason))
	g.mu.Unlock()
	notify()
}

// Report implements peerhttp.UpstreamProxy.
func (g *Proxy) Report() link.Report {
	report := g.upstream.Report()
	if report.State == instance.Unannounced {
		report.State = instance.Draining
	}
	return report
}
