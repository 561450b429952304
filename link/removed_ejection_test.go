package link_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// Guards against a link that is ejected while it leaves its set: it then counts against the quota of ejected links for good, and
// links to instances that fail are used all the same.
func TestRemovedLinkIsNotEjected(t *testing.T) {
	const (
		rounds   = 3000
		attempts = 64
	)
	for range rounds {
		fleet, table := fleetOf(map[string]int{"a": 2})
		set := table.Set("s")
		leaving := set.Links()[0]
		record := leaving.Record()
		var tokens []*link.Token
		for range attempts {
			tokens = append(tokens, leaving.Begin(time.Now(), link.Short))
		}
		var ended sync.WaitGroup
		start := make(chan struct{})
		for i := range 2 {
			ended.Go(func() {
				<-start
				for _, token := range tokens[i*attempts/2 : (i+1)*attempts/2] {
					leaving.End(time.Now(), token, link.Unreachable, nil)
				}
			})
		}
		record.State, record.StateVersion = instance.Left, record.StateVersion+1
		fleet.Merge(record)
		close(start)
		table.Set("s") // applies the change
		ended.Wait()
		assert.Equal(t, set.Len(), 1)
		assert.Equal(t, set.EjectedCount(), 0)
	}
}
