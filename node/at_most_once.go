package node

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/idempotency"
)

const (
	claimStep = "claim key"
	// Delays after which a refused caller may retry.
	retryAfterInProgress = time.Second
	retryAfterNoKeeper   = time.Second
	retryAfterKeysFull   = 5 * time.Second
)

// CallDispatcher sends a request to an upstream and returns the response. The error is a *caller.Refusal.
type CallDispatcher interface {
	Dispatch(ctx context.Context, req *caller.Request) (*caller.Answer, error)
}

// KeyClient claims and settles idempotency keys at the node that owns them. idempotency.Client implements it.
type KeyClient interface {
	Claim(ctx context.Context, service string, key idempotency.Key, attempt idempotency.Attempt, deadline time.Time) (idempotency.Verdict, *idempotency.Answer)
	Settle(service string, key idempotency.Key, attempt idempotency.Attempt, outcome idempotency.Outcome, answer *idempotency.Answer) bool
}

// AtMostOnceDispatcher is a CallDispatcher that claims the idempotency key of a request on an at-most-once route
// before it dispatches it, so that the request runs at most once. Other requests pass unchanged.
type AtMostOnceDispatcher struct {
	Bundles *bundle.Current
	Keys    KeyClient
	Next    CallDispatcher
}

// Dispatch implements CallDispatcher.
func (p *AtMostOnceDispatcher) Dispatch(ctx context.Context, req *caller.Request) (*caller.Answer, error) {
	if !p.runsAtMostOnce(req) {
		return p.Next.Dispatch(ctx, req)
	}
	if req.Key == "" {
		return nil, caller.Refuse(caller.KeyMissing, claimStep, "")
	}
	key, err := idempotency.ParseKey(req.Key)
	if err != nil {
		return nil, caller.Refuse(caller.KeyInvalid, claimStep, "")
	}
	attempt := idempotency.NewAttempt()
	verdict, stored := p.Keys.Claim(ctx, req.Service, key, attempt, req.Deadline)
	claimed := &claimedAttempt{keys: p.Keys, service: req.Service, key: key, attempt: attempt}
	switch {
	case verdict == 0:
		// There was no reply, but the owner may have granted the claim. It is settled as not run.
		claimed.settle(idempotency.OutcomeNotRun, nil)
		return nil, refusalBeforeGrant(ctx, req)
	case verdict == idempotency.Done && stored != nil:
		return storedAnswer(stored), nil
	case verdict != idempotency.Granted:
		return nil, refusalOfVerdict(verdict)
	case ctx.Err() != nil:
		claimed.settle(idempotency.OutcomeNotRun, nil)
		return nil, refusalBeforeGrant(ctx, req)
	}
	return claimed.dispatch(ctx, req, p.Next)
}

// runsAtMostOnce reports whether the request's route has the at-most-once rule. It returns false for a route
// that the current bundle no longer has; the node beside the upstream refuses such a request.
func (p *AtMostOnceDispatcher) runsAtMostOnce(req *caller.Request) bool {
	current := p.Bundles.Load()
	if current == nil {
		return false
	}
	contract, ok := current.Contracts[req.Service]
	if !ok {
		return false
	}
	for _, route := range contract.Routes {
		if route.Name == req.Route {
			return route.Rule == bundle.AtMostOnce
		}
	}
	return false
}

// claimedAttempt is an attempt whose idempotency key was claimed.
type claimedAttempt struct {
	keys    KeyClient
	service string
	key     idempotency.Key
	attempt idempotency.Attempt
	settled bool
}

// settle reports the outcome to the owner of the key in the background. Only the first call has an effect.
func (r *claimedAttempt) settle(outcome idempotency.Outcome, answer *idempotency.Answer) {
	if !r.settled {
		r.settled = true
		r.keys.Settle(r.service, r.key, r.attempt, outcome, answer)
	}
}

