// Package entry is the path of a request at the node that takes it from its caller: it places the request at an upstream
// of its service, waits for the whole answer, and sends it elsewhere when that is allowed.
//
// Layout: an Entry mirrors the callers' side of one machine. Concurrency: one goroutine a request; what requests share
// (usual times by route, budgets by service) is in shard.Maps.
package entry

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

const dispatchStep = "dispatch"

var (
	retriesWithheld = metrics.Counter("magnoliawharf_entry_retries_withheld_total")
	placedTotal     = metrics.Counter("magnoliawharf_entry_placed_total")
)

// Forwarder sends one attempt to the node beside an upstream and returns its answer. The error is a *caller.Refusal.
type Forwarder interface {
	Forward(ctx context.Context, req *caller.Request, target instance.Record) (*caller.Answer, *link.Report, error)
}

// Entry takes requests to upstreams. Its fields are set before the first request.
type Entry struct {
	Service    string // service of this machine, told to upstreams as the origin of requests
	Roster     *peer.Roster
	Forward    Forwarder
	Budgets    *caller.Budgets
	RetryRatio func() float64 // retries that each request earns for its service
	Suspects   *quarantine.List
	Log        *slog.Logger

	usual usualTable
}

// call is one request on its way. Its fields are used by the goroutine that dispatches it.
type call struct {
	*Entry
	req      *caller.Request
	route    *contract.Route
	began    time.Time
	usual    *usual
	budget   *caller.Budget
	tried    []string // nodes that refused or failed
	offered  int      // upstreams to which the request was sent
	ran      caller.Ran
	last     peer.Chosen
	refusals []string        // reasons of the attempts that failed, for the log
	refused  *caller.Refusal // the last one after which another node was tried
	// exhausted is set when no node is left to try.
	exhausted bool
	pause     time.Duration // shortest time after which a node said that a resend may help
}

// New returns an entry without state.
func New(e Entry) *Entry {
	e.usual = newUsualTable()
	return &e
}

// Dispatch sends the request to an upstream and returns its answer. The error is a *caller.Refusal; it says not-run only
// when that holds for every attempt.
func (e *Entry) Dispatch(ctx context.Context, req *caller.Request, route *contract.Route) (*caller.Answer, error) {
	c := &call{
		Entry: e, req: req, route: route, began: time.Now(), usual: e.usual.of(route), budget: e.Budgets.Of(req.Service), ran: caller.NotRun,
	}
	c.budget.Earn(e.RetryRatio())
	fingerprint := quarantine.Fingerprint(req.Fingerprint)
	decision, after := e.Suspects.Admit(time.Now(), fingerprint)
	if decision == quarantine.Refuse {
		refusal := caller.Refuse(caller.Quarantined, dispatchStep, "")
		refusal.RetryAfter = after
		return nil, c.log(nil, refusal)
	}
	answer, refusal := c.run(ctx)
	if refusal != nil && refusal.Ran == caller.NotRun && decision == quarantine.Trial {
		e.Suspects.TrialEnded(fingerprint)
	}
	if refusal != nil {
		return nil, c.log(nil, refusal)
	}
	_ = c.log(answer, nil)
	return answer, nil
}

// run tries upstreams until one answers or no further try is allowed.
func (c *call) run(ctx context.Context) (*caller.Answer, *caller.Refusal) {
	for {
		answer, refusal := c.try(ctx)
		if refusal == nil && !c.betterElsewhere(ctx, answer) {
			return answer, nil
		}
		if refusal != nil && (c.exhausted || !c.again(ctx, refusal)) {
			return nil, c.final(refusal)
		}
	}
}

// try sends the request to the upstream from which the answer is expected first, and to a second one beside it when the
// first is late and a second is worth its work.
func (c *call) try(ctx context.Context) (*caller.Answer, *caller.Refusal) {
	chosen, err := c.choose(ctx)
	if err != nil {
		c.exhausted = true
		return nil, c.noUpstream(ctx)
	}
	if after := c.hedgeAfter(); after > 0 {
		return c.race(ctx, chosen, after)
	}
	return c.settle(c.attempt(ctx, chosen))
}

// choose picks the node for the next attempt.
func (c *call) choose(ctx context.Context) (peer.Chosen, error) {
	work, bytes := c.usual.get()
	return c.Roster.Choose(ctx, peer.Need{Service: c.req.Service, Work: work, Bytes: bytes, Exclude: c.hasTried})
}

// outcome is how one attempt ended.
type outcome struct {
	chosen  peer.Chosen
	answer  *caller.Answer
	refusal *caller.Refusal
	took    time.Duration
}

// begin counts an attempt at the node.
func (c *call) begin(chosen peer.Chosen) {
	c.last = chosen
	c.tried = append(c.tried, chosen.Status.Node)
	placedTotal.Inc()
}

// attempt sends the request to the node.
func (c *call) attempt(ctx context.Context, chosen peer.Chosen) outcome {
	c.begin(chosen)
	return c.send(ctx, chosen, len(c.tried))
}

