package entry

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

// minLimitedRetryAfter is the shortest delay suggested to a caller whose request the rate limits leave no room for.
const minLimitedRetryAfter = 100 * time.Millisecond

// refuseLimited returns the refusal of a request that the rate limits of all upstreams would keep waiting beyond its objective. Callers
// that are refused together are told to return at different moments, the later the less the limits leave.
func refuseLimited(e *peer.LimitedError) *caller.Refusal {
	refusal := caller.Refuse(caller.RateLimited, dispatchStep, "")
	refusal.Cause = e
	first := max(e.Wait, minLimitedRetryAfter)
	refusal.RetryAfter = first + rand.N(first)
	return refusal
}
