package store_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/store"
)

// Guards against a process that starts over at its first answer or at a delayed answer of an earlier era, and against one
// that does not notice a change.
func TestEraTracker(t *testing.T) {
	var tracker store.EraTracker
	unknown := tracker.Era()
	tracker.Observe(0) // an answer without an era
	tracker.Observe(4)
	assert.Assert(t, !unknown.Ended())
	known := tracker.Era()
	assert.Equal(t, known.Current, store.Era(4))
	tracker.Observe(3)
	tracker.Observe(4)
	assert.Assert(t, !known.Ended())
	tracker.Observe(5)
	assert.Assert(t, known.Ended() && unknown.Ended())
	after := tracker.Era()
	assert.Equal(t, after.Current, store.Era(5))
	assert.Equal(t, after.Previous, store.Era(4))
	assert.Assert(t, !after.Ended())
	assert.Assert(t, !store.NoEra{}.Era().Ended())
}
