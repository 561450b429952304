package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

const (
	// maxNodesTried bounds the nodes to which one request is sent, including those that refuse it.
	maxNodesTried = 4
	// noUpstreamRetryAfter is the delay suggested to a caller whose request found no upstream; a replacement may have
	// started by then.
	noUpstreamRetryAfter = 200 * time.Millisecond
	// minTimeLeftShare is the share of the expected service time that must remain before the deadline for a retry to be
	// worthwhile.
	minTimeLeftShare = 0.5
)

// freeRetryReasons are the reasons that mean that no upstream received the request. A retry then adds no load to the
// service and is not charged to its budget.
var freeRetryReasons = map[caller.Reason]bool{
	caller.Draining: true, caller.NotReady: true, caller.StaleIncarnation: true, caller.PeerUnreachable: true,
	caller.QueueFull: true, caller.DeadlineUnmeetable: true, caller.Overload: true, caller.ColdUpstream: true, caller.RateLimited: true,
	caller.UpstreamUnreachable: true, caller.Evacuated: true,
}

// budgetedRetryReasons are the reasons after which an upstream may have received the request. A retry then adds load to
// the service and is charged to its budget.
var budgetedRetryReasons = map[caller.Reason]bool{
	caller.UpstreamRejected: true, caller.UpstreamLost: true, caller.KeptConnectionLost: true, caller.PeerLost: true, caller.AnswerMismatch: true, caller.BodyCut: true,
}

// retryTarget returns the node at which the request is retried after an attempt, and false when it is not retried. The budget
// is charged only when there is a node for the retry.
func (c *call) retryTarget(ctx context.Context, answer *caller.Answer, refusal *caller.Refusal) (peer.Candidate, bool) {
	if !c.retryAllowed(ctx, answer, refusal) {
		return peer.Candidate{}, false
	}
	if c.denied = c.permit(); c.denied != nil {
		return peer.Candidate{}, false
	}
	charged := refusal == nil || budgetedRetryReasons[refusal.Reason]
	if charged && !c.spendBudget() {
		return peer.Candidate{}, false
	}
	c.recordRetryAfter(refusal)
	chosen, err := c.nextTarget(ctx, refusal)
	if err != nil {
		if charged {
			c.budget.Refund()
		}
		return peer.Candidate{}, false
	}
	c.recordRetry(answer, refusal)
	return chosen, true
}

// nextTarget returns the node for a retry: one that was not tried before, or the last one again if it may be repeated and
// there is no other. The error is that of the context when the request ends meanwhile.
func (c *call) nextTarget(ctx context.Context, refusal *caller.Refusal) (peer.Candidate, error) {
	repeat := mayRepeatAfter(refusal)
	if repeat && !c.mayReachAnother() {
		return c.lastTarget, nil
	}
	chosen, err := c.choose(ctx)
	switch {
	case err == nil && ctx.Err() != nil:
		chosen.CancelPlacement()
		return peer.Candidate{}, ctx.Err()
	case err != nil && repeat:
		return c.lastTarget, nil
	}
	return chosen, err
}

// recordRetry records the reason of a retry, and that the attempt before it may have run.
func (c *call) recordRetry(answer *caller.Answer, refusal *caller.Refusal) {
	if refusal == nil {
		c.ran = caller.Unknown
		metrics.CountRetry(caller.UpstreamLost)
		c.retryReasons = append(c.retryReasons, strconv.Itoa(answer.Status))
		return
	}
	if refusal.Ran != caller.NotRun {
		c.ran = caller.Unknown
	}
	metrics.CountRetry(refusal.Reason)
	c.retryReasons = append(c.retryReasons, string(refusal.Reason))
}

// recordRetryAfter records the delay that the refusal, which may be nil, suggests for a resend.
func (c *call) recordRetryAfter(refusal *caller.Refusal) {
	if refusal != nil && refusal.RetryAfter > 0 && (c.retryAfter == 0 || refusal.RetryAfter < c.retryAfter) {
		c.retryAfter = refusal.RetryAfter
	}
}

// retryAllowed reports whether the outcome of the attempt, the rule of the route and the limits allow a retry, whatever the
// budget.
func (c *call) retryAllowed(ctx context.Context, answer *caller.Answer, refusal *caller.Refusal) bool {
	if ctx.Err() != nil || caller.HasLeft(ctx) || len(c.triedNodes) >= maxNodesTried || !c.req.Body.Replayable() || !c.hasTimeLeft() {
		return false
	}
	if refusal == nil {
		return answer.Failed() && c.route.Rule == bundle.Idempotent && c.mayReachAnother()
	}
	if !freeRetryReasons[refusal.Reason] && !budgetedRetryReasons[refusal.Reason] {
		return false
	}
	if refusal.Ran != caller.NotRun && c.route.Rule != bundle.Idempotent {
		return false
	}
	return c.mayReachAnother() || mayRepeatAfter(refusal)
}

// mayRepeatAfter reports whether the request may be sent again to the upstream at which it failed: that may only have
// closed an idle connection before the request arrived. The refusal is nil after an answer.
func mayRepeatAfter(refusal *caller.Refusal) bool {
	return refusal != nil && refusal.Reason == caller.KeptConnectionLost
}

// mayReachAnother reports whether the route allows an attempt at another upstream.
func (c *call) mayReachAnother() bool { return len(c.reachedNodes) < c.route.MaxAttempts }

// hasTimeLeft reports whether enough time remains before the deadline for a retry.
func (c *call) hasTimeLeft() bool {
	serviceTime, _ := c.estimate.get()
	return time.Until(c.req.Deadline) > time.Duration(minTimeLeftShare*float64(serviceTime))
}

// spendBudget charges one retry to the service's budget and reports whether the budget covered it.
func (c *call) spendBudget() bool {
	if c.budget.TryWithdraw() {
		return true
	}
	retriesWithheld.Inc()
	return false
}

// finalRefusal returns the refusal for the caller. It says not-run only when that holds for every attempt, and suggests
// the shortest delay of the refusals that allowed a retry if they suggested any.
func (c *call) finalRefusal(refusal *caller.Refusal) *caller.Refusal {
	final := *refusal
	if c.ran == caller.Unknown {
		final.Ran = caller.Unknown
	}
	if c.retryAfter > 0 {
		final.RetryAfter = c.retryAfter
	}
	return &final
}
