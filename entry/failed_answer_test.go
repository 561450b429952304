package entry_test

import (
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/entry"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// budgetTokens is the capacity of the retry budgets of newBudgetedEntry, in tokens.
const budgetTokens = 2

// newBudgetedEntry returns a dispatcher that earns no more than a tenth of a retry with each request, and the full budget of
// the service "s".
func newBudgetedEntry(f *cluster, nodes int) (*entry.Dispatcher, *caller.RetryBudget) {
	budgets := caller.NewEmptyRetryBudgets(func() float64 { return budgetTokens })
	budget := budgets.Of("s")
	budget.Deposit(budgetTokens)
	return entry.New(entry.Dispatcher{
		Service: "self", Roster: rosterOf(nodes), Forward: f, Budgets: budgets, RetryRatio: func() float64 { return 0.1 },
		HedgeRatio: func() float64 { return 1 },
		Quarantine: quarantine.NewList(nil), Log: slog.New(slog.DiscardHandler),
	}), budget
}

// tokensLeft empties the budget and returns how many retries it allowed.
func tokensLeft(budget *caller.RetryBudget) (n int) {
	for budget.TryWithdraw() {
		n++
	}
	return n
}

// connectionBody is a body that cannot be read once it is closed, as one that arrives over a connection.
type connectionBody struct {
	io.Reader
	closed bool
}

// Close implements io.Closer.
func (b *connectionBody) Close() error {
	b.closed = true
	return nil
}

// Read implements io.Reader.
func (b *connectionBody) Read(p []byte) (int, error) {
	if b.closed {
		return 0, io.ErrClosedPipe
	}
	return b.Reader.Read(p)
}

// Guards against a caller that is told that there is no upstream in place of the answer of the only one, which was closed for a
// retry that no other node could take.
func TestFailedAnswerIsReturnedWhenNoNodeIsLeft(t *testing.T) {
	for name, length := range map[string]int{"short": 10, "longer than the buffer": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &cluster{outcomes: []outcome{{status: 500, body: &connectionBody{Reader: strings.NewReader(strings.Repeat("x", length))}, ran: true}}}
				e, budget := newBudgetedEntry(f, 1)
				answer, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, answer.Status, 500)
				content, err := io.ReadAll(answer.Body)
				assert.NilError(t, err)
				assert.Equal(t, len(content), length)
				assert.Equal(t, tokensLeft(budget), budgetTokens)
			})
		})
	}
}

// Guards against a later answer that is replaced by an earlier refusal when no other node is left.
func TestFailedAnswerIsReturnedAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &cluster{outcomes: []outcome{refused(caller.QueueFull), {status: 500, ran: true}}}
		e, _ := newBudgetedEntry(f, 2)
		answer, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, answer.Status, 500)
	})
}

// Guards against retries withheld for lack of a budget that was charged for attempts which no node was left to take.
func TestBudgetIsNotChargedWhenNoNodeIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &cluster{outcomes: []outcome{lost(caller.UpstreamLost)}}
		e, budget := newBudgetedEntry(f, 1)
		_, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
		assert.Equal(t, refusal.Reason, caller.UpstreamLost)
		assert.Equal(t, refusal.Ran, caller.Unknown)
		assert.Equal(t, len(f.sent), 1)
		assert.Equal(t, tokensLeft(budget), budgetTokens)
	})
}

// Guards against an upstream's answer that is lost because the retry or the hedge after it is refused.
func TestFailedAnswerIsReturnedWhenTheLaterAttemptIsRefused(t *testing.T) {
	failed := outcome{status: 500, ran: true}
	tests := map[string][]outcome{
		"refused":                       {failed, refused(caller.Draining)},
		"lost":                          {failed, lost(caller.UpstreamLost)},
		"hedge lost":                    {{status: 500, ran: true, after: 300 * time.Millisecond}, {refusal: lost(caller.UpstreamLost).refusal, ran: true, after: 200 * time.Millisecond}},
		"lost, answer of the hedge":     {{refusal: lost(caller.UpstreamLost).refusal, ran: true, after: 500 * time.Millisecond}, {status: 500, ran: true, after: 100 * time.Millisecond}},
		"refused, then deadline passes": {failed, {status: 200, ran: true, after: 2 * time.Second}},
	}
	for name, outcomes := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &cluster{outcomes: outcomes}
				e, _ := newBudgetedEntry(f, 2)
				answer, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
				assert.Equal(t, len(f.sent), 2)
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, answer.Status, 500)
				content, err := io.ReadAll(answer.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(content), "ok")
			})
		})
	}
}

// Guards against a failed answer whose slot stays in use after the answer of a retry or hedge.
func TestFailedAnswerIsClosedAfterALaterAnswer(t *testing.T) {
	tests := map[string][]outcome{
		"retried":     {{status: 500, ran: true}, good},
		"hedged":      {{status: 500, ran: true, after: 300 * time.Millisecond}, {status: 200, ran: true, after: 200 * time.Millisecond}},
		"fails again": {{status: 500, ran: true}, {status: 503, ran: true}},
	}
	for name, outcomes := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body := &connectionBody{Reader: strings.NewReader(strings.Repeat("x", 1<<20))}
				f := &cluster{outcomes: slices.Clone(outcomes)}
				f.outcomes[0].body = body
				e, _ := newBudgetedEntry(f, 2)
				answer, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, answer.Status, outcomes[1].status)
				assert.Assert(t, body.closed)
			})
		})
	}
}
