package peer

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"time"
)

// ErrNoUpstream is returned when no known node has an upstream of the service that accepts work.
var ErrNoUpstream = errors.New("no upstream serves the service")

// LimitedError is returned when the rate limits of all upstreams that accept work make the request wait for longer than it may.
type LimitedError struct {
	Wait time.Duration // shortest one among the candidates
	Rate float64       // sum of the limits of the candidates, in requests a second
}

// Error implements error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("the rate limits of all upstreams are used up for %v", e.Wait.Round(time.Millisecond))
}

const (
	// minAnswerWait and maxAnswerWait bound the wait for further answers once one has arrived. maxFirstAnswerWait bounds
	// the wait for the first one. All waits count from the sending of the queries. minAnswerWait is also the age up to
	// which an open query is shared instead of sending another.
	minAnswerWait      = 4 * time.Millisecond
	maxAnswerWait      = 15 * time.Millisecond
	maxFirstAnswerWait = 25 * time.Millisecond
	// waitPerRTT is the wait for further answers, from the sending of the queries, in multiples of the longest round-trip
	// time among the queried candidates.
	waitPerRTT = 2.5
	// unansweredPenalty is added to the cost of a node that has not answered in time: its machine may be stalled, or its
	// link congested by other answers.
	unansweredPenalty = 150 * time.Millisecond
	// saturationShare is the share of occupied slots above which upstreams tend to slow down. The service time then rises
	// linearly, by up to the share saturationSlowdown with all slots occupied.
	saturationShare    = 0.8
	saturationSlowdown = 0.7
)

// Criteria describes the request for which a node is chosen.
type Criteria struct {
	Service     string
	ServiceTime time.Duration // expected service time at the upstream
	Bytes       float64       // expected bytes transferred
	// AnswerWithin is the time in which the request is to be answered. An upstream is not chosen if its rate limit makes that impossible.
	AnswerWithin time.Duration
	Exclude      func(*Peer) bool // reports whether a node must not be chosen; nil excludes none
}

// Candidate is a candidate node with a snapshot of its state and the cost estimated from it.
type Candidate struct {
	*Peer
	Status  Status
	Load    Load
	LoadAge time.Duration // age of Load; negative when no load was known
	Cost    time.Duration // expected time until the answer arrives, with penalties
	Limit   RateLimit     // rate limit of the upstream, if it has named one
	// LimitWait is the part of Cost that is spent waiting for the rate limit.
	LimitWait time.Duration

	limitTooLate bool      // the wait for the rate limit makes the answer too late
	countedAt    time.Time // time of the load to which Choose added the request
}

// Choose queries the load of a sample of the service's nodes and returns the one with the lowest cost, to whose load it
// adds the request. Its errors are ErrNoUpstream and *LimitedError.
func (r *Roster) Choose(ctx context.Context, need Criteria) (Candidate, error) {
	now := time.Now()
	candidates := r.candidates(now, need)
	if len(candidates) == 0 {
		return Candidate{}, ErrNoUpstream
	}
	// A single candidate is queried too: it may have restarted or stopped serving.
	r.refreshLoads(ctx, now, candidates)
	now = time.Now()
	choice := newChoice()
	for _, p := range candidates {
		choice.consider(r, r.estimate(now, p, need))
	}
	best, err := choice.result()
	if err != nil {
		return Candidate{}, err
	}
	best.countedAt = best.countPlacement()
	return best, nil
}

// choice is the comparison of candidates whose load has been queried.
type choice struct {
	best    Candidate
	limited *LimitedError // of the candidates whose rate limit makes the answer too late
}

func newChoice() choice { return choice{best: Candidate{Cost: math.MaxInt64}} }

// consider compares one more candidate with the best one.
func (c *choice) consider(r *Roster, got Candidate) {
	switch {
	case !got.Status.Serving || r.evacuations.IsActive(got.Status.Zone):
	case got.limitTooLate:
		c.limited = c.limited.with(got)
	case got.Cost < c.best.Cost:
		c.best = got
	}
}

// result returns the candidate with the lowest cost. The errors are those of Roster.Choose.
func (c *choice) result() (Candidate, error) {
	switch {
	case c.best.Peer != nil:
		return c.best, nil
	case c.limited != nil:
		return Candidate{}, c.limited
	}
	return Candidate{}, ErrNoUpstream
}

// with returns the error with one more candidate. The receiver may be nil.
func (e *LimitedError) with(c Candidate) *LimitedError {
	if e == nil {
		return &LimitedError{Wait: c.LimitWait, Rate: c.Limit.PerSecond}
	}
	return &LimitedError{Wait: min(e.Wait, c.LimitWait), Rate: e.Rate + c.Limit.PerSecond}
}

