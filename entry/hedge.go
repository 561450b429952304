package entry

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/inflight"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

const (
	// hedgeReserve is the time reserved for the hedge before the objective, in multiples of the expected service time. It
	// and minInitialDelayShare, the shortest delay as a share of the objective, apply when hedges follow from the objective, and
	// while too few times of the route are known for a quantile.
	hedgeReserve         = 1.6
	minInitialDelayShare = 0.35
	// minHedgeDelayShare and maxHedgeDelayShare bound the delay before a hedge, as shares of the objective. An earlier
	// hedge would be sent for requests that are far from late; a later one could not meet the objective.
	minHedgeDelayShare = 0.1
	maxHedgeDelayShare = 0.7
	// minDelayPerMedian is the shortest delay in multiples of the median. At a route whose times are all alike, the tail
	// percentile is no sign of a late request; at a slow one, most requests would be hedged.
	minDelayPerMedian = 1.5
	// maxHedgeSlotShare and maxHedgeLimitShare are the shares of an upstream's slots, and of what its node admits at this
	// moment, up to which hedges are sent to it. Hedges at a service with little spare capacity would slow down all its
	// requests.
	maxHedgeSlotShare  = 0.6
	maxHedgeLimitShare = 0.8
	// maxHedgePace is the service time, in per cent of the usual one, up to which an upstream gets hedges.
	maxHedgePace = 200
)

var errPanicked = errors.New("the attempt panicked")

// hedgeableRoute reports whether requests of the route may be hedged.
func (c *call) hedgeableRoute() bool {
	return c.route.Rule == bundle.Idempotent && c.route.MaxAttempts >= 2 && c.route.LatencyObjective > 0
}

// hedgeRatio returns the share of a service's requests that may be hedged.
func (e *Dispatcher) hedgeRatio() float64 {
	if e.HedgeRatio == nil {
		return 0
	}
	return e.HedgeRatio()
}

// hedgeByObjective reports whether hedges follow from the objective alone.
func (e *Dispatcher) hedgeByObjective() bool {
	return e.HedgeByObjective != nil && e.HedgeByObjective()
}

// hedgeDelay returns the time from now after which a hedge, a concurrent second attempt, is sent; 0 for none.
func (c *call) hedgeDelay() time.Duration {
	delay, reason := c.planHedge(time.Now(), c.estimate.latencies.quantiles)
	if reason == routeSlow {
		hedgesWithheld[routeSlow].Inc()
	}
	return delay
}

// planHedge returns the delay before a hedge, 0 for none, and the reason why none is planned. quantiles reads the times of the route.
func (c *call) planHedge(now time.Time, quantiles func(time.Time) (median, tail time.Duration, ok bool)) (time.Duration, withheldReason) {
	switch {
	case !c.hedgeableRoute():
		return 0, routeUnhedged
	case !c.req.Body.Shareable():
		return 0, bodyUnhedged
	case len(c.triedNodes) > 0:
		return 0, alreadyAtRetry
	case c.hedgeRatio() <= 0:
		return 0, hedgesOff
	}
	objective, elapsed := c.route.LatencyObjective, now.Sub(c.startedAt)
	var delay time.Duration
	var ok bool
	if median, tail, measured := quantiles(now); measured && !c.hedgeByObjective() {
		delay, ok = measuredDelay(objective, elapsed, median, tail)
	} else {
		serviceTime, _ := c.estimate.get()
		delay, ok = initialDelay(objective, elapsed, serviceTime)
	}
	switch {
	case !ok:
		return 0, routeSlow
	case delay <= 0:
		return 0, hedgeTooLate
	}
	return delay, ""
}

// measuredDelay returns the delay before a hedge by the times of the route. ok is false when most requests are too slow for a
// hedge in time to be an exception. elapsed is the time since the call began.
func measuredDelay(objective, elapsed, median, tail time.Duration) (delay time.Duration, ok bool) {
	shortest := max(multiple(minDelayPerMedian, median), multiple(minHedgeDelayShare, objective)-elapsed)
	longest := multiple(maxHedgeDelayShare, objective) - elapsed
	return min(max(tail, shortest), longest), shortest <= longest
}

