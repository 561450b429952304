package upstream

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
)

const (
	// maxWaiting bounds the requests that wait over all classes, and so the memory they hold.
	maxWaiting = 1024
	// minRetryAfter is the shortest time that a refusal for load tells the caller to stay away.
	minRetryAfter = 100 * time.Millisecond
)

// Ticket is what admission needs to know of a request.
type Ticket struct {
	ID       string       // of the request
	Class    bundle.Class // class of the contract
	Rules    Rules        // those of the last ticket hold for all requests
	Deadline time.Time    // end of the call; a request that can't meet it is refused
}

// lease is one slot held by a request.
type lease struct {
	upstream *Upstream
	queue    *classQueue
	class    bundle.Class
	started  time.Time
	area     float64 // of the slots at the start
	returned atomic.Bool
}

// Admit waits for a slot and returns the function that gives it back; calls after the first have no
// effect. It waits until the deadline of the ticket, the longest wait of its class or the end of ctx.
// The error is a *caller.Refusal that says not-run, with the reason NotReady, Draining, ColdUpstream,
// QueueFull, DeadlineUnmeetable, DeadlinePassed, Overload or Cancelled.
func (u *Upstream) Admit(ctx context.Context, t Ticket) (func(), error) {
	w, refusal := u.enter(time.Now(), t)
	if refusal != nil {
		return nil, refusal
	}
	if w.done == nil { // granted at once; the lease of a queued request may be written by now
		return w.lease.release, nil
	}
	waitLimit, reason := w.waitLimit()
	timer := time.NewTimer(waitLimit)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
		u.leave(w, reason)
	case <-ctx.Done():
		u.leave(w, caller.Cancelled)
		if w.lease != nil {
			w.lease.release()
			return nil, caller.Refuse(caller.Cancelled, admitStep, "")
		}
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return w.lease.release, nil
}

// enter grants a slot at once, queues the request or refuses it.
func (u *Upstream) enter(now time.Time, t Ticket) (*waiter, *caller.Refusal) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !now.Before(t.Deadline) {
		return nil, caller.Refuse(caller.DeadlinePassed, admitStep, "")
	}
	if reason, closed := u.closed(now); closed {
		return nil, caller.Refuse(reason, admitStep, "")
	}
	u.rules = t.Rules.withDefaults()
	w := &waiter{ticket: t, queue: u.queues.of(t.Class), arrived: now, index: -1}
	if u.queues.waiting == 0 && u.fits(now, t.Class) {
		u.start(now, w)
		return w, nil
	}
	if refusal := u.refuseUnmeetable(now, w); refusal != nil {
		return nil, refusal
	}
	if refusal := u.makeRoom(now, w); refusal != nil {
		return nil, refusal
	}
	w.done = make(chan struct{})
	u.queues.add(w)
	u.grant(now)
	return w, nil
}

// refuseUnmeetable refuses a request that would have to wait longer than it may.
func (u *Upstream) refuseUnmeetable(now time.Time, w *waiter) *caller.Refusal {
	if u.fits(now, w.ticket.Class) {
		return nil
	}
	wait := u.expectedWait(now, w)
	if now.Add(wait + u.typical(w.queue)).After(w.ticket.Deadline) {
		return refuseForLoad(caller.DeadlineUnmeetable, wait)
	}
	if most := w.ticket.Class.MaxWait; most > 0 && wait > most {
		return refuseForLoad(caller.Overload, wait)
	}
	return nil
}

// makeRoom keeps the queues within their limits: it refuses the least valuable request, which is
// the new one or one that waits.
func (u *Upstream) makeRoom(now time.Time, w *waiter) *caller.Refusal {
	var worst *waiter
	switch {
	case len(w.queue.waiting) >= w.ticket.Class.MaxQueue:
		worst = w.queue.last()
	case u.queues.waiting >= maxWaiting:
		worst = u.queues.leastValuable()
	default:
		return nil
	}
	reason := caller.QueueFull
	if u.announced.State == instance.Cold {
		reason = caller.ColdUpstream
	}
	refusal := refuseForLoad(reason, u.expectedWait(now, w))
	if worst == nil || !moreValuable(w, worst) {
		return refusal
	}
	u.queues.remove(worst)
	worst.finish(refusal)
	return nil
}

