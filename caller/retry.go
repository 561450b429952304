package caller

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
)

// MaxAttempts bounds the attempts of one call at one entry node.
const MaxAttempts = 3

const (
	// minRetryTime is the least time that must be left for another attempt to be worth sending.
	minRetryTime = 2 * time.Millisecond
	// retryBackoff is the mean delay before a retry that follows a refusal for load. It doubles with
	// each attempt and is jittered, so that refused calls do not return in step.
	retryBackoff = 4 * time.Millisecond
)

// Cost says what a refused attempt has cost the system.
type Cost uint8

// Costs of refusals.
const (
	Final    Cost = iota // another attempt cannot help, or the caller must decide
	Free                 // the attempt cost no work: another upstream may well take the request
	Work                 // the attempt cost the work of an admission or more
	Overhead             // as Work, and the upstreams are short of capacity
)

// costs lists the reasons after which another attempt may help. All others are Final.
var costs = map[Reason]Cost{
	Draining: Free, NotReady: Free, StaleIncarnation: Free, PeerUnreachable: Free,
	StaleBundle: Work, UpstreamUnreachable: Work, PeerLost: Work, UpstreamLost: Work, AnswerMismatch: Work,
	UpstreamRejected: Work,
	ColdUpstream:     Overhead, QueueFull: Overhead, DeadlineUnmeetable: Overhead, Overload: Overhead,
}

// CostOf returns the cost class of a refusal.
func CostOf(reason Reason) Cost { return costs[reason] }

// Attempted is what the decision to retry depends on.
type Attempted struct {
	Rule       bundle.Rule
	Reason     Reason
	Ran        Ran
	Attempts   int           // attempts of this call at this node so far
	Retried    bool          // a call above this one in the chain is itself a retry
	Replayable bool          // the body can be sent again
	TimeLeft   time.Duration // until the deadline
}

// Decision says whether to send the request again.
type Decision struct {
	Retry bool
	Paid  bool          // the retry needs a token of the budget
	Delay time.Duration // mean delay before the retry; the sender jitters it
}

// Decide returns whether the request may be sent again. It is a pure function; the budget is
// checked by the sender, which knows the service.
func Decide(a Attempted) Decision {
	cost := CostOf(a.Reason)
	allowed := cost != Final && a.Attempts < MaxAttempts && a.Replayable && mayRunAgain(a.Rule, a.Ran)
	if !allowed || (a.Retried && cost != Free) {
		return Decision{}
	}
	decision := Decision{Retry: true, Paid: cost != Free}
	if cost == Overhead {
		decision.Delay = retryBackoff << (a.Attempts - 1)
	}
	if a.TimeLeft < 2*decision.Delay+minRetryTime {
		return Decision{}
	}
	return decision
}

// mayRunAgain reports whether a further attempt keeps the rule of the route.
func mayRunAgain(rule bundle.Rule, ran Ran) bool {
	return ran == NotRun || (ran == Unknown && rule == bundle.Idempotent)
}

// MayHedge reports whether a second attempt may run beside the first: the route is idempotent and
// asks for it, the body can be sent twice at the same time, and no call above is a retry.
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
