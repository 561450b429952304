package caller_test

import (
	"fmt"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
)

// A request that may have run is retried only on idempotent routes.
func ExampleDecide() {
	failed := caller.FailedAttempt{
		Reason: caller.UpstreamLost, Ran: caller.Unknown, Attempts: 1, Replayable: true, TimeLeft: time.Second,
	}
	for _, rule := range []bundle.Rule{bundle.Idempotent, bundle.NotIdempotent} {
		failed.Rule = rule
		decision := caller.Decide(failed)
		fmt.Println(rule, decision.Retry, decision.Paid)
	}
	// Output:
	// idempotent true true
	// not-idempotent false false
}
