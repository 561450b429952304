package entry_test

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
)

// Guards against retries of an operator who allows none in proportion to the requests: a ratio of 0 stood for the default of 0.1.
func TestRetryRatioOfZeroEarnsNoRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 100
		f := &cluster{outcomes: []outcome{{status: 500, ran: true}}}
		e := newEntry(f, 3)
		e.RetryRatio = func() float64 { return 0 }
		for range requests {
			_, _ = dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
		}
		assert.Equal(t, len(f.sent), requests)
	})
}
