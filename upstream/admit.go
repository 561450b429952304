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
	// maxWaiting bounds the number of waiting requests over all classes, and so the memory that they hold.
	maxWaiting = 1024
	// minRetryAfter is the shortest retry delay that a refusal for load gives to the caller.
	minRetryAfter = 100 * time.Millisecond
	// ObjectiveShare is the share of the time left to its objective in which a waiting request is expected to be answered. The rest
	// covers service times above the typical one and the way back.
	ObjectiveShare = 0.7
)

// AdmitRequest holds the attributes of a request that admission depends on.
type AdmitRequest struct {
	ID       string       // request ID
	Class    bundle.Class // class of the request in the contract
	Rules    Rules        // rules of the service; the last ones given apply to all requests
	Deadline time.Time    // a request that can't be answered by then is refused
	// Objective is the time by which the answer has its full value; zero for none. A request that would have to wait for a slot is
	// refused when it probably misses its objective, since another upstream may have room.
	Objective time.Time
	// Retried says that another upstream, or this one before, has refused the request, so that a further refusal is likely to be final.
	Retried bool
}

// lease is a slot held by a running request.
type lease struct {
	upstream           *Upstream
	queue              *classQueue
	class              bundle.Class
	started            time.Time
	slotSecondsAtStart float64 // slots.slotSeconds when the request started
	released           atomic.Bool
}

// Admit waits for a slot and returns the function that releases it; calls after the first have no
// effect. It waits until the deadline of the request, the longest wait of its class or the end of ctx.
// The error is a *caller.Refusal with Ran set to NotRun and the reason NotReady, Draining, ColdUpstream,
// Evacuated, QueueFull, DeadlineUnmeetable, RateLimited, DeadlinePassed, Overload or Cancelled.
func (u *Upstream) Admit(ctx context.Context, req AdmitRequest) (func(), error) {
	w, refusal := u.admitOrQueue(time.Now(), req)
	if refusal != nil {
		return nil, refusal
	}
	if w.done == nil { // granted at once; w.lease is not read here, since a concurrent grant may be writing it
		return w.lease.release, nil
	}
	waitLimit, reason := w.waitLimit()
	timer := time.NewTimer(waitLimit)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
		u.removeWaiter(w, reason)
	case <-ctx.Done():
		u.removeWaiter(w, caller.Cancelled)
		if w.lease != nil { // granted before it could leave the queue
			w.lease.release()
			return nil, caller.Refuse(caller.Cancelled, admitStep, "")
		}
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return w.lease.release, nil
}

// admitOrQueue grants a slot at once, queues the request or refuses it. The waiter has no done channel when a slot
// was granted.
func (u *Upstream) admitOrQueue(now time.Time, req AdmitRequest) (*waiter, *caller.Refusal) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !now.Before(req.Deadline) {
		return nil, caller.Refuse(caller.DeadlinePassed, admitStep, "")
	}
	if reason, refused := u.unavailable(now); refused {
		return nil, caller.Refuse(reason, admitStep, "")
	}
	u.rules = req.Rules.withDefaults()
	w := &waiter{request: req, queue: u.queues.forClass(req.Class), arrived: now, answerBy: req.answerBy(now), index: -1}
	w.refuseBy = u.refuseBy(w)
	if u.queues.waiting == 0 && u.canStart(now, req.Class) {
		u.acquireSlot(now, w)
		return w, nil
	}
	if refusal := u.refuseUnmeetable(now, w); refusal != nil {
		return nil, refusal
	}
	if refusal := u.enforceQueueLimits(now, w); refusal != nil {
		return nil, refusal
	}
	w.done = make(chan struct{})
	u.queues.add(w)
	u.grantWaiting(now)
	u.shedBeyondColdRate(now)
	return w, nil
}

// answerBy returns the time by which a request that waits for a slot is to be answered: its deadline, or the time that is left
// to its objective less the reserve for a long service time.
func (r AdmitRequest) answerBy(now time.Time) time.Time {
	if r.Objective.IsZero() {
		return r.Deadline
	}
	onTime := now.Add(time.Duration(ObjectiveShare * float64(r.Objective.Sub(now))))
	if onTime.Before(r.Deadline) {
		return onTime
	}
	return r.Deadline
}

const (
	// shortWorkShare is the largest service time of short work, as a share of the time that the work which holds the slots takes.
	shortWorkShare = 0.5
	// recentWorkWeight is the weight of one finished request in the mix of classes.
	recentWorkWeight = 1.0 / 128
)

