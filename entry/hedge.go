package entry

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/inflight"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

const (
	// hedgeWork is the time kept for a second attempt, in multiples of the usual time of the route.
	hedgeWork = 1.6
	// leastHedge and mostHedge bound the time of a second attempt, in shares of the objective. Earlier ones would be sent
	// for requests that are not late at all, later ones could not meet it.
	leastHedge = 0.35
	mostHedge  = 0.7
	// hedgeRoom is the share of an upstream's slots up to which it takes second attempts. A service that is short of room
	// would be slowed down by them for all.
	hedgeRoom = 0.6
)

var hedgesTotal = metrics.Counter("magnoliawharf_entry_hedges_total")

// hedgeAfter returns the time after which a second attempt is sent beside the first, 0 for none.
func (c *call) hedgeAfter() time.Duration {
	if c.route.Rule != bundle.Idempotent || c.route.Attempts-c.offered < 2 || c.route.Objective <= 0 || !c.req.Body.Shareable() || len(c.tried) > 0 {
		return 0
	}
	work, _ := c.usual.get()
	objective := c.route.Objective
	after := objective - time.Duration(hedgeWork*float64(work))
	if after < time.Duration(leastHedge*float64(objective)) {
		return 0
	}
	return max(0, min(after, time.Duration(mostHedge*float64(objective)))-time.Since(c.began))
}

// race is a first attempt and perhaps a second one beside it.
type race struct {
	*call
	outcomes chan numbered // so large that no attempt waits for its outcome to be read
	cancels  []context.CancelFunc
	sent     []time.Time
	nodes    []peer.Chosen
	running  int
}

// numbered is the outcome of one attempt of a race.
type numbered struct {
	outcome
	number int
}

// race sends the request to the first node, and to another one when no answer has come after the given time. The first
// good answer counts; the other attempt is cancelled.
func (c *call) race(ctx context.Context, first peer.Chosen, after time.Duration) (*caller.Answer, *caller.Refusal) {
	r := &race{call: c, outcomes: make(chan numbered, 2)}
	r.launch(ctx, first)
	timer := time.NewTimer(after)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if second, ok := c.second(ctx); ok {
				hedgesTotal.Inc()
				r.launch(ctx, second)
			}
		case o := <-r.outcomes:
			r.running--
			failed := o.refusal != nil || o.answer.Failed()
			if failed && r.running > 0 {
				r.lose(o) // the other attempt may still answer
				continue
			}
			return r.win(o)
		}
	}
}

func (r *race) launch(ctx context.Context, chosen peer.Chosen) {
	ctx, cancel := context.WithCancel(ctx)
	number := len(r.cancels)
	r.cancels, r.sent, r.nodes = append(r.cancels, cancel), append(r.sent, time.Now()), append(r.nodes, chosen)
	r.running++
	r.begin(chosen)
	attempt := len(r.tried)
	go func() { r.outcomes <- numbered{r.send(ctx, chosen, attempt), number} }()
}

// win settles the outcome that counts and ends the other attempt.
func (r *race) win(o numbered) (*caller.Answer, *caller.Refusal) {
	r.abandon(o.number)
	answer, refusal := r.settle(o.outcome)
	if answer == nil {
		r.cancels[o.number]()
		return nil, refusal
	}
	answer.Body = inflight.OnClose(answer.Body, r.cancels[o.number])
	return answer, nil
}

// lose takes an outcome that does not count.
func (r *race) lose(o numbered) {
	answer, refusal := r.settle(o.outcome)
	if answer != nil {
		_ = answer.Body.Close()
	}
	if refusal == nil || refusal.Ran == caller.Unknown {
		r.ran = caller.Unknown
	}
	r.cancels[o.number]()
}

// abandon cancels the attempts other than the winner, and closes their answers as they come. How long they had taken is
// noted with their upstreams.
func (r *race) abandon(winner int) {
	work, _ := r.usual.get()
	for number, cancel := range r.cancels {
		if number == winner || r.running == 0 {
			continue
		}
		r.offered++
		r.nodes[number].Observe(time.Now(), peer.Served, time.Since(r.sent[number]), work)
		cancel()
	}
	if r.running == 0 {
		return
	}
	outcomes, running := r.outcomes, r.running
	go func() {
		for range running {
			if lost := <-outcomes; lost.answer != nil {
				_ = lost.answer.Body.Close()
			}
		}
	}()
}

// second returns the node for a second attempt when there is one with room and the budget pays for it.
func (c *call) second(ctx context.Context) (peer.Chosen, bool) {
	if ctx.Err() != nil {
		return peer.Chosen{}, false
	}
	chosen, err := c.choose(ctx)
	if err != nil || float64(chosen.Load.Running+chosen.Load.Waiting+1) > hedgeRoom*float64(chosen.Status.Slots) || !c.pay() {
		return peer.Chosen{}, false
	}
	return chosen, true
}
