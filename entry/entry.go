// Package entry dispatches requests at the node that receives them from callers: it chooses an upstream of the service,
// forwards the request to the node beside that upstream, and retries or hedges at other upstreams when the rule of the
// route and the retry budget allow it.
//
// Layout: a Dispatcher represents the callers' side of one machine. Concurrency: one goroutine per request, and one per
// attempt of a hedged request; shared state (estimates by route, budgets by service) is in shard.Maps.
package entry

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/quota"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

// dispatchStep is the step named by refusals that are issued in this package.
const dispatchStep = "dispatch"

var (
	retriesWithheld = metrics.Counter("magnoliawharf_entry_retries_withheld_total")
	placedTotal     = metrics.Counter("magnoliawharf_entry_placed_total")
)

// Forwarder sends one attempt to the node beside an upstream and returns the answer. Its errors are *caller.Refusal.
type Forwarder interface {
	Forward(ctx context.Context, req *caller.Request, target instance.Record) (*caller.Answer, *link.Report, error)
}

// Quota limits the requests of tenants.
type Quota interface {
	// Acquire waits for a token of the tenant and returns it, or the refusal of the request.
	Acquire(ctx context.Context, tenant string) (quota.Token, *caller.Refusal)
}

// Dispatcher dispatches requests to upstreams. Its exported fields are set before the first request.
type Dispatcher struct {
	Service    string // service of this machine, reported to upstreams as the origin of requests
	Roster     *peer.Roster
	Forward    Forwarder
	Budgets    *caller.RetryBudgets
	RetryRatio func() float64 // retries added to its service's budget by each request
	HedgeRatio func() float64 // largest share of a service's requests that are hedged; nil or 0 for no hedges
	// HedgeByObjective reports whether the delay before a hedge follows from the objective of the route alone, and only the budgets, a rate
	// limit and a full candidate withhold hedges. nil is taken for false: the delay then follows from measured times, and hedges fade out
	// where they do not help.
	HedgeByObjective func() bool
	Quarantine       *quarantine.List
	// Permit returns the refusal of a request that may not be sent, nil for one that may. It is called before the first attempt and
	// before each retry and hedge; nil permits all. A refusal states what holds if no attempt has run.
	Permit func(req *caller.Request) *caller.Refusal
	Quota  Quota // nil for none
	// PreviewPermit is Permit without an effect on counters, for Explain; nil stands for Permit.
	PreviewPermit func(req *caller.Request) *caller.Refusal
	Log           *slog.Logger

	estimates    estimateTable
	hedgeBudgets hedgeBudgetTable
}

// call is the state of one request while it is dispatched. Only the dispatching goroutine changes its fields.
type call struct {
	*Dispatcher
	req          *caller.Request
	route        *contract.Route
	startedAt    time.Time
	estimate     *routeEstimate
	budget       *caller.RetryBudget
	hedges       *hedgeBudget
	triedNodes   []string        // nodes to which an attempt was sent, in order
	reachedNodes []string        // nodes whose upstream received an attempt or may have received one
	ran          caller.RunState // Unknown once a failed attempt may have run
	lastTarget   peer.Candidate
	retryReasons []string        // reasons of the failed attempts that were retried, for the log
	failedAnswer *caller.Answer  // the last complete answer that reports a failure and was followed by another attempt
	retryAfter   time.Duration   // shortest delay that the refusals which allow a retry suggested for a resend, 0 for none
	denied       *caller.Refusal // of the retry that Permit refused, nil for none
	hedge        hedgeResult
}

// New returns a dispatcher with the exported fields of e and without estimates.
func New(e Dispatcher) *Dispatcher {
	e.estimates, e.hedgeBudgets = newEstimateTable(), newHedgeBudgetTable()
	return &e
}

// Dispatch sends the request to an upstream and returns the answer. Its errors are *caller.Refusal, which say not-run
// only when that holds for every attempt.
func (e *Dispatcher) Dispatch(ctx context.Context, req *caller.Request, route *contract.Route) (*caller.Answer, error) {
	c := &call{
		Dispatcher: e, req: req, route: route, startedAt: time.Now(),
		estimate: e.estimates.forRoute(route), budget: e.Budgets.Of(req.Service), hedges: e.hedgeBudgets.of(req.Service),
		ran: caller.NotRun,
	}
	c.depositRetries()
	decision, retryAfter := e.Quarantine.AdmitRequest(time.Now(), req)
	if refusal := quarantineRefusal(decision, retryAfter); refusal != nil {
		return nil, c.log(nil, refusal)
	}
	answer, refusal := c.runWithinQuota(ctx)
	if refusal != nil && refusal.Ran == caller.NotRun && decision == quarantine.Trial {
		e.Quarantine.CancelTrial(quarantine.Fingerprint(req.Fingerprint))
	}
	if refusal != nil {
		return nil, c.log(nil, refusal)
	}
	_ = c.log(answer, nil)
	return answer, nil
}

