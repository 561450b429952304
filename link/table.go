package link

import (
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	setShards  = 16
	pathShards = 8
	// rereadInterval is the time between two reads of the fleet for a set without published changes. It is needed
	// because Fleet.Remove publishes no change.
	rereadInterval = time.Minute
)

// Table holds a node's links by service. It follows the changes of the fleet as part of its calls, without a
// goroutine. It has no Close method and lives as long as the fleet. It is safe for concurrent use.
type Table struct {
	fleet                *instance.Fleet
	dataCentre           string
	ownInstance          instance.ID
	ownPath              *NetworkPath
	configuredRoundTrips map[string]time.Duration
	sets                 *shard.Map[string, *Set]
	paths                *shard.Map[string, *NetworkPath]

	changes <-chan instance.Record
	mu      sync.Mutex // held by the call that applies changes
}

// Option configures a table in NewTable.
type Option func(*Table)

// WithDataCentre sets the data centre of this node. Its upstreams are assumed to be near until the network is measured.
func WithDataCentre(dataCentre string) Option { return func(t *Table) { t.dataCentre = dataCentre } }

// WithOwnInstance sets the ID of this node's own instance, which is reached without the network.
func WithOwnInstance(id instance.ID) Option { return func(t *Table) { t.ownInstance = id } }

// WithRoundTrips sets the initial network round trips by data centre, as given in the settings. They are replaced by
// learned values.
func WithRoundTrips(roundTrips map[string]time.Duration) Option {
	return func(t *Table) { t.configuredRoundTrips = roundTrips }
}

// NewTable returns a table of links to the instances of the fleet.
func NewTable(fleet *instance.Fleet, options ...Option) *Table {
	t := &Table{
		fleet: fleet, ownPath: newNetworkPath(0),
		sets:  shard.NewString[string, *Set](setShards),
		paths: shard.NewString[string, *NetworkPath](pathShards),
	}
	for _, option := range options {
		option(t)
	}
	t.changes, _ = fleet.Subscribe()
	return t
}

// Set returns the links of a service. It first applies pending changes of the fleet.
func (t *Table) Set(service string) *Set {
	if len(t.changes) > 0 {
		t.applyChanges()
	}
	set, ok := t.sets.Get(service)
	if !ok {
		set = t.sets.GetOrCreate(service, func() *Set { return newSet(t.pathTo) })
	}
	// The fleet is read after the set is in the table, so that changes published meanwhile are applied to it. Concurrent
	// first calls wait for the read, since an empty set would refuse them with no-upstream.
	now := time.Now()
	set.initialRead.Do(func() { t.reload(set, service, now) })
	if last := set.lastReadAt.Load(); now.UnixNano()-last > int64(rereadInterval) && set.lastReadAt.CompareAndSwap(last, now.UnixNano()) {
		t.reload(set, service, now)
	}
	return set
}

// reload reads the records of the service from the fleet into the set.
func (t *Table) reload(set *Set, service string, now time.Time) {
	set.replace(now, func() []instance.Record { return t.fleet.Service(service) })
}

// pathTo returns the network path to an instance. This node's own instance has a separate path, because its shorter
// round trip would make the other instances of the data centre look as near.
func (t *Table) pathTo(r instance.Record) *NetworkPath {
	if r.ID == t.ownInstance {
		return t.ownPath
	}
	return t.Path(r.DataCentre)
}

// Path returns the learned network path to a data centre.
func (t *Table) Path(dataCentre string) *NetworkPath {
	return t.paths.GetOrCreate(dataCentre, func() *NetworkPath {
		if known, ok := t.configuredRoundTrips[dataCentre]; ok {
			return newNetworkPath(known)
		}
		if dataCentre == t.dataCentre {
			return newNetworkPath(defaultLocalRoundTrip)
		}
		return newNetworkPath(defaultRemoteRoundTrip)
	})
}

// applyChanges applies the pending changes of the fleet to the sets. A full channel may have lost changes, so all sets
// are read again in that case.
func (t *Table) applyChanges() {
	if !t.mu.TryLock() {
		return // another call applies the changes
	}
	defer t.mu.Unlock()
	now := time.Now()
	overflowed := len(t.changes) == cap(t.changes)
	for len(t.changes) > 0 {
		record := <-t.changes
		t.sets.Range(func(service string, set *Set) bool {
			set.apply(now, service, record)
			return true
		})
	}
	if !overflowed {
		return
	}
	t.sets.Range(func(service string, set *Set) bool {
		t.reload(set, service, now)
		return true
	})
}