// refuseBy returns the time by which a waiting request has to start early enough to be answered, or it is refused. Short work among longer
// work may miss its objective by as much as the longer work takes: it costs little, other work often waits for its answer while holding a
// slot elsewhere, and a refusal would waste that work. At the first attempt it is refused at its objective: another upstream may have room.
func (u *Upstream) refuseBy(w *waiter) time.Time {
	typical, occupying := u.typicalServiceTime(w.queue), u.queues.occupyingTime()
	if !w.request.Retried || typical == 0 || float64(typical) > shortWorkShare*float64(occupying) {
		return w.answerBy
	}
	extended := w.arrived.Add(occupying)
	if extended.After(w.request.Deadline) {
		extended = w.request.Deadline
	}
	if extended.Before(w.answerBy) {
		return w.answerBy
	}
	return extended
}

// refuseUnmeetable refuses a request whose expected wait exceeds its deadline or the longest wait of its class.
func (u *Upstream) refuseUnmeetable(now time.Time, w *waiter) *caller.Refusal {
	if u.canStart(now, w.request.Class) {
		return nil
	}
	wait, byRate := u.expectedWait(now, w)
	if now.Add(wait + u.typicalServiceTime(w.queue)).After(w.refuseBy) {
		return u.refuseUnmet(now, wait, byRate)
	}
	if maxWait := w.request.Class.MaxWait; maxWait > 0 && wait > maxWait {
		return refuseForLoad(caller.Overload, wait)
	}
	return nil
}

// refuseUnmet returns the refusal of a request that cannot be answered in time. byRate says that the rate limit causes the wait.
func (u *Upstream) refuseUnmet(now time.Time, wait time.Duration, byRate bool) *caller.Refusal {
	if !byRate {
		return refuseForLoad(caller.DeadlineUnmeetable, wait)
	}
	return refuseForLoad(caller.RateLimited, u.rate.returnAfter(now, wait))
}

// enforceQueueLimits refuses the least valuable request when a queue is at its limit: it returns a refusal
// for the new request, or evicts a waiting one.
func (u *Upstream) enforceQueueLimits(now time.Time, w *waiter) *caller.Refusal {
	var victim *waiter
	switch {
	case len(w.queue.waiting) >= w.request.Class.MaxQueue:
		victim = w.queue.latestDeadline()
	case u.queues.waiting >= maxWaiting:
		victim = u.queues.leastValuable()
	default:
		return nil
	}
	reason := caller.QueueFull
	if u.announced.State == instance.Cold {
		reason = caller.ColdUpstream
	}
	wait, byRate := u.expectedWait(now, w)
	refusal := refuseForLoad(reason, wait)
	if byRate {
		refusal = u.refuseUnmet(now, wait, byRate)
	}
	if victim == nil || !moreValuable(w, victim) {
		return refusal
	}
	u.queues.remove(victim)
	victim.finish(refusal)
	return nil
}

// moreValuable reports whether a is kept in preference to b: by priority (the smaller number goes
// first), then by the earlier deadline.
func moreValuable(a, b *waiter) bool {
	if a.request.Class.Priority != b.request.Class.Priority {
		return a.request.Class.Priority < b.request.Class.Priority
	}
	return a.answerBy.Before(b.answerBy)
}

// refuseForLoad returns a refusal that asks the caller to retry after the expected wait.
func refuseForLoad(reason caller.Reason, wait time.Duration) *caller.Refusal {
	refusal := caller.Refuse(reason, admitStep, "")
	refusal.RetryAfter = max(wait, minRetryAfter)
	return refusal
}

// waitLimit returns how long the request may wait, and the reason for refusing it after that.
func (w *waiter) waitLimit() (time.Duration, caller.Reason) {
	left := w.refuseBy.Sub(w.arrived)
	if maxWait := w.request.Class.MaxWait; maxWait > 0 && maxWait < left {
		return maxWait, caller.Overload
	}
	if w.refuseBy.Before(w.request.Deadline) {
		return left, caller.DeadlineUnmeetable
	}
	return left, caller.DeadlinePassed
}

// removeWaiter removes the request from its queue and refuses it, unless it has been granted or refused meanwhile.
func (u *Upstream) removeWaiter(w *waiter, reason caller.Reason) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.queues.remove(w) {
		return
	}
	switch reason {
	case caller.Overload:
		w.refusal = refuseForLoad(reason, w.request.Class.MaxWait)
	case caller.DeadlineUnmeetable:
		now := time.Now()
		wait, byRate := u.expectedWait(now, w)
		w.refusal = u.refuseUnmet(now, wait, byRate)
	default:
		w.refusal = caller.Refuse(reason, admitStep, "")
	}
}

