package node

import (
	"context"
	"slices"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/inflight"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

const homeStep = "home"

// UpstreamClient sends one admitted request to the upstream at addr. The error is a
// *caller.Refusal.
type UpstreamClient interface {
	Send(ctx context.Context, req *caller.Request, addr string) (*caller.Answer, error)
}

// Home is the node beside an upstream: it admits requests to it.
type Home struct {
	ID          string
	Incarnation uint64 // start time in ns since the Unix epoch
	Bundles     *bundle.InForce
	Upstream    *upstream.Upstream
	Client      UpstreamClient
	Crashes     *quarantine.Crashes // nil: requests are not watched for crashes

	inFlight inflight.Counter
}

// Serve admits the request, sends it to the upstream and returns the answer. The slot is given
// back when the body of the answer is closed. incarnation is the life of the node that the sender
// meant. The error is a *caller.Refusal.
func (h *Home) Serve(ctx context.Context, req *caller.Request, incarnation uint64) (*caller.Answer, error) {
	ticket, refusal := h.check(req, incarnation)
	if refusal != nil {
		return nil, refusal
	}
	release, err := h.Upstream.Admit(ctx, ticket)
	if err != nil {
		return nil, err
	}
	// The upstream may have changed while the request waited.
	announced, counts := h.Upstream.Announced(time.Now())
	if !counts || announced.Service != req.Service {
		release()
		return nil, caller.Refuse(caller.NotReady, homeStep, h.ID)
	}
	if refusal := h.Crashes.Check(req); refusal != nil {
		release()
		return nil, refusal
	}
	done := h.inFlight.Begin()
	began := time.Now()
	answer, err := h.Client.Send(ctx, req, announced.Addr)
	h.Crashes.Sent(ctx, req, began, answer, err)
	if err != nil {
		release()
		done()
		return nil, err
	}
	answer.Upstream = h.ID
	answer.Body = inflight.OnClose(answer.Body, func() { release(); done() })
	return answer, nil
}

func (h *Home) check(req *caller.Request, incarnation uint64) (upstream.Ticket, *caller.Refusal) {
	if incarnation != h.Incarnation {
		return upstream.Ticket{}, caller.Refuse(caller.StaleIncarnation, homeStep, h.ID)
	}
	current := h.Bundles.Load()
	if current == nil {
		return upstream.Ticket{}, caller.Refuse(caller.NoBundle, homeStep, h.ID)
	}
	// The entry node has matched the request, so what is unknown here belongs to another version.
	contract, ok := current.Contracts[req.Service]
	if !ok || !hasRoute(contract, req.Route) {
		return upstream.Ticket{}, caller.Refuse(caller.StaleBundle, homeStep, h.ID)
	}
	class, ok := contract.Class(req.Class)
	if !ok {
		return upstream.Ticket{}, caller.Refuse(caller.StaleBundle, homeStep, h.ID)
	}
	return upstream.Ticket{
		ID: req.ID, Class: class, Rules: upstream.RulesOf(contract),
		Deadline: req.Deadline,
	}, nil
}

func hasRoute(contract *bundle.Contract, name string) bool {
	return slices.ContainsFunc(contract.Routes, func(r bundle.Route) bool { return r.Name == name })
}

// Idle returns when no request is in flight at the upstream, or with the error of ctx.
func (h *Home) Idle(ctx context.Context) error { return h.inFlight.Wait(ctx) }

// Report returns the state of the upstream for the nodes of callers.
func (h *Home) Report() link.Report { return h.Upstream.Report() }
