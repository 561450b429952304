package freshness

import (
	"sync"

	"github.com/magnoliawharf/magnoliawharf/store"
)

// Claim states that no contracts newer than the version have been written while the document has the revision in the store. The
// revision counts within its era only: the store may give it to another document in a later one.
type Claim struct {
	Version  uint64
	Revision int64
	Era      store.EraStatus // read before the revision was
}

// Claims holds the latest claim of a node. It is safe for concurrent use.
type Claims struct {
	mu     sync.Mutex
	latest Claim
	known  bool
}

// Set replaces the claim.
func (c *Claims) Set(latest Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest, c.known = latest, true
}

// Forget drops the claim, so that the document is read again.
func (c *Claims) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = false
}

// EraEnded reports whether the store has come back from an older copy since the latest claim.
func (c *Claims) EraEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest.Era.Ended()
}

// Of returns the claim for contracts of the version, if there is one whose era has not ended.
func (c *Claims) Of(version uint64) (Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || c.latest.Version != version || c.latest.Era.Ended() {
		return Claim{}, false
	}
	return c.latest, true
}
