package upstream

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// coldRateFactor and coldAllowance give the requests that a cold upstream may get in any second: its rate times the factor, and the
	// allowance.
	coldRateFactor = 1.5
	coldAllowance  = 8
	// coldBurstShare is the share of the requests beyond the rate that may start at once. With one half, the bound also holds in a
	// second that begins before a restart of the node and ends after it, in which two full buckets are used.
	coldBurstShare = 0.5
	// coldWaitShare is the share of the time to the answer that a request may be expected to wait for the cold rate, within minColdWait
	// and maxColdWait. The entry node of one that would wait longer is told at once: another upstream may have room, and the rate is used
	// up either way.
	coldWaitShare = 0.25
	minColdWait   = 100 * time.Millisecond
	maxColdWait   = 500 * time.Millisecond
)

// ColdLimit limits the requests that start while the upstream is cold, or may be. The zero value is no limit.
type ColdLimit struct {
	PerSecond float64
	Burst     int // requests that may start at once
}

// ColdLimitOf returns the limit of an upstream that tolerates the given rate while it is cold, the zero value for 0.
func ColdLimitOf(perSecond float64) ColdLimit {
	if perSecond <= 0 {
		return ColdLimit{}
	}
	beyond := (coldRateFactor-1)*perSecond + coldAllowance
	return ColdLimit{PerSecond: perSecond, Burst: int(coldBurstShare * beyond)}
}

// SmallestColdLimit returns a limit within the bound of every rate. It holds while the rate is not known.
func SmallestColdLimit() ColdLimit {
	return ColdLimit{PerSecond: coldAllowance / 4, Burst: coldAllowance / 4}
}

// SetColdLimit sets the limit for the time in which the upstream is cold, and ends it with the zero value. The requests that started in
// the last second count against a new or lower limit. Waiting requests that the limit would keep for too long are refused.
func (u *Upstream) SetColdLimit(now time.Time, limit ColdLimit) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rate.setCold(now, limit, u.starts.within(now))
	u.processWaiting(now)
	u.shedBeyondColdRate(now)
}

// setCold replaces the limit while the upstream is cold. recent is the number of requests that started in the last second.
func (l *rateLimit) setCold(now time.Time, limit ColdLimit, recent int) {
	before, _ := l.inForce()
	wasCold := l.cold.PerSecond > 0
	l.cold = limit
	after, burst := l.inForce()
	if after > 0 && l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(after), burst)
	}
	l.update(now)
	if l.bucket == nil || limit.PerSecond <= 0 || wasCold && before <= after {
		return
	}
	// The debt is paid after a second at most, when the requests before the change no longer count.
	most := max(float64(burst-recent), -after)
	for l.bucket.TokensAt(now) > most {
		l.bucket.ReserveN(now, 1)
	}
}

// shedBeyondColdRate refuses the least valuable waiting request while the cold rate would keep it for too long. It is called with the
// lock held.
func (u *Upstream) shedBeyondColdRate(now time.Time) {
	if u.rate.cold.PerSecond <= 0 {
		return
	}
	for w := u.queues.leastValuable(); w != nil; w = u.queues.leastValuable() {
		wait := u.rate.wait(now, u.queues.waiting-1)
		if wait <= w.maxColdWait() {
			return
		}
		u.queues.remove(w)
		w.finish(u.refuseUnmet(now, wait, true))
	}
}

// maxColdWait returns the longest time that the request may be expected to wait for the cold rate.
func (w *waiter) maxColdWait() time.Duration {
	share := time.Duration(coldWaitShare * float64(w.answerBy.Sub(w.arrived)))
	return min(max(share, minColdWait), maxColdWait)
}

const (
	// startsSlot is the resolution with which starts of requests are counted, and startsSlots the number of slots that cover any second.
	startsSlot  = 10 * time.Millisecond
	startsSlots = 101
)

// recentStarts counts the requests that started in the last second. The zero value has counted none.
type recentStarts struct {
	epoch  time.Time // time of the first request
	counts [startsSlots]int
	slots  [startsSlots]int64 // slot since epoch to which each count belongs
}

// add counts a request that starts now.
func (r *recentStarts) add(now time.Time) {
	if r.epoch.IsZero() {
		r.epoch = now
	}
	slot := int64(now.Sub(r.epoch) / startsSlot)
	i := slot % startsSlots
	if r.slots[i] != slot {
		r.slots[i], r.counts[i] = slot, 0
	}
	r.counts[i]++
}

// within returns the number of requests that started in the last second.
func (r *recentStarts) within(now time.Time) (n int) {
	slot := int64(now.Sub(r.epoch) / startsSlot)
	for i, count := range r.counts {
		if slot-r.slots[i] < startsSlots {
			n += count
		}
	}
	return n
}
