// Package node assembles a magnoliawharf node from the objects of the other packages and implements the
// path of a call. The entry node, which receives the call, refuses a request in quarantine, claims the
// idempotency key where the route needs one, chooses an upstream, retries and hedges. The node beside the
// upstream admits the request and sends it. The package knows no wire format; the packages in transport
// convert.
package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const dispatchStep = "dispatch"

var (
	retriesWithheld = metrics.Counter("magnoliawharf_retries_withheld_total")
	hedgesSent      = metrics.Counter("magnoliawharf_hedges_total")
)

// Forwarder sends one attempt to the node beside an upstream and returns the response. The error is a
// *caller.Refusal. The report is nil when the response carried none.
type Forwarder interface {
	Forward(ctx context.Context, req *caller.Request, target instance.Record) (*caller.Answer, *link.Report, error)
}

// Dispatcher sends calls from an entry node to upstreams. It chooses the links, retries and hedges.
type Dispatcher struct {
	Links   *link.Table
	Forward Forwarder
	Bundles *bundle.Current      // nil: every route is treated as not idempotent and short
	Budgets *caller.RetryBudgets // nil: the dispatcher creates its own
	Prober  *link.Prober         // nil: no probes are sent

	budgetsOnce sync.Once
}

// call is the state of one request in the dispatcher. Only the goroutine that dispatches the request uses
// its fields.
type call struct {
	*Dispatcher
	req      *caller.Request
	rule     bundle.Rule
	route    bundle.Route
	contract *bundle.Contract
	kind     link.Kind
	set      *link.Set
	budget   *caller.RetryBudget
	retried  bool            // an ancestor call is a retry
	tried    []instance.ID   // upstreams of the attempts so far
	ran      caller.RunState // Unknown once an attempt may have run
}

// Dispatch sends the request to an upstream and returns the response. The error is a *caller.Refusal.
func (d *Dispatcher) Dispatch(ctx context.Context, req *caller.Request) (*caller.Answer, error) {
	if req.Depth > caller.MaxDepth {
		return nil, caller.Refuse(caller.DepthExceeded, dispatchStep, "")
	}
	c := d.newCall(req)
	if !c.retried {
		c.budget.Deposit(c.contract.RetryRatio)
	}
	chosen, refusal := c.choose()
	if refusal != nil {
		return nil, refusal
	}
	for {
		answer, refusal := c.try(ctx, chosen)
		if refusal == nil {
			return answer, nil
		}
		next, ok := c.retryLink(ctx, refusal)
		if !ok {
			return nil, c.finalRefusal(refusal)
		}
		metrics.CountRetry(refusal.Reason)
		chosen = next
	}
}

func (d *Dispatcher) newCall(req *caller.Request) *call {
	d.budgetsOnce.Do(func() {
		if d.Budgets == nil {
			d.Budgets = caller.NewRetryBudgets()
		}
	})
	c := &call{
		Dispatcher: d, req: req, rule: bundle.NotIdempotent, contract: &bundle.Contract{},
		set: d.Links.Set(req.Service), budget: d.Budgets.Of(req.Service),
		retried: req.Attempt > 1, ran: caller.NotRun,
	}
	c.readContract()
	return c
}

// readContract reads the rules of the request's route and class from the current bundle. The bundle may
// have changed since the request was accepted; a route that no longer exists is not idempotent.
func (c *call) readContract() {
	if c.Bundles == nil {
		return
	}
	current := c.Bundles.Load()
	if current == nil {
		return
	}
	contract, ok := current.Contracts[c.req.Service]
	if !ok {
		return
	}
	c.contract = contract
	c.set.SetPolicy(link.PolicyOf(contract))
	if i := slices.IndexFunc(contract.Routes, func(r bundle.Route) bool { return r.Name == c.req.Route }); i >= 0 {
		c.route, c.rule = contract.Routes[i], contract.Routes[i].Rule
	}
	if class, ok := contract.Class(c.req.Class); ok && class.Long {
		c.kind = link.Long
	}
}

// retryLink returns the link on which the request is retried after the refusal, and false when it is not retried. It waits for
// the delay before the retry. The budget is charged only when there is another upstream.
func (c *call) retryLink(ctx context.Context, refusal *caller.Refusal) (*link.Link, bool) {
	if refusal.Ran != caller.NotRun {
		c.ran = caller.Unknown
	}
	decision := caller.Decide(caller.FailedAttempt{
		Rule: c.rule, Reason: refusal.Reason, Ran: refusal.Ran, Attempts: len(c.tried),
		Retried: c.retried, Replayable: c.req.Body.Replayable(), TimeLeft: time.Until(c.req.Deadline),
	})
	if !decision.Retry || ctx.Err() != nil {
		return nil, false
	}
	if decision.Paid && !c.budget.TryWithdraw() {
		retriesWithheld.Inc()
		return nil, false
	}
	chosen, ok := c.chooseAfter(ctx, caller.Jitter(decision.Delay))
	if !ok && decision.Paid {
		c.budget.Refund()
	}
	return chosen, ok
}

// chooseAfter waits for the delay and returns the link for the next attempt. It returns false when ctx ends first or no upstream
// is left.
func (c *call) chooseAfter(ctx context.Context, delay time.Duration) (*link.Link, bool) {
	if !wait.For(ctx, delay) {
		return nil, false
	}
	chosen, refusal := c.choose()
	return chosen, refusal == nil
}

// finalRefusal returns the refusal of the whole call. Its Ran is NotRun only when that is true of every
// attempt.
func (c *call) finalRefusal(refusal *caller.Refusal) *caller.Refusal {
	if c.ran == caller.Unknown && refusal.Ran == caller.NotRun {
		final := *refusal
		final.Ran = caller.Unknown
		return &final
	}
	return refusal
}

// choose returns the link for the next attempt and adds its upstream to tried.
func (c *call) choose() (*link.Link, *caller.Refusal) {
	now := time.Now()
	chosen, err := c.set.Choose(now, c.kind, func(id instance.ID) bool { return slices.Contains(c.tried, id) })
	if err != nil {
		return nil, caller.Refuse(caller.NoUpstream, dispatchStep, c.req.Service)
	}
	if c.Prober != nil {
		c.Prober.ProbeStalest(now, c.set, c.contract)
	}
	c.tried = append(c.tried, chosen.Record().ID)
	return chosen, nil
}

// asRefusal returns the refusal in err. When the context of the request has ended, a cancellation gets the reason for that.
func asRefusal(ctx context.Context, err error) *caller.Refusal {
	refusal := caller.AsRefusal(err, caller.PeerLost, dispatchStep)
	if refusal.Reason == caller.Cancelled && ctx.Err() != nil {
		ended := *refusal
		ended.Reason = caller.ContextReason(ctx)
		return &ended
	}
	return refusal
}
