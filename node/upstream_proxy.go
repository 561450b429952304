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

const admitStep = "home"

// UpstreamClient sends an admitted request to the upstream at addr. The error is a *caller.Refusal.
type UpstreamClient interface {
	Send(ctx context.Context, req *caller.Request, addr string) (*caller.Answer, error)
}

// UpstreamProxy implements peerhttp.UpstreamProxy: it admits requests at the node beside an upstream and sends them to
// the upstream.
type UpstreamProxy struct {
	ID           string
	Incarnation  uint64 // start time in ns since the Unix epoch
	Bundles      *bundle.Current
	Upstream     *upstream.Upstream
	Client       UpstreamClient
	CrashMonitor *quarantine.CrashMonitor // nil: there is no detection of crashes and no quarantine

	inFlight inflight.Counter
}

// Serve admits the request, sends it to the upstream and returns the response. The slot is released when
// the body of the response is closed. incarnation is the incarnation of the node to which the sender
// addressed the request. The error is a *caller.Refusal.
func (p *UpstreamProxy) Serve(ctx context.Context, req *caller.Request, incarnation uint64) (*caller.Answer, error) {
	ticket, refusal := p.check(req, incarnation)
	if refusal != nil {
		return nil, refusal
	}
	release, err := p.Upstream.Admit(ctx, ticket)
	if err != nil {
		return nil, err
	}
	// The upstream may have changed while the request was queued.
	announced, valid := p.Upstream.Announced(time.Now())
	if !valid || announced.Service != req.Service {
		release()
		return nil, caller.Refuse(caller.NotReady, admitStep, p.ID)
	}
	if refusal := p.CrashMonitor.Check(ctx, req); refusal != nil {
		release()
		return nil, refusal
	}
	done := p.inFlight.Begin()
	began := time.Now()
	answer, err := p.Client.Send(ctx, req, announced.Addr)
	p.CrashMonitor.RecordResult(ctx, req, began, answer, err)
	if err != nil {
		release()
		done()
		return nil, err
	}
	answer.Upstream = p.ID
	answer.Body = inflight.OnClose(answer.Body, func() { release(); done() })
	return answer, nil
}

func (p *UpstreamProxy) check(req *caller.Request, incarnation uint64) (upstream.AdmitRequest, *caller.Refusal) {
	if incarnation != p.Incarnation {
		return upstream.AdmitRequest{}, caller.Refuse(caller.StaleIncarnation, admitStep, p.ID)
	}
	current := p.Bundles.Load()
	if current == nil {
		return upstream.AdmitRequest{}, caller.Refuse(caller.NoBundle, admitStep, p.ID)
	}
	// The entry node has matched the request, so an unknown service, route or class means another bundle version.
	contract, ok := current.Contracts[req.Service]
	if !ok || !hasRoute(contract, req.Route) {
		return upstream.AdmitRequest{}, caller.Refuse(caller.StaleBundle, admitStep, p.ID)
	}
	class, ok := contract.Class(req.Class)
	if !ok {
		return upstream.AdmitRequest{}, caller.Refuse(caller.StaleBundle, admitStep, p.ID)
	}
	return upstream.AdmitRequest{
		ID: req.ID, Class: class, Rules: upstream.RulesOf(contract),
		Deadline: req.Deadline,
	}, nil
}

func hasRoute(contract *bundle.Contract, name string) bool {
	return slices.ContainsFunc(contract.Routes, func(r bundle.Route) bool { return r.Name == name })
}

// Idle waits until no request is in flight at the upstream. The error is that of ctx.
func (p *UpstreamProxy) Idle(ctx context.Context) error { return p.inFlight.Wait(ctx) }

// Report returns the state and load of the upstream for entry nodes.
func (p *UpstreamProxy) Report() link.Report { return p.Upstream.Report() }
