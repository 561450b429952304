package freshness

import (
	"sync"
	"time"
)

// ReadCheck decides whether a read of the store is accepted as proof when the store may have lost a version: it was restored from an
// older copy, holds no document that can be read, or was read by a node that has just started. A node with a fresh proof has missed no
// version. Any other node may lack the lost one, and first listens for a newer version from other nodes. It is safe for concurrent use.
type ReadCheck struct {
	proof      *Proof
	listenTime time.Duration

	mu          sync.Mutex
	listening   bool
	since       Instant // start of listening
	newer       uint64  // latest version that another node reported as newer
	newerAt     Instant // when it was reported
	pendingRead Instant // when the latest read of a node without any proof was sent, if it was not accepted; never for none
	repliedAt   Instant // latest reply of another node without a newer version; never for none
}

// NewReadCheck returns a check by which a node without a fresh proof listens to other nodes for listenTime.
func NewReadCheck(proof *Proof, listenTime time.Duration) *ReadCheck {
	return &ReadCheck{proof: proof, listenTime: listenTime, pendingRead: never, repliedAt: never}
}

// ObserveVersion records that another node has the version, which is newer than that in force.
func (c *ReadCheck) ObserveVersion(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.proof.clock()
	if version >= c.newer || now.Sub(c.newerAt) > c.proof.bound {
		c.newer, c.newerAt = version, now
	}
}

// Reset ends the listening, because the store holds the contracts in force.
func (c *ReadCheck) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listening = false
}

// hasNewer reports whether another node has a newer version. The caller holds the lock.
func (c *ReadCheck) hasNewer(version uint64) bool {
	return c.newer > version && c.proof.clock().Sub(c.newerAt) <= c.proof.bound
}

// hasListened reports whether the node has listened for listenTime, and starts the listening if needed. It starts over when a proof was
// made meanwhile. The caller holds the lock.
func (c *ReadCheck) hasListened(version uint64) bool {
	now := c.proof.clock()
	switch {
	case c.hasNewer(version):
		c.listening = false
		return false
	case !c.listening || Instant(c.proof.provenAt.Load()) > c.since:
		c.listening, c.since = true, now
		return false
	}
	return now.Sub(c.since) >= c.listenTime
}

// Accepts reports whether a read of a store that may have lost a version proves that the version in force is the newest.
func (c *ReadCheck) Accepts(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.proof.Fresh() && !c.hasNewer(version) {
		c.listening = false
		return true
	}
	return c.hasListened(version)
}

// AcceptsFirst is Accepts for a node without any proof so far, which cannot know whether the store lost a version before the node
// started. The read was sent at sentAt. ObserveReply ends the listening early.
func (c *ReadCheck) AcceptsFirst(version uint64, sentAt Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	replied := c.repliedAt != never && c.proof.clock().Sub(c.repliedAt) < c.listenTime
	if (replied && !c.hasNewer(version)) || c.hasListened(version) {
		return true
	}
	c.pendingRead = sentAt
	return false
}

// ObserveReply records that another node has replied and has no newer version. The latest read of a node without any proof is then
// accepted, or the next one if it ends within listenTime.
func (c *ReadCheck) ObserveReply(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.repliedAt = c.proof.clock()
	if c.pendingRead != never && !c.hasNewer(version) {
		c.proof.Extend(c.pendingRead)
		c.pendingRead, c.listening = never, false
	}
}
