package node

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

const quarantineStep = "quarantine"

// QuarantineDispatcher is a CallDispatcher that refuses requests in quarantine at the entry node. Other requests pass
// unchanged.
type QuarantineDispatcher struct {
	Suspects *quarantine.List
	Next     CallDispatcher
}

// Dispatch implements CallDispatcher.
func (g *QuarantineDispatcher) Dispatch(ctx context.Context, req *caller.Request) (*caller.Answer, error) {
	decision, after := g.Suspects.AdmitRequest(time.Now(), req)
	if decision == quarantine.Refuse {
		refusal := caller.Refuse(caller.Quarantined, quarantineStep, "")
		refusal.RetryAfter = after
		return nil, refusal
	}
	answer, err := g.Next.Dispatch(ctx, req)
	if decision == quarantine.Trial && err != nil && asRefusal(ctx, err).Ran == caller.NotRun {
		g.Suspects.CancelTrial(quarantine.Fingerprint(req.Fingerprint))
	}
	return answer, err
}
