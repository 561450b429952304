package link

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/instance"
)

// ErrNoUpstream is returned when no known upstream of the service may receive the request.
var ErrNoUpstream = errors.New("no upstream of the service may receive the request")

const (
	defaultReportMaxAge = 500 * time.Millisecond
	defaultLongShare    = 0.5
	// othersLoadWeight is the weight of one upstream report in the average load of the service.
	othersLoadWeight = 1.0 / 16
	// sortInterval is the time between two sorts of the data centres by their learned round trips.
	sortInterval = time.Second
)

// Policy is the routing part of a contract.
type Policy struct {
	ColdStart    time.Duration // time over which a cold upstream is raised to its full share
	ReportMaxAge time.Duration // time constant of the decay of a report, and the age from which a probe may renew it; 0 means 500 ms
	LongShare    float64       // share of the slots that long classes may hold; 0 means one half
}

// PolicyOf returns the routing policy of the contract.
func PolicyOf(c *bundle.Contract) Policy {
	return Policy{ColdStart: c.ColdStart, ReportMaxAge: c.ReportMaxAge, LongShare: c.LongShare}
}

func (p Policy) withDefaults() Policy {
	if p.ReportMaxAge <= 0 {
		p.ReportMaxAge = defaultReportMaxAge
	}
	if p.LongShare <= 0 {
		p.LongShare = defaultLongShare
	}
	return p
}

// Set holds the links of one service. It is safe for concurrent use.
type Set struct {
	initialRead sync.Once // guards the first read of the fleet

	pathTo        func(instance.Record) *NetworkPath
	quota         quota
	tailLatency   quantile     // 95th percentile of the latency of short requests over all links
	medianLatency quantile     // median latency of short requests over all links
	probes        *ProbeBudget // budget of the probes that this node sends for the service

	mu    sync.Mutex // guards links and the replacement of view
	links map[instance.ID]*Link

	lastReadAt     atomic.Int64 // time of the last call of replace, ns since the Unix epoch
	view           atomic.Pointer[view]
	currentPolicy  atomic.Pointer[Policy]
	othersLoadBits atomic.Uint64 // float64 bits of the average load per slot that other nodes cause
}

// view is an immutable list of the links, grouped by data centre and sorted by round trip. It is replaced as a whole,
// so that Choose reads it without a lock.
type view struct {
	groups   []dataCentreGroup
	size     int
	sortedAt time.Time
}

// dataCentreGroup holds the links into one data centre. This node's own instance has a group of its own.
type dataCentreGroup struct {
	path  *NetworkPath
	links []*Link
}

func newSet(pathTo func(instance.Record) *NetworkPath) *Set {
	s := &Set{pathTo: pathTo, probes: NewProbeBudget(time.Now(), 0), links: make(map[instance.ID]*Link)}
	s.tailLatency.target, s.medianLatency.target = tailQuantile, medianQuantile
	s.view.Store(&view{})
	s.SetPolicy(Policy{})
	return s
}

// SetPolicy sets the policy from the current contract.
func (s *Set) SetPolicy(p Policy) {
	p = p.withDefaults()
	if current := s.currentPolicy.Load(); current == nil || *current != p {
		s.currentPolicy.Store(&p)
	}
}

func (s *Set) policy() *Policy { return s.currentPolicy.Load() }

// updateOthersLoad moves the average load per slot that other nodes cause towards that of one upstream. Concurrent
// updates may overwrite each other; each is only a small correction.
func (s *Set) updateOthersLoad(perSlot float64) {
	current := s.othersLoadPerSlot()
	s.othersLoadBits.Store(math.Float64bits(current + (perSlot-current)*othersLoadWeight))
}

func (s *Set) othersLoadPerSlot() float64 { return math.Float64frombits(s.othersLoadBits.Load()) }

// Len returns the number of links.
func (s *Set) Len() int { return s.view.Load().size }

// Links returns the links, nearest data centre first.
func (s *Set) Links() []*Link {
	var all []*Link
	for _, g := range s.view.Load().groups {
		all = append(all, g.links...)
	}
	return all
}

// replace sets the links to exactly the records that read returns. read is called under the lock, so that it cannot
// undo a change that apply brings concurrently.
func (s *Set) replace(now time.Time, read func() []instance.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReadAt.Store(now.UnixNano())
	records := read()
	kept := make(map[instance.ID]struct{}, len(records))
	for _, record := range records {
		kept[record.ID] = struct{}{}
		s.put(now, record)
	}
	for id := range s.links {
		if _, ok := kept[id]; !ok {
			s.remove(id)
		}
	}
	s.rebuildView(now)
}

// apply updates the set with one changed record of the fleet. service is the name of the service of the set.
func (s *Set) apply(now time.Time, service string, record instance.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, exists := s.links[record.ID]
	belongs := record.Service == service && !record.State.Gone()
	switch {
	case belongs:
		s.put(now, record)
	case exists:
		s.remove(record.ID)
	default:
		return
	}
	s.rebuildView(now)
}

// put adds or updates the link of the record. A new incarnation gets a new link. The caller holds mu.
func (s *Set) put(now time.Time, record instance.Record) {
	current, ok := s.links[record.ID]
	if ok && !record.Newer(current.Record()) {
		return
	}
	if ok && current.Record().Incarnation == record.Incarnation {
		current.update(record, now)
		return
	}
	s.remove(record.ID)
	s.links[record.ID] = newLink(s, s.pathTo(record), record, now)
}

