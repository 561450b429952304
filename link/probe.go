package link

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/instance"
)

const (
	// probeTimeout bounds one probe; a report that comes later says little.
	probeTimeout = 100 * time.Millisecond
	// lookInterval is the least time between two searches for a link to probe. A search looks at all
	// links of the service, which no call may do each time.
	lookInterval = 100 * time.Millisecond
	// maxProbes bounds the probes under way from one node.
	maxProbes = 16
)

// ErrProbeBudget is the error of a probe that the budget of its upstream does not allow.
var ErrProbeBudget = errors.New("measuring budget of the upstream is used up")

// ProbeBudget bounds measuring work to a rate with a burst of one: two pieces of work are at least
// one interval apart. It starts empty, so that a restart does not grant extra work.
type ProbeBudget struct {
	mu       sync.Mutex
	interval time.Duration
	next     time.Time
	lookedAt time.Time // last search for a link to probe
}

// NewProbeBudget returns a budget of perSecond pieces of work. A rate of 0 allows none.
func NewProbeBudget(now time.Time, perSecond float64) *ProbeBudget {
	b := &ProbeBudget{}
	b.interval = intervalOf(perSecond)
	b.next = now.Add(b.interval)
	return b
}

func intervalOf(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// SetRate changes the rate. A lower rate also delays the next piece of work.
func (b *ProbeBudget) SetRate(now time.Time, perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	interval := intervalOf(perSecond)
	if interval == b.interval {
		return
	}
	last := b.next.Add(-b.interval)
	if b.interval == 0 {
		last = now
	}
	b.interval, b.next = interval, last.Add(interval)
}

// Take uses one piece of work and reports whether the budget allows it.
func (b *ProbeBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.interval == 0 || now.Before(b.next) {
		return false
	}
	b.next = now.Add(b.interval)
	return true
}

// ProbeSender asks the node beside an upstream for a report. The error is ErrProbeBudget when the
// budget of the upstream is used up; any other says that no report came.
type ProbeSender interface {
	Probe(ctx context.Context, target instance.Record) (Report, error)
}

// Prober sends probes over links that get no requests and so no reports, while their service has
// traffic. It is driven by the calls of the service and never works on its own. Each probe runs in a
// goroutine that ends by itself within 100 ms. It is safe for concurrent use.
type Prober struct {
	sender ProbeSender
	slots  chan struct{}
}

// NewProber returns a prober that sends by sender.
func NewProber(sender ProbeSender) *Prober {
	return &Prober{sender: sender, slots: make(chan struct{}, maxProbes)}
}

// Refresh is called with each call of the service. It sends at most one probe, to a link whose
// report is older than the contract allows, when the budget of the service has one. A link that may
// be chosen needs no probe: its first answer tells as much.
func (p *Prober) Refresh(now time.Time, s *Set, contract *bundle.Contract) {
	if contract.ProbePerSecond <= 0 || !s.probeDue(now, contract.ProbePerSecond) {
		return
	}
	stale := s.stalest(now)
	if stale == nil {
		return
	}
	select {
	case p.slots <- struct{}{}:
	default:
		return
	}
	if !s.probes.Take(now) {
		<-p.slots
		return
	}
	go func() {
		defer func() { <-p.slots }()
		p.probe(stale)
	}()
}

func (p *Prober) probe(l *Link) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	report, err := p.sender.Probe(ctx, l.Record())
	now := time.Now()
	if err != nil {
		l.probeFailed(now, errors.Is(err, ErrProbeBudget))
		return
	}
	l.Take(now, report)
}

// probeDue reports whether it is time to look for a link to probe: the budget may have a probe, and
// no call has looked within lookInterval.
func (s *Set) probeDue(now time.Time, perSecond float64) bool {
	s.probes.SetRate(now, perSecond)
	s.probes.mu.Lock()
	defer s.probes.mu.Unlock()
	if now.Before(s.probes.next) || now.Sub(s.probes.lookedAt) < lookInterval {
		return false
	}
	s.probes.lookedAt = now
	return true
}

// stalest returns the link with the oldest report among those for which a probe is worth its cost,
// nil when there is none. It looks at all links, but only once in lookInterval.
func (s *Set) stalest(now time.Time) *Link {
	var found *Link
	oldest := s.policy().ReportMaxAge
	for _, g := range s.view.Load().groups {
		for _, l := range g.links {
			if age, wanted := l.probeWorth(now); wanted && age > oldest {
				found, oldest = l, age
			}
		}
	}
	return found
}
