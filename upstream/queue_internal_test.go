package upstream

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
)

// Guards against memory and a search that grow with every class name that another node sends, and against waiting requests that are lost
// when such classes are forgotten.
func TestClassesAreBounded(t *testing.T) {
	var s queueSet
	kept := &waiter{queue: s.forClass(bundle.Class{Name: "kept"})}
	s.add(kept)
	for i := range 10 * maxClasses {
		s.forClass(bundle.Class{Name: "r#" + strconv.Itoa(i)})
		assert.Assert(t, len(s.perClass) <= maxClasses)
	}
	assert.Assert(t, s.forClass(bundle.Class{Name: "kept"}) == kept.queue)
	assert.Assert(t, s.anyWaiting() == kept)
}
