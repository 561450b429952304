package inbound

import (
	"context"
	"errors"
	"strconv"
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
func (p *Proxy) Serve(ctx context.Context, req *caller.Request, boot uint64) (*caller.Answer, error) {
	began := time.Now()
	answer, err := p.admitAndSend(ctx, req, boot)
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		p.options.Log.Info("request refused by the node beside the upstream", "id", req.ID, "service", req.Service, "route", req.Route,
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

func (p *Proxy) admitAndSend(ctx context.Context, req *caller.Request, boot uint64) (*caller.Answer, error) {
	p.applyColdRate(time.Now())
	if refusal := p.checkPlacement(req, boot); refusal != nil {
		return nil, refusal
	}
	arrived := time.Now()
	release, err := p.upstream.Admit(ctx, p.admitRequest(req))
	if err != nil {
		return nil, err
	}
	waited := time.Since(arrived)
	// The upstream may have been replaced while the request waited, and the caller may have cancelled it.
	target, refusal := p.recheckPlacement(ctx, req, boot)
	if refusal != nil {
		release()
		return nil, refusal
	}
	done := p.inFlight.Begin()
	began := time.Now()
	answer, err := p.options.Client.Send(ctx, req, target.Address)
	p.crashes.RecordResult(ctx, req, began, answer, err)
	if notice, ok := noticeOf(req, target, began, answer, err); ok {
		p.recordNotice(time.Now(), notice)
	}
	if err != nil {
		release()
		done()
		p.recordFailure(target, err)
		return nil, err
	}
	p.recordAnswer(time.Now(), target, answer)
	answer.Upstream, answer.Waited, answer.Notice.Born = p.options.Node, waited, target.Born
	answer.Body = inflight.OnClose(answer.Body, func() { release(); done() })
	return answer, nil
}

// checkPlacement refuses a request that was placed for another run of the node, another incarnation of the upstream or
// another service, and every request while the upstream accepts none.
func (p *Proxy) checkPlacement(req *caller.Request, boot uint64) *caller.Refusal {
	if req.Placement == nil {
		return caller.Refuse(caller.BadRequest, serveStep, p.options.Node)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case boot != p.options.Boot || req.Placement.Upstream != p.current.ID:
		return caller.Refuse(caller.StaleIncarnation, serveStep, p.options.Node)
	case req.Service != p.current.Service:
		return caller.Refuse(caller.NotReady, serveStep, p.options.Node)
	case p.evacuated:
		return caller.Refuse(caller.Evacuated, serveStep, p.options.Node)
	case p.state == draining || p.stopping || p.outlastsStop(req):
		return caller.Refuse(caller.Draining, serveStep, p.options.Node)
	case p.state != serving:
		return caller.Refuse(caller.NotReady, serveStep, p.options.Node)
	}
	return nil
}

// outlastsStop reports whether the node stops, and the request may not be finished before it ends. It is called with the lock held.
func (p *Proxy) outlastsStop(req *caller.Request) bool {
	return !p.finishBy.IsZero() && req.Deadline.After(p.finishBy)
}

// recheckPlacement checks the request again after admission, and returns the announcement of the current incarnation.
func (p *Proxy) recheckPlacement(ctx context.Context, req *caller.Request, boot uint64) (target Announcement, refusal *caller.Refusal) {
	if refusal := p.checkPlacement(req, boot); refusal != nil {
		return Announcement{}, refusal
	}
	if refusal := p.crashes.Check(ctx, req); refusal != nil {
		return Announcement{}, refusal
	}
	if ctx.Err() != nil || caller.HasLeft(ctx) {
		return Announcement{}, caller.Refuse(caller.Cancelled, serveStep, p.options.Node)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countStart(time.Now())
	return p.current, nil
}

func (p *Proxy) admitRequest(req *caller.Request) upstream.AdmitRequest {
	p.mu.Lock()
	slots := p.current.Slots
	p.mu.Unlock()
	return upstream.AdmitRequest{
		ID: req.ID,
		Class: bundle.Class{
			Name: className(req), Priority: req.Placement.Priority, MaxQueue: maxQueuePerSlot * slots, Long: req.Placement.Long,
		},
		Rules:    upstream.Rules{Aging: aging, LongShare: longShare},
		Deadline: req.Deadline, Objective: time.Now().Add(req.Placement.Objective), Retried: req.Attempt > 1,
	}
}

// className returns the name of the queue class of the request: its route, and the priority for a request of a tenant, so that tenants of
// equal priority share a queue.
func className(req *caller.Request) string {
	if req.Placement.Tenant == "" {
		return req.Route
	}
	return req.Route + "#" + strconv.Itoa(req.Placement.Priority)
}

// recordFailure takes the upstream out of service when a request failed because the upstream is unreachable or its
// address belongs to another incarnation. target is the announcement of the incarnation to which the request was sent.
func (p *Proxy) recordFailure(target Announcement, err error) {
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
	p.mu.Lock()
	if !p.current.sameIncarnation(target) || p.state != serving {
		p.mu.Unlock()
		return
	}
	notify := p.setState(time.Now(), next, string(refusal.Reason))
	p.mu.Unlock()
	notify()
}

// Report implements peerhttp.UpstreamProxy.
func (p *Proxy) Report() link.Report {
	report := p.upstream.Report()
	if report.State == instance.Unannounced {
		report.State = instance.Draining
	}
	return report
}