// initialDelay is measuredDelay by the objective and the expected service time alone.
func initialDelay(objective, elapsed, serviceTime time.Duration) (delay time.Duration, ok bool) {
	delay = objective - multiple(hedgeReserve, serviceTime)
	return min(delay, multiple(maxHedgeDelayShare, objective)) - elapsed, delay >= multiple(minInitialDelayShare, objective)
}

func multiple(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}

// recordLatency records the time of a first attempt, from which the delay before hedges follows.
func (c *call) recordLatency(took time.Duration) {
	if c.hedgeableRoute() {
		c.estimate.latencies.record(time.Now(), took)
	}
}

// hedgeResult describes the hedge of a request for its log line.
type hedgeResult struct {
	node  string // "" when the request was not hedged
	after time.Duration
	won   bool
}

// hedgeAttempt is the number of the hedge among the attempts of a request, which count from 1.
const hedgeAttempt = 2

// hedgedCall is a call with up to two concurrent attempts, in the order of their numbers.
type hedgedCall struct {
	*call
	outcomes chan outcome // buffered, so that no attempt blocks on sending its outcome
	cancels  []context.CancelCauseFunc
	sent     []time.Time
	targets  []peer.Candidate
	running  int
	// endChoice ends the wait for the choice of a node for the hedge when the first attempt has ended.
	endChoice context.CancelFunc
}

// sendHedged sends the request to the first node, and to a second one when there is no outcome after the delay. The first
// successful answer is accepted and the other attempt is cancelled.
func (c *call) sendHedged(ctx context.Context, first peer.Candidate, delay time.Duration) (*caller.Answer, *caller.Refusal) {
	answered, endChoice := context.WithCancel(ctx)
	defer endChoice()
	h := &hedgedCall{call: c, outcomes: make(chan outcome, hedgeAttempt), endChoice: endChoice}
	h.launch(ctx, first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			second, reason := c.hedgeTarget(answered)
			if reason != "" {
				hedgesWithheld[reason].Inc()
				continue
			}
			hedgesTotal.Inc()
			c.hedge = hedgeResult{node: second.Status.Node, after: time.Since(h.sent[0])}
			h.launch(ctx, second)
		case o := <-h.outcomes:
			h.running--
			failed := o.refusal != nil || o.answer.Failed()
			if failed && h.running > 0 {
				h.discard(o) // the other attempt may still answer
				continue
			}
			return h.accept(o)
		}
	}
}

// launch starts an attempt in its own goroutine.
func (h *hedgedCall) launch(ctx context.Context, chosen peer.Candidate) {
	ctx, cancel := context.WithCancelCause(ctx)
	h.cancels, h.sent, h.targets = append(h.cancels, cancel), append(h.sent, time.Now()), append(h.targets, chosen)
	h.running++
	h.countAttempt(chosen)
	attempt := len(h.triedNodes)
	go func() {
		h.outcomes <- h.sendRecovered(ctx, chosen, attempt)
		h.endChoice()
	}()
}

// sendRecovered is send for a goroutine of its own, in which no HTTP server recovers a panic.
func (c *call) sendRecovered(ctx context.Context, chosen peer.Candidate, number int) (o outcome) {
	defer func() {
		if failure := recover(); failure != nil {
			c.Log.Error("an attempt panicked", "id", c.req.ID, "peer", chosen.Status.Node, "cause", fmt.Sprint(failure), "stack", string(debug.Stack()))
			refusal := caller.RefuseUncertain(caller.PeerLost, dispatchStep, chosen.Status.Node, errPanicked)
			o = outcome{chosen: chosen, attempt: number, refusal: refusal}
		}
	}()
	return c.send(ctx, chosen, number)
}

// accept returns the outcome as the result of the call and cancels the other attempt. The context of the accepted attempt
// ends when the body of the answer has been read ahead or is closed.
func (h *hedgedCall) accept(o outcome) (*caller.Answer, *caller.Refusal) {
	h.cancelOthers(o.attempt)
	if h.hedge.node != "" {
		h.recordHedge(o.attempt == hedgeAttempt && o.refusal == nil && !o.answer.Failed())
	}
	answer, refusal := h.recordOutcome(o)
	if answer == nil || isComplete(answer) {
		h.cancels[o.attempt-1](nil)
		return answer, refusal
	}
	answer.Body = inflight.OnClose(answer.Body, func() { h.cancels[o.attempt-1](nil) })
	return answer, nil
}

