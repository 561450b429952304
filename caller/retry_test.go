package caller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
)

// retryTable holds the expected decision for each reason: the first letter for a request that certainly
// did not run, the second for one that may have run on an idempotent route. "f" is a retry without a
// token of the budget, "p" a retry that takes one, and "-" no retry.
var retryTable = map[caller.Reason]string{
	caller.BadRequest: "--", caller.NoService: "--", caller.NoRoute: "--", caller.NoBundle: "--",
	caller.NoUpstream: "--", caller.DeadlinePassed: "--", caller.Cancelled: "--",
	caller.DepthExceeded: "--", caller.Quarantined: "--",
	caller.KeyMissing: "--", caller.KeyInvalid: "--", caller.KeyExpired: "--",
	caller.KeyInProgress: "--", caller.KeyUnknown: "--", caller.KeyAlreadyRun: "--",
	caller.NoKeeper: "--", caller.BodyCut: "--",
	caller.Draining: "ff", caller.NotReady: "ff", caller.StaleIncarnation: "ff", caller.PeerUnreachable: "ff", caller.Evacuated: "ff",
	caller.StaleBundle: "pp", caller.ColdUpstream: "pp", caller.QueueFull: "pp", caller.DeadlineUnmeetable: "pp",
	caller.Overload: "pp", caller.RateLimited: "pp", caller.UpstreamUnreachable: "pp", caller.PeerLost: "pp", caller.UpstreamLost: "pp",
	caller.Unauthenticated: "--", caller.ContractsStale: "--", caller.QuotaExceeded: "--", caller.QuotaUnavailable: "--",
	caller.KeptConnectionLost: "pp", caller.AnswerMismatch: "pp", caller.UpstreamRejected: "pp", caller.BodyTooLarge: "--",
}

// Guards against a retry that runs a request twice against its route's rule, for every combination of
// reason, rule and run state, and against a reason that has no entry in retryTable.
func TestDecideOverEveryReason(t *testing.T) {
	for _, reason := range caller.Reasons {
		row, ok := retryTable[reason]
		assert.Assert(t, ok, "no decision for %s", reason)
		for _, rule := range []bundle.Rule{bundle.Idempotent, bundle.NotIdempotent, bundle.AtMostOnce} {
			for _, ran := range []caller.RunState{caller.NotRun, caller.Unknown, caller.Answered} {
				want := byte('-')
				switch {
				case ran == caller.NotRun:
					want = row[0]
				case ran == caller.Unknown && rule == bundle.Idempotent:
					want = row[1]
				}
				got := caller.Decide(caller.FailedAttempt{
					Rule: rule, Reason: reason, Ran: ran, Attempts: 1, Replayable: true, TimeLeft: time.Second,
				})
				assert.Equal(t, got.Retry, want != '-', "%s %s %s", reason, rule, ran)
				assert.Equal(t, got.Paid, want == 'p', "%s %s %s", reason, rule, ran)
			}
		}
	}
}

// Guards against a retry beyond the limits of a call: attempts, body, time left, and retried ancestors.
func TestDecideBounds(t *testing.T) {
	base := caller.FailedAttempt{
		Rule: bundle.Idempotent, Reason: caller.Overload, Ran: caller.NotRun, Attempts: 1, Replayable: true, TimeLeft: time.Second,
	}
	cases := []struct {
		name   string
		change func(*caller.FailedAttempt)
		want   bool
	}{
		{"unchanged", func(*caller.FailedAttempt) {}, true},
		{"last attempt", func(a *caller.FailedAttempt) { a.Attempts = caller.MaxAttempts }, false},
		{"body not replayable", func(a *caller.FailedAttempt) { a.Replayable = false }, false},
		{"no time for the delay", func(a *caller.FailedAttempt) { a.TimeLeft = 5 * time.Millisecond }, false},
		{"ancestor is a retry", func(a *caller.FailedAttempt) { a.Retried = true }, false},
		{"ancestor is a retry, free", func(a *caller.FailedAttempt) { a.Retried, a.Reason = true, caller.Draining }, true},
	}
	for _, c := range cases {
		a := base
		c.change(&a)
		assert.Equal(t, caller.Decide(a).Retry, c.want, c.name)
	}
}

// chain simulates services that call one another in a line; the last one fails every call.
type chain struct {
	budgets []*caller.RetryBudgets
	runs    int
}

func (c *chain) call(depth int, retried bool) {
	if depth == caller.MaxDepth {
		c.runs++
		return
	}
	budget := c.budgets[depth].Of("service")
	if !retried {
		budget.Deposit(0.1)
	}
	for attempts := 1; ; attempts++ {
		c.call(depth+1, retried || attempts > 1)
		decision := caller.Decide(caller.FailedAttempt{
			Rule: bundle.Idempotent, Reason: caller.UpstreamLost, Ran: caller.Unknown, Attempts: attempts,
			Retried: retried, Replayable: true, TimeLeft: time.Second,
		})
		if !decision.Retry || (decision.Paid && !budget.TryWithdraw()) {
			return
		}
	}
}

// Guards against retries that multiply over a chain of 6 calls when the last service fails: each level
// may add a tenth of the calls and the initial tokens. Without the budget and the inherited attempt
// count the calls would multiply by 3^6.
func TestAmplificationOverChain(t *testing.T) {
	const calls = 10000
	c := &chain{}
	for range caller.MaxDepth {
		c.budgets = append(c.budgets, caller.NewRetryBudgets())
	}
	for range calls {
		c.call(0, false)
	}
	const saved = 10 * caller.MaxDepth
	amplification := float64(c.runs) / calls
	t.Logf("amplification over a chain %d deep: %.3f", caller.MaxDepth, amplification)
	assert.Assert(t, c.runs <= calls+calls*caller.MaxDepth/10+saved, "amplification %.3f", amplification)
}
