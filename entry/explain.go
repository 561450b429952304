package entry

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

// Explanation is what Dispatch would do with a request, and why.
type Explanation struct {
	ServiceTime  time.Duration // expected at an upstream
	Bytes        float64       // expected length of the answer
	AnswerWithin time.Duration // time in which the request is to be answered
	Survey       peer.Survey
	Refusal      *caller.Refusal // of the request that would be sent to no node, nil for one that would be sent
	// HedgeAfter is the time without an answer after which a hedge would be sent to HedgeNode; 0 for no hedge, for the reason NoHedge.
	HedgeAfter time.Duration
	HedgeNode  string
	NoHedge    string
}

// Explain returns what Dispatch would do with the request. It decides by the same code on copies of the budgets. It changes no state and no
// counter, and sends nothing but load queries, of which Dispatch would send the same.
func (e *Dispatcher) Explain(ctx context.Context, req *caller.Request, route *contract.Route) Explanation {
	preview := *e
	if preview.PreviewPermit != nil {
		preview.Permit = preview.PreviewPermit
	}
	c := &call{
		Dispatcher: &preview, req: req, route: route, startedAt: time.Now(), estimate: e.estimates.find(route),
		budget: e.Budgets.CopyOf(req.Service), hedges: e.hedgeBudgets.copyOf(req.Service), ran: caller.NotRun,
	}
	found := Explanation{AnswerWithin: c.answerWithin()}
	found.ServiceTime, found.Bytes = c.estimate.get()
	found.Refusal = quarantineRefusal(e.Quarantine.PreviewRequest(c.startedAt, req))
	if found.Refusal == nil {
		found.Refusal = c.permit()
	}
	found.Survey = e.Roster.Survey(ctx, c.criteria())
	if found.Refusal == nil && found.Survey.Err != nil {
		found.Refusal = c.noUpstream(ctx, found.Survey.Err)
	}
	if found.Refusal == nil {
		c.depositRetries()
		c.hedges.deposit(c.startedAt, c.hedgeRatio())
		found.HedgeAfter, found.HedgeNode, found.NoHedge = c.previewHedge(ctx, found.Survey.Chosen)
	}
	return found
}

// previewHedge returns when and where the request would be hedged, or the reason why not. It uses the tokens of the call's budgets.
func (c *call) previewHedge(ctx context.Context, first peer.Candidate) (after time.Duration, node, withheld string) {
	after, reason := c.planHedge(c.startedAt, c.estimate.latencies.preview)
	if reason == "" {
		reason = c.withdrawHedge(c.startedAt)
	}
	if reason != "" {
		return 0, "", string(reason)
	}
	c.triedNodes = append(c.triedNodes, first.Status.Node)
	second := c.Roster.Survey(ctx, c.criteria())
	if second.Err != nil {
		return 0, "", string(noCandidate)
	}
	if reason = c.reasonAgainst(second.Chosen); reason != "" {
		return 0, "", string(reason)
	}
	return after, second.Chosen.Status.Node, ""
}