func moreValuable(a, b *waiter) bool {
	if a.ticket.Class.Priority != b.ticket.Class.Priority {
		return a.ticket.Class.Priority < b.ticket.Class.Priority
	}
	return a.ticket.Deadline.Before(b.ticket.Deadline)
}

func refuseForLoad(reason caller.Reason, wait time.Duration) *caller.Refusal {
	refusal := caller.Refuse(reason, admitStep, "")
	refusal.RetryAfter = max(wait, minRetryAfter)
	return refusal
}

// waitLimit returns how long the request may wait, and the reason for refusing it then.
func (w *waiter) waitLimit() (time.Duration, caller.Reason) {
	left := w.ticket.Deadline.Sub(w.arrived)
	if most := w.ticket.Class.MaxWait; most > 0 && most < left {
		return most, caller.Overload
	}
	return left, caller.DeadlinePassed
}

// leave takes the request out of its queue unless it has been granted or refused meanwhile.
func (u *Upstream) leave(w *waiter, reason caller.Reason) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.queues.remove(w) {
		return
	}
	w.refusal = caller.Refuse(reason, admitStep, "")
	if reason == caller.Overload {
		w.refusal = refuseForLoad(reason, w.ticket.Class.MaxWait)
	}
}

func (u *Upstream) fits(now time.Time, class bundle.Class) bool {
	return u.slots.fit(class, u.rules, u.limitAt(now), u.announced.Slots)
}

// grant starts waiting requests as long as one fits, and wakes each of them alone. A request whose
// deadline can no longer be met is refused instead, so that no slot is spent on it.
func (u *Upstream) grant(now time.Time) {
	for {
		w := u.queues.next(now, u.rules.Aging, func(c bundle.Class) bool { return u.fits(now, c) })
		if w == nil {
			return
		}
		u.queues.remove(w)
		if now.Add(u.typical(w.queue) / 2).After(w.ticket.Deadline) {
			w.finish(refuseForLoad(caller.DeadlineUnmeetable, now.Sub(w.arrived)))
			continue
		}
		w.queue.since = now
		u.start(now, w)
		w.finish(nil)
	}
}

func (u *Upstream) start(now time.Time, w *waiter) {
	u.slots.take(now, w.ticket.Class)
	w.lease = &lease{upstream: u, queue: w.queue, class: w.ticket.Class, started: now, area: u.slots.area}
}

// release gives the slot back.
func (l *lease) release() {
	if l.returned.Swap(true) {
		return
	}
	u := l.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.slots.put(now, l.class)
	u.learn(l, now.Sub(l.started))
	u.settle(now)
}

func (u *Upstream) learn(l *lease, took time.Duration) {
	if slow := l.queue.service.slow; !l.class.Long && slow > 0 && took > 0 {
		concurrency := (u.slots.area - l.area) / took.Seconds()
		u.limit.observe(took.Seconds()/slow, concurrency, u.announced.Slots)
	}
	l.queue.service.add(took)
	if !l.class.Long {
		u.service.add(took)
	}
}

// typical returns the service time to expect of a request. It is 0 for long classes, since the
// time of a download depends on its size and its caller, not on its class.
func (u *Upstream) typical(q *classQueue) time.Duration {
	if q.class.Long {
		return 0
	}
	return q.service.typical()
}

// expectedWait returns the time until a slot is expected for the request: the work that goes before
// it, spread over the slots that serve its kind.
func (u *Upstream) expectedWait(now time.Time, w *waiter) time.Duration {
	limit := u.limitAt(now)
	servers := limit - min(u.slots.long, u.rules.LongSlots(limit))
	if w.ticket.Class.Long {
		servers = u.rules.LongSlots(limit)
	}
	work := w.queue.service.average()
	priority := w.ticket.Class.Priority
	for _, q := range u.queues.classes {
		before := 0
		switch {
		case q == w.queue:
			before = q.ahead(w.ticket.Deadline)
		case q.class.Long != w.ticket.Class.Long:
			// Long and short work wait for different slots.
		case q.priority(now, u.rules.Aging) < priority:
			before = len(q.waiting)
		case q.priority(now, u.rules.Aging) == priority:
			before = q.ahead(w.ticket.Deadline) // among equals the earliest deadline goes first
		}
		work += time.Duration(before) * q.service.average()
	}
	return work / time.Duration(max(1, servers))
}
