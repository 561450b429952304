package upstream

import (
	"math"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
)

const (
	defaultLongShare = 0.5
	defaultAging     = time.Second
	// coldShare is the share of the slots that a cold upstream starts with.
	coldShare = 0.25
)

// Rules are the parts of a contract that hold for all classes of the service.
type Rules struct {
	LongShare float64       // largest share of the slots held by long classes; 0 is one half
	Aging     time.Duration // wait after which a class gains one priority step; 0 is 1 s
	ColdStart time.Duration // time over which a cold upstream is raised to all its slots
}

// RulesOf returns the rules of the contract.
func RulesOf(c *bundle.Contract) Rules {
	return Rules{LongShare: c.LongShare, Aging: c.Aging, ColdStart: c.ColdStart}
}

func (r Rules) withDefaults() Rules {
	if r.LongShare <= 0 {
		r.LongShare = defaultLongShare
	}
	if r.Aging <= 0 {
		r.Aging = defaultAging
	}
	return r
}

// LongSlots returns how many of the slots long classes may hold together: at least one, and never
// all when there are two or more.
func (r Rules) LongSlots(slots int) int {
	most := int(math.Floor(r.withDefaults().LongShare * float64(slots)))
	return max(1, min(most, slots-1))
}

// slots counts the requests in flight at the upstream.
type slots struct {
	inUse    int
	long     int // of these, requests of long classes
	yielding int // of these, requests of classes that are long or may wait

	// area is the integral of inUse over time, in slots times seconds. Its growth over the time of a
	// request is the concurrency that the request ran at. The concurrency at its start or end would
	// not do: a request that takes long for its own reasons meets more crowded moments.
	area      float64
	changedAt time.Time
}

func yields(class bundle.Class) bool { return class.Long || class.MayWait }

func (s *slots) take(now time.Time, class bundle.Class) { s.add(now, class, 1) }

func (s *slots) put(now time.Time, class bundle.Class) { s.add(now, class, -1) }

func (s *slots) add(now time.Time, class bundle.Class, n int) {
	s.area += float64(s.inUse) * now.Sub(s.changedAt).Seconds()
	s.changedAt = now
	s.inUse += n
	if class.Long {
		s.long += n
	}
	if yields(class) {
		s.yielding += n
	}
}

// fit reports whether a request of the class may start. limit is the number of slots in force and
// announced the ceiling given by the upstream.
func (s *slots) fit(class bundle.Class, rules Rules, limit, announced int) bool {
	longSlots := rules.LongSlots(limit)
	if class.Long && s.long >= longSlots {
		return false
	}
	if s.inUse < limit {
		// One slot stays free of work that yields, so that short work finds one on arrival.
		return !yields(class) || s.yielding < max(1, limit-1)
	}
	// The limit may have fallen below the slots that long work holds; short work keeps its share.
	return !yields(class) && s.inUse < announced && s.inUse-s.yielding < limit-longSlots
}

// limitAt returns the number of slots in force.
func (u *Upstream) limitAt(now time.Time) int {
	limit := u.limit.value(u.announced.Slots)
	if share := u.options.SlotShare; share > 0 {
		limit = max(1, int(math.Round(share*float64(u.announced.Slots))))
	}
	if u.coldSince.IsZero() || u.rules.ColdStart <= 0 {
		return limit
	}
	warmed := float64(now.Sub(u.coldSince)) / float64(u.rules.ColdStart)
	if warmed >= 1 {
		return limit
	}
	share := coldShare + (1-coldShare)*warmed
	return min(limit, max(1, int(share*float64(u.announced.Slots))))
}
