package entry

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// keepFailed keeps an answer that reports a failure, for the case that no later attempt is answered. One whose body is still
// arriving occupies the upstream and is closed. The answer is nil after a refusal.
func (c *call) keepFailed(answer *caller.Answer) {
	switch {
	case answer == nil:
	case isComplete(answer):
		c.failedAnswer = answer
	default:
		_ = answer.Body.Close()
	}
}

// finalOutcome returns the outcome of the call: that of its last attempt, or an earlier answer if the last attempt has none.
func (c *call) finalOutcome(answer *caller.Answer, refusal *caller.Refusal) (*caller.Answer, *caller.Refusal) {
	switch {
	case refusal == nil:
		return answer, nil
	case c.failedAnswer != nil:
		return c.failedAnswer, nil
	case c.denied != nil && c.ran == caller.NotRun && refusal.Ran == caller.NotRun:
		return nil, c.denied
	}
	return nil, c.finalRefusal(refusal)
}

// log writes the log line of the request and returns the refusal as an error.
func (c *call) log(answer *caller.Answer, refusal *caller.Refusal) error {
	attributes := []any{
		"id", c.req.ID, "route", c.route.Name, "service", c.req.Service, "contracts", c.req.BundleVersion,
		"priority", c.route.Priority + c.req.PriorityOffset, "objective_ms", c.route.LatencyObjective.Milliseconds(),
		"peer", c.lastTarget.Status.Node, "upstream", c.lastTarget.Status.Upstream, "running", c.lastTarget.Load.Running, "waiting", c.lastTarget.Load.Waiting,
		"limit", c.lastTarget.Load.Limit, "pace", c.lastTarget.Load.ServiceTimePercent, "load_age_ms", c.lastTarget.LoadAge.Milliseconds(), "expected_ms", c.lastTarget.Cost.Milliseconds(),
		"attempts", len(c.triedNodes), "took_ms", time.Since(c.startedAt).Milliseconds(), "left_ms", time.Until(c.req.Deadline).Milliseconds(),
	}
	if limit := c.lastTarget.Limit; limit.Named {
		attributes = append(attributes, "rate_limit", limit.PerSecond, "rate_left", limit.Available)
	}
	if c.req.Tenant != "" {
		attributes = append(attributes, "tenant", c.req.Tenant)
	}
	if c.req.Behind > 0 {
		attributes = append(attributes, "behind", c.req.Behind)
	}
	if len(c.retryReasons) > 0 {
		attributes = append(attributes, "retried_after", c.retryReasons)
	}
	if c.hedge.node != "" {
		attributes = append(attributes, "hedge_peer", c.hedge.node, "hedge_after_ms", c.hedge.after.Milliseconds(), "hedge_won", c.hedge.won)
	}
	if refusal == nil {
		c.Log.Info("request answered", append(attributes, "status", answer.Status, "waited_ms", answer.Waited.Milliseconds())...)
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

// asRefusal converts the error of an attempt. When the request's own context has ended, its cause replaces that of the
// attempt.
func asRefusal(ctx context.Context, err error) *caller.Refusal {
	refusal := caller.AsRefusal(err, caller.PeerLost, dispatchStep)
	if ctx.Err() != nil && (refusal.Reason == caller.Cancelled || refusal.Reason == caller.DeadlinePassed) {
		ended := *refusal
		ended.Reason = caller.ContextReason(ctx)
		return &ended
	}
	return refusal
}
