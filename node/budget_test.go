package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/node"
)

// newSingleUpstreamDispatcher returns a dispatcher whose service has a single upstream, and the retry budget of the service.
func newSingleUpstreamDispatcher(peers node.Forwarder, route bundle.Route) (*node.Dispatcher, *caller.RetryBudget) {
	d := newDispatcher(peers, route)
	fleet := instance.NewFleet()
	fleet.Merge(instance.Record{ID: "a", Incarnation: 1, Service: "s", State: instance.Ready, Slots: 4})
	d.Links, d.Budgets = link.NewTable(fleet), caller.NewRetryBudgets()
	return d, d.Budgets.Of("s")
}

// drain empties the budget and returns how many retries it allowed.
func drain(budget *caller.RetryBudget) (n int) {
	for budget.TryWithdraw() {
		n++
	}
	return n
}

// Guards against retries that are withheld because the budget was charged for hedges and retries which no upstream was left to
// take, and against a refusal that hides why the only upstream failed.
func TestBudgetIsNotChargedWithoutAnotherUpstream(t *testing.T) {
	lost := attemptScript{refusal: caller.RefuseUncertain(caller.PeerLost, "forward", "", nil)}
	for _, test := range []struct {
		name   string
		route  bundle.Route
		last   attemptScript
		reason caller.Reason
	}{
		{"hedge", bundle.Route{Rule: bundle.Idempotent, Hedge: true}, attemptScript{took: 500 * time.Millisecond}, ""},
		{"retry", bundle.Route{Rule: bundle.Idempotent}, lost, caller.PeerLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &scriptedPeers{}
				for range 40 {
					peers.script = append(peers.script, attemptScript{took: 5 * time.Millisecond})
				}
				peers.script = append(peers.script, test.last)
				d, budget := newSingleUpstreamDispatcher(peers, test.route)
				for range 40 {
					answer, _ := dispatch(t, d, 1)
					assert.NilError(t, answer.Body.Close())
				}
				full := drain(budget)
				budget.Deposit(float64(full))
				answer, refusal := dispatch(t, d, 1)
				if answer != nil {
					assert.NilError(t, answer.Body.Close())
				}
				assert.Equal(t, len(peers.seen), 41)
				assert.Equal(t, drain(budget), full)
				assert.Equal(t, refusal == nil, test.reason == "")
				if refusal != nil {
					assert.Equal(t, refusal.Reason, test.reason)
				}
			})
		})
	}
}
