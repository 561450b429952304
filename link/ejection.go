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
	// returnTime is the time over which a link that came back is raised to its full share.
	// The choice among two prefers the lightly loaded link, so it receives up to twice this share.
	returnTime  = time.Second
	returnShare = 0.1
	// trialTime is how long a trial request keeps others away when its result never comes.
	trialTime = 10 * time.Second
)

// ejection is the state of a link that failed several times in a row.
type ejection struct {
	failures   int // in a row
	out        bool
	backoff    time.Duration
	until      time.Time // end of the back-off
	trialUntil time.Time // a trial request is under way until then at most
	returnedAt time.Time
}

// claim reports whether a trial request is due, and reserves it.
func (e *ejection) claim(now time.Time) bool {
	if !e.out || now.Before(e.until) || now.Before(e.trialUntil) {
		return false
	}
	e.trialUntil = now.Add(trialTime)
	return true
}

// rampShare returns the share of its traffic that a link receives after its return.
func (e *ejection) rampShare(now time.Time) float64 {
	if e.returnedAt.IsZero() {
		return 1
	}
	return min(1, returnShare+(1-returnShare)*float64(now.Sub(e.returnedAt))/float64(returnTime))
}

// judge takes the result of an attempt into the failure state.
func (l *Link) judge(now time.Time, result Result) {
	if result == Abandoned {
		l.ejection.trialUntil = time.Time{}
		return
	}
	failure := 0.0
	if result.failure() {
		failure = 1
	}
	if result != Refused {
		l.failRate = l.failureRate(now)
		l.failRate += (failure - l.failRate) * failureWeight
		l.failAt = now
	}
	if result.failure() {
		l.fail(now)
		return
	}
	l.ejection.failures = 0
	if l.ejection.out {
		l.ejection.out = false
		l.ejection.returnedAt = now
		l.failRate = 0 // the ramp after the return limits the harm of another failure
		l.set.quota.put()
	}
}

func (l *Link) fail(now time.Time) {
	e := &l.ejection
	e.failures++
	e.trialUntil = time.Time{}
	switch {
	case e.out && now.Before(e.until):
		return // a request sent before the ejection
	case !e.out && (e.failures < failuresToEject || l.retired || !l.set.quota.take()):
		return
	case !e.out && now.Sub(e.returnedAt) > maxBackoff:
		e.backoff = 0 // the last ejection is long past
	}
	e.out = true
	e.extend(now)
}

// extend starts a back-off that is twice as long as the last.
func (e *ejection) extend(now time.Time) {
	e.backoff = min(maxBackoff, max(minBackoff, 2*e.backoff))
	// Half of the back-off is random, so that many nodes do not test a link at the same moment.
	e.until = now.Add(e.backoff/2 + rand.N(e.backoff/2))
}

// retire ends the part of the link in its set. Attempts in flight may still end on it.
func (l *Link) retire() {
	l.reinstate()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
}

// reinstate ends an ejection without a trial.
func (l *Link) reinstate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ejection.out {
		l.ejection.out = false
		l.set.quota.put()
	}
}

// quota bounds the ejected links of a set to half of them.
type quota struct {
	mu   sync.Mutex
	size int
	out  int
}

func (q *quota) take() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if 2*(q.out+1) > q.size {
		return false
	}
	q.out++
	return true
}

func (q *quota) put() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.out--
}

func (q *quota) exceeded() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return 2*q.out > q.size
}

func (q *quota) resize(size int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.size = size
}
