package link_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// Guards against concurrent first calls of a service that find its set before it is filled and are refused although
// upstreams are known.
func TestFirstCallsFindLinks(t *testing.T) {
	fleet := instance.NewFleet()
	table := link.NewTable(fleet)
	for round := range 200 {
		service := fmt.Sprintf("s%d", round)
		fleet.Merge(instance.Record{
			ID: instance.ID(service), Incarnation: 1, Service: service, State: instance.Ready, Slots: 1, PeerAddr: "a:1",
		})
		var wait sync.WaitGroup
		var mu sync.Mutex
		failed := 0
		for range 8 {
			wait.Go(func() {
				_, err := table.Set(service).Choose(time.Now(), link.Short, func(instance.ID) bool { return false })
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed++
				}
			})
		}
		wait.Wait()
		assert.Equal(t, failed, 0, service)
	}
}
