package quota

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

const (
	// repeatAfter is the time without a reply after which a request for tokens is repeated.
	repeatAfter = 15 * time.Millisecond
	// requestTimeout is the time without a reply after which the fallback decides.
	requestTimeout = 40 * time.Millisecond
	// silentFor is the time for which a node that did not reply is not asked again.
	silentFor = 100 * time.Millisecond
	// minHold and maxHold bound the time for which a node refuses without asking after the allocator had too few tokens.
	minHold = 2 * time.Millisecond
	maxHold = 100 * time.Millisecond
)

// pendingRequest is the request for tokens that a node has open for a tenant, and what it knows from the last one.
type pendingRequest struct {
	open        bool
	number      uint32 // of the last request, also once it is closed
	sentAt      time.Time
	to          netip.AddrPort
	first       netip.AddrPort // allocator in this node's view, to which the first request went
	waiting     int            // waiters that the request counts
	wanted      int
	redirected  bool
	credited    bool // the reply to the last request has come
	waiters     []func(Outcome)
	holdUntil   time.Time // the allocator had too few tokens; until then requests are refused
	availableAt time.Time // when it is to have the next one
	silent      netip.AddrPort
	silentUntil time.Time
}

// effects are what is to be done once the lock of the tenant is released.
type effects struct {
	node    *Node
	done    []func(Outcome)
	outcome []Outcome
	request *Request
	to      netip.AddrPort
	silent  netip.AddrPort
	tenant  *tenant
	begins  *view
}

func (e *effects) decide(done func(Outcome), o Outcome) {
	e.done, e.outcome = append(e.done, done), append(e.outcome, o)
}

func (e effects) run() {
	if e.request != nil {
		requestsTotal.Inc()
		number := e.request.Number
		e.node.AfterFunc(repeatAfter, func() { e.tenant.repeat(number) })
		e.node.Sender.SendQuotaRequest(e.to, *e.request)
	}
	if e.silent.IsValid() {
		e.node.OnSilent(e.silent)
	}
	if e.begins != nil {
		e.node.logAllocation(e.tenant.name, e.begins)
	}
	for i, done := range e.done {
		done(e.outcome[i])
	}
}

// decide decides on a request for which no unused token is at hand.
func (n *Node) decide(t *tenant, done func(Outcome)) {
	now := n.Now()
	t.mu.Lock()
	t.demand.observe(now, 1)
	e := t.decideLocked(now, done)
	t.mu.Unlock()
	e.run()
}

func (t *tenant) decideLocked(now time.Time, done func(Outcome)) effects {
	e := effects{node: t.node, tenant: t}
	first := t.allocator(now)
	switch {
	case t.mayAllocate(now, first):
		b, begins := t.ownBucket(now, first.in)
		if begins {
			e.begins = first.in
		}
		granted, retryAfter := b.grant(now, 1, 1)
		if granted == 0 {
			e.decide(done, t.exceeded(now, retryAfter))
			break
		}
		e.decide(done, t.spend(now))
	case t.pending.open:
		t.pending.waiters = append(t.pending.waiters, done)
	case now.Before(t.pending.holdUntil):
		e.decide(done, t.exceeded(now, t.pending.availableAt.Sub(now)))
	case first.none, first.target() == t.pending.silent && now.Before(t.pending.silentUntil):
		e.decide(done, t.fallBack(now))
	default:
		t.pending.waiters = append(t.pending.waiters, done)
		return t.openRequest(now)
	}
	return e
}

// spend returns a token that was granted just now.
func (t *tenant) spend(now time.Time) Outcome {
	grantedTotal.Inc()
	t.tokenRate.observe(now, 1)
	return Outcome{Token: Token{tenant: t, expires: expiry(now.Sub(t.node.start) + validity)}}
}

