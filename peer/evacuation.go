package peer

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"golang.org/x/time/rate"

	"github.com/magnoliawharf/magnoliawharf/metrics"
)

const (
	// maxZones bounds the zones whose evacuation is remembered.
	maxZones = 64
	// maxZoneLength is the largest length of the name of a zone, in bytes.
	maxZoneLength = 128
	// restoredGrace is the time after the first read of a store that has returned from an older copy in which a missing key does not end an
	// evacuation: the copy may lack it, and the operator writes it again.
	restoredGrace = 30 * time.Second
	// ignoredLogInterval is the least time between two log lines on ignored evacuations, which each read shows again.
	ignoredLogInterval = time.Minute
)

var (
	evacuationChangesTotal  = metrics.Counter("magnoliawharf_peer_evacuation_changes_total")
	evacuationsIgnoredTotal = metrics.Counter("magnoliawharf_peer_evacuations_ignored_total")
)

// Evacuation says whether a zone is evacuated, and which state of the store said so.
type Evacuation struct {
	Zone     string
	Active   bool
	Era      int64 // of the store, 0 when it has none
	Revision int64 // of the key, or of its removal; a lower bound of the latter when no event of the store has shown it
}

// Valid reports whether the values are within their bounds.
func (e Evacuation) Valid() bool {
	return e.Zone != "" && len(e.Zone) <= maxZoneLength && utf8.ValidString(e.Zone) && e.Era >= 0 && e.Revision > 0
}

// isLaterThan reports whether e replaces the other state of the zone. Between two of one revision, the evacuation counts: the revision of
// a removal may be a lower bound.
func (e Evacuation) isLaterThan(other Evacuation) bool {
	order := cmp.Or(cmp.Compare(e.Era, other.Era), cmp.Compare(e.Revision, other.Revision))
	return order > 0 || order == 0 && e.Active && !other.Active
}

// EvacuationKeys are the keys of evacuated zones that a read or a watch of the store has shown.
type EvacuationKeys struct {
	Zones   map[string]int64 // revisions of the keys by zone
	Removed map[string]int64 // revisions of removals by zone
	Era     int64
	ReadAt  time.Time // all keys that the store had acknowledged then are included
}

// EvacuationOptions configure Evacuations.
type EvacuationOptions struct {
	Zone string // of this node
	// Send sends states to another node. It must not block.
	Send func(to netip.AddrPort, states []Evacuation)
	// OnChange is called without a lock when the evacuation of the own zone begins or ends. Calls may overlap.
	OnChange func()
	Log      *slog.Logger
}

// Evacuations holds the zones that are or were evacuated. It is safe for concurrent use; a nil pointer holds none.
type Evacuations struct {
	options EvacuationOptions
	active  atomic.Pointer[map[string]struct{}] // replaced at each change; not nil
	states  atomic.Pointer[[]Evacuation]        // all states by zone, replaced at each change; not nil

	mu         sync.Mutex
	byZone     map[string]learnedEvacuation
	latestEra  int64
	eraSince   time.Time // first read of the store in latestEra
	ignoredLog rate.Sometimes
}

// learnedEvacuation is an evacuation and when this node learned of it.
type learnedEvacuation struct {
	Evacuation
	at time.Time
}

// NewEvacuations returns Evacuations without any.
func NewEvacuations(o EvacuationOptions) *Evacuations {
	e := &Evacuations{options: o, byZone: make(map[string]learnedEvacuation), ignoredLog: rate.Sometimes{Interval: ignoredLogInterval}}
	e.active.Store(&map[string]struct{}{})
	e.states.Store(new([]Evacuation))
	return e
}

// IsActive reports whether the zone is evacuated.
func (e *Evacuations) IsActive(zone string) bool {
	if e == nil {
		return false
	}
	_, ok := (*e.active.Load())[zone]
	return ok
}

// CountActive returns the number of evacuated zones.
func (e *Evacuations) CountActive() int {
	if e == nil {
		return 0
	}
	return len(*e.active.Load())
}

// States returns the state of each zone that is or was evacuated, ordered by zone. It must not be modified.
func (e *Evacuations) States() []Evacuation { return *e.states.Load() }

// SendTo sends the states to another node, if there are any.
func (e *Evacuations) SendTo(to netip.AddrPort) {
	if e == nil {
		return
	}
	if states := e.States(); len(states) > 0 {
		e.options.Send(to, states)
	}
}

// Merge applies states that another node knows. It reports whether an evacuation began or ended.
func (e *Evacuations) Merge(now time.Time, states []Evacuation) (changed bool) {
	return e.update(now, "another node", func(u *evacuationUpdate) {
		for _, s := range states {
			u.record(s)
		}
	})
}

