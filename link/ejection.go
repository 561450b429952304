package link

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	failuresToEject = 3
	minBackoff      = 250 * time.Millisecond
	maxBackoff      = 10 * time.Second
	// reinstateRampTime is the time over which the share of a reinstated link rises to its full value. The choice among
	// random candidates prefers the lightly loaded link, so the link receives up to twice its share.
	reinstateRampTime = time.Second
	reinstateShare    = 0.1
	// trialTimeout is the time after which another trial may start although the result of the last one has not arrived.
	trialTimeout = 10 * time.Second
)

// ejection is the outlier ejection state of a link. A link that failed several times in a row receives no normal
// requests until an attempt, usually a trial request, ends without a failure.
type ejection struct {
	consecutiveFailures int
	ejected             bool
	backoff             time.Duration
	backoffUntil        time.Time // end of the back-off
	trialUntil          time.Time // end of the reservation of a trial request
	trialClaimed        bool      // the trial is reserved and not sent yet
	trial               *Token    // attempt that is the trial, nil without one in flight
	reinstatedAt        time.Time // time at which an attempt last ended an ejection
}

// claimTrial reports whether a trial request is due, and reserves it.
func (e *ejection) claimTrial(now time.Time) bool {
	if !e.ejected || now.Before(e.backoffUntil) || now.Before(e.trialUntil) {
		return false
	}
	e.trialUntil = now.Add(trialTimeout)
	e.trialClaimed, e.trial = true, nil
	return true
}

// beginTrial takes the attempt for the trial that was reserved, if there is one.
func (e *ejection) beginTrial(token *Token) {
	if e.trialClaimed {
		e.trialClaimed, e.trial = false, token
	}
}

// endTrial ends the reservation of the trial if the attempt is the trial.
func (e *ejection) endTrial(token *Token) {
	if e.trial == token {
		e.trial, e.trialUntil = nil, time.Time{}
	}
}

// rampShare returns the share of its normal traffic that a reinstated link receives.
func (e *ejection) rampShare(now time.Time) float64 {
	if e.reinstatedAt.IsZero() {
		return 1
	}
	return min(1, reinstateShare+(1-reinstateShare)*float64(now.Sub(e.reinstatedAt))/float64(reinstateRampTime))
}

// recordResult updates the failure rate and the ejection state with the result of an attempt. The caller holds mu.
func (l *Link) recordResult(now time.Time, token *Token, result Result) {
	l.ejection.endTrial(token)
	if result == Cancelled {
		return
	}
	failure := 0.0
	if result.failure() {
		failure = 1
	}
	if result != Refused {
		l.failureRate = l.decayedFailureRate(now)
		l.failureRate += (failure - l.failureRate) * failureWeight
		l.failureRateAt = now
	}
	if result.failure() {
		l.recordFailure(now)
		return
	}
	l.ejection.consecutiveFailures = 0
	if l.ejection.ejected {
		l.endEjection()
		l.ejection.reinstatedAt = now
		l.failureRate = 0 // the ramp after reinstatement limits the effect of further failures
	}
}

// recordFailure counts a failure and ejects the link when there were enough in a row and the quota permits it. A
// failed trial extends the back-off. The caller holds mu.
func (l *Link) recordFailure(now time.Time) {
	e := &l.ejection
	e.consecutiveFailures++
	switch {
	case e.ejected && now.Before(e.backoffUntil):
		return // the request was sent before the ejection
	case !e.ejected && (e.consecutiveFailures < failuresToEject || l.removed || !l.set.quota.acquire()):
		return
	case !e.ejected && now.Sub(e.reinstatedAt) > maxBackoff:
		e.backoff = 0 // the last ejection was long ago
	}
	e.ejected = true
	e.extendBackoff(now)
}

// extendBackoff starts a back-off of twice the last length, within minBackoff and maxBackoff.
func (e *ejection) extendBackoff(now time.Time) {
	e.backoff = min(maxBackoff, max(minBackoff, 2*e.backoff))
	// Half of the back-off is random, so that many nodes do not send their trials at the same moment.
	e.backoffUntil = now.Add(e.backoff/2 + rand.N(e.backoff/2))
}

// markRemoved releases the ejection quota of a link that leaves its set and prevents further ejections. Attempts in
// flight may still end on it.
func (l *Link) markRemoved() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removed = true
	l.endEjection()
}

// reinstate ends an ejection without a trial.
func (l *Link) reinstate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endEjection()
}

// endEjection ends an ejection, if there is one, and the reservation of its trial. The caller holds mu.
func (l *Link) endEjection() {
	if l.ejection.ejected {
		l.ejection.ejected = false
		l.ejection.trialClaimed, l.ejection.trial, l.ejection.trialUntil = false, nil, time.Time{}
		l.set.quota.release()
	}
}

// quota limits the number of ejected links of a set to half of its links.
type quota struct {
	mu      sync.Mutex
	size    int
	ejected int
}

// acquire reports whether one more link may be ejected, and counts it.
func (q *quota) acquire() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if 2*(q.ejected+1) > q.size {
		return false
	}
	q.ejected++
	return true
}

func (q *quota) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ejected--
}

// exceeded reports whether more than half of the links are ejected, which happens when the set shrinks.
func (q *quota) exceeded() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return 2*q.ejected > q.size
}

func (q *quota) resize(size int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.size = size
}
