package quota_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/contract"
)

// Guards against an explanation of a quota that takes a token, or says nothing of a tenant that is being refused.
func TestDescriptionTakesNoToken(t *testing.T) {
	f := newFleet(t, 5, contract.Quota{PerSecond: 20, Burst: 20})
	f.load(4, time.Second)
	f.run(time.Second)
	granted := len(f.granted)
	for _, m := range f.nodes {
		for range 100 {
			assert.Assert(t, strings.Contains(m.Describe("t"), "allocated by"), m.Describe("t"))
		}
		assert.Equal(t, m.Describe("unknown"), "")
	}
	assert.Equal(t, len(f.granted), granted)
	f.load(500, time.Second)
	f.run(time.Second)
	refusing := 0
	for _, m := range f.nodes {
		if strings.HasPrefix(m.Describe("t"), "refused") {
			refusing++
		}
	}
	assert.Assert(t, refusing > 0)
}
