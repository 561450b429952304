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
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

const (
	// hedgeReserve is the time reserved for the hedge before the objective, in multiples of the expected service time.
	hedgeReserve = 1.6
	// minHedgeDelayShare and maxHedgeDelayShare bound the delay before a hedge, as shares of the objective. An earlier
	// hedge would be sent for requests that are not late; a later one could not meet the objective.
	minHedgeDelayShare = 0.35
	maxHedgeDelayShare = 0.7
	// hedgeMaxUtilization is the share of an upstream's slots up to which hedges are sent to it. Hedges at a service with
	// little spare capacity would slow down all its requests.
	hedgeMaxUtilization = 0.6
)

var errPanicked = errors.New("the attempt panicked")

var hedgesTotal = metrics.Counter("magnoliawharf_entry_hedges_total")

// hedgeDelay returns the time from now after which a hedge, a concurrent second attempt, is sent; 0 for none.
func (c *call) hedgeDelay() time.Duration {
	if c.route.Rule != bundle.Idempotent || c.route.MaxAttempts-len(c.reachedNodes) < 2 || c.route.LatencyObjective <= 0 || !c.req.Body.Shareable() || len(c.triedNodes) > 0 {
		return 0
	}
	serviceTime, _ := c.estimate.get()
	objective := c.route.LatencyObjective
	delay := objective - time.Duration(hedgeReserve*float64(serviceTime))
	if delay < time.Duration(minHedgeDelayShare*float64(objective)) {
		return 0
	}
	return max(0, min(delay, time.Duration(maxHedgeDelayShare*float64(objective)))-time.Since(c.startedAt))
}

// hedgedCall is a call with up to two concurrent attempts.
type hedgedCall struct {
	*call
	outcomes chan numberedOutcome // buffered, so that no attempt blocks on sending its outcome
	cancels  []context.CancelFunc
	sent     []time.Time
	targets  []peer.Candidate
	running  int
}

// numberedOutcome is an outcome with the index of its attempt in the hedgedCall.
type numberedOutcome struct {
	outcome
	number int
}

// sendHedged sends the request to the first node, and to a second one when there is no outcome after the delay. The first
// successful answer is accepted and the other attempt is cancelled.
func (c *call) sendHedged(ctx context.Context, first peer.Candidate, delay time.Duration) (*caller.Answer, *caller.Refusal) {
	h := &hedgedCall{call: c, outcomes: make(chan numberedOutcome, 2)}
	h.launch(ctx, first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if second, ok := c.hedgeTarget(ctx); ok {
				hedgesTotal.Inc()
				h.launch(ctx, second)
			}
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
	ctx, cancel := context.WithCancel(ctx)
	number := len(h.cancels)
	h.cancels, h.sent, h.targets = append(h.cancels, cancel), append(h.sent, time.Now()), append(h.targets, chosen)
	h.running++
	h.countAttempt(chosen)
	attempt := len(h.triedNodes)
	go func() { h.outcomes <- numberedOutcome{h.sendRecovered(ctx, chosen, attempt), number} }()
}

// sendRecovered is send for a goroutine of its own, in which no HTTP server recovers a panic.
func (c *call) sendRecovered(ctx context.Context, chosen peer.Candidate, number int) (o outcome) {
	defer func() {
		if failure := recover(); failure != nil {
			c.Log.Error("an attempt panicked", "id", c.req.ID, "peer", chosen.Status.Node, "cause", fmt.Sprint(failure), "stack", string(debug.Stack()))
			o = outcome{chosen: chosen, refusal: caller.RefuseUncertain(caller.PeerLost, dispatchStep, chosen.Status.Node, errPanicked)}
		}
	}()
	return c.send(ctx, chosen, number)
}

// accept returns the outcome as the result of the call and cancels the other attempt. The context of the accepted attempt
// ends when the body of the answer has been read ahead or is closed.
func (h *hedgedCall) accept(o numberedOutcome) (*caller.Answer, *caller.Refusal) {
	h.cancelOthers(o.number)
	answer, refusal := h.recordOutcome(o.outcome)
	if answer == nil || isComplete(answer) {
		h.cancels[o.number]()
		return answer, refusal
	}
	answer.Body = inflight.OnClose(answer.Body, h.cancels[o.number])
	return answer, nil
}

// discard records a failed outcome while the other attempt is still running.
func (h *hedgedCall) discard(o numberedOutcome) {
	answer, refusal := h.recordOutcome(o.outcome)
	h.keepFailed(answer)
	if refusal == nil || refusal.Ran == caller.Unknown {
		h.ran = caller.Unknown
	}
	h.cancels[o.number]()
}

// cancelOthers cancels the attempts other than the winner and closes their answers when they arrive. The time that they
// had taken so far counts in the statistics of their upstreams.
func (h *hedgedCall) cancelOthers(winner int) {
	expected, _ := h.estimate.get()
	for number, cancel := range h.cancels {
		if number == winner || h.running == 0 {
			continue
		}
		h.countReached(h.targets[number])
		h.targets[number].Observe(time.Now(), peer.Served, time.Since(h.sent[number]), expected)
		cancel()
	}
	if h.running == 0 {
		return
	}
	outcomes, running := h.outcomes, h.running
	go func() {
		for range running {
			if other := <-outcomes; other.answer != nil {
				_ = other.answer.Body.Close()
			}
		}
	}()
}

// hedgeTarget returns the node for a hedge, if there is one with spare capacity and the budget covers it. The requests that a rate limit
// leaves are for first attempts and retries.
func (c *call) hedgeTarget(ctx context.Context) (peer.Candidate, bool) {
	if ctx.Err() != nil || c.permit() != nil {
		return peer.Candidate{}, false
	}
	chosen, err := c.choose(ctx)
	if err != nil {
		return peer.Candidate{}, false
	}
	if chosen.Limit.Named || float64(chosen.Load.Running+chosen.Load.Waiting+1) > hedgeMaxUtilization*float64(chosen.Status.Slots) || !c.spendBudget() {
		chosen.CancelPlacement()
		return peer.Candidate{}, false
	}
	return chosen, true
}
