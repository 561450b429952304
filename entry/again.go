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
	// maxPlaced bounds the nodes to which one request is sent, those that refuse it included.
	maxPlaced = 4
	// pauseForUpstream is the time after which a caller may find an upstream again.
	pauseForUpstream = 200 * time.Millisecond
	// leastLeft is the share of the usual time that must be left for another try to be worth its work.
	leastLeft = 0.5
)

// free lists the reasons after which nothing has reached an upstream, so that another try costs its service nothing.
var free = map[caller.Reason]bool{
	caller.Draining: true, caller.NotReady: true, caller.StaleIncarnation: true, caller.PeerUnreachable: true,
	caller.QueueFull: true, caller.DeadlineUnmeetable: true, caller.Overload: true, caller.ColdUpstream: true,
	caller.UpstreamUnreachable: true,
}

// paid lists the reasons after which the request has reached an upstream: another try is an extra arrival.
var paid = map[caller.Reason]bool{
	caller.UpstreamRejected: true, caller.UpstreamLost: true, caller.PeerLost: true, caller.AnswerMismatch: true, caller.BodyCut: true,
}

// again reports whether the request is sent once more after the refusal.
func (c *call) again(ctx context.Context, refusal *caller.Refusal) bool {
	if refusal.Ran != caller.NotRun {
		c.ran = caller.Unknown
	}
	if !c.mayRepeat(ctx, refusal) || (paid[refusal.Reason] && !c.pay()) {
		return false
	}
	metrics.Retry(refusal.Reason)
	c.refusals = append(c.refusals, string(refusal.Reason))
	c.refused = refusal
	if refusal.RetryAfter > 0 && (c.pause == 0 || refusal.RetryAfter < c.pause) {
		c.pause = refusal.RetryAfter
	}
	return true
}

func (c *call) mayRepeat(ctx context.Context, refusal *caller.Refusal) bool {
	allowed := free[refusal.Reason] || paid[refusal.Reason]
	if !allowed || ctx.Err() != nil || len(c.tried) >= maxPlaced || !c.req.Body.Replayable() {
		return false
	}
	if refusal.Ran != caller.NotRun && c.route.Rule != bundle.Idempotent {
		return false
	}
	return c.offered < c.route.Attempts && c.timeLeft()
}

func (c *call) timeLeft() bool {
	work, _ := c.usual.get()
	return time.Until(c.req.Deadline) > time.Duration(leastLeft*float64(work))
}

func (c *call) pay() bool {
	if c.budget.Spend() {
		return true
	}
	retriesWithheld.Inc()
	return false
}

// betterElsewhere reports whether the request is sent to another upstream after one answered that it failed.
func (c *call) betterElsewhere(ctx context.Context, answer *caller.Answer) bool {
	if !answer.Failed() || c.route.Rule != bundle.Idempotent || c.offered >= c.route.Attempts {
		return false
	}
	if ctx.Err() != nil || len(c.tried) >= maxPlaced || !c.req.Body.Replayable() || !c.timeLeft() || !c.pay() {
		return false
	}
	_ = answer.Body.Close()
	c.ran = caller.Unknown
	metrics.Retry(caller.UpstreamLost)
	c.refusals = append(c.refusals, strconv.Itoa(answer.Status))
	return true
}

// final returns the refusal of the whole request. It says not-run only when that holds for every attempt.
func (c *call) final(refusal *caller.Refusal) *caller.Refusal {
	whole := *refusal
	if c.ran == caller.Unknown {
		whole.Ran = caller.Unknown
	}
	if c.pause > 0 {
		whole.RetryAfter = c.pause
	}
	return &whole
}
