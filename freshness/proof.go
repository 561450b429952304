// Package freshness decides whether a node can prove that its contracts were the newest ones in the store a short time ago, and
// when and where it renews that proof.
//
// Layout: a Proof belongs to the contracts in force at one machine, a Schedule to the renewals of that proof. Concurrency: a Proof is
// one atomic value, which requests read; Queries and Schedule have their own locks.
package freshness

import (
	"sync/atomic"
	"time"
)

// freshShare is the share of the bound up to which a proof counts. The rest covers clocks that run at different rates at the
// nodes, and the time between the check of a proof and the start of the request.
const freshShare = 0.9

// Instant is a time on a clock of one machine that goes on during a suspension, from 0 at its start.
type Instant time.Duration

// Clock reads the time.
type Clock func() Instant

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// never marks a proof without an instant.
const never = -1 << 63

// Proof is the latest instant at which the contracts in force at this node are known to have been the newest ones in the store.
// Versions in force only rise, so the proof holds for newer contracts too. It is safe for concurrent use.
type Proof struct {
	clock    Clock
	bound    time.Duration
	provenAt atomic.Int64 // never before the first proof
}

// NewProof returns a proof that is not proven yet. A request with a key may not run later than the bound after the withdrawal of
// the key.
func NewProof(clock Clock, bound time.Duration) *Proof {
	p := &Proof{clock: clock, bound: bound}
	p.provenAt.Store(never)
	return p
}

// Extend records that the contracts in force were the newest ones at the instant. An earlier instant than that of the proof, and one
// that is yet to come, change nothing. The contracts must be in force already. It reports whether the proof has become younger.
func (p *Proof) Extend(at Instant) bool {
	if at > p.clock() {
		return false
	}
	for {
		before := p.provenAt.Load()
		if int64(at) <= before {
			return false
		}
		if p.provenAt.CompareAndSwap(before, int64(at)) {
			return true
		}
	}
}

// Age returns the time since the instant of the proof, and false before the first proof.
func (p *Proof) Age() (time.Duration, bool) {
	at := p.provenAt.Load()
	if at == never {
		return 0, false
	}
	return p.clock().Sub(Instant(at)), true
}

// Fresh reports whether requests with keys may run. A proof from the future shows that the clock cannot be trusted.
func (p *Proof) Fresh() bool {
	age, proven := p.Age()
	return proven && age >= 0 && age < time.Duration(freshShare*float64(p.bound))
}
