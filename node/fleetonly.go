package node

import (
	"sync"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

// fleetOnly publishes a node's record to a fleet in the same process.
type fleetOnly struct {
	fleet *instance.Fleet

	mu     sync.Mutex
	record instance.Record
}

func newFleetOnly(fleet *instance.Fleet, record instance.Record) *fleetOnly {
	fleet.Merge(record)
	return &fleetOnly{fleet: fleet, record: record}
}

// Announce implements Publisher.
func (f *fleetOnly) Announce(service string, state instance.State, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record.Service, f.record.State, f.record.Slots = service, state, slots
	f.record.StateVersion++
	f.fleet.Merge(f.record)
}
