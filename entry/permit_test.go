package entry_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/entry"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// denyAfter returns a Permit that permits the first attempts only.
func denyAfter(permitted int) func(*caller.Request) *caller.Refusal {
	return func(*caller.Request) *caller.Refusal {
		if permitted--; permitted >= 0 {
			return nil
		}
		refusal := caller.Refuse(caller.ContractsStale, "permit", "")
		refusal.RetryAfter = 700 * time.Millisecond
		return refusal
	}
}

// Guards against an attempt that is sent although the request may no longer run, and against a refusal that states not-run although an
// earlier attempt may have run.
func TestAttemptsNeedAPermit(t *testing.T) {
	busy := outcome{refusal: &caller.Refusal{Reason: caller.QueueFull, Ran: caller.NotRun, RetryAfter: 50 * time.Millisecond}}
	failed := outcome{status: 500, ran: true}
	for name, test := range map[string]struct {
		permitted int
		outcomes  []outcome
		sent      int
		status    int           // of the answer
		reason    caller.Reason // of the refusal when there is no answer
		ran       caller.RunState
	}{
		"first attempt":                    {0, []outcome{good}, 0, 0, caller.ContractsStale, caller.NotRun},
		"permitted":                        {1, []outcome{good}, 1, 200, "", 0},
		"retry after a refusal":            {1, []outcome{busy, good}, 1, 0, caller.ContractsStale, caller.NotRun},
		"second retry after refusals":      {2, []outcome{busy, busy, good}, 2, 0, caller.ContractsStale, caller.NotRun},
		"retry after a loss":               {1, []outcome{lost(caller.UpstreamLost), good}, 1, 0, caller.UpstreamLost, caller.Unknown},
		"retry after a loss and a refusal": {2, []outcome{lost(caller.UpstreamLost), busy, good}, 2, 0, caller.QueueFull, caller.Unknown},
		"retry after a failed answer":      {1, []outcome{failed, good}, 1, 500, "", 0},
		"permitted retry":                  {2, []outcome{busy, good}, 2, 200, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &cluster{outcomes: test.outcomes}
				e, budget := newBudgetedEntry(f, 4)
				e.Permit = denyAfter(test.permitted)
				answer, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, 3))
				assert.Equal(t, len(f.sent), test.sent)
				if test.status != 0 {
					assert.Assert(t, refusal == nil, "%v", refusal)
					assert.Equal(t, answer.Status, test.status)
					return
				}
				assert.Equal(t, refusal.Reason, test.reason)
				assert.Equal(t, refusal.Ran, test.ran)
				if test.reason == caller.ContractsStale {
					assert.Equal(t, refusal.RetryAfter, 700*time.Millisecond)
					assert.Equal(t, tokensLeft(budget), budgetTokens, "a retry that was not sent is charged")
				}
			})
		})
	}
}

// Guards against a hedge that is sent although the request may no longer run, and against one that is refused and so ends the attempt
// that runs.
func TestHedgeNeedsAPermit(t *testing.T) {
	for permitted, want := range map[int]int{1: 1, 2: 2} {
		synctest.Test(t, func(t *testing.T) {
			f := &cluster{outcomes: []outcome{{status: 200, ran: true, after: 350 * time.Millisecond}}}
			e, budget := newBudgetedEntry(f, 2)
			e.Permit = denyAfter(permitted)
			_, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Equal(t, len(f.sent), want, "%d attempts permitted", permitted)
			assert.Equal(t, tokensLeft(budget), budgetTokens-want+1)
		})
	}
}

// placements is a Forwarder that records the placement of each attempt.
type placements struct {
	*cluster
	mu     sync.Mutex
	placed []caller.Placement
}

func (p *placements) Forward(ctx context.Context, req *caller.Request, target instance.Record) (*caller.Answer, *link.Report, error) {
	p.mu.Lock()
	p.placed = append(p.placed, *req.Placement)
	p.mu.Unlock()
	return p.cluster.Forward(ctx, req, target)
}

// Guards against a retry or hedge that is attributed to no tenant or has the priority of its route alone.
func TestEveryAttemptIsPlacedForTheTenant(t *testing.T) {
	late := outcome{status: 200, ran: true, after: 350 * time.Millisecond}
	for name, outcomes := range map[string][]outcome{"retry": {refused(caller.QueueFull), good}, "hedge": {late}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &placements{cluster: &cluster{outcomes: outcomes}}
				e, _ := newBudgetedEntry(f.cluster, 2)
				e.Forward = f
				route := routeOf(bundle.Idempotent, 2)
				route.Priority = 3
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				deadline, _ := ctx.Deadline()
				_, err := e.Dispatch(ctx, &caller.Request{
					ID: "id", Service: "s", Route: "r", Body: caller.NewBody(nil, 0), Deadline: deadline, Placement: &caller.Placement{Host: "h"},
					Tenant: "t1", PriorityOffset: 8,
				}, route)
				assert.NilError(t, err)
				assert.Equal(t, len(f.placed), 2)
				for _, p := range f.placed {
					assert.Equal(t, p.Tenant, "t1")
					assert.Equal(t, p.Priority, 11)
				}
			})
		})
	}
}

var _ entry.Forwarder = (*placements)(nil)
