package entry

import (
	"fmt"
	"math"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	hedgeBudgetShards = 16 // locks of the table of services
	// minHedgeBurst and maxHedgeBurst bound the capacity of a bucket in hedges. Between them it is the gain of
	// hedgeBurstTime, so that a node with few requests cannot save hedges for later.
	minHedgeBurst  = 1
	maxHedgeBurst  = 10
	hedgeBurstTime = time.Second
	// requestRateTime is the time constant of the average rate of requests.
	requestRateTime = 10 * time.Second
	// maxRequestGap is the time without a request after which a bucket is emptied. Otherwise, each node of a large fleet
	// would have a hedge left from before for its first request after an idle time.
	maxRequestGap = time.Minute
	// initialWinShare is the share of hedges that are assumed to win before the first one, winWeight the weight of one
	// hedge in the moving average.
	initialWinShare = 0.5
	winWeight       = 0.1
	// minWinShare is the share of won hedges below which hedges are withheld, since they only add work. One is still sent
	// every hedgeTrialInterval, to notice when hedges help again.
	minWinShare        = 0.05
	hedgeTrialInterval = 10 * time.Second
)

// withheldReason says why a late request was not hedged, "" when it was. It is the label of a counter, except for the reasons that
// are known before the request is sent.
type withheldReason string

const (
	hedgesOff      withheldReason = "off"             // the share of requests that may be hedged is 0
	routeUnhedged  withheldReason = "route"           // requests of the route may not run twice, or it has no objective
	bodyUnhedged   withheldReason = "body"            // the body does not fit into the replay buffer
	alreadyAtRetry withheldReason = "earlier-attempt" // only first attempts are hedged
	hedgeTooLate   withheldReason = "too-late"        // a hedge could no longer meet the objective
)

const (
	hedgeBudgetUsed   withheldReason = "hedge-budget"  // the share of requests that may be hedged is used up
	retryBudgetUsed   withheldReason = "retry-budget"  // the retry budget of the service is used up
	hedgesNotWinning  withheldReason = "not-winning"   // hedges for the service have lately not been faster than first attempts
	routeSlow         withheldReason = "slow"          // most requests of the route, or the candidate, are as late as this one
	candidateFull     withheldReason = "full"          // the best candidate has little room
	candidateLimited  withheldReason = "rate-limited"  // the best candidate has a rate limit, as a cold one has
	noCandidate       withheldReason = "no-upstream"   // no other upstream accepts the request
	answeredMeanwhile withheldReason = "answered"      // the first attempt ended during the choice of a candidate
	notPermitted      withheldReason = "not-permitted" // the key of the request was withdrawn, or may have been
)

var (
	hedgesTotal    = metrics.Counter("magnoliawharf_entry_hedges_total")
	hedgesWonTotal = metrics.Counter("magnoliawharf_entry_hedges_won_total")
	wastedSeconds  = metrics.FloatCounter("magnoliawharf_entry_hedge_wasted_seconds_total")
	hedgesWithheld = make(map[withheldReason]*vm.Counter)
)

// init exports the counters with 0 before their first increment.
func init() {
	for _, reason := range []withheldReason{
		hedgeBudgetUsed, retryBudgetUsed, hedgesNotWinning, routeSlow, candidateFull, candidateLimited,
		noCandidate, answeredMeanwhile, notPermitted,
	} {
		hedgesWithheld[reason] = metrics.Counter(fmt.Sprintf(`magnoliawharf_entry_hedges_withheld_total{reason=%q}`, string(reason)))
	}
}

// hedgeBudgetTable holds the hedge budget of each service, by name.
type hedgeBudgetTable struct {
	services *shard.Map[string, *hedgeBudget]
}

func newHedgeBudgetTable() hedgeBudgetTable {
	return hedgeBudgetTable{services: shard.NewString[string, *hedgeBudget](hedgeBudgetShards)}
}

// of returns the budget of the service and creates an empty one when it is new.
func (t hedgeBudgetTable) of(service string) *hedgeBudget {
	return t.services.GetOrCreate(service, newHedgeBudget)
}

// copyOf returns a copy of the budget of the service, whose use has no effect on it.
func (t hedgeBudgetTable) copyOf(service string) *hedgeBudget {
	b, ok := t.services.Get(service)
	if !ok {
		return newHedgeBudget()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return &hedgeBudget{
		tokens: b.tokens, capacity: b.capacity, perSecond: b.perSecond, lastRequest: b.lastRequest, winShare: b.winShare, lastHedge: b.lastHedge,
	}
}

func newHedgeBudget() *hedgeBudget { return &hedgeBudget{winShare: initialWinShare} }

// hedgeBudget limits the hedges of one service at this node to a share of its requests, and withholds them while they do
// not help. It is a token bucket that starts empty.
type hedgeBudget struct {
	mu          sync.Mutex
	tokens      float64
	capacity    float64
	perSecond   float64 // moving average of the rate of requests
	lastRequest time.Time
	winShare    float64   // moving average of the share of hedges that were answered first
	lastHedge   time.Time // last withdrawal that was not refunded
}

// deposit adds the tokens that a request earns.
func (b *hedgeBudget) deposit(now time.Time, ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	gap := max(0, now.Sub(b.lastRequest))
	if gap > maxRequestGap {
		b.tokens, b.perSecond = 0, 0
	}
	b.perSecond = b.perSecond*math.Exp(-gap.Seconds()/requestRateTime.Seconds()) + 1/requestRateTime.Seconds()
	b.capacity = min(max(ratio*b.perSecond*hedgeBurstTime.Seconds(), minHedgeBurst), maxHedgeBurst)
	b.tokens = min(b.tokens+ratio, b.capacity)
	b.lastRequest = now
}

// withdraw takes the token for a hedge, or returns the reason why none may be sent. mustWin withholds hedges while they do not win.
func (b *hedgeBudget) withdraw(now time.Time, mustWin bool) withheldReason {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case mustWin && b.winShare < minWinShare && now.Sub(b.lastHedge) < hedgeTrialInterval:
		return hedgesNotWinning
	case b.tokens < 1:
		return hedgeBudgetUsed
	}
	b.tokens--
	b.lastHedge = now
	return ""
}

// refund returns the token of a hedge that was not sent.
func (b *hedgeBudget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+1, b.capacity)
	b.lastHedge = time.Time{}
}

// record records whether a hedge was answered before the first attempt.
func (b *hedgeBudget) record(won bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.winShare *= 1 - winWeight
	if won {
		b.winShare += winWeight
	}
}
