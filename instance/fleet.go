package instance

import (
	"slices"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	fleetShards = 16
	// subscriberBuffer is the number of changes that a subscriber may lag behind before it misses some
	// and has to re-read the fleet.
	subscriberBuffer = 256
	// GoneRetention is the time for which the record of an instance that left or failed is kept, so
	// that a late message with an older record cannot restore it. It is longer than the hour for which other data
	// centres keep the members of a data centre that they cannot reach, because they may send these records back.
	GoneRetention = 2 * time.Hour
	// maxGoneRecords bounds the number of kept records of instances that left or failed. 1,100 replacements a day
	// are 92 in two hours; the bound leaves room for the loss of several data centres at once.
	maxGoneRecords = 4096
)

// Fleet holds the newest known record of every instance, indexed by ID, service and data centre, and publishes
// changes to its subscribers. It is safe for concurrent use.
//
// Locks are acquired in the order shard of records, shard of services or dataCentres, group, mu.
type Fleet struct {
	records     *shard.Map[ID, entry]
	services    *shard.Map[string, *group]
	dataCentres *shard.Map[string, *group]

	mu          sync.Mutex
	subscribers map[chan Record]struct{}
}

// entry is a record with the time at which this node received it.
type entry struct {
	Record
	learnedAt time.Time
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{
		records:     shard.NewString[ID, entry](fleetShards),
		services:    shard.NewString[string, *group](fleetShards),
		dataCentres: shard.NewString[string, *group](fleetShards),
		subscribers: make(map[chan Record]struct{}),
	}
}

// Merge stores r if it is newer than the stored record of the same instance, or if there is none. It reports
// whether it stored r.
func (f *Fleet) Merge(r Record) bool {
	changed := false
	f.records.Update(r.ID, func(current entry, found bool) (entry, bool) {
		if found && !r.Newer(current.Record) {
			return current, true
		}
		changed = true
		f.reindex(current.Record, found, r)
		return entry{Record: r, learnedAt: time.Now()}, true
	})
	if changed {
		f.publish(r)
	}
	return changed
}

// reindex updates the groups for a change from current to r; found reports whether there was a record before. It
// runs under the lock of the record's shard, so that the changes of one instance reach the groups in order.
func (f *Fleet) reindex(current Record, found bool, r Record) {
	if found && current.Service != r.Service {
		f.groupOf(f.services, current.Service).remove(r.ID)
	}
	if found && current.DataCentre != r.DataCentre {
		f.groupOf(f.dataCentres, current.DataCentre).remove(r.ID)
	}
	f.groupOf(f.services, r.Service).replace(r)
	f.groupOf(f.dataCentres, r.DataCentre).replace(r)
}

func (f *Fleet) groupOf(groups *shard.Map[string, *group], name string) *group {
	return groups.GetOrCreate(name, newGroup)
}

// Remove deletes the record of the instance, whatever its state. Subscribers are not notified.
func (f *Fleet) Remove(id ID) {
	f.records.Update(id, func(current entry, found bool) (entry, bool) {
		if found {
			f.groupOf(f.services, current.Service).remove(id)
			f.groupOf(f.dataCentres, current.DataCentre).remove(id)
		}
		return entry{}, false
	})
}

// Get returns the record of id and reports whether there is one.
func (f *Fleet) Get(id ID) (Record, bool) {
	current, ok := f.records.Get(id)
	return current.Record, ok
}

// Len returns the number of records, including those of instances that left or failed.
func (f *Fleet) Len() int { return f.records.Len() }

// Service returns the records of the instances whose upstream belongs to the service, ordered by ID. Those
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
	g, ok := f.dataCentres.Get(name)
	if !ok {
		return nil
	}
	return g.records()
}

// ChangeCount returns a number that grows with each change of the instances in the data centre.
func (f *Fleet) ChangeCount(dataCentre string) uint64 {
	g, ok := f.dataCentres.Get(dataCentre)
	if !ok {
		return 0
	}
	return g.changeCount()
}

// Digest returns the combined digest of the instances in the data centre that neither left nor failed, and
// their number. Records of gone instances are left out, because nodes delete them at different times.
func (f *Fleet) Digest(dataCentre string) (digest uint64, count int) {
	g, ok := f.dataCentres.Get(dataCentre)
	if !ok {
		return 0, 0
	}
	return g.digestAndCount()
}

// DataCentres returns the names of all data centres that have or had known instances, in alphabetical order.
func (f *Fleet) DataCentres() []string {
	var names []string
	f.dataCentres.Range(func(name string, _ *group) bool {
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

// GoneRecords returns the records of instances of the data centre that left or failed and that this node
// received no longer than age ago.
func (f *Fleet) GoneRecords(dataCentre string, age time.Duration) []Record {
	var found []Record
	now := time.Now()
	f.records.Range(func(_ ID, e entry) bool {
		if e.State.Gone() && e.DataCentre == dataCentre && now.Sub(e.learnedAt) <= age {
			found = append(found, e.Record)
		}
		return true
	})
	return found
}

// PruneGone deletes the records of instances that left or failed if they were received longer than GoneRetention before
// now, and the oldest ones beyond maxGoneRecords.
func (f *Fleet) PruneGone(now time.Time) {
	var gone []entry
	f.records.Range(func(_ ID, e entry) bool {
		if e.State.Gone() {
			gone = append(gone, e)
		}
		return true
	})
	slices.SortFunc(gone, func(a, b entry) int { return a.learnedAt.Compare(b.learnedAt) })
	excess := len(gone) - maxGoneRecords
	for i, e := range gone {
		if i < excess || now.Sub(e.learnedAt) > GoneRetention {
			f.removeUnchanged(e)
		}
	}
}

// removeUnchanged deletes the record unless a newer one has replaced it in the meantime.
func (f *Fleet) removeUnchanged(gone entry) {
	f.records.Update(gone.ID, func(current entry, found bool) (entry, bool) {
		return current, found && current.Record != gone.Record
	})
}

// Subscribe returns a channel of changed records and a function that ends the subscription. The
// function does not close the channel, so the reader needs another signal to stop. A
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

// publish sends r to all subscribers without blocking; a subscriber whose channel is full misses it.
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