// openRequest asks the allocator for the tokens of the waiting requests and of the expected demand. It is called with the lock held,
// while no request is open.
func (t *tenant) openRequest(now time.Time) effects {
	first := t.allocator(now)
	if first.none || t.mayAllocate(now, first) {
		return effects{node: t.node, tenant: t} // an allocator takes tokens one by one, from its own bucket
	}
	t.pending.redirected, t.pending.first = false, first.target()
	return t.sendRequest(now, t.pending.first)
}

func (t *tenant) sendRequest(now time.Time, to netip.AddrPort) effects {
	waiting := min(len(t.pending.waiters), MaxTokens)
	ahead := t.demand.expected(now) - float64(t.tokens.count(now.Sub(t.node.start)))
	wanted := min(waiting+int(max(0, math.Ceil(ahead))), MaxTokens)
	a := &t.pending
	a.open, a.credited, a.number, a.sentAt, a.to, a.waiting, a.wanted = true, false, t.node.lastNumber.Add(1), now, to, waiting, wanted
	request := t.request()
	return effects{node: t.node, tenant: t, to: to, request: &request}
}

func (t *tenant) request() Request {
	p := &t.pending
	return Request{Number: p.number, Tenant: t.name, Version: t.node.version.Load(), Waiting: p.waiting, Wanted: p.wanted}
}

// repeat sends the request once more when it has no reply.
func (t *tenant) repeat(number uint32) {
	t.mu.Lock()
	if !t.pending.open || t.pending.number != number {
		t.mu.Unlock()
		return
	}
	request, to := t.request(), t.pending.to
	t.mu.Unlock()
	t.node.AfterFunc(requestTimeout-repeatAfter, func() { t.timeOut(number) })
	t.node.Sender.SendQuotaRequest(to, request)
}

// timeOut lets the fallback decide on the waiting requests when there is no reply.
func (t *tenant) timeOut(number uint32) {
	t.mu.Lock()
	if !t.pending.open || t.pending.number != number {
		t.mu.Unlock()
		return
	}
	e := t.giveUp(t.node.Now())
	e.silent = t.pending.to
	t.mu.Unlock()
	e.run()
}

// giveUp closes the request and lets the fallback decide on all waiting requests.
func (t *tenant) giveUp(now time.Time) effects {
	e := effects{node: t.node, tenant: t}
	t.pending.open, t.pending.silent, t.pending.silentUntil = false, t.pending.first, now.Add(silentFor)
	for _, done := range t.pending.waiters {
		e.decide(done, t.fallBack(now))
	}
	t.pending.waiters = nil
	return e
}

// HandleReply handles the reply of another node to a request for tokens.
func (n *Node) HandleReply(from netip.AddrPort, r Reply) {
	t, limited := n.tenants.Get(r.Tenant)
	if !limited {
		return
	}
	t.mu.Lock()
	e := t.handleReply(n.Now(), from, r)
	t.mu.Unlock()
	e.run()
}

func (t *tenant) handleReply(now time.Time, from netip.AddrPort, r Reply) effects {
	a := &t.pending
	e := effects{node: t.node, tenant: t}
	if a.credited || a.number != r.Number || from != a.to {
		return e // a datagram that was repeated, or is late
	}
	if !r.Allocator {
		return t.redirect(now, r.Other)
	}
	a.credited, a.silentUntil, t.fallback = true, time.Time{}, fallback{}
	elapsed := now.Sub(t.node.start)
	t.tokenRate.observe(now, r.Granted)
	t.tokens.add(elapsed, expiry(a.sentAt.Sub(t.node.start)+min(r.Valid, validity)), r.Granted)
	if !a.open {
		return e // the reply came late; its tokens are for the next requests
	}
	a.open = false
	left := t.serveWaiters(&e, elapsed)
	if r.Granted < a.waiting {
		hold := min(max(r.RetryAfter, minHold), maxHold)
		a.holdUntil, a.availableAt = now.Add(hold), now.Add(max(hold, r.RetryAfter))
		for _, done := range left {
			e.decide(done, t.exceeded(now, max(hold, r.RetryAfter)))
		}
		return e
	}
	if len(left) > 0 {
		t.requestForRest(&e, now, left)
	}
	return e
}