// send sends the request. It changes nothing of the call, since a second attempt may run beside it.
func (c *call) send(ctx context.Context, chosen peer.Chosen, number int) outcome {
	req := *c.req
	req.Attempt = number
	req.Placement = &caller.Placement{
		Host: c.req.Placement.Host, Origin: c.Service, Upstream: chosen.Status.Upstream, Priority: c.route.Priority,
		Objective: max(0, c.route.Objective-time.Since(c.began)), Repeatable: c.route.Rule == bundle.Idempotent, Long: c.route.Long,
	}
	sent := time.Now()
	answer, _, err := c.Forward.Forward(ctx, &req, instance.Record{
		ID: instance.ID(chosen.Status.Node), Incarnation: chosen.Status.Boot, PeerAddr: chosen.Status.Address,
	})
	if err == nil {
		err = hold(ctx, answer)
	}
	o := outcome{chosen: chosen, took: time.Since(sent)}
	if err != nil {
		o.refusal = asRefusal(ctx, err)
		return o
	}
	o.answer = answer
	return o
}

// settle takes what an attempt says of the upstream and of its route.
func (c *call) settle(o outcome) (*caller.Answer, *caller.Refusal) {
	work, _ := c.usual.get()
	c.last = o.chosen
	switch {
	case o.refusal != nil:
		c.observe(o, work)
		return nil, o.refusal
	case o.answer.Failed():
		c.offered++
		o.chosen.Observe(time.Now(), peer.Failed, o.took, work)
	default:
		c.offered++
		served := o.took - o.answer.Waited
		o.chosen.Observe(time.Now(), peer.Served, served, work)
		c.usual.add(served, o.answer.Length)
	}
	return o.answer, nil
}

func (c *call) hasTried(p *peer.Peer) bool {
	node := p.Status().Node
	for _, tried := range c.tried {
		if tried == node {
			return true
		}
	}
	return false
}

// noUpstream refuses a request for which no upstream is left. Its caller may find one soon, for example when an upstream
// that was replaced has started.
func (c *call) noUpstream(ctx context.Context) *caller.Refusal {
	if ctx.Err() != nil {
		return caller.Refuse(endOf(ctx), dispatchStep, "")
	}
	if c.refused != nil {
		return c.refused
	}
	refusal := caller.Refuse(caller.NoUpstream, dispatchStep, c.req.Service)
	refusal.RetryAfter = pauseForUpstream
	return refusal
}

// observe takes what a failed attempt says of the upstream.
func (c *call) observe(o outcome, usual time.Duration) {
	switch {
	case o.refusal.Ran == caller.Unknown && o.refusal.Reason != caller.Cancelled:
		c.offered++
		o.chosen.Observe(time.Now(), peer.Failed, o.took, usual)
	case o.refusal.Reason == caller.PeerUnreachable, o.refusal.Reason == caller.UpstreamUnreachable:
		o.chosen.Observe(time.Now(), peer.Failed, o.took, usual)
	case o.refusal.Reason == caller.UpstreamRejected:
		c.offered++
		o.chosen.Observe(time.Now(), peer.Failed, o.took, usual)
	}
}

// log writes the one line of the request and returns the refusal as an error.
func (c *call) log(answer *caller.Answer, refusal *caller.Refusal) error {
	attributes := []any{
		"id", c.req.ID, "route", c.route.Name, "service", c.req.Service, "contracts", c.req.BundleVersion,
		"priority", c.route.Priority, "objective_ms", c.route.Objective.Milliseconds(),
		"peer", c.last.Status.Node, "upstream", c.last.Status.Upstream, "running", c.last.Load.Running, "waiting", c.last.Load.Waiting,
		"limit", c.last.Load.Limit, "pace", c.last.Load.Pace, "load_age_ms", c.last.Age.Milliseconds(), "expected_ms", c.last.Cost.Milliseconds(),
		"attempts", len(c.tried), "took_ms", time.Since(c.began).Milliseconds(), "left_ms", time.Until(c.req.Deadline).Milliseconds(),
	}
	if len(c.refusals) > 0 {
		attributes = append(attributes, "retried_after", c.refusals)
	}
	if refusal == nil {
		c.Log.Info("request answered", append(attributes, "status", answer.Status)...)
		return nil
	}
	cause := ""
	if refusal.Cause != nil {
		cause = refusal.Cause.Error()
	}
	c.Log.Info("request failed", append(attributes, "reason", string(refusal.Reason), "ran", refusal.Ran.String(),
		"step", refusal.Step, "at", refusal.Peer, "retry_after_ms", refusal.RetryAfter.Milliseconds(), "cause", cause)...)
	return refusal
}

func asRefusal(ctx context.Context, err error) *caller.Refusal {
	refusal := caller.AsRefusal(err, caller.PeerLost, dispatchStep)
	if ctx.Err() != nil && (refusal.Reason == caller.Cancelled || refusal.Reason == caller.DeadlinePassed) {
		whole := *refusal
		whole.Reason = endOf(ctx)
		return &whole
	}
	return refusal
}

// endOf names why the context of a request has ended.
func endOf(ctx context.Context) caller.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return caller.DeadlinePassed
	}
	return caller.Cancelled
}
