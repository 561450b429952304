package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/metrics"
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
	caller.QueueFull: true, caller.DeadlineUnmeetable: true, caller.Overload: true, caller.ColdUpstream: true,
	caller.UpstreamUnreachable: true,
}

// budgetedRetryReasons are the reasons after which an upstream may have received the request. A retry then adds load to
// the service and is charged to its budget.
var budgetedRetryReasons = map[caller.Reason]bool{
	caller.UpstreamRejected: true, caller.UpstreamLost: true, caller.KeptConnectionLost: true, caller.PeerLost: true, caller.AnswerMismatch: true, caller.BodyCut: true,
}

// prepareRetry reports whether the request is retried after the refusal. If so, it charges the budget and records the
// reason.
func (c *call) prepareRetry(ctx context.Context, refusal *caller.Refusal) bool {
	if refusal.Ran != caller.NotRun {
		c.ran = caller.Unknown
	}
	if !c.retryAllowed(ctx, refusal) || (budgetedRetryReasons[refusal.Reason] && !c.spendBudget()) {
		return false
	}
	metrics.CountRetry(refusal.Reason)
	c.retryReasons = append(c.retryReasons, string(refusal.Reason))
	c.lastRefusal, c.mayRetrySameNode = refusal, mayRepeatAfter(refusal)
	if refusal.RetryAfter > 0 && (c.retryAfter == 0 || refusal.RetryAfter < c.retryAfter) {
		c.retryAfter = refusal.RetryAfter
	}
	return true
}

// retryAllowed reports whether the reason, the rule of the route and the limits allow a retry, whatever the budget.
func (c *call) retryAllowed(ctx context.Context, refusal *caller.Refusal) bool {
	allowed := freeRetryReasons[refusal.Reason] || budgetedRetryReasons[refusal.Reason]
	if !allowed || ctx.Err() != nil || len(c.triedNodes) >= maxNodesTried || !c.req.Body.Replayable() {
		return false
	}
	if refusal.Ran != caller.NotRun && c.route.Rule != bundle.Idempotent {
		return false
	}
	return (c.mayReachAnother() || mayRepeatAfter(refusal)) && c.hasTimeLeft()
}

// mayRepeatAfter reports whether the request may be sent again to the upstream at which it failed: that may only have
// closed an idle connection before the request arrived.
func mayRepeatAfter(refusal *caller.Refusal) bool { return refusal.Reason == caller.KeptConnectionLost }

// mayReachAnother reports whether the route allows an attempt at another upstream.
func (c *call) mayReachAnother() bool { return len(c.reachedNodes) < c.route.MaxAttempts }

// hasTimeLeft reports whether enough time remains before the deadline for a retry.
func (c *call) hasTimeLeft() bool {
	serviceTime, _ := c.estimate.get()
	return time.Until(c.req.Deadline) > time.Duration(minTimeLeftShare*float64(serviceTime))
}

// spendBudget charges one retry or hedge to the service's budget and reports whether the budget covered it.
func (c *call) spendBudget() bool {
	if c.budget.TryWithdraw() {
		return true
	}
	retriesWithheld.Inc()
	return false
}

// prepareRetryOfAnswer reports whether the request is retried at another upstream after an answer that reports a failure.
// If so, it charges the budget and closes the answer.
func (c *call) prepareRetryOfAnswer(ctx context.Context, answer *caller.Answer) bool {
	if !answer.Failed() || c.route.Rule != bundle.Idempotent || !c.mayReachAnother() {
		return false
	}
	if ctx.Err() != nil || len(c.triedNodes) >= maxNodesTried || !c.req.Body.Replayable() || !c.hasTimeLeft() || !c.spendBudget() {
		return false
	}
	_ = answer.Body.Close()
	c.ran = caller.Unknown
	metrics.CountRetry(caller.UpstreamLost)
	c.retryReasons = append(c.retryReasons, strconv.Itoa(answer.Status))
	return true
}

// finalRefusal returns the refusal for the caller. It says not-run only when that holds for every attempt, and suggests
// the shortest delay of the retried refusals if they suggested any.
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
