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
	othersWeight        = 1.0 / 16
	// sortInterval is how often the data centres are put in order of their learned round trips.
	sortInterval = time.Second
)

// Policy is what a contract says about routing.
type Policy struct {
	ColdStart    time.Duration // time over which a cold upstream is raised to its full share
	ReportMaxAge time.Duration // age at which a report counts little; 0 is 500 ms
	LongShare    float64       // share of the slots that long classes may hold; 0 is one half
}

// PolicyOf returns the policy of the contract.
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

// Set is the links of one service. It is safe for concurrent use.
type Set struct {
	filled sync.Once // first read of the fleet

	pathTo func(instance.Record) *NetworkPath
	quota  quota
	tail   quantile // latency of short requests over all links
	middle quantile
	probes *ProbeBudget

	mu    sync.Mutex // guards links and the building of view
	links map[instance.ID]*Link

	readAt atomic.Int64 // time of the last replace, ns
	view   atomic.Pointer[view]
	rules  atomic.Pointer[Policy]
	others atomic.Uint64 // float64 bits: average load per slot that other nodes cause
}

// view is an immutable arrangement of the links, nearest data centre first.
type view struct {
	groups   []group
	size     int
	sortedAt time.Time
}

// group is the links into one data centre.
type group struct {
	path  *NetworkPath
	links []*Link
}

func newSet(pathTo func(instance.Record) *NetworkPath) *Set {
	s := &Set{pathTo: pathTo, probes: NewProbeBudget(time.Now(), 0), links: make(map[instance.ID]*Link)}
	s.tail.share, s.middle.share = tailShare, middleShare
	s.view.Store(&view{})
	s.Adopt(Policy{})
	return s
}

// Adopt takes the policy of the contract in force.
func (s *Set) Adopt(p Policy) {
	p = p.withDefaults()
	if held := s.rules.Load(); held == nil || *held != p {
		s.rules.Store(&p)
	}
}

func (s *Set) policy() *Policy { return s.rules.Load() }

// noteOthers takes the load per slot that other nodes cause at one upstream. Concurrent notes may
// overwrite each other; each is only a small correction.
func (s *Set) noteOthers(perSlot float64) {
	held := s.othersPerSlot()
	s.others.Store(math.Float64bits(held + (perSlot-held)*othersWeight))
}

func (s *Set) othersPerSlot() float64 { return math.Float64frombits(s.others.Load()) }

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

// replace makes the set hold exactly the records that read returns. They are read under the lock, so
// that no change of the fleet that apply brings meanwhile is undone.
func (s *Set) replace(now time.Time, read func() []instance.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt.Store(now.UnixNano())
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
	s.build(now)
}

// apply takes one changed record of the fleet.
func (s *Set) apply(now time.Time, service string, record instance.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, held := s.links[record.ID]
	belongs := record.Service == service && !record.State.Gone()
	switch {
	case belongs:
		s.put(now, record)
	case held:
		s.remove(record.ID)
	default:
		return
	}
	s.build(now)
}

func (s *Set) put(now time.Time, record instance.Record) {
	held, ok := s.links[record.ID]
	if ok && !record.Newer(held.Record()) {
		return
	}
	if ok && held.Record().Incarnation == record.Incarnation {
		held.update(record, now)
		return
	}
	s.remove(record.ID)
	s.links[record.ID] = newLink(s, s.pathTo(record), record, now)
}

func (s *Set) remove(id instance.ID) {
	if held, ok := s.links[id]; ok {
		held.retire()
		delete(s.links, id)
	}
}

// build arranges the links by data centre.
func (s *Set) build(now time.Time) {
	next := &view{size: len(s.links), sortedAt: now}
	at := make(map[*NetworkPath]int)
	for _, l := range s.links {
		i, ok := at[l.path]
		if !ok {
			i = len(next.groups)
			at[l.path] = i
			next.groups = append(next.groups, group{path: l.path})
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

func (v *view) sort() {
	slices.SortFunc(v.groups, func(a, b group) int { return int(a.path.RoundTrip() - b.path.RoundTrip()) })
}

// arrangement returns the view, put in order again from time to time.
func (s *Set) arrangement(now time.Time) *view {
	held := s.view.Load()
	if len(held.groups) < 2 || now.Sub(held.sortedAt) < sortInterval || !s.mu.TryLock() {
		return held
	}
	defer s.mu.Unlock()
	next := &view{groups: slices.Clone(s.view.Load().groups), size: len(s.links), sortedAt: now}
	next.sort()
	s.view.Store(next)
	return next
}

const (
	nearCandidates = 2
	// largeSet is the size above which one more near candidate is compared.
	largeSet      = 8
	maxCandidates = nearCandidates + 3
)

// candidates is a small set of distinct links without allocation.
type candidates struct {
	links [maxCandidates]*Link
	count int
	draw  float64 // in [0, 1): links in their ramp take part in the calls with a lower draw
}

func (c *candidates) has(l *Link) bool { return slices.Contains(c.links[:c.count], l) }

// Choose returns a link for a request, leaving out the instances for which exclude reports true;
// exclude must not be nil. The error is ErrNoUpstream. It
// compares a few random links: most of them in the nearest data centre, one in the next and one in
// any of the others, so that work spills over when queueing here costs more than the network path there.
func (s *Set) Choose(now time.Time, kind Kind, exclude func(instance.ID) bool) (*Link, error) {
	v := s.arrangement(now)
	if exclude == nil {
		exclude = excludeNone
	}
	c := candidates{draw: rand.Float64()}
	near := nearCandidates
	if v.size > largeSet {
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

// sample adds up to wanted random eligible links. It returns an ejected link instead when that is
// due for its trial request.
func (g *group) sample(now time.Time, c *candidates, wanted int, exclude func(instance.ID) bool) (found int, trial *Link) {
	n := len(g.links)
	for range wanted {
		start := rand.IntN(n)
		for i := range n {
			l := g.links[(start+i)%n]
			if c.has(l) || exclude(l.id) {
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

// fallback adds random links that serve by their record, when all are ejected or cold.
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
			if exclude(l.id) || !l.serving(now) {
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

func (c *candidates) cheapest(now time.Time, kind Kind) *Link {
	best, least := c.links[0], math.Inf(1)
	for _, l := range c.links[:c.count] {
		if cost := l.cost(now, kind); cost < least {
			best, least = l, cost
		}
	}
	return best
}

// Ejected returns the number of links that are ejected now.
func (s *Set) Ejected() int {
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	return s.quota.out
}