// recordHedge records whether the hedge has won.
func (h *hedgedCall) recordHedge(won bool) {
	h.hedge.won = won
	h.hedges.record(won)
	if won {
		hedgesWonTotal.Inc()
	}
}

// discard records a failed outcome while the other attempt is still running.
func (h *hedgedCall) discard(o outcome) {
	answer, refusal := h.recordOutcome(o)
	h.keepFailed(answer)
	if refusal == nil || refusal.Ran == caller.Unknown {
		h.ran = caller.Unknown
	}
	h.cancels[o.attempt-1](nil)
}

// cancelOthers cancels the attempts other than the winner and closes their answers when they arrive. The time that they
// had taken so far counts in the statistics of their upstreams and of the route, which would otherwise know only the times
// of requests that were not late.
func (h *hedgedCall) cancelOthers(winner int) {
	expected, _ := h.estimate.get()
	for i, cancel := range h.cancels {
		if i+1 == winner || h.running == 0 {
			continue
		}
		h.countReached(h.targets[i])
		took := time.Since(h.sent[i])
		h.targets[i].Observe(time.Now(), peer.Served, took, expected)
		if i == 0 {
			h.recordLatency(took)
		}
		cancel(caller.ErrSuperseded)
	}
	if h.running == 0 {
		return
	}
	outcomes, running, sent := h.outcomes, h.running, h.sent
	go func() {
		for range running {
			other := <-outcomes
			wastedSeconds.Add(time.Since(sent[other.attempt-1]).Seconds())
			if other.answer != nil {
				_ = other.answer.Body.Close()
			}
		}
	}()
}

// hedgeTarget returns the node for a hedge, or the reason why none is sent. ctx ends when the first attempt has ended. Only a
// hedge that is sent is charged to the budgets and counts as load of its node.
func (c *call) hedgeTarget(ctx context.Context) (peer.Candidate, withheldReason) {
	if c.permit() != nil {
		return peer.Candidate{}, notPermitted
	}
	if reason := c.withdrawHedge(time.Now()); reason != "" {
		return peer.Candidate{}, reason
	}
	target, reason := c.chooseForHedge(ctx)
	if reason != "" {
		c.budget.Refund()
		c.hedges.refund()
	}
	return target, reason
}

// withdrawHedge takes the tokens of a hedge, or returns the reason why none may be sent.
func (c *call) withdrawHedge(now time.Time) withheldReason {
	if reason := c.hedges.withdraw(now, !c.hedgeByObjective()); reason != "" {
		return reason
	}
	if !c.budget.TryWithdraw() {
		c.hedges.refund()
		return retryBudgetUsed
	}
	return ""
}

// chooseForHedge chooses a node that may get a hedge, or returns the reason why there is none.
func (c *call) chooseForHedge(ctx context.Context) (peer.Candidate, withheldReason) {
	target, err := c.choose(ctx)
	if err != nil {
		return peer.Candidate{}, noCandidate
	}
	reason := c.reasonAgainst(target)
	if ctx.Err() != nil {
		reason = answeredMeanwhile
	}
	if reason != "" {
		target.CancelPlacement()
	}
	return target, reason
}

// reasonAgainst returns the reason why the node must not get a hedge, "" for none. The node is the best of a sample of the
// service: when it has little room or is slow, so are the others. The requests that a rate limit leaves are for first
// attempts and retries.
func (e *Dispatcher) reasonAgainst(target peer.Candidate) withheldReason {
	room := maxHedgeSlotShare * float64(target.Status.Slots)
	byObjective := e.hedgeByObjective()
	if target.LoadAge >= 0 && !byObjective {
		room = min(room, maxHedgeLimitShare*float64(target.Load.Limit))
	}
	switch {
	case target.Limit.Named:
		return candidateLimited
	case float64(target.Load.Running+target.Load.Waiting+1) > room:
		return candidateFull
	case target.Load.ServiceTimePercent > maxHedgePace && !byObjective:
		return routeSlow
	}
	return ""
}
