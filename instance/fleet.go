package instance

import (
	"slices"
	"strings"
	"sync"

	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	fleetShards = 16
	// subscriberBuffer is the number of changes a subscriber may lag behind before it misses some.
	// A subscriber that misses changes re-reads the fleet.
	subscriberBuffer = 256
)

// Fleet holds the newest known record of every instance. It is safe for concurrent use.
type Fleet struct {
	records *shard.Map[ID, Record]

	mu          sync.Mutex
	subscribers map[chan Record]struct{}
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{
		records:     shard.NewString[ID, Record](fleetShards),
		subscribers: make(map[chan Record]struct{}),
	}
}

// Merge takes r when it is newer than the record held for the same ID and reports whether it did.
func (f *Fleet) Merge(r Record) bool {
	changed := false
	f.records.Update(r.ID, func(held Record, found bool) (Record, bool) {
		if found && !r.Newer(held) {
			return held, true
		}
		changed = true
		return r, true
	})
	if changed {
		f.publish(r)
	}
	return changed
}

// Remove forgets the instance, whatever its state.
func (f *Fleet) Remove(id ID) { f.records.Delete(id) }

// Get returns the record of id.
func (f *Fleet) Get(id ID) (Record, bool) { return f.records.Get(id) }

// Len returns the number of records held, including those of instances that left or failed.
func (f *Fleet) Len() int { return f.records.Len() }

// Service returns the records of the instances whose upstream serves name, ordered by ID. Those
// that left or failed are not included.
func (f *Fleet) Service(name string) []Record {
	return f.Select(func(r Record) bool { return r.Service == name && !r.State.Gone() })
}

// DataCentre returns the records of the instances in the data centre, ordered by ID. Those that
// left or failed are not included.
func (f *Fleet) DataCentre(name string) []Record {
	return f.Select(func(r Record) bool { return r.DataCentre == name && !r.State.Gone() })
}

// Select returns the records for which match reports true, ordered by ID.
func (f *Fleet) Select(match func(Record) bool) []Record {
	var found []Record
	f.records.Range(func(_ ID, r Record) bool {
		if match(r) {
			found = append(found, r)
		}
		return true
	})
	slices.SortFunc(found, func(a, b Record) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return found
}

// Subscribe returns a channel of changed records and a function that ends the subscription. A
// subscriber that lags by more than the buffer misses changes and must re-read the fleet.
func (f *Fleet) Subscribe() (<-chan Record, func()) {
	ch := make(chan Record, subscriberBuffer)
	f.mu.Lock()
	f.subscribers[ch] = struct{}{}
	f.mu.Unlock()
	return ch, func() {
		f.mu.Lock()
		delete(f.subscribers, ch)
		f.mu.Unlock()
	}
}

func (f *Fleet) publish(r Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for ch := range f.subscribers {
		select {
		case ch <- r:
		default:
		}
	}
}
