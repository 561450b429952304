package entry_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

// Guards against a node that looks busier than it is, because hedges that were declined count as requests sent to it.
func TestDeclinedHedgeIsNoLoad(t *testing.T) {
	const slots = 4 // of each node of rosterOf
	for name, test := range map[string]struct {
		tokens  float64
		running int // requests that each node reports
	}{
		"no budget":         {0, 0},
		"no spare capacity": {budgetTokens, slots - 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &cluster{outcomes: []outcome{{status: 200, ran: true, after: 350 * time.Millisecond}}}
				e, budget := newBudgetedEntry(f, 2)
				tokensLeft(budget)
				if test.tokens > 0 {
					budget.Deposit(test.tokens)
				}
				e.Roster.SetRouting(peer.Routing{FreshFor: time.Minute})
				for i := range 2 {
					addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
					e.Roster.HandleLoad(addr, 0, peer.Load{Boot: uint64(i + 1), Revision: 1, Serving: true, Running: test.running, Limit: slots, ServiceTimePercent: 100})
				}
				_, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, len(f.sent), 1)
				other, err := e.Roster.Choose(t.Context(), peer.Criteria{Service: "s", Exclude: func(p *peer.Peer) bool { return p.Status().Node == f.sent[0] }})
				assert.NilError(t, err)
				assert.Equal(t, other.Load.Running, test.running)
			})
		})
	}
}
