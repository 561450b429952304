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
	// readInterval is how often a set is read from the fleet although no change was published. The
	// fleet does not publish the removal of members that it has not heard of for long.
	readInterval = time.Minute
)

// Table holds the links of a node by service. It follows the changes of the fleet, without a
// goroutine and for as long as the fleet lives: it has no end of its own. It is safe for concurrent use.
type Table struct {
	fleet   *instance.Fleet
	here    string
	own     instance.ID
	ownPath *NetworkPath
	known   map[string]time.Duration
	sets    *shard.Map[string, *Set]
	paths   *shard.Map[string, *NetworkPath]

	changes <-chan instance.Record
	mu      sync.Mutex // taken by the one call that brings the sets up to date
}

// Option changes a table at its creation.
type Option func(*Table)

// At names the data centre of this node, whose upstreams are taken as near before the network was
// measured.
func At(dataCentre string) Option { return func(t *Table) { t.here = dataCentre } }

// Beside names this node's own instance, to which no network leads.
func Beside(id instance.ID) Option { return func(t *Table) { t.own = id } }

// WithRoundTrips gives the network round trips by data centre from the settings. They are the
// start values of what is learned.
func WithRoundTrips(known map[string]time.Duration) Option {
	return func(t *Table) { t.known = known }
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

// Set returns the links of a service.
func (t *Table) Set(service string) *Set {
	if len(t.changes) > 0 {
		t.follow()
	}
	set, ok := t.sets.Get(service)
	if !ok {
		set = t.sets.GetOrCreate(service, func() *Set { return newSet(t.pathTo) })
	}
	// The fleet is read after the set can be found, so that no change falls between the two. Other
	// first calls wait for it, since an empty set would refuse them as no-upstream.
	now := time.Now()
	set.filled.Do(func() { t.read(set, service, now) })
	if last := set.readAt.Load(); now.UnixNano()-last > int64(readInterval) && set.readAt.CompareAndSwap(last, now.UnixNano()) {
		t.read(set, service, now)
	}
	return set
}

func (t *Table) read(set *Set, service string, now time.Time) {
	set.replace(now, func() []instance.Record { return t.fleet.Service(service) })
}

// pathTo returns the network path to an instance. The own one is apart, since it would make the
// others in the data centre look as near.
func (t *Table) pathTo(r instance.Record) *NetworkPath {
	if r.ID == t.own {
		return t.ownPath
	}
	return t.Path(r.DataCentre)
}

// Path returns the learned network round trip to a data centre.
func (t *Table) Path(dataCentre string) *NetworkPath {
	return t.paths.GetOrCreate(dataCentre, func() *NetworkPath {
		if known, ok := t.known[dataCentre]; ok {
			return newNetworkPath(known)
		}
		if dataCentre == t.here {
			return newNetworkPath(defaultNearWay)
		}
		return newNetworkPath(defaultFarWay)
	})
}

// follow takes the pending changes of the fleet into the sets. A full channel may have lost
// changes, so all sets are read again.
func (t *Table) follow() {
	if !t.mu.TryLock() {
		return // another call does it
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
		t.read(set, service, now)
		return true
	})
}
