package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/contract"
)

// Guards against a lower quota that drops tokens which are within it, because expired ones count against it.
func TestLowerQuotaKeepsValidTokens(t *testing.T) {
	var u unusedTokens
	now := 10 * time.Second
	u.add(now, expiry(now+validity), 5)
	later := now + 2*validity
	u.add(later, expiry(later+validity), 5)
	u.limitTo(later, contract.Quota{PerSecond: 1, Burst: 5})
	assert.Equal(t, u.count(later), 5)
	u.limitTo(later, contract.Quota{PerSecond: 1, Burst: 3})
	assert.Equal(t, u.count(later), 3)
}

// Guards against a wait that overflows with a tiny rate, becomes negative and ends in a panic.
func TestWaitForATokenOfATinyRate(t *testing.T) {
	for _, rate := range []float64{0, 1e-300, 1e-11, 0.05} {
		assert.Equal(t, waitFor(1, rate, 3*time.Second), 3*time.Second, "%v a second", rate)
	}
	assert.Equal(t, waitFor(1, 4, 3*time.Second), 250*time.Millisecond)
	assert.Equal(t, waitFor(-1, 4, 3*time.Second), time.Duration(0))
}
