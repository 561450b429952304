package gate

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
	// queuePerSlot is the number of requests of one priority that may wait, for each slot of the upstream.
	queuePerSlot = 2
	// longShare is the share of the slots that long answers may hold, so that short work finds one.
	longShare = 0.7
	// aging is the wait after which a request gains one step of priority.
	aging = time.Second
)

// Serve admits a request that was placed for the upstream beside this node, sends it and returns the answer. The slot is
// given back when the body of the answer is closed. boot is the life of the node that the sender meant. The error is a
// *caller.Refusal.
func (g *Gate) Serve(ctx context.Context, req *caller.Request, boot uint64) (*caller.Answer, error) {
	began := time.Now()
	answer, err := g.serve(ctx, req, boot)
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		g.options.Log.Info("request refused at home", "id", req.ID, "service", req.Service, "route", req.Route,
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

func (g *Gate) serve(ctx context.Context, req *caller.Request, boot uint64) (*caller.Answer, error) {
	if refusal := g.check(req, boot); refusal != nil {
		return nil, refusal
	}
	arrived := time.Now()
	release, err := g.admission.Admit(ctx, g.ticket(req))
	if err != nil {
		return nil, err
	}
	waited := time.Since(arrived)
	// The upstream may have changed while the request waited, and the caller may have gone.
	addr, refusal := g.recheck(ctx, req, boot)
	if refusal != nil {
		release()
		return nil, refusal
	}
	done := g.inFlight.Begin()
	began := time.Now()
	answer, err := g.options.Client.Send(ctx, req, addr)
	g.crashes.Sent(ctx, req, began, answer, err)
	if err != nil {
		release()
		done()
		g.failed(req, err)
		return nil, err
	}
	g.answered(time.Now(), req.Placement.Upstream, answer)
	answer.Upstream, answer.Waited = g.options.Node, waited
	answer.Body = inflight.OnClose(answer.Body, func() { release(); done() })
	return answer, nil
}

// check refuses a request that was meant for another life of the node or its upstream.
func (g *Gate) check(req *caller.Request, boot uint64) *caller.Refusal {
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

func (g *Gate) recheck(ctx context.Context, req *caller.Request, boot uint64) (addr string, refusal *caller.Refusal) {
	if refusal := g.check(req, boot); refusal != nil {
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

func (g *Gate) ticket(req *caller.Request) upstream.Ticket {
	g.mu.Lock()
	slots := g.current.Slots
	g.mu.Unlock()
	return upstream.Ticket{
		ID:       req.ID,
		Class:    bundle.Class{Name: req.Route, Priority: req.Placement.Priority, MaxQueue: queuePerSlot * slots, Long: req.Placement.Long},
		Rules:    upstream.Rules{Aging: aging, LongShare: longShare},
		Deadline: soonest(req.Deadline, time.Now().Add(req.Placement.Objective)),
	}
}

// soonest returns the earlier of two times. Admission refuses what cannot be answered within its objective: a slot that
// it waits for is worth more to a request that still can.
func soonest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// failed takes the refusal of a request that was sent to the upstream.
func (g *Gate) failed(req *caller.Request, err error) {
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
	notify := g.enter(time.Now(), next, string(refusal.Reason))
	g.mu.Unlock()
	notify()
}

// Report implements peerhttp.Home.
func (g *Gate) Report() link.Report {
	report := g.admission.Report()
	if report.State == instance.Unannounced {
		report.State = instance.Draining
	}
	return report
}