// runWithinQuota runs the request with a token of its tenant, which all attempts share. The token of a request that has not run goes back.
func (c *call) runWithinQuota(ctx context.Context) (*caller.Answer, *caller.Refusal) {
	if c.Quota == nil || c.req.Tenant == "" {
		return c.run(ctx)
	}
	token, refusal := c.Quota.Acquire(ctx, c.req.Tenant)
	if refusal != nil {
		return nil, refusal
	}
	answer, refusal := c.run(ctx)
	if refusal != nil && refusal.Ran == caller.NotRun {
		token.GiveBack()
	}
	return answer, refusal
}

// depositRetries adds what the request earns to the retry budget of its service.
func (c *call) depositRetries() {
	if ratio := c.RetryRatio(); ratio > 0 { // Deposit takes 0 for its default
		c.budget.Deposit(ratio)
	}
}

// quarantineRefusal returns the refusal of a request that is in quarantine, nil for one that is not.
func quarantineRefusal(decision quarantine.Decision, retryAfter time.Duration) *caller.Refusal {
	if decision != quarantine.Refuse {
		return nil
	}
	refusal := caller.Refuse(caller.Quarantined, dispatchStep, "")
	refusal.RetryAfter = retryAfter
	return refusal
}

// run sends attempts until an answer is accepted, no retry is allowed or no other node is left.
func (c *call) run(ctx context.Context) (*caller.Answer, *caller.Refusal) {
	if refusal := c.permit(); refusal != nil {
		return nil, refusal
	}
	chosen, err := c.choose(ctx)
	if err != nil {
		return nil, c.noUpstream(ctx, err)
	}
	c.hedges.deposit(c.startedAt, c.hedgeRatio())
	for {
		answer, refusal := c.try(ctx, chosen)
		next, retry := c.retryTarget(ctx, answer, refusal)
		if !retry {
			return c.finalOutcome(answer, refusal)
		}
		c.keepFailed(answer)
		chosen = next
	}
}

// permit returns the refusal of a further attempt that may not be sent, nil for one that may.
func (c *call) permit() *caller.Refusal {
	if c.Permit == nil {
		return nil
	}
	return c.Permit(c.req)
}

// try sends the request to the upstream of the node, hedged by a second attempt when the request qualifies for one.
func (c *call) try(ctx context.Context, chosen peer.Candidate) (*caller.Answer, *caller.Refusal) {
	if delay := c.hedgeDelay(); delay > 0 {
		return c.sendHedged(ctx, chosen, delay)
	}
	return c.recordOutcome(c.attempt(ctx, chosen))
}

// choose picks a node that was not tried before.
func (c *call) choose(ctx context.Context) (peer.Candidate, error) {
	return c.Roster.Choose(ctx, c.criteria())
}

// criteria returns what the next node of the request is chosen by.
func (c *call) criteria() peer.Criteria {
	serviceTime, bytes := c.estimate.get()
	return peer.Criteria{
		Service: c.req.Service, ServiceTime: serviceTime, Bytes: bytes, AnswerWithin: c.answerWithin(), Exclude: c.hasTried,
	}
}

// outcome is the result of one attempt.
type outcome struct {
	chosen  peer.Candidate
	answer  *caller.Answer
	refusal *caller.Refusal
	took    time.Duration
	attempt int // 1 for the first attempt of the request
}

// countAttempt records that an attempt is sent to the node.
func (c *call) countAttempt(chosen peer.Candidate) {
	c.lastTarget = chosen
	c.triedNodes = append(c.triedNodes, chosen.Status.Node)
	placedTotal.Inc()
}

// countReached records that the upstream of the node received an attempt or may have received one.
func (c *call) countReached(chosen peer.Candidate) {
	if node := chosen.Status.Node; !slices.Contains(c.reachedNodes, node) {
		c.reachedNodes = append(c.reachedNodes, node)
	}
}

// attempt sends the request to the node as the next attempt.
func (c *call) attempt(ctx context.Context, chosen peer.Candidate) outcome {
	c.countAttempt(chosen)
	return c.send(ctx, chosen, len(c.triedNodes))
}