// canStart reports whether the slots and the rate limit allow a request of the class to start now.
func (u *Upstream) canStart(now time.Time, class bundle.Class) bool {
	return u.rate.ready(now) && u.slots.canStart(class, u.rules, u.slotsInForce(now), u.announced.Slots)
}

// grantWaiting grants slots to waiting requests while one can start, and wakes only those requests. A
// request whose deadline can no longer be met is refused instead, so that no slot is spent on it.
func (u *Upstream) grantWaiting(now time.Time) {
	for {
		w := u.queues.next(now, u.rules.Aging, func(c bundle.Class) bool { return u.canStart(now, c) })
		if w == nil {
			u.scheduleGrant(now)
			return
		}
		u.queues.remove(w)
		if now.Add(u.typicalServiceTime(w.queue) / 2).After(w.refuseBy) {
			w.finish(refuseForLoad(caller.DeadlineUnmeetable, now.Sub(w.arrived)))
			continue
		}
		w.queue.agingSince = now
		u.acquireSlot(now, w)
		w.finish(nil)
	}
}

func (u *Upstream) acquireSlot(now time.Time, w *waiter) {
	u.slots.acquire(now, w.request.Class)
	u.rate.take(now)
	u.starts.add(now)
	w.lease = &lease{upstream: u, queue: w.queue, class: w.request.Class, started: now, slotSecondsAtStart: u.slots.slotSeconds}
}

// release returns the slot and grants it to a waiting request. Calls after the first have no effect.
func (l *lease) release() {
	if l.released.Swap(true) {
		return
	}
	u := l.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.slots.release(now, l.class)
	u.recordServiceTime(l, now.Sub(l.started))
	u.processWaiting(now)
}

// recordServiceTime updates the adaptive limit and the service time estimates with a finished request. Long classes
// are left out, since the time of a download depends on its size and its caller.
func (u *Upstream) recordServiceTime(l *lease, took time.Duration) {
	if usual := l.queue.serviceTime.longRunMean; !l.class.Long && usual > 0 && took > 0 {
		concurrency := (u.slots.slotSeconds - l.slotSecondsAtStart) / took.Seconds()
		u.limit.observe(took.Seconds()/usual, concurrency, u.announced.Slots)
	}
	l.queue.serviceTime.add(took)
	if !l.class.Long {
		u.serviceTime.add(took)
		u.queues.countFinished(l.queue)
	}
}

// typicalServiceTime returns the expected service time of a request of the class. It is 0 for long classes,
// since the time of a download depends on its size and its caller, not on its class.
func (u *Upstream) typicalServiceTime(q *classQueue) time.Duration {
	if q.class.Long {
		return 0
	}
	return q.serviceTime.medianTime()
}

// expectedWait estimates the time until the request starts: the wait for a slot or, with byRate, the longer one for the rate limit.
func (u *Upstream) expectedWait(now time.Time, w *waiter) (wait time.Duration, byRate bool) {
	forSlot, ahead := u.slotWait(now, w)
	forRate := u.rate.wait(now, ahead)
	return max(forSlot, forRate), forRate > forSlot
}

// slotWait estimates the time until the request gets a slot: the mean service times of the requests ahead of it and one of its own
// class, divided by the slots that its kind of work (long or short) may use. It also returns the number of all requests ahead of it.
func (u *Upstream) slotWait(now time.Time, w *waiter) (wait time.Duration, aheadOfAnyKind int) {
	limit := u.slotsInForce(now)
	capacity := limit - min(u.slots.long, u.rules.LongSlots(limit))
	if w.request.Class.Long {
		capacity = u.rules.LongSlots(limit)
	}
	work := w.queue.serviceTime.meanTime()
	priority := w.request.Class.Priority
	for _, q := range u.queues.perClass {
		ahead := 0
		switch {
		case q == w.queue:
			ahead = q.countAhead(w.answerBy)
		case q.agedPriority(now, u.rules.Aging) < priority:
			ahead = len(q.waiting)
		case q.agedPriority(now, u.rules.Aging) == priority:
			ahead = q.countAhead(w.answerBy) // the earliest deadline goes first among equal priorities
		}
		aheadOfAnyKind += ahead
		if q.class.Long == w.request.Class.Long { // long and short requests wait for different slots
			work += time.Duration(ahead) * q.serviceTime.meanTime()
		}
	}
	return work / time.Duration(max(1, capacity)), aheadOfAnyKind
}