// remove deletes the link of the instance, if there is one. The caller holds mu.
func (s *Set) remove(id instance.ID) {
	if l, ok := s.links[id]; ok {
		l.markRemoved()
		delete(s.links, id)
	}
}

// rebuildView replaces the view after a change of the links. When fewer links would leave too many of them ejected, it
// reinstates some. The caller holds mu.
func (s *Set) rebuildView(now time.Time) {
	next := &view{size: len(s.links), sortedAt: now}
	indexByPath := make(map[*NetworkPath]int)
	for _, l := range s.links {
		i, ok := indexByPath[l.path]
		if !ok {
			i = len(next.groups)
			indexByPath[l.path] = i
			next.groups = append(next.groups, dataCentreGroup{path: l.path})
		}
		next.groups[i].links = append(next.groups[i].links, l)
	}
	next.sort()
	s.quota.resize(next.size)
	for _, l := range s.links {
		if !s.quota.exceeded() {
			break
		}
		l.reinstate()
	}
	s.view.Store(next)
}

// sort orders the groups by round trip, shortest first.
func (v *view) sort() {
	slices.SortFunc(v.groups, func(a, b dataCentreGroup) int { return int(a.path.RoundTrip() - b.path.RoundTrip()) })
}

// sortedView returns the view and sorts its data centres again when the last sort is older than sortInterval. A caller
// that would have to wait for the lock uses the current view.
func (s *Set) sortedView(now time.Time) *view {
	current := s.view.Load()
	if len(current.groups) < 2 || now.Sub(current.sortedAt) < sortInterval || !s.mu.TryLock() {
		return current
	}
	defer s.mu.Unlock()
	next := &view{groups: slices.Clone(s.view.Load().groups), size: len(s.links), sortedAt: now}
	next.sort()
	s.view.Store(next)
	return next
}

const (
	// nearCandidates is the number of links compared in the nearest data centre.
	nearCandidates = 2
	// largeSetSize is the number of links above which one more near candidate is compared.
	largeSetSize  = 8
	maxCandidates = nearCandidates + 3
)

// candidates is a list of distinct links. Its fixed size avoids an allocation for each request.
type candidates struct {
	links [maxCandidates]*Link
	count int
	draw  float64 // in [0, 1): links in a ramp take part only when their share is higher
}

func (c *candidates) contains(l *Link) bool { return slices.Contains(c.links[:c.count], l) }

// Choose returns a link for a request, except links to instances for which exclude reports true; a nil exclude permits
// all. The only error is ErrNoUpstream. Choose compares the cost of a few random links: most of them in the nearest
// data centre, one in the next and one in any of the others, so that requests spill over when queueing costs more than
// the longer network path. It returns a link that is due for a trial request as soon as it finds one.
func (s *Set) Choose(now time.Time, kind Kind, exclude func(instance.ID) bool) (*Link, error) {
	v := s.sortedView(now)
	if exclude == nil {
		exclude = excludeNone
	}
	c := candidates{draw: rand.Float64()}
	near := nearCandidates
	if v.size > largeSetSize {
		near++
	}
	for i, wanted := 0, near; i < len(v.groups) && wanted > 0; i++ {
		found, trial := v.groups[i].sample(now, &c, wanted, exclude)
		if trial != nil {
			return trial, nil
		}
		if found > 0 {
			wanted = max(1, near-c.count)
			if c.count > near {
				i += rand.IntN(max(1, len(v.groups)-i-1))
				wanted = min(wanted, maxCandidates-c.count)
			}
		}
	}
	if c.count == 0 {
		v.fallback(now, &c, exclude)
	}
	if c.count == 0 {
		return nil, ErrNoUpstream
	}
	return c.cheapest(now, kind), nil
}

func excludeNone(instance.ID) bool { return false }

// sample adds up to wanted random eligible links to c and returns how many it added. If it finds an ejected link that
// is due for its trial request, it returns that as trial.
func (g *dataCentreGroup) sample(now time.Time, c *candidates, wanted int, exclude func(instance.ID) bool) (found int, trial *Link) {
	n := len(g.links)
	for range wanted {
		start := rand.IntN(n)
		for i := range n {
			l := g.links[(start+i)%n]
			if c.contains(l) || exclude(l.id) {
				continue
			}
			if l.claimTrial(now) {
				return found, l
			}
			if l.eligible(now, c.draw) {
				c.links[c.count] = l
				c.count++
				found++
				break
			}
		}
	}
	return found, nil
}

// fallback adds random links whose upstream serves, without regard to ejections and ramps, for the case that no link
// is eligible.
func (v *view) fallback(now time.Time, c *candidates, exclude func(instance.ID) bool) {
	if len(v.groups) == 0 {
		return
	}
	first := rand.IntN(len(v.groups))
	for i := range v.groups {
		g := &v.groups[(first+i)%len(v.groups)]
		start := rand.IntN(len(g.links))
		for j := range g.links {
			l := g.links[(start+j)%len(g.links)]
			if exclude(l.id) || !l.serves(now) {
				continue
			}
			c.links[c.count] = l
			c.count++
			if c.count == nearCandidates {
				return
			}
		}
	}
}

// cheapest returns the candidate with the lowest cost.
func (c *candidates) cheapest(now time.Time, kind Kind) *Link {
	best, least := c.links[0], math.Inf(1)
	for _, l := range c.links[:c.count] {
		if cost := l.cost(now, kind); cost < least {
			best, least = l, cost
		}
	}
	return best
}

// EjectedCount returns the number of ejected links.
func (s *Set) EjectedCount() int {
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	return s.quota.ejected
}