// send forwards the request. It must not modify the call, because a hedge may run concurrently.
func (c *call) send(ctx context.Context, chosen peer.Candidate, number int) outcome {
	req := *c.req
	req.Attempt = number
	req.Placement = &caller.Placement{
		Host: c.req.Placement.Host, Origin: c.Service, Upstream: chosen.Status.Upstream,
		Tenant: c.req.Tenant, Priority: c.route.Priority + c.req.PriorityOffset,
		Objective: c.objectiveLeft(), Repeatable: c.route.Rule == bundle.Idempotent, Long: c.route.Long,
	}
	sentAt := time.Now()
	if caller.HasLeft(ctx) {
		chosen.CancelPlacement()
		return outcome{chosen: chosen, attempt: number, refusal: caller.Refuse(caller.Cancelled, dispatchStep, "")}
	}
	answer, _, err := c.Forward.Forward(ctx, &req, instance.Record{
		ID: instance.ID(chosen.Status.Node), Incarnation: chosen.Status.Boot, PeerAddr: chosen.Status.Address,
	})
	if err == nil {
		chosen.ObserveNotice(time.Now(), answer.Notice)
		err = bufferAnswer(ctx, answer)
	}
	o := outcome{chosen: chosen, took: time.Since(sentAt), attempt: number}
	if err != nil {
		o.refusal = asRefusal(ctx, err)
		return o
	}
	o.answer = answer
	return o
}

// objectiveLeft returns the time left to the latency objective of the route, or to the deadline when the route has none.
func (c *call) objectiveLeft() time.Duration {
	if c.route.LatencyObjective <= 0 {
		return max(0, time.Until(c.req.Deadline))
	}
	return max(0, c.route.LatencyObjective-time.Since(c.startedAt))
}

// answerWithin returns the time in which the request is to be answered, by the measure of the nodes beside the upstreams.
func (c *call) answerWithin() time.Duration {
	return min(time.Duration(upstream.ObjectiveShare*float64(c.objectiveLeft())), max(0, time.Until(c.req.Deadline)))
}

// recordOutcome updates the statistics of the upstream and the estimate of the route by the outcome of an attempt. Time
// spent waiting for a slot does not count as service time, so that queueing does not make an upstream look slow.
func (c *call) recordOutcome(o outcome) (*caller.Answer, *caller.Refusal) {
	expected, _ := c.estimate.get()
	c.lastTarget = o.chosen
	switch {
	case o.refusal != nil:
		if o.attempt == 1 && o.refusal.Reason == caller.DeadlinePassed && o.refusal.Ran == caller.Unknown {
			c.recordLatency(o.took) // it would have taken longer
		}
		c.observeFailure(o, expected)
		return nil, o.refusal
	case o.answer.Failed():
		c.countReached(o.chosen)
		o.chosen.Observe(time.Now(), peer.Failed, o.took, expected)
	default:
		c.countReached(o.chosen)
		serviceTime := o.took - o.answer.Waited
		o.chosen.Observe(time.Now(), peer.Served, serviceTime, expected)
		c.estimate.add(serviceTime, o.answer.Length)
		if o.attempt == 1 {
			c.recordLatency(o.took)
		}
	}
	return o.answer, nil
}

// hasTried reports whether an attempt was already sent to the node.
func (c *call) hasTried(p *peer.Peer) bool {
	return slices.Contains(c.triedNodes, p.Status().Node)
}

// noUpstream returns the refusal of a request for which there is no upstream. A resend may succeed soon, for example once
// the replacement of an upstream has started.
func (c *call) noUpstream(ctx context.Context, cause error) *caller.Refusal {
	if ctx.Err() != nil {
		return caller.Refuse(caller.ContextReason(ctx), dispatchStep, "")
	}
	var limited *peer.LimitedError
	if errors.As(cause, &limited) {
		return refuseLimited(limited)
	}
	refusal := caller.Refuse(caller.NoUpstream, dispatchStep, c.req.Service)
	refusal.RetryAfter = noUpstreamRetryAfter
	return refusal
}

// observeFailure updates the statistics of the upstream after a refused or failed attempt. Refusals that say nothing of
// the upstream, such as a full queue, do not count.
func (c *call) observeFailure(o outcome, expected time.Duration) {
	switch {
	case o.refusal.Ran == caller.Unknown && o.refusal.Reason != caller.Cancelled:
		c.countReached(o.chosen)
		o.chosen.Observe(time.Now(), peer.Failed, o.took, expected)
	case o.refusal.Reason == caller.PeerUnreachable, o.refusal.Reason == caller.UpstreamUnreachable:
		o.chosen.Observe(time.Now(), peer.Failed, o.took, expected)
	case o.refusal.Reason == caller.UpstreamRejected:
		c.countReached(o.chosen)
		o.chosen.Observe(time.Now(), peer.Failed, o.took, expected)
	}
}