// serveWaiters gives the unused tokens to waiting requests and returns those that are left without one, which no longer wait.
func (t *tenant) serveWaiters(e *effects, elapsed time.Duration) []func(Outcome) {
	waiters := t.pending.waiters
	t.pending.waiters = nil
	for i, done := range waiters {
		expires, ok := t.tokens.take(elapsed)
		if !ok {
			return waiters[i:]
		}
		grantedTotal.Inc()
		e.decide(done, Outcome{Token: Token{tenant: t, expires: expires}})
	}
	return nil
}

// requestForRest sends the next request for those that came after the last one was sent.
func (t *tenant) requestForRest(e *effects, now time.Time, waiters []func(Outcome)) {
	t.pending.waiters = waiters
	next := t.openRequest(now)
	e.request, e.to = next.request, next.to
	if next.request != nil {
		return
	}
	t.pending.waiters = nil // this node has become the allocator
	for _, done := range waiters {
		e.decide(done, t.fallBack(now))
	}
}

// redirect follows a reply of a node that is not the allocator. If that is this node, it decides on the waiting requests. Else it asks
// the member that the reply names, whether or not it takes that one as reachable, and gives up after a second such reply.
func (t *tenant) redirect(now time.Time, other netip.AddrPort) effects {
	if !t.pending.open {
		return effects{node: t.node, tenant: t}
	}
	if first := t.allocator(now); other == t.node.Addr && first.isSelf() {
		t.confirmedUntil = now.Add(confirmedFor)
		return t.decideWaiting(now, first.in)
	}
	isOther := func(m ranked) bool { return m.addr == other }
	if t.pending.redirected || other == t.pending.to || other == t.node.Addr || !slices.ContainsFunc(t.node.view.Load().all, isOther) {
		return t.giveUp(now)
	}
	t.pending.redirected = true
	return t.sendRequest(now, other)
}

// decideWaiting decides on all waiting requests by the bucket of this node, the allocator.
func (t *tenant) decideWaiting(now time.Time, v *view) effects {
	e := effects{node: t.node, tenant: t}
	b, begins := t.ownBucket(now, v)
	if begins {
		e.begins = v
	}
	for _, done := range t.pending.waiters {
		if granted, retryAfter := b.grant(now, 1, 1); granted == 0 {
			e.decide(done, t.exceeded(now, retryAfter))
			continue
		}
		e.decide(done, t.spend(now))
	}
	t.pending.open, t.pending.waiters = false, nil
	return e
}

// fallback is the bucket that a node uses while it reaches no allocator. It starts empty: until the allocator finds that this node is
// out of reach it allocates the whole quota.
type fallback struct {
	limiter *rate.Limiter // nil while it is not in use
	known   int           // members among which the quota is divided
	holder  bool          // see mayHoldToken
}

// open divides the quota by the number of known members.
func (f *fallback) open(now time.Time, t *tenant, v *view) {
	known, level := float64(v.known), 0.0
	if f.limiter != nil {
		level = f.limiter.TokensAt(now)
	}
	f.known, f.holder = v.known, v.mayHoldToken(t)
	f.limiter = newLimiter(now, t.quota.PerSecond/known, int(min(MaxTokens, max(1, t.quota.Burst/known))), level)
}

// fallBack decides by the fallback.
func (t *tenant) fallBack(now time.Time) Outcome {
	v := t.node.view.Load()
	if t.node.eligible(now) {
		if t.fallback.limiter == nil || t.fallback.known != v.known {
			t.fallback.open(now, t, v)
		}
		if t.fallback.holder && t.fallback.limiter.AllowN(now, 1) {
			fallbackTotal.Inc()
			return t.spend(now)
		}
	}
	unavailableTotal.Inc()
	t.countRefusal(now, caller.QuotaUnavailable)
	refusal := caller.Refuse(caller.QuotaUnavailable, step, "")
	refusal.RetryAfter = unavailableRetryAfter + rand.N(unavailableRetryAfter)
	return Outcome{Refusal: refusal}
}
