package caller

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
)

// MaxAttempts is the maximum number of attempts of one call at one entry node.
const MaxAttempts = 3

const (
	// minRetryTime is the time before the deadline below which a retry is not worth sending.
	minRetryTime = 2 * time.Millisecond
	// retryBackoff is the mean delay before the first retry after a refusal for load. It doubles with
	// each attempt and is jittered, so that refused calls are not retried in synchrony.
	retryBackoff = 4 * time.Millisecond
)

// RetryCost classifies a refusal by whether the request may be retried and what a retry adds to the load.
type RetryCost uint8

// Costs of refusals.
const (
	NotRetryable RetryCost = iota // not retried: another attempt cannot help, or the caller must decide
	FreeRetry                     // the attempt cost no work and another upstream is likely to accept the request
	PaidRetry                     // the attempt cost an admission or more: a retry needs a token
	DelayedRetry                  // the same, and upstreams are overloaded: a retry is also delayed
)

// retryCosts holds the reasons after which a retry may succeed. After any other reason there is no retry.
var retryCosts = map[Reason]RetryCost{
	Draining: FreeRetry, NotReady: FreeRetry, StaleIncarnation: FreeRetry, PeerUnreachable: FreeRetry, Evacuated: FreeRetry,
	StaleBundle: PaidRetry, UpstreamUnreachable: PaidRetry, PeerLost: PaidRetry, UpstreamLost: PaidRetry, AnswerMismatch: PaidRetry,
	UpstreamRejected: PaidRetry, KeptConnectionLost: PaidRetry,
	ColdUpstream: DelayedRetry, QueueFull: DelayedRetry, DeadlineUnmeetable: DelayedRetry, Overload: DelayedRetry, RateLimited: DelayedRetry,
}

// RetryCostOf returns the cost class of a refusal.
func RetryCostOf(reason Reason) RetryCost { return retryCosts[reason] }

// FailedAttempt is the input of a retry decision: the failed attempt and the state of its call.
type FailedAttempt struct {
	Rule       bundle.Rule
	Reason     Reason
	Ran        RunState
	Attempts   int           // attempts of this call at this node so far, including the failed one
	Retried    bool          // an ancestor call is itself a retry
	Replayable bool          // the body can be read again
	TimeLeft   time.Duration // until the deadline
}

// Decision states whether and how to retry a request.
type Decision struct {
	Retry bool
	Paid  bool          // the retry takes a token of the budget
	Delay time.Duration // mean delay before the retry, to be jittered by the sender
}

// Decide returns whether a request may be retried after a refusal. It is a pure function. The sender
// checks the retry budget, which belongs to the service.
func Decide(a FailedAttempt) Decision {
	cost := RetryCostOf(a.Reason)
	allowed := cost != NotRetryable && a.Attempts < MaxAttempts && a.Replayable && allowsRerun(a.Rule, a.Ran)
	if !allowed || (a.Retried && cost != FreeRetry) {
		return Decision{}
	}
	decision := Decision{Retry: true, Paid: cost != FreeRetry}
	if cost == DelayedRetry {
		decision.Delay = retryBackoff << (a.Attempts - 1)
	}
	if a.TimeLeft < 2*decision.Delay+minRetryTime {
		return Decision{}
	}
	return decision
}

// allowsRerun reports whether the rule of the route allows another attempt after one that ended with ran.
func allowsRerun(rule bundle.Rule, ran RunState) bool {
	return ran == NotRun || (ran == Unknown && rule == bundle.Idempotent)
}

// MayHedge reports whether a second attempt may run concurrently with the first: the route is
// idempotent and has hedging enabled, two attempts can read the body concurrently, and no ancestor
// call is a retry.
func MayHedge(route bundle.Route, body *Body, retried bool) bool {
	return route.Hedge && route.Rule == bundle.Idempotent && !retried && body.Shareable()
}

// Jitter returns a random duration with the given mean, between 0 and twice the mean.
func Jitter(mean time.Duration) time.Duration {
	if mean <= 0 {
		return 0
	}
	return rand.N(2 * mean)
}
