package link

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/shard"
)

// ErrNoUpstream is returned when no known upstream of the service may receive the request.
var ErrNoUpstream = errors.New("no upstream of the service may receive the request")

const setShards = 16

// Table holds the links of a node by service.
type Table struct {
	fleet *instance.Fleet
	sets  *shard.Map[string, *Set]
}

// NewTable returns a table of links to the instances of the fleet.
func NewTable(fleet *instance.Fleet) *Table {
	return &Table{fleet: fleet, sets: shard.NewString[string, *Set](setShards)}
}

// Set returns the links of a service, refreshed from the fleet.
func (t *Table) Set(service string) *Set {
	set := t.sets.GetOrCreate(service, func() *Set { return &Set{links: make(map[instance.ID]*Link)} })
	set.refresh(t.fleet.Service(service))
	return set
}

// Set is the links of one service. It is safe for concurrent use.
type Set struct {
	mu    sync.Mutex
	links map[instance.ID]*Link
}

func (s *Set) refresh(records []instance.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[instance.ID]struct{}, len(records))
	for _, record := range records {
		known[record.ID] = struct{}{}
		held, ok := s.links[record.ID]
		if !ok || held.Record().Incarnation != record.Incarnation {
			s.links[record.ID] = New(record)
			continue
		}
		held.Update(record)
	}
	for id := range s.links {
		if _, ok := known[id]; !ok {
			delete(s.links, id)
		}
	}
}

// Choose returns a link for a request, leaving out the instances for which exclude reports true.
func (s *Set) Choose(_ time.Time, exclude func(instance.ID) bool) (*Link, error) {
	candidates := s.candidates(exclude)
	if len(candidates) == 0 {
		return nil, ErrNoUpstream
	}
	first := candidates[rand.IntN(len(candidates))]
	second := candidates[rand.IntN(len(candidates))]
	if second.load() < first.load() {
		return second, nil
	}
	return first, nil
}

func (s *Set) candidates(exclude func(instance.ID) bool) []*Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make([]*Link, 0, len(s.links))
	for id, l := range s.links {
		if l.Record().State.Serves() && !exclude(id) {
			found = append(found, l)
		}
	}
	return slices.Clip(found)
}
