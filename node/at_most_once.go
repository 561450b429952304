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
	protectStep = "claim key"
	// Times after which a refused caller may send again.
	retryInProgress = time.Second
	retryNoKeeper   = time.Second
	retryKeysFull   = 5 * time.Second
)

// CallDispatcher takes a request to an upstream. The error is a *caller.Refusal.
type CallDispatcher interface {
	Dispatch(ctx context.Context, req *caller.Request) (*caller.Answer, error)
}

// KeyClient claims and settles idempotency keys at their owner. idempotency.Client implements it.
type KeyClient interface {
	Claim(ctx context.Context, service string, key idempotency.Key, attempt idempotency.Attempt, deadline time.Time) (idempotency.Verdict, *idempotency.Answer)
	Settle(service string, key idempotency.Key, attempt idempotency.Attempt, outcome idempotency.Outcome, answer *idempotency.Answer) bool
}

// Protector runs the requests of at-most-once routes at most once for each idempotency key, and
// passes all others on. It implements CallDispatcher.
type Protector struct {
	Bundles *bundle.InForce
	Keys    KeyClient
	Next    CallDispatcher
}

// Dispatch implements CallDispatcher.
func (p *Protector) Dispatch(ctx context.Context, req *caller.Request) (*caller.Answer, error) {
	if !p.protected(req) {
		return p.Next.Dispatch(ctx, req)
	}
	if req.Key == "" {
		return nil, caller.Refuse(caller.KeyMissing, protectStep, "")
	}
	key, err := idempotency.ParseKey(req.Key)
	if err != nil {
		return nil, caller.Refuse(caller.KeyInvalid, protectStep, "")
	}
	attempt := idempotency.NewAttempt()
	verdict, stored := p.Keys.Claim(ctx, req.Service, key, attempt, req.Deadline)
	run := &protectedRun{keys: p.Keys, service: req.Service, key: key, attempt: attempt}
	switch {
	case verdict == 0:
		// The owner may have granted the claim unheard. Nothing runs under it, so it is given back.
		run.settle(idempotency.OutcomeNotRun, nil)
		return nil, refusedUnheard(ctx, req)
	case verdict == idempotency.Done && stored != nil:
		return storedAnswer(stored), nil
	case verdict != idempotency.Granted:
		return nil, refusalOfVerdict(verdict)
	case ctx.Err() != nil:
		run.settle(idempotency.OutcomeNotRun, nil)
		return nil, refusedUnheard(ctx, req)
	}
	return run.dispatch(ctx, req, p.Next)
}

// protected reports whether the request's route runs at most once. A route that the bundle in force
// no longer has is refused at the home node, and not protected here.
func (p *Protector) protected(req *caller.Request) bool {
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

// protectedRun is one attempt that holds its key.
type protectedRun struct {
	keys    KeyClient
	service string
	key     idempotency.Key
	attempt idempotency.Attempt
	settled bool
}

// settle reports the outcome in the background, once.
func (r *protectedRun) settle(outcome idempotency.Outcome, answer *idempotency.Answer) {
	if !r.settled {
		r.settled = true
		r.keys.Settle(r.service, r.key, r.attempt, outcome, answer)
	}
}

func (r *protectedRun) dispatch(ctx context.Context, req *caller.Request, next CallDispatcher) (*caller.Answer, error) {
	returned := false
	defer func() {
		if !returned { // a panic below leaves the outcome open
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
	answer.Body = &recordedBody{ReadCloser: answer.Body, run: r, answer: answer, left: answer.Length}
	return answer, nil
}

// recordedBody copies a small answer while the caller reads it and settles the key at its end. An
// answer that breaks off or is too large settles as run without a copy.
type recordedBody struct {
	io.ReadCloser
	run    *protectedRun
	answer *caller.Answer
	copied bytes.Buffer
	left   int64 // bytes to come, negative when unknown
}

// Read implements io.Reader.
func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.run.settled {
		return n, err
	}
	if b.copied.Len()+n > idempotency.MaxAnswerBody {
		b.copied = bytes.Buffer{}
		b.run.settle(idempotency.OutcomeDone, nil)
		return n, err
	}
	b.copied.Write(p[:n])
	b.left -= int64(n)
	switch {
	case err == io.EOF:
		b.complete()
	case err != nil:
		b.run.settle(idempotency.OutcomeDone, nil)
	}
	return n, err
}

// Close implements io.Closer.
func (b *recordedBody) Close() error {
	if b.left == 0 {
		b.complete()
	}
	b.run.settle(idempotency.OutcomeDone, nil)
	return b.ReadCloser.Close()
}

func (b *recordedBody) complete() {
	b.run.settle(idempotency.OutcomeDone, &idempotency.Answer{
		Status: b.answer.Status, Header: b.answer.Header, Body: b.copied.Bytes(), Upstream: b.answer.Upstream,
	})
}

func storedAnswer(stored *idempotency.Answer) *caller.Answer {
	return &caller.Answer{
		Status: stored.Status, Header: stored.Header, Upstream: stored.Upstream,
		Body: io.NopCloser(bytes.NewReader(stored.Body)), Length: int64(len(stored.Body)),
	}
}

// refusedUnheard refuses a call that was given up before its key was granted.
func refusedUnheard(ctx context.Context, req *caller.Request) *caller.Refusal {
	switch {
	case !time.Now().Before(req.Deadline):
		return caller.Refuse(caller.DeadlinePassed, protectStep, "")
	case ctx.Err() != nil:
		return caller.Refuse(caller.Cancelled, protectStep, "")
	}
	return refusalOfVerdict(idempotency.NoTenure)
}

// refusalOfVerdict refuses a call whose key was not granted. NotRun is about this call: an earlier
// call with the key may have run whenever the reason does not exclude it.
func refusalOfVerdict(verdict idempotency.Verdict) *caller.Refusal {
	unknown := func(reason caller.Reason) *caller.Refusal { return caller.Lost(reason, protectStep, "", nil) }
	later := func(refusal *caller.Refusal, after time.Duration) *caller.Refusal {
		refusal.RetryAfter = after
		return refusal
	}
	switch verdict {
	case idempotency.InProgress:
		return later(unknown(caller.KeyInProgress), retryInProgress)
	case idempotency.Done, idempotency.AlreadyRun:
		return unknown(caller.KeyAlreadyRun)
	case idempotency.Closed:
		return unknown(caller.KeyUnknown)
	case idempotency.Expired:
		return unknown(caller.KeyExpired)
	case idempotency.Future:
		return caller.Refuse(caller.KeyInvalid, protectStep, "")
	case idempotency.Full:
		return later(caller.Refuse(caller.Overload, protectStep, ""), retryKeysFull)
	default:
		return later(caller.Refuse(caller.NoKeeper, protectStep, ""), retryNoKeeper)
	}
}
