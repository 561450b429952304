package node

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// outcome is the result of one of the attempts that run beside each other.
type outcome struct {
	number  int // of the attempt, as in race.cancels
	answer  *caller.Answer
	refusal *caller.Refusal
}

// race is a first attempt and perhaps a hedge. The first answer counts.
type race struct {
	call    *call
	results chan outcome // buffered, so that no attempt waits for its outcome to be read
	cancels []context.CancelFunc
	running int
}

// hedged sends the request, and once more over another link when no answer has come after the given
// time. The losing attempt is cancelled and its answer closed.
func (c *call) hedged(ctx context.Context, first *link.Link, after time.Duration) (*caller.Answer, *caller.Refusal) {
	r := &race{call: c, results: make(chan outcome, caller.MaxAttempts)}
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
				r.abandon(got.number)
				return got.answer, nil
			}
			refused = worse(refused, got.refusal)
		}
	}
	return nil, refused
}

// hedgeLink returns the link for a hedge when the budget pays for one and another upstream serves.
func (c *call) hedgeLink() (*link.Link, bool) {
	if !c.budget.Spend() {
		return nil, false
	}
	chosen, refusal := c.choose()
	return chosen, refusal == nil
}

func (r *race) launch(ctx context.Context, over *link.Link) {
	ctx, cancel := context.WithCancel(ctx)
	number, attempts := len(r.cancels), len(r.call.tried)
	r.cancels = append(r.cancels, cancel)
	r.running++
	go func() {
		answer, refusal := r.call.attempt(ctx, over, attempts, cancel)
		r.results <- outcome{number, answer, refusal}
	}()
}

// abandon cancels all attempts but the winner, and closes their answers as they come.
func (r *race) abandon(winner int) {
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

// worse returns the refusal that says more about what may have run.
func worse(a, b *caller.Refusal) *caller.Refusal {
	if a != nil && a.Ran != caller.NotRun {
		return a
	}
	return b
}
