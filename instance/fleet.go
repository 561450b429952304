package instance

import (
	"slices"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	fleetShards = 16
	// subscriberBuffer is the number of changes a subscriber may lag behind before it misses some.
	// A subscriber that misses changes re-reads the fleet.
	subscriberBuffer = 256
	// GoneRetention is the time for which the record of an instance that left or failed is kept, so
	// that an old message cannot bring it back. It is longer than the hour for which other data
	// centres keep the members of one that they cannot reach, since they may return them.
	GoneRetention = 2 * time.Hour
	// maxGone bounds the kept records of instances that left or failed. 1,100 replacements a day are
	// 92 in two hours; the bound leaves room for several data centres lost at once.
	maxGone = 4096
)

// Fleet holds the newest known record of every instance. It is safe for concurrent use.
//
// Locks are taken in the order shard of the record, group, subscribers.
type Fleet struct {
	records  *shard.Map[ID, entry]
	services *shard.Map[string, *group]
	centres  *shard.Map[string, *group]

	mu          sync.Mutex
	subscribers map[chan Record]struct{}
}

// entry is a record with the time at which it was learned.
type entry struct {
	Record
	learned time.Time
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{
		records:     shard.NewString[ID, entry](fleetShards),
		services:    shard.NewString[string, *group](fleetShards),
		centres:     shard.NewString[string, *group](fleetShards),
		subscribers: make(map[chan Record]struct{}),
	}
}

// Merge takes r when it is newer than the record held for the same ID and reports whether it did.
func (f *Fleet) Merge(r Record) bool {
	changed := false
	f.records.Update(r.ID, func(held entry, found bool) (entry, bool) {
		if found && !r.Newer(held.Record) {
			return held, true
		}
		changed = true
		f.index(held.Record, found, r)
		return entry{Record: r, learned: time.Now()}, true
	})
	if changed {
		f.publish(r)
	}
	return changed
}

// index moves an instance between groups. It runs under the lock of the record's shard, so that
// the groups see the changes of one instance in order.
func (f *Fleet) index(held Record, found bool, r Record) {
	if found && held.Service != r.Service {
		f.group(f.services, held.Service).remove(r.ID)
	}
	if found && held.DataCentre != r.DataCentre {
		f.group(f.centres, held.DataCentre).remove(r.ID)
	}
	f.group(f.services, r.Service).replace(r)
	f.group(f.centres, r.DataCentre).replace(r)
}

func (f *Fleet) group(groups *shard.Map[string, *group], name string) *group {
	return groups.GetOrCreate(name, newGroup)
}

// Remove forgets the instance, whatever its state.
func (f *Fleet) Remove(id ID) {
	f.records.Update(id, func(held entry, found bool) (entry, bool) {
		if found {
			f.group(f.services, held.Service).remove(id)
			f.group(f.centres, held.DataCentre).remove(id)
		}
		return entry{}, false
	})
}

// Get returns the record of id.
func (f *Fleet) Get(id ID) (Record, bool) {
	held, ok := f.records.Get(id)
	return held.Record, ok
}

// Len returns the number of records held, including those of instances that left or failed.
func (f *Fleet) Len() int { return f.records.Len() }

// Service returns the records of the instances whose upstream serves name, ordered by ID. Those
// that left or failed are not included. The slice is shared and must not be modified.
func (f *Fleet) Service(name string) []Record {
	g, ok := f.services.Get(name)
	if !ok {
		return nil
	}
	return g.records()
}

// DataCentre returns the records of the instances in the data centre, ordered by ID. Those that
// left or failed are not included. The slice is shared and must not be modified.
func (f *Fleet) DataCentre(name string) []Record {
	g, ok := f.centres.Get(name)
	if !ok {
		return nil
	}
	return g.records()
}

// Changes returns a number that grows with each change of the instances in the data centre.
func (f *Fleet) Changes(dataCentre string) uint64 {
	g, ok := f.centres.Get(dataCentre)
	if !ok {
		return 0
	}
	return g.changeCount()
}

// Digest returns the digest of the instances in the data centre that neither left nor failed, and
// their number. Records of gone instances are left out, because nodes forget them at different times.
func (f *Fleet) Digest(dataCentre string) (digest uint64, count int) {
	g, ok := f.centres.Get(dataCentre)
	if !ok {
		return 0, 0
	}
	return g.sum()
}

// DataCentres returns the names of the data centres of which instances are or were known, in order.
func (f *Fleet) DataCentres() []string {
	var names []string
	f.centres.Range(func(name string, _ *group) bool {
		names = append(names, name)
		return true
	})
	slices.Sort(names)
	return names
}

// Select returns the records for which match reports true, ordered by ID.
func (f *Fleet) Select(match func(Record) bool) []Record {
	var found []Record
	f.records.Range(func(_ ID, e entry) bool {
		if match(e.Record) {
			found = append(found, e.Record)
		}
		return true
	})
	sortByID(found)
	return found
}

// Gone returns the records of instances of the data centre that left or failed and were learned
// within the last age.
func (f *Fleet) Gone(dataCentre string, age time.Duration) []Record {
	var found []Record
	now := time.Now()
	f.records.Range(func(_ ID, e entry) bool {
		if e.State.Gone() && e.DataCentre == dataCentre && now.Sub(e.learned) <= age {
			found = append(found, e.Record)
		}
		return true
	})
	return found
}

// Sweep forgets the instances that left or failed longer than GoneRetention ago, and the oldest of
// them beyond a bound.
func (f *Fleet) Sweep(now time.Time) {
	var gone []entry
	f.records.Range(func(_ ID, e entry) bool {
		if e.State.Gone() {
			gone = append(gone, e)
		}
		return true
	})
	slices.SortFunc(gone, func(a, b entry) int { return a.learned.Compare(b.learned) })
	excess := len(gone) - maxGone
	for i, e := range gone {
		if i < excess || now.Sub(e.learned) > GoneRetention {
			f.forget(e)
		}
	}
}

// forget removes the record unless a newer one has taken its place.
func (f *Fleet) forget(gone entry) {
	f.records.Update(gone.ID, func(held entry, found bool) (entry, bool) {
		return held, found && held.Record != gone.Record
	})
}

// Subscribe returns a channel of changed records and a function that ends the subscription. The
// function leaves the channel open, so a reader must also wait for something else to end. A
// subscriber that lags by more than the channel's capacity misses changes and must re-read the fleet.
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
