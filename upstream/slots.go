package upstream

import (
	"math"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
)

const (
	defaultLongShare = 0.5
	defaultAging     = time.Second
	// coldStartShare is the share of the slots that a cold upstream starts with.
	coldStartShare = 0.25
)

// Rules are the admission settings of a contract that apply to all classes of the service.
type Rules struct {
	LongShare float64       // largest share of the slots that long classes may hold; 0 means 0.5
	Aging     time.Duration // wait after which a class gains one priority step; 0 means 1 s
	ColdStart time.Duration // time over which the limit of a cold upstream rises to all its slots
}

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
	byShare := int(math.Floor(r.withDefaults().LongShare * float64(slots)))
	return max(1, min(byShare, slots-1))
}

// slots counts the slots held by requests in flight at the upstream.
type slots struct {
	inUse      int
	long       int // of inUse, those held by long classes
	deferrable int // of inUse, those held by deferrable classes

	// slotSeconds is the integral of inUse over time. Its growth during a request, divided by the service time, is the
	// mean concurrency at which the request ran. The concurrency at the start or end would be biased: a request that
	// takes long for reasons of its own overlaps with more peaks.
	slotSeconds float64
	changedAt   time.Time
}

// isDeferrable reports whether requests of the class give precedence to short, urgent work.
func isDeferrable(class bundle.Class) bool { return class.Long || class.MayWait }

func (s *slots) acquire(now time.Time, class bundle.Class) { s.add(now, class, 1) }

func (s *slots) release(now time.Time, class bundle.Class) { s.add(now, class, -1) }

func (s *slots) add(now time.Time, class bundle.Class, n int) {
	s.slotSeconds += float64(s.inUse) * now.Sub(s.changedAt).Seconds()
	s.changedAt = now
	s.inUse += n
	if class.Long {
		s.long += n
	}
	if isDeferrable(class) {
		s.deferrable += n
	}
}

// canStart reports whether a request of the class may start. limit is the number of slots in force, and
// announced the number of slots that the upstream announced.
func (s *slots) canStart(class bundle.Class, rules Rules, limit, announced int) bool {
	longSlots := rules.LongSlots(limit)
	if class.Long && s.long >= longSlots {
		return false
	}
	if s.inUse < limit {
		// One slot is kept free of deferrable work, so that short work finds it on arrival.
		return !isDeferrable(class) || s.deferrable < max(1, limit-1)
	}
	// The limit may have fallen below the number of slots that deferrable work holds; short work keeps its share.
	return !isDeferrable(class) && s.inUse < announced && s.inUse-s.deferrable < limit-longSlots
}

// slotsInForce returns the number of slots that may be in use now: the announced slots reduced by the adaptive limit or
// the configured share, and by the cold start.
func (u *Upstream) slotsInForce(now time.Time) int {
	limit := u.limit.value(u.announced.Slots)
	if share := u.options.SlotShare; share > 0 {
		limit = max(1, int(math.Round(share*float64(u.announced.Slots))))
	}
	if u.rateUnknown {
		limit = min(limit, unknownRateSlots)
	}
	if u.coldSince.IsZero() || u.rules.ColdStart <= 0 {
		return limit
	}
	progress := float64(now.Sub(u.coldSince)) / float64(u.rules.ColdStart)
	if progress >= 1 {
		return limit
	}
	share := coldStartShare + (1-coldStartShare)*progress
	return min(limit, max(1, int(share*float64(u.announced.Slots))))
}
