package freshness

import (
	"sync"
	"time"
)

// Doubt decides whether a read of the store is believed when the store may have lost a version: it has come back from an older
// copy, holds no document that can be read, or was read by a node that has just started. A node whose proof is fresh has missed
// nothing. Another one may lack that version, and first listens whether another node has it. It is safe for concurrent use.
type Doubt struct {
	proof  *Proof
	listen time.Duration

	mu      sync.Mutex
	active  bool
	since   Instant
	heardAt Instant // when a newer version was last heard of
	heard   uint64
	first   Instant // when the last read was sent that a node without any proof has made; never for none
	assured Instant // when another node last answered without a newer version; never for none
}

// NewDoubt returns a doubt that a node without a fresh proof has for the time listen.
func NewDoubt(proof *Proof, listen time.Duration) *Doubt {
	return &Doubt{proof: proof, listen: listen, first: never, assured: never}
}

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

// hasNewer reports whether another node has a newer version. The caller holds the lock.
func (d *Doubt) hasNewer(version uint64) bool {
	return d.heard > version && d.proof.clock().Sub(d.heardAt) <= d.proof.bound
}

// listened reports whether the node has listened since the doubt began, and begins it. A proof in between ends an earlier doubt. The
// caller holds the lock.
func (d *Doubt) listened(version uint64) bool {
	now := d.proof.clock()
	switch {
	case d.hasNewer(version):
		d.active = false
		return false
	case !d.active || Instant(d.proof.provenAt.Load()) > d.since:
		d.active, d.since = true, now
		return false
	}
	return now.Sub(d.since) >= d.listen
}

// Believes reports whether a read of a store that may have lost a version proves that the version in force is the newest.
func (d *Doubt) Believes(version uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.proof.Fresh() && !d.hasNewer(version) {
		d.active = false
		return true
	}
	return d.listened(version)
}

// BelievesFirst is Believes for a node without any proof so far, which cannot know whether the store lost a version before the node
// started. The read was sent at the instant. Assure ends the doubt early.
func (d *Doubt) BelievesFirst(version uint64, sentAt Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	assured := d.assured != never && d.proof.clock().Sub(d.assured) < d.listen
	if (assured && !d.hasNewer(version)) || d.listened(version) {
		return true
	}
	d.first = sentAt
	return false
}

// Assure records that another node has answered and has no newer version. The last read of a node without any proof then counts, or
// the next one if it ends soon.
func (d *Doubt) Assure(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.assured = d.proof.clock()
	if d.first != never && !d.hasNewer(version) {
		d.proof.Extend(d.first)
		d.first, d.active = never, false
	}
}
