package link_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/link"
)

// Guards against a link that is ejected after two failed requests in place of three, because an attempt whose answer reported a
// server error and then broke off counts twice.
func TestBrokenServerErrorIsOneFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, table := fleetOf(map[string]int{"a": 4})
		set := table.Set("s")
		failing := set.Links()[0]
		for _, ejected := range []int{0, 0, 1} {
			token := failing.Begin(time.Now(), link.Short)
			failing.RecordAnswer(time.Now(), token, link.ServerError, nil)
			failing.End(time.Now(), token, link.ConnectionLost, nil)
			assert.Equal(t, set.EjectedCount(), ejected)
		}
	})
}
