package node

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// attemptResult is the result of one of the concurrent attempts of a race.
type attemptResult struct {
	number  int // index of the attempt in race.cancels
	answer  *caller.Answer
	refusal *caller.Refusal
}

// race runs a first attempt and at most one hedge concurrently. The first response wins.
type race struct {
	call    *call
	results chan attemptResult   // buffered, so that no attempt blocks on sending its result
	cancels []context.CancelFunc // one for each attempt
	running int                  // attempts whose results were not received
}

// tryWithHedge sends the request over first, and a hedge over another link when there is no result after
// the given delay. The losing attempt is cancelled and its response closed.
func (c *call) tryWithHedge(ctx context.Context, first *link.Link, after time.Duration) (*caller.Answer, *caller.Refusal) {
	r := &race{call: c, results: make(chan attemptResult, caller.MaxAttempts)}
	r.launch(ctx, first)
	timer := time.NewTimer(after)
	defer timer.Stop()
	var refused *caller.Refusal
	for r.running > 0 {
		select {
		case <-timer.C:
			if second, ok := c.hedgeLink(); ok {
				hedgesSent.Inc()
				r.launch(ctx, second)
			}
		case got := <-r.results:
			r.running--
			if got.refusal == nil {
				r.cancelOthers(got.number)
				return got.answer, nil
			}
			refused = moreUncertain(refused, got.refusal)
		}
	}
	return nil, refused
}

// hedgeLink returns the link for a hedge when the budget has a token and there is another upstream. Only then is the budget
// charged.
func (c *call) hedgeLink() (*link.Link, bool) {
	if !c.budget.TryWithdraw() {
		return nil, false
	}
	chosen, refusal := c.choose()
	if refusal != nil {
		c.budget.Refund()
		return nil, false
	}
	return chosen, true
}

// launch starts an attempt over the link.
func (r *race) launch(ctx context.Context, over *link.Link) {
	ctx, cancel := context.WithCancel(ctx)
	number, attempts := len(r.cancels), len(r.call.tried)
	r.cancels = append(r.cancels, cancel)
	r.running++
	go func() {
		answer, refusal := r.call.attempt(ctx, over, attempts, cancel)
		r.results <- attemptResult{number, answer, refusal}
	}()
}

// cancelOthers cancels all attempts but the winner and closes the responses that they may still return.
func (r *race) cancelOthers(winner int) {
	for number, cancel := range r.cancels {
		if number != winner {
			cancel()
		}
	}
	if r.running == 0 {
		return
	}
	go func() {
		for range r.running {
			if lost := <-r.results; lost.answer != nil {
				_ = lost.answer.Body.Close()
			}
		}
	}()
}

// moreUncertain returns a if its request may have run, else b, so that a possible run is not hidden.
func moreUncertain(a, b *caller.Refusal) *caller.Refusal {
	if a != nil && a.Ran != caller.NotRun {
		return a
	}
	return b
}
