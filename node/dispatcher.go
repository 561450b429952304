// Package node assembles one magnoliawharf node from the objects of the other packages and holds
// the path of a call: the Dispatcher at the entry node and the Home at the node beside the
// upstream. It knows no wire format; adapters translate.
package node

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/metrics"
)

const (
	dispatchStep = "dispatch"
	// maxAttempts bounds the attempts of one call at one entry node.
	maxAttempts = 3
)

// Forwarder sends one attempt to the node beside an upstream and returns its answer. The error is
// a *caller.Refusal. The report is nil when none rode on the answer.
type Forwarder interface {
	Forward(ctx context.Context, req *caller.Request, target instance.Record) (*caller.Answer, *link.Report, error)
}

// Dispatcher takes calls from callers at the entry node to an upstream.
type Dispatcher struct {
	Links   *link.Table
	Forward Forwarder
}

// Dispatch sends the request to an upstream and returns its answer. The error is a *caller.Refusal.
func (d *Dispatcher) Dispatch(ctx context.Context, req *caller.Request) (*caller.Answer, error) {
	if req.Depth > caller.MaxDepth {
		return nil, caller.Refuse(caller.DepthExceeded, dispatchStep, "")
	}
	tried := make(map[instance.ID]bool, maxAttempts)
	for {
		answer, refusal := d.attempt(ctx, req, tried)
		if refusal == nil {
			return answer, nil
		}
		if !mayRetry(req, refusal, len(tried)) {
			return nil, refusal
		}
		metrics.Retry(refusal.Reason)
		req.Attempt++
	}
}

func (d *Dispatcher) attempt(ctx context.Context, req *caller.Request, tried map[instance.ID]bool) (*caller.Answer, *caller.Refusal) {
	chosen, err := d.Links.Set(req.Service).Choose(time.Now(), func(id instance.ID) bool { return tried[id] })
	if err != nil {
		return nil, caller.Refuse(caller.NoUpstream, dispatchStep, req.Service)
	}
	target := chosen.Record()
	tried[target.ID] = true
	token := chosen.Begin(time.Now())
	answer, report, err := d.Forward.Forward(ctx, req, target)
	refusal := asRefusal(err)
	chosen.End(time.Now(), token, resultOf(ctx, refusal), report)
	return answer, refusal
}

func mayRetry(req *caller.Request, refusal *caller.Refusal, attempts int) bool {
	return refusal.Ran == caller.NotRun && refusal.Reason != caller.NoUpstream &&
		attempts < maxAttempts && time.Now().Before(req.Deadline) && req.Body.Replayable()
}

func asRefusal(err error) *caller.Refusal {
	if err == nil {
		return nil
	}
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return caller.Lost(caller.PeerLost, dispatchStep, "", err)
}

func resultOf(ctx context.Context, refusal *caller.Refusal) link.Result {
	switch {
	case refusal == nil:
		return link.Served
	case ctx.Err() != nil:
		return link.Abandoned
	case refusal.Reason == caller.PeerUnreachable:
		return link.Unreachable
	case refusal.Ran == caller.NotRun:
		return link.Refused
	default:
		return link.Lost
	}
}
