package freshness

import (
	"sync"
	"time"
)

// Doubt decides whether a store without a document as new as the contracts in force is believed: it has come back from an older
// copy, or holds a document that cannot be read. A node whose proof is fresh has missed nothing. Another one may lack a version that
// the store has lost or that was overwritten, and listens for a while whether another node has it. It is safe for concurrent use.
type Doubt struct {
	proof  *Proof
	listen time.Duration

	mu      sync.Mutex
	active  bool
	since   Instant
	heardAt Instant // when a newer version was last heard of
	heard   uint64
}

// NewDoubt returns a doubt that a node without a fresh proof has for the time listen.
func NewDoubt(proof *Proof, listen time.Duration) *Doubt { return &Doubt{proof: proof, listen: listen} }

// Hear records that another node has the version, which is newer than that in force.
func (d *Doubt) Hear(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.proof.clock()
	if version >= d.heard || now.Sub(d.heardAt) > d.proof.bound {
		d.heard, d.heardAt = version, now
	}
}

// Clear ends the doubt, because the store holds the contracts in force.
func (d *Doubt) Clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active = false
}

// Believes reports whether a read of the store that found no document as new as the version in force proves that none is newer.
func (d *Doubt) Believes(version uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.proof.clock()
	switch {
	case d.heard > version && now.Sub(d.heardAt) <= d.proof.bound:
		d.active = false
		return false
	case d.proof.Fresh():
		d.active = false
		return true
	case !d.active:
		d.active, d.since = true, now
		return false
	}
	return now.Sub(d.since) >= d.listen
}
