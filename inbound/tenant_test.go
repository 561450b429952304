package inbound_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// Guards against a tenant whose requests wait behind those of a less urgent one on the same route, in whose class they would
// be.
func TestTenantsOfOneRouteAreQueuedByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{work: 100 * time.Millisecond}
		p := newProxy(c)
		one := announcement("a", 10, 1)
		one.Slots = 1
		assert.NilError(t, p.Announce(time.Now(), one))
		send := func(id, tenant string, priority int, limit time.Duration) {
			go func() {
				answer, err := p.Serve(t.Context(), &caller.Request{
					ID: id, Service: "s", Route: "r", Body: caller.NewBody(nil, 0), Deadline: time.Now().Add(limit),
					Placement: &caller.Placement{Host: "h", Upstream: "a", Objective: limit, Tenant: tenant, Priority: priority},
				}, boot)
				if err == nil {
					_ = answer.Body.Close()
				}
			}()
			synctest.Wait()
		}
		send("runs", "", 0, time.Minute)
		// The earlier deadlines of the less urgent tenants would go first within one class.
		send("late", "t3", 2, 10*time.Second)
		send("middle", "t2", 1, 11*time.Second)
		send("urgent", "t1", 0, 12*time.Second)
		time.Sleep(time.Second)
		var sent []string
		c.update(func(c *fakeClient) { sent = slices.Clone(c.sent) })
		assert.DeepEqual(t, sent, []string{"runs", "urgent", "middle", "late"})
	})
}
