package entry_test

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/entry"
	"github.com/magnoliawharf/magnoliawharf/quota"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

// tokens is the number of requests of the tenant for which the quota in these tests has tokens.
const (
	tokens    = 10
	perSecond = 0.1
	fillTime  = 2 * tokens * 10 * time.Second // in which the bucket fills
)

// limitedEntry returns a dispatcher whose node allocates tokens to its requests of the tenant "t".
func limitedEntry(t *testing.T, f *cluster) *entry.Dispatcher {
	e := newEntry(f, 3)
	q := quota.NewNode(quota.Options{
		Name: "self", Now: time.Now, AfterFunc: func(d time.Duration, do func()) { time.AfterFunc(d, do) },
		OnSilent: func(netip.AddrPort) {}, Log: slog.New(slog.DiscardHandler),
	})
	q.Adopt(&contract.Contracts{Version: 1, Tenants: map[string]contract.Tenant{"t": {Name: "t", Quota: contract.Quota{PerSecond: perSecond, Burst: tokens}}}})
	q.Tick(nil, false)
	q.Start()
	go func() {
		for wait.For(t.Context(), quota.TickInterval) {
			q.Tick(nil, false)
		}
	}()
	time.Sleep(fillTime)
	e.Quota = q
	return e
}

// dispatchFor dispatches a request of the tenant.
func dispatchFor(t *testing.T, e *entry.Dispatcher, tenant string, route *contract.Route) *caller.Refusal {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := e.Dispatch(ctx, &caller.Request{
		ID: "id", Service: "s", Route: "r", Tenant: tenant, Body: caller.NewBody(nil, 0), Deadline: time.Now().Add(time.Second), Placement: &caller.Placement{Host: "h"},
	}, route)
	var refusal *caller.Refusal
	if err != nil && !errors.As(err, &refusal) {
		t.Fatal(err)
	}
	return refusal
}

// Guards against a retry that costs a second token, against a refused request that costs one, and against a request that ran and got its
// token back.
func TestRequestsOfATenantUseOneTokenEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &cluster{outcomes: []outcome{refused(caller.QueueFull)}}
		e := limitedEntry(t, f)
		for range 5 * tokens {
			assert.Equal(t, dispatchFor(t, e, "t", routeOf(bundle.Idempotent, 3)).Reason, caller.QueueFull)
		}
		time.Sleep(fillTime)
		f.sent, f.outcomes = nil, []outcome{refused(caller.QueueFull), good, lost(caller.UpstreamLost)}
		route := routeOf(bundle.NotIdempotent, 3)
		assert.Assert(t, dispatchFor(t, e, "t", route) == nil)
		assert.Equal(t, len(f.sent), 2)
		for range tokens - 1 {
			assert.Equal(t, dispatchFor(t, e, "t", route).Ran, caller.Unknown)
		}
		sent := len(f.sent)
		refusal := dispatchFor(t, e, "t", route)
		assert.Equal(t, refusal.Reason, caller.QuotaExceeded)
		assert.Equal(t, refusal.Ran, caller.NotRun)
		assert.Assert(t, refusal.RetryAfter > 0)
		assert.Equal(t, len(f.sent), sent, "a refused request was sent")
	})
}

// Guards against a quota that limits requests without a tenant, or of a tenant that has none.
func TestQuotaLimitsOnlyItsTenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := limitedEntry(t, &cluster{outcomes: []outcome{good}})
		for range 3 * tokens {
			assert.Assert(t, dispatchFor(t, e, "", routeOf(bundle.Idempotent, 1)) == nil)
			assert.Assert(t, dispatchFor(t, e, "another", routeOf(bundle.Idempotent, 1)) == nil)
		}
	})
}
