package freshness

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Shares of the bound.
const (
	// renewShare is the age from which a proof is renewed by other nodes, and by the store at the first node of a zone.
	renewShare = 0.2
	// takeoverShare is the age from which the second node of a zone renews its proof by the store. In normal operation the proofs
	// of all nodes but the first stay younger than it. rankShare is added for each further node, up to maxStoreShare, so that
	// the nodes of a zone do not call the store at the same time when the first one fails.
	takeoverShare = 0.36
	rankShare     = 0.04
	maxStoreShare = 0.6
	// roundShare is the shortest time between two rounds of queries to other nodes, and urgentRoundShare the one without a proof or
	// with one older than urgentShare, which is about to be lost or is lost.
	roundShare       = 0.1
	urgentRoundShare = 0.05
	urgentShare      = 0.6
	// firstRoundShare is the shortest time between two rounds of a node that has just started: those that start with it have no proofs
	// yet either.
	firstRoundShare = 0.01
	// storeTimeoutShare bounds a call to the store. The proof that a longer call gives would be due for renewal at once.
	storeTimeoutShare = 0.2
	// storeRetryShare is the time from the start of one call of the store to the next after a failure. It doubles with each further
	// failure, up to maxStoreRetryShare, except at the first nodes of a zone: these find out for all when the store is back.
	storeRetryShare    = 0.1
	maxStoreRetryShare = 2
	// listenShare is the time for which a node without a fresh proof listens to other nodes before it accepts a read of a store that holds no
	// document as new as its own.
	listenShare = 0.2
)

const (
	// retryingRanks is the number of nodes in each zone that try the store again without a growing delay.
	retryingRanks = 2
	// maxDoublings bounds the growth of the delay, so that it does not overflow.
	maxDoublings = 8
	// retryJitter is the largest share by which a delay between calls of the store is shortened at random.
	retryJitter = 0.5
)

// Schedule decides when a proof is renewed and by which source. It is safe for concurrent use.
type Schedule struct {
	clock  Clock
	proof  *Proof
	bound  time.Duration
	jitter func() float64 // random numbers from 0 to 1

	mu       sync.Mutex
	since    Instant // when the renewals began
	roundAt  Instant // when the last round of queries was sent
	rounds   int
	storeAt  Instant // when the last call of the store was begun
	calling  bool    // a call of the store is in progress
	failures int     // of calls of the store, in a row
	retry    time.Duration
}

// NewSchedule returns the schedule for the renewal of the proof.
func NewSchedule(proof *Proof) *Schedule {
	s := &Schedule{clock: proof.clock, proof: proof, bound: proof.bound, jitter: rand.Float64}
	s.since = s.clock()
	return s
}

// Start begins the renewals anew, after a time without any.
func (s *Schedule) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.rounds, s.failures, s.retry = s.clock(), 0, 0, 0
}

func (s *Schedule) share(of float64) time.Duration { return time.Duration(of * float64(s.bound)) }

// StoreTimeout returns the time after which a call of the store is given up.
func (s *Schedule) StoreTimeout() time.Duration { return s.share(storeTimeoutShare) }

// ListenTime returns the time for which a node without a fresh proof listens to others before it accepts a read of a store that may have
// lost a version.
func (s *Schedule) ListenTime() time.Duration { return s.share(listenShare) }

// age returns the age of the proof for the schedule. A proof that was never made counts as due for renewal since the start, so that
// nodes which start together do not all call the store at once.
func (s *Schedule) age(now Instant) time.Duration {
	if age, proven := s.proof.Age(); proven {
		return age
	}
	return s.share(renewShare) + now.Sub(s.since)
}

// Due reports whether any source may be due. It costs little.
func (s *Schedule) Due() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.age(s.clock()) >= s.share(renewShare)
}

// RoundDue reports whether a round of queries to other nodes is due, and records that it is sent now.
func (s *Schedule) RoundDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	age, pause := s.age(now), s.share(roundShare)
	_, proven := s.proof.Age()
	switch {
	case !proven && now.Sub(s.since) < s.share(listenShare):
		pause = s.share(firstRoundShare)
	case !proven, age >= s.share(urgentShare):
		pause = s.share(urgentRoundShare)
	}
	if age < s.share(renewShare) || (s.rounds > 0 && now.Sub(s.roundAt) < pause) {
		return false
	}
	s.roundAt, s.rounds = now, s.rounds+1
	return true
}

// storeAge returns the age from which the node of the rank in its zone, from 0, renews its proof by the store.
func (s *Schedule) storeAge(rank int) time.Duration {
	if rank == 0 {
		return s.share(renewShare)
	}
	return s.share(min(takeoverShare+rankShare*float64(rank-1), maxStoreShare))
}

// StoreDue reports whether the proof is to be renewed by the store now, at the node of the rank in its zone. The caller then makes one
// call of the store and calls StoreDone. Until then no other call is due.
func (s *Schedule) StoreDue(rank int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if s.calling || s.age(now) < s.storeAge(rank) || (s.failures > 0 && now.Sub(s.storeAt) < s.retryDelay(rank)) {
		return false
	}
	s.calling, s.storeAt = true, now
	return true
}

func (s *Schedule) retryDelay(rank int) time.Duration {
	if rank < retryingRanks {
		return s.share(storeRetryShare)
	}
	return s.retry
}

// StoreDone records the end of a call of the store, and whether it renewed the proof.
func (s *Schedule) StoreDone(renewed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calling = false
	if renewed {
		s.failures = 0
		return
	}
	longest := min(storeRetryShare*float64(int(1)<<min(s.failures, maxDoublings)), maxStoreRetryShare)
	s.failures++
	s.retry = s.share(longest * (1 - retryJitter*s.jitter()))
}