// ApplyKeys applies what the store has shown. It reports whether an evacuation began or ended.
func (e *Evacuations) ApplyKeys(now time.Time, keys EvacuationKeys) (changed bool) {
	return e.update(now, "the store", func(u *evacuationUpdate) {
		if keys.Era > e.latestEra {
			e.latestEra, e.eraSince = keys.Era, keys.ReadAt
		}
		for _, zone := range slices.Sorted(maps.Keys(keys.Zones)) {
			u.record(Evacuation{Zone: zone, Active: true, Era: keys.Era, Revision: keys.Zones[zone]})
		}
		for _, zone := range slices.Sorted(maps.Keys(e.byZone)) {
			if _, found := keys.Zones[zone]; !found {
				u.recordMissing(e.byZone[zone], keys)
			}
		}
	})
}

// evacuationUpdate collects the effects of one read or message. Its methods are called with the lock held.
type evacuationUpdate struct {
	*Evacuations
	now      time.Time
	modified bool
	changes  []Evacuation // that began or ended
	ignored  []string
}

// update runs apply with the lock held and publishes its effects.
func (e *Evacuations) update(now time.Time, source string, apply func(*evacuationUpdate)) (changed bool) {
	u := evacuationUpdate{Evacuations: e, now: now}
	e.mu.Lock()
	wasActive := e.IsActive(e.options.Zone)
	apply(&u)
	if u.modified {
		e.publish()
	}
	isActive := e.IsActive(e.options.Zone)
	e.mu.Unlock()
	for _, c := range u.changes {
		evacuationChangesTotal.Inc()
		e.options.Log.Warn("evacuation changed", "zone", c.Zone, "evacuated", c.Active, "era", c.Era, "revision", c.Revision, "from", source)
	}
	if len(u.ignored) > 0 {
		evacuationsIgnoredTotal.Add(len(u.ignored))
		first := u.ignored[0]
		e.ignoredLog.Do(func() {
			e.options.Log.Error("evacuations ignored: too many, or names out of bounds", "count", len(u.ignored),
				"first", fmt.Sprintf("%q", first[:min(len(first), maxZoneLength)]), "from", source)
		})
	}
	if isActive != wasActive && e.options.OnChange != nil {
		e.options.OnChange()
	}
	return len(u.changes) > 0
}

// record replaces the state of a zone if s is later. Beyond maxZones it forgets the evacuation that ended first.
func (u *evacuationUpdate) record(s Evacuation) {
	known, ok := u.byZone[s.Zone]
	isBeyond := !ok && len(u.byZone) >= maxZones && s.Zone != u.options.Zone
	switch {
	case !s.Valid(), isBeyond && (!s.Active || !u.forgetEnded()):
		u.ignored = append(u.ignored, s.Zone)
		return
	case ok && !s.isLaterThan(known.Evacuation):
		return
	}
	u.byZone[s.Zone] = learnedEvacuation{s, u.now}
	u.modified = true
	if s.Active != known.Active {
		u.changes = append(u.changes, s)
	}
}

// recordMissing records the end of an evacuation whose key is missing, if that shows that it was removed. A key that is missing may also
// have been written after the read that lacks it, or after the copy from which the store has returned.
func (u *evacuationUpdate) recordMissing(known learnedEvacuation, keys EvacuationKeys) {
	if !known.Active {
		return
	}
	ended := Evacuation{Zone: known.Zone, Era: keys.Era}
	switch removedAt := keys.Removed[known.Zone]; {
	case keys.Era == known.Era && removedAt > known.Revision:
		ended.Revision = removedAt
	case keys.Era == known.Era && known.at.Before(keys.ReadAt):
		ended.Revision = known.Revision + 1 // the removal has a later revision than the key, and a new key a later one than the removal
	case keys.Era > known.Era && removedAt > 0:
		ended.Revision = removedAt
	case keys.Era > known.Era && keys.Era == u.latestEra && keys.ReadAt.Sub(u.eraSince) >= restoredGrace:
		ended.Revision = 1 // a key of this era is as late, and counts
	default:
		return
	}
	u.record(ended)
}

// forgetEnded forgets the evacuation that ended first, and reports whether there was one.
func (e *Evacuations) forgetEnded() bool {
	var first learnedEvacuation
	for _, l := range e.byZone {
		if !l.Active && (first.Zone == "" || l.at.Before(first.at)) {
			first = l
		}
	}
	delete(e.byZone, first.Zone)
	return first.Zone != ""
}

// publish replaces what is read without the lock. It is called with the lock held.
func (e *Evacuations) publish() {
	active, states := make(map[string]struct{}), make([]Evacuation, 0, len(e.byZone))
	for _, zone := range slices.Sorted(maps.Keys(e.byZone)) {
		s := e.byZone[zone].Evacuation
		states = append(states, s)
		if s.Active {
			active[zone] = struct{}{}
		}
	}
	e.active.Store(&active)
	e.states.Store(&states)
}

// isEvacuated reports whether the zone of the peer is evacuated.
func (r *Roster) isEvacuated(p *Peer) bool {
	return r.evacuations.CountActive() > 0 && r.evacuations.IsActive(p.Status().Zone)
}
