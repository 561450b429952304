package node_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/idempotency"
	"github.com/magnoliawharf/magnoliawharf/node"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// fakeKeys returns one verdict for every claim and records the settlements.
type fakeKeys struct {
	verdict  idempotency.Verdict
	stored   *idempotency.Answer
	outcomes []idempotency.Outcome
	answer   *idempotency.Answer
}

func (k *fakeKeys) Claim(context.Context, string, idempotency.Key, idempotency.Attempt, time.Time) (idempotency.Verdict, *idempotency.Answer) {
	return k.verdict, k.stored
}

func (k *fakeKeys) Settle(_ string, _ idempotency.Key, _ idempotency.Attempt, outcome idempotency.Outcome, answer *idempotency.Answer) bool {
	k.outcomes, k.answer = append(k.outcomes, outcome), answer
	return true
}

// fakeDispatcher is a CallDispatcher that returns the same result for each request.
type fakeDispatcher struct {
	body io.Reader
	err  error
	runs int
}

func (n *fakeDispatcher) Dispatch(context.Context, *caller.Request) (*caller.Answer, error) {
	n.runs++
	if n.err != nil {
		return nil, n.err
	}
	return &caller.Answer{Status: 201, Body: io.NopCloser(n.body), Length: -1, Upstream: "u"}, nil
}

func protectedCall(t *testing.T, key string) *caller.Request {
	t.Helper()
	if key == "v7" {
		id, err := uuid.NewV7()
		assert.NilError(t, err)
		key = id.String()
	}
	return &caller.Request{Service: "s", Route: "charge", Key: key, Deadline: time.Now().Add(time.Minute), Fingerprint: 5}
}

func protectedBundle() *bundle.Current {
	bundles := bundle.NewCurrent()
	bundles.Put(&bundle.Bundle{Version: 1, Contracts: map[string]*bundle.Contract{"s": {
		Service: "s", Routes: []bundle.Route{{Name: "charge", Rule: bundle.AtMostOnce}},
	}}})
	return bundles
}

// Guards against a request that is dispatched without a granted key, and a refusal with not-run when a
// request with the key may have run, or with unknown when none can have.
func TestAtMostOnceRefusals(t *testing.T) {
	for _, test := range []struct {
		name    string
		key     string
		verdict idempotency.Verdict
		reason  caller.Reason
		ran     caller.RunState
	}{
		{"no key", "", idempotency.Granted, caller.KeyMissing, caller.NotRun},
		{"no UUIDv7", "0b7f7a52-6a70-4f3c-9d3f-2f1f4ac1f4b4", idempotency.Granted, caller.KeyInvalid, caller.NotRun},
		{"in progress", "v7", idempotency.InProgress, caller.KeyInProgress, caller.Unknown},
		{"already run", "v7", idempotency.AlreadyRun, caller.KeyAlreadyRun, caller.Unknown},
		{"closed", "v7", idempotency.Closed, caller.KeyUnknown, caller.Unknown},
		{"expired", "v7", idempotency.Expired, caller.KeyExpired, caller.Unknown},
		{"future", "v7", idempotency.Future, caller.KeyInvalid, caller.NotRun},
		{"full", "v7", idempotency.Full, caller.Overload, caller.NotRun},
		{"no tenure", "v7", idempotency.NoLease, caller.NoKeeper, caller.NotRun},
		{"handing over", "v7", idempotency.HandingOver, caller.NoKeeper, caller.NotRun},
		{"no answer", "v7", 0, caller.NoKeeper, caller.NotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			keys, next := &fakeKeys{verdict: test.verdict}, &fakeDispatcher{}
			p := &node.AtMostOnceDispatcher{Bundles: protectedBundle(), Keys: keys, Next: next}
			_, err := p.Dispatch(t.Context(), protectedCall(t, test.key))
			var refusal *caller.Refusal
			assert.Assert(t, errors.As(err, &refusal))
			assert.Equal(t, refusal.Reason, test.reason)
			assert.Equal(t, refusal.Ran, test.ran)
			assert.Equal(t, next.runs, 0)
			assert.Equal(t, len(keys.outcomes) == 1 && keys.outcomes[0] == idempotency.OutcomeNotRun, test.verdict == 0)
		})
	}
}

// Guards against a settlement with the wrong outcome, more than once or not at all, and against a stored
// response that is incomplete.
func TestAtMostOnceSettlesOutcome(t *testing.T) {
	for _, test := range []struct {
		name    string
		next    fakeDispatcher
		outcome idempotency.Outcome
		stored  string
	}{
		{"answered", fakeDispatcher{body: strings.NewReader("receipt")}, idempotency.OutcomeDone, "receipt"},
		{"large answer", fakeDispatcher{body: strings.NewReader(strings.Repeat("x", idempotency.MaxAnswerBody+1))}, idempotency.OutcomeDone, ""},
		{"answer cut", fakeDispatcher{body: io.MultiReader(strings.NewReader("rec"), iotest.ErrReader(io.ErrUnexpectedEOF))}, idempotency.OutcomeDone, ""},
		{"not run", fakeDispatcher{err: caller.Refuse(caller.QueueFull, "test", "")}, idempotency.OutcomeNotRun, ""},
		{"unknown", fakeDispatcher{err: caller.RefuseUncertain(caller.UpstreamLost, "test", "", nil)}, idempotency.OutcomeUnknown, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			keys := &fakeKeys{verdict: idempotency.Granted}
			p := &node.AtMostOnceDispatcher{Bundles: protectedBundle(), Keys: keys, Next: &test.next}
			answer, err := p.Dispatch(t.Context(), protectedCall(t, "v7"))
			if err == nil {
				_, _ = io.Copy(io.Discard, answer.Body)
				assert.NilError(t, answer.Body.Close())
			}
			assert.Equal(t, err == nil, test.next.err == nil)
			assert.DeepEqual(t, keys.outcomes, []idempotency.Outcome{test.outcome})
			assert.Equal(t, keys.answer != nil, test.stored != "")
			if test.stored != "" {
				assert.Equal(t, string(keys.answer.Body), test.stored)
			}
		})
	}
}

// Guards against a retry by the caller that runs again instead of receiving the stored response.
func TestAtMostOnceReturnsStoredAnswer(t *testing.T) {
	next := &fakeDispatcher{}
	keys := &fakeKeys{verdict: idempotency.Done, stored: &idempotency.Answer{Status: 201, Body: []byte("receipt")}}
	p := &node.AtMostOnceDispatcher{Bundles: protectedBundle(), Keys: keys, Next: next}
	answer, err := p.Dispatch(t.Context(), protectedCall(t, "v7"))
	assert.NilError(t, err)
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "receipt")
	assert.Equal(t, answer.Length, int64(7))
	assert.Equal(t, next.runs, 0)
}

// Guards against a request in quarantine that is passed to the next dispatcher.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	list, next := quarantine.NewList(nil), &fakeDispatcher{body: strings.NewReader("")}
	guard := &node.QuarantineDispatcher{Suspects: list, Next: next}
	_, err := guard.Dispatch(t.Context(), protectedCall(t, ""))
	assert.NilError(t, err)
	list.Report(time.Now(), 1, []quarantine.Fingerprint{5})
	list.Report(time.Now(), 2, []quarantine.Fingerprint{5})
	_, err = guard.Dispatch(t.Context(), protectedCall(t, ""))
	var refusal *caller.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Reason, caller.Quarantined)
	assert.Equal(t, refusal.Ran, caller.NotRun)
	assert.Assert(t, refusal.RetryAfter > 4*time.Minute)
	assert.Equal(t, next.runs, 1)
}
