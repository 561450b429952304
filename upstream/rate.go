package upstream

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

const (
	// burstTime is the time whose requests may start at once after the upstream got fewer than it takes.
	burstTime = time.Second
	// minRate is the rate, in requests a second, at which requests still go to an upstream that takes fewer or none. An upstream says
	// only in the answers to requests that its limit is over.
	minRate = 0.2
	// returnSpread is the time over which the returns of refused callers are spread, from the moment at which the first of them may
	// find room.
	returnSpread = 2 * time.Second
	// unknownRateSlots is the number of slots in use while it is not known whether the upstream has a rate limit.
	unknownRateSlots = 3
)

// rateLimit limits the requests that start each second, by the lower of the limit that the upstream names and the one while it is cold.
// The zero value is no limit. It is guarded by the lock of the Upstream.
type rateLimit struct {
	named    caller.RateLimit
	cold     ColdLimit
	bucket   *rate.Limiter // nil without a limit
	wake     *time.Timer   // grants a slot to a waiting request when the next token is due, nil before the first use
	returnAt time.Time     // next moment at which a refused caller may return
}

// set replaces the named limit. The bucket of a new limit is empty: the requests that were sent before it was named count too.
func (l *rateLimit) set(now time.Time, limit caller.RateLimit) {
	l.named = limit
	l.update(now)
}

// update adjusts the bucket to the limits in force.
func (l *rateLimit) update(now time.Time) {
	l.returnAt = time.Time{}
	perSecond, burst := l.inForce()
	if perSecond == 0 {
		l.bucket = nil
		return
	}
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.bucket.AllowN(now, burst)
		return
	}
	l.bucket.SetLimitAt(now, rate.Limit(perSecond))
	l.bucket.SetBurstAt(now, burst)
}

// inForce returns the rate and the burst that count, 0 without a limit.
func (l *rateLimit) inForce() (perSecond float64, burst int) {
	if l.named.Named {
		perSecond = max(l.named.PerSecond, minRate)
		burst = max(1, int(perSecond*burstTime.Seconds()))
	}
	if l.cold.PerSecond <= 0 {
		return perSecond, burst
	}
	coldRate := max(l.cold.PerSecond, minRate)
	if !l.named.Named {
		return coldRate, max(1, l.cold.Burst)
	}
	return min(perSecond, coldRate), min(burst, max(1, l.cold.Burst))
}

// ready reports whether a request may start now.
func (l *rateLimit) ready(now time.Time) bool { return l.bucket == nil || l.bucket.TokensAt(now) >= 1 }

// take counts a request that starts. ready has returned true.
func (l *rateLimit) take(now time.Time) {
	if l.bucket != nil {
		l.bucket.AllowN(now, 1)
	}
}

// wait returns the time until the request behind the given number of others may start.
func (l *rateLimit) wait(now time.Time, ahead int) time.Duration {
	if l.bucket == nil {
		return 0
	}
	missing := float64(ahead+1) - l.bucket.TokensAt(now)
	return time.Duration(max(0, missing) / float64(l.bucket.Limit()) * float64(time.Second))
}

// returnAfter returns the delay after which a refused caller may return, given the time until it would find room now. Callers that are
// refused one after another return at the rate of the limit.
func (l *rateLimit) returnAfter(now time.Time, wait time.Duration) time.Duration {
	first := now.Add(wait)
	if l.returnAt.Before(first) || l.returnAt.After(first.Add(returnSpread)) {
		l.returnAt = first
	}
	after := l.returnAt.Sub(now)
	l.returnAt = l.returnAt.Add(time.Duration(float64(time.Second) / float64(l.bucket.Limit())))
	return after
}

// SetRateLimit sets the rate at which requests start from now on.
func (u *Upstream) SetRateLimit(now time.Time, limit caller.RateLimit) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rate.set(now, limit)
	u.processWaiting(now)
}

// RateUnknown restricts the upstream to a few slots until RateKnown is called. It may have named a rate limit to a process of the node
// that has ended, and names it again in its first answer to this one.
func (u *Upstream) RateUnknown() { u.setRateUnknown(true) }

// RateKnown ends the restriction of RateUnknown.
func (u *Upstream) RateKnown() { u.setRateUnknown(false) }

func (u *Upstream) setRateUnknown(unknown bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rateUnknown == unknown {
		return
	}
	u.rateUnknown = unknown
	u.processWaiting(time.Now())
}

// RateAllowance is what a rate limit leaves at one moment.
type RateAllowance struct {
	Limit     caller.RateLimit // the zero value when there is none
	Available float64          // requests that may start now, less those that wait
}

// RateAllowance returns what the rate limit leaves now.
func (u *Upstream) RateAllowance(now time.Time) RateAllowance {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rate.bucket == nil {
		return RateAllowance{}
	}
	return RateAllowance{
		Limit:     caller.RateLimit{Named: true, PerSecond: float64(u.rate.bucket.Limit())},
		Available: u.rate.bucket.TokensAt(now) - float64(u.queues.waiting),
	}
}

// scheduleGrant arranges that a waiting request starts when the rate limit allows it, if that is what it waits for. It is called with
// the lock held.
func (u *Upstream) scheduleGrant(now time.Time) {
	if u.queues.waiting == 0 || u.rate.ready(now) {
		return
	}
	due := max(u.rate.wait(now, 0), minGrantDelay)
	if u.rate.wake == nil {
		u.rate.wake = time.AfterFunc(due, u.expire)
		return
	}
	u.rate.wake.Reset(due)
}

// minGrantDelay keeps a token that is due within the resolution of timers from waking the upstream several times.
const minGrantDelay = time.Millisecond