func (r *claimedAttempt) dispatch(ctx context.Context, req *caller.Request, next CallDispatcher) (*caller.Answer, error) {
	returned := false
	defer func() {
		if !returned { // after a panic in Dispatch the outcome is unknown
			r.settle(idempotency.OutcomeUnknown, nil)
		}
	}()
	answer, err := next.Dispatch(ctx, req)
	returned = true
	if err != nil {
		refusal := asRefusal(ctx, err)
		outcome := idempotency.OutcomeUnknown
		if refusal.Ran == caller.NotRun {
			outcome = idempotency.OutcomeNotRun
		}
		r.settle(outcome, nil)
		return nil, refusal
	}
	answer.Body = &recordedBody{ReadCloser: answer.Body, claim: r, answer: answer, remaining: answer.Length}
	return answer, nil
}

// recordedBody buffers a small response while the caller reads it and settles the key at its end. A
// response that is incomplete or too large is settled as run, without a copy of it.
type recordedBody struct {
	io.ReadCloser
	claim     *claimedAttempt
	answer    *caller.Answer
	buffered  bytes.Buffer
	remaining int64 // bytes not yet read, negative when unknown
}

// Read implements io.Reader.
func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.claim.settled {
		return n, err
	}
	if b.buffered.Len()+n > idempotency.MaxAnswerBody {
		b.buffered = bytes.Buffer{}
		b.claim.settle(idempotency.OutcomeDone, nil)
		return n, err
	}
	b.buffered.Write(p[:n])
	b.remaining -= int64(n)
	switch {
	case err == io.EOF:
		b.complete()
	case err != nil:
		b.claim.settle(idempotency.OutcomeDone, nil)
	}
	return n, err
}

// Close implements io.Closer.
func (b *recordedBody) Close() error {
	if b.remaining == 0 {
		b.complete()
	}
	b.claim.settle(idempotency.OutcomeDone, nil)
	return b.ReadCloser.Close()
}

// complete settles the key with the buffered response.
func (b *recordedBody) complete() {
	b.claim.settle(idempotency.OutcomeDone, &idempotency.Answer{
		Status: b.answer.Status, Header: b.answer.Header, Body: b.buffered.Bytes(), Upstream: b.answer.Upstream,
	})
}

func storedAnswer(stored *idempotency.Answer) *caller.Answer {
	return &caller.Answer{
		Status: stored.Status, Header: stored.Header, Upstream: stored.Upstream,
		Body: io.NopCloser(bytes.NewReader(stored.Body)), Length: int64(len(stored.Body)),
	}
}

// refusalBeforeGrant returns the refusal of a call that ended before the reply to its claim was received.
func refusalBeforeGrant(ctx context.Context, req *caller.Request) *caller.Refusal {
	switch {
	case !time.Now().Before(req.Deadline):
		return caller.Refuse(caller.DeadlinePassed, claimStep, "")
	case ctx.Err() != nil:
		return caller.Refuse(caller.ContextReason(ctx), claimStep, "")
	}
	return refusalOfVerdict(idempotency.NoLease)
}

// refusalOfVerdict returns the refusal of a call whose key was not granted. NotRun applies to this call
// only: an earlier call with the key may have run unless the reason excludes it.
func refusalOfVerdict(verdict idempotency.Verdict) *caller.Refusal {
	unknown := func(reason caller.Reason) *caller.Refusal { return caller.RefuseUncertain(reason, claimStep, "", nil) }
	withRetryAfter := func(refusal *caller.Refusal, after time.Duration) *caller.Refusal {
		refusal.RetryAfter = after
		return refusal
	}
	switch verdict {
	case idempotency.InProgress:
		return withRetryAfter(unknown(caller.KeyInProgress), retryAfterInProgress)
	case idempotency.Done, idempotency.AlreadyRun:
		return unknown(caller.KeyAlreadyRun)
	case idempotency.Closed:
		return unknown(caller.KeyUnknown)
	case idempotency.Expired:
		return unknown(caller.KeyExpired)
	case idempotency.Future:
		return caller.Refuse(caller.KeyInvalid, claimStep, "")
	case idempotency.Full:
		return withRetryAfter(caller.Refuse(caller.Overload, claimStep, ""), retryAfterKeysFull)
	default:
		return withRetryAfter(caller.Refuse(caller.NoKeeper, claimStep, ""), retryAfterNoKeeper)
	}
}
