package quota

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

const (
	// maxRetryAfter bounds the delay that is suggested to callers, so that those of a tenant with a low rate come back.
	maxRetryAfter = 10 * time.Second
	// returnSpread is the time over which the returns of refused callers are spread.
	returnSpread = 3 * time.Second
	// unavailableRetryAfter is the least delay suggested when no allocator replied: another node takes over meanwhile.
	unavailableRetryAfter = 500 * time.Millisecond
)

// refusals are the refusals of a tenant at this node.
type refusals struct {
	returnAt time.Time // next moment at which a refused caller may return
	ongoing  bool
	count    int
	last     time.Time
}

// exceeded refuses a request beyond the quota. Callers that are refused one after another return as the tokens of the tenant come in at
// this node, from a random moment on, since callers of other nodes return too.
func (t *tenant) exceeded(now time.Time, wait time.Duration) Outcome {
	exceededTotal.Inc()
	t.countRefusal(now, caller.QuotaExceeded)
	first := now.Add(wait)
	income := max(t.tokenRate.current(now), t.quota.PerSecond/float64(t.node.view.Load().known))
	gap := waitFor(1, income, returnSpread)
	if t.refusal.returnAt.Before(first) {
		t.refusal.returnAt = first.Add(rand.N(gap + 1))
	}
	if t.refusal.returnAt.After(first.Add(returnSpread)) {
		t.refusal.returnAt = first.Add(rand.N(gap + 1))
	}
	refusal := caller.Refuse(caller.QuotaExceeded, step, "")
	refusal.RetryAfter = t.refusal.returnAt.Sub(now)
	t.refusal.returnAt = t.refusal.returnAt.Add(gap)
	return Outcome{Refusal: refusal}
}

// countRefusal logs the first refusal of a series. It is called with the lock held.
func (t *tenant) countRefusal(now time.Time, reason caller.Reason) {
	t.refusal.count++
	t.refusal.last = now
	if t.refusal.ongoing {
		return
	}
	t.refusal.ongoing = true
	t.node.refusing.Set(t.name, t)
	t.node.Log.Info("quota refuses requests of a tenant", "tenant", t.name, "reason", string(reason),
		"per_second", t.quota.PerSecond, "burst", t.quota.Burst)
}

// endRefusals logs the end of the refusals of tenants.
func (n *Node) endRefusals(now time.Time) {
	n.refusing.Range(func(name string, t *tenant) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		if now.Sub(t.refusal.last) >= refusalsEndAfter {
			n.refusing.Delete(name)
			n.Log.Info("quota no longer refuses requests of a tenant", "tenant", name, "refused", t.refusal.count)
			t.refusal.ongoing, t.refusal.count = false, 0
		}
		return true
	})
}
