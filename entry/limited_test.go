package entry_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

// addressOf returns the address of node i of rosterOf.
func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

// limitNode lets the roster of the dispatcher know that the upstream of node i takes a request each ten seconds.
func limitNode(r *peer.Roster, i int) {
	limit, _ := caller.LimitOf(0.1)
	r.HandleRateLimit(addressOf(i), peer.RateLimitMessage{
		RateLimit: peer.RateLimit{Upstream: []string{"u0", "u1"}[i], RateLimit: limit}, Boot: uint64(i + 1),
	})
}

// Guards against a request that is sent, or kept until its deadline, although the rate limits of all upstreams leave no room for it, and
// against callers that are refused together and told to return together.
func TestRequestBeyondAllRateLimitsIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &cluster{outcomes: []outcome{good}}
		e := newEntry(f, 2)
		limitNode(e.Roster, 0)
		limitNode(e.Roster, 1)
		returns := make(map[time.Duration]bool)
		for range 20 {
			began := time.Now()
			_, refusal := dispatch(t.Context(), e, routeOf(bundle.NotIdempotent, 2))
			assert.Assert(t, refusal != nil)
			assert.Equal(t, refusal.Reason, caller.RateLimited)
			assert.Equal(t, refusal.Ran, caller.NotRun)
			assert.Assert(t, time.Since(began) < 50*time.Millisecond, "refused after %v", time.Since(began))
			assert.Assert(t, refusal.RetryAfter > 5*time.Second && refusal.RetryAfter <= 20*time.Second, "%v", refusal.RetryAfter)
			returns[refusal.RetryAfter] = true
		}
		assert.Equal(t, len(f.sent), 0)
		assert.Assert(t, len(returns) > 15, "%d different delays of 20", len(returns))
	})
}

// Guards against a hedge that takes a place which the rate limit leaves for a first attempt.
func TestNoHedgeAtALimitedUpstream(t *testing.T) {
	for name, limited := range map[string]bool{"limited": true, "not limited": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &cluster{outcomes: []outcome{good}}
				e := newEntry(f, 2)
				earnRetries(t, e)
				f.sent, f.outcomes = nil, []outcome{{status: 200, ran: true, after: 900 * time.Millisecond}}
				e.Roster.SetRouting(peer.Routing{FreshFor: time.Minute})
				for i := range 2 {
					if limited {
						limitNode(e.Roster, i)
					}
					e.Roster.HandleLoad(addressOf(i), 0, peer.Load{Boot: uint64(i + 1), Revision: 1, Serving: true, Limit: 4, ServiceTimePercent: 100})
				}
				time.Sleep(20 * time.Second) // a limited upstream has room again
				_, _ = dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
				assert.Equal(t, len(f.sent) > 1, !limited, "%v", f.sent)
			})
		})
	}
}
