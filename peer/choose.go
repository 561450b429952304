package peer

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// ErrNoUpstream says that no node is known whose upstream serves the service.
var ErrNoUpstream = errors.New("no upstream serves the service")

const (
	// maxAsked bounds the nodes asked for one request, and nearAsked those of them in the node's own zone when there are
	// more elsewhere.
	maxAsked  = 5
	nearAsked = 3
	// leastWait and mostWait bound the wait for answers once some have come, and lastWait the wait for the first one.
	leastWait = 4 * time.Millisecond
	mostWait  = 15 * time.Millisecond
	lastWait  = 25 * time.Millisecond
	// waitPerPath is the wait in multiples of the longest known round trip.
	waitPerPath = 2.5
	// unansweredDelay is the delay to expect of a node that has not answered although others have: its machine is stalled or
	// its link is full of answers.
	unansweredDelay = 150 * time.Millisecond
	// fullShare is the share of the slots above which upstreams tend to slow down, and fullCost by how much work then
	// takes longer.
	fullShare = 0.8
	fullCost  = 0.7
)

// Need is what a request asks of a node.
type Need struct {
	Service string
	Work    time.Duration    // time that such requests usually take at the upstream
	Bytes   float64          // bytes that they usually move
	Exclude func(*Peer) bool // nodes that are out of the question; nil excludes none
}

// Chosen is a node with what was known of it when it was chosen.
type Chosen struct {
	*Peer
	Status Status
	Load   Load
	Age    time.Duration // of the load; negative when none was known
	Cost   time.Duration // expected time to the answer
}

// Choose asks the nodes of the service for their load and returns the one from which the answer is expected first. The
// error is ErrNoUpstream.
func (r *Roster) Choose(ctx context.Context, need Need) (Chosen, error) {
	now := time.Now()
	candidates := r.candidates(now, need)
	if len(candidates) == 0 {
		return Chosen{}, ErrNoUpstream
	}
	// A single candidate is asked too: it may have been started again, or have stopped to serve.
	r.ask(ctx, now, candidates)
	now = time.Now()
	best := Chosen{Cost: math.MaxInt64}
	for _, p := range candidates {
		if got := r.judge(now, p, need); got.Status.Serving && got.Cost < best.Cost {
			best = got
		}
	}
	if best.Peer == nil {
		return Chosen{}, ErrNoUpstream
	}
	best.Placed()
	return best, nil
}

// candidates returns the nodes to compare, in random order. Nodes that have gone silent are only among them when there
// is no other.
func (r *Roster) candidates(now time.Time, need Need) []*Peer {
	var near, far, silent []*Peer
	for _, p := range r.Service(need.Service) {
		status := p.Status()
		switch {
		case !status.Serving || (need.Exclude != nil && need.Exclude(p)):
		case p.silent(now):
			silent = append(silent, p)
		case status.Zone == r.zone:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	if len(near)+len(far) == 0 {
		return sample(silent, maxAsked)
	}
	near = sample(near, max(nearAsked, maxAsked-len(far)))
	return append(near, sample(far, maxAsked-len(near))...)
}

func sample(from []*Peer, most int) []*Peer {
	rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(most, len(from))]
}

// ask brings the loads of the candidates up to date as far as answers come in time. The own load is read while the
// questions are on their way.
func (r *Roster) ask(ctx context.Context, now time.Time, candidates []*Peer) {
	g := newGathering()
	freshFor, wait := r.routing.Load().FreshFor, leastWait
	for _, p := range candidates {
		if p.self {
			continue
		}
		wanted, send, path := p.enquire(now, freshFor, r.numbers.Add(1), g)
		if !wanted {
			continue
		}
		wait = max(wait, time.Duration(waitPerPath*float64(path)))
		if send {
			r.sender.Ask(p.addr, p.questionNumber())
		}
	}
	g.settle()
	if slices.Contains(candidates, r.self) {
		r.refreshSelf(now)
	}
	g.wait(ctx, min(wait, mostWait), lastWait)
}

// enquire registers the gathering when the load is older than freshFor. send is false while a question is on its way
// already.
func (p *Peer) enquire(now time.Time, freshFor time.Duration, number uint32, g *gathering) (wanted, send bool, path time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loadAt.IsZero() && now.Sub(p.loadAt) < freshFor {
		return false, false, 0
	}
	p.expire(now)
	g.expect()
	p.waiting = append(slices.DeleteFunc(p.waiting, func(w waiter) bool { return now.Sub(w.since) > lastWait }), waiter{g, now})
	if p.question.open && now.Sub(p.question.sentAt) < leastWait {
		return true, false, p.path
	}
	if p.question.open {
		p.question.unanswered++
	}
	p.question = question{number: number, sentAt: now, open: true, unanswered: p.question.unanswered}
	return true, true, p.path
}

func (p *Peer) questionNumber() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.question.number
}

// judge returns the node with the expected time to an answer.
func (r *Roster) judge(now time.Time, p *Peer, need Need) Chosen {
	p.mu.Lock()
	defer p.mu.Unlock()
	got := Chosen{Peer: p, Status: p.status, Load: p.load, Age: -1}
	known := !p.loadAt.IsZero()
	if known {
		got.Age = now.Sub(p.loadAt)
		got.Status.Serving = got.Status.Serving && p.load.Serving
	}
	cost := expected(p.load, p.status.Slots, known, need.Work) * p.record.factor(now)
	if p.question.open || p.question.unanswered > 0 {
		cost += unansweredDelay.Seconds()
	}
	cost += p.path.Seconds()
	if p.status.Zone != r.zone {
		cost += r.routing.Load().ZoneCost.Seconds() * need.Bytes / 1024
	}
	got.Cost = time.Duration(cost * float64(time.Second))
	return got
}

// expected returns the seconds until the upstream has answered, with the wait for a slot.
func expected(load Load, slots int, known bool, work time.Duration) float64 {
	if !known {
		load = Load{Running: slots / 2, Limit: slots, Pace: usualPace}
	}
	limit := max(1, load.Limit)
	service := work.Seconds() * float64(max(1, load.Pace)) / usualPace
	occupied := load.Running + load.Waiting
	if share := float64(occupied+1) / float64(max(1, slots)); share > fullShare {
		service *= 1 + fullCost*min(1, (share-fullShare)/(1-fullShare))
	}
	if over := occupied + 1 - limit; over > 0 {
		service += service * float64(over) / float64(limit)
	}
	return service
}

// usualPace is the pace of an upstream that is neither slowed nor sped up by its neighbours, in per cent.
const usualPace = 100