// refreshLoads queries the candidates whose load is not fresh and waits a bounded time for the answers. The load of this
// node itself is read while the queries are in flight.
func (r *Roster) refreshLoads(ctx context.Context, now time.Time, candidates []*Peer) {
	batch := newQueryBatch()
	freshFor, wait := r.routing.Load().FreshFor, minAnswerWait
	for _, p := range candidates {
		if p.isSelf {
			continue
		}
		wanted, send, rtt := p.startQuery(now, freshFor, &r.lastSequence, batch)
		if !wanted {
			continue
		}
		wait = max(wait, time.Duration(waitPerRTT*float64(rtt)))
		if send {
			r.sender.QueryLoad(p.addr, p.querySequence())
		}
	}
	batch.complete()
	if slices.Contains(candidates, r.selfPeer) {
		r.refreshSelf(now)
	}
	batch.wait(ctx, min(wait, maxAnswerWait), maxFirstAnswerWait)
}

// startQuery adds the batch to the waiters of the peer when the load is older than freshFor. send is false when an
// open query is younger than minAnswerWait and is shared. An older open query is replaced and counts as unanswered. The sequence
// number is drawn under the lock, so that those of one peer increase.
func (p *Peer) startQuery(now time.Time, freshFor time.Duration, lastSequence *atomic.Uint32, batch *queryBatch) (wanted, send bool, rtt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loadAt.IsZero() && now.Sub(p.loadAt) < freshFor {
		return false, false, 0
	}
	p.expireQuery(now)
	batch.add()
	p.waiters = append(slices.DeleteFunc(p.waiters, func(w waiter) bool { return now.Sub(w.since) > maxFirstAnswerWait }), waiter{batch, now})
	if p.query.open && now.Sub(p.query.sentAt) < minAnswerWait {
		return true, false, p.rtt
	}
	p.openQuery(now, lastSequence.Add(1))
	return true, true, p.rtt
}

// openQuery records a query that is about to be sent. One that is still open counts as unanswered. The caller holds the lock.
func (p *Peer) openQuery(now time.Time, sequence uint32) {
	if p.query.open {
		p.query.unanswered++
	}
	p.query = loadQuery{sequence: sequence, sentAt: now, open: true, unanswered: p.query.unanswered}
}

func (p *Peer) querySequence() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.query.sequence
}

// estimate returns the node with the cost of sending the request to it.
func (r *Roster) estimate(now time.Time, p *Peer, need Criteria) Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidate := Candidate{Peer: p, Status: p.status, Load: p.load, LoadAge: -1}
	known := !p.loadAt.IsZero()
	if known {
		candidate.LoadAge = now.Sub(p.loadAt)
		candidate.Status.Serving = candidate.Status.Serving && p.load.Serving
	}
	candidate.Status.Serving = candidate.Status.Serving && !p.hasLeft()
	candidate.LimitWait, candidate.limitTooLate = p.limitWait(now), p.limitTooLate(now, need)
	if p.limit.Upstream == p.status.Upstream {
		candidate.Limit = p.limit.RateLimit
	}
	cost := expectedSeconds(p.load, p.status.Slots, known, need.ServiceTime) * p.outcomes.costFactor(now)
	if p.query.open || p.query.unanswered > 0 {
		cost += unansweredPenalty.Seconds()
	}
	cost += p.rtt.Seconds() + candidate.LimitWait.Seconds()
	if p.status.Zone != r.zone {
		cost += r.routing.Load().ZoneCost.Seconds() * need.Bytes / 1024
	}
	candidate.Cost = time.Duration(cost * float64(time.Second))
	return candidate
}

// expectedSeconds returns the expected time until the upstream has answered, with the wait for a slot. An unknown load
// is taken to be half the slots.
func expectedSeconds(load Load, slots int, known bool, serviceTime time.Duration) float64 {
	if !known {
		load = Load{Running: slots / 2, Limit: slots, ServiceTimePercent: usualServiceTimePercent}
	}
	limit := max(1, load.Limit)
	seconds := serviceTime.Seconds() * float64(max(1, load.ServiceTimePercent)) / usualServiceTimePercent
	occupied := load.Running + load.Waiting
	if share := float64(occupied+1) / float64(max(1, slots)); share > saturationShare {
		seconds *= 1 + saturationSlowdown*min(1, (share-saturationShare)/(1-saturationShare))
	}
	if excess := load.excess(); excess > 0 {
		seconds += seconds * float64(excess) / float64(limit)
	}
	return seconds
}

// excess returns the number of requests that wait for a slot once one more has been sent, 0 or less when it gets a slot at once.
func (l Load) excess() int { return l.Running + l.Waiting + 1 - max(1, l.Limit) }

// usualServiceTimePercent is the service time, in per cent of the usual one, of an upstream that is neither slowed down
// nor sped up by its neighbours.
const usualServiceTimePercent = 100
