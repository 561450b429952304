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
	// probeTimeout bounds one probe; a later report would be of little use.
	probeTimeout = 100 * time.Millisecond
	// probeSearchInterval is the minimum time between two searches for a link to probe. A search visits all links of
	// the service, which is too expensive for each call.
	probeSearchInterval = 100 * time.Millisecond
	// maxProbes bounds the number of concurrent probes of one node.
	maxProbes = 16
)

// ErrProbeBudgetExhausted is returned for a probe that exceeds the measuring budget of the upstream.
var ErrProbeBudgetExhausted = errors.New("measuring budget of the upstream is used up")

// ProbeBudget limits the measurements of an upstream, such as probes, to a rate with a burst of one: two measurements
// are at least one interval apart. It starts empty, so that a restart does not permit extra measurements. It is safe
// for concurrent use.
type ProbeBudget struct {
	mu         sync.Mutex
	interval   time.Duration
	next       time.Time // earliest time of the next measurement
	searchedAt time.Time // last search for a link to probe
}

// NewProbeBudget returns a budget of perSecond measurements. A rate of 0 permits none.
func NewProbeBudget(now time.Time, perSecond float64) *ProbeBudget {
	b := &ProbeBudget{}
	b.interval = intervalOf(perSecond)
	b.next = now.Add(b.interval)
	return b
}

// intervalOf returns the time between two measurements at the rate, 0 when the rate permits none.
func intervalOf(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// SetRate changes the rate. A lower rate also delays the next measurement.
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

// Take reports whether the budget permits a measurement now, and uses it.
func (b *ProbeBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.interval == 0 || now.Before(b.next) {
		return false
	}
	b.next = now.Add(b.interval)
	return true
}

// ProbeSender requests a report from the node beside an upstream. The error is ErrProbeBudgetExhausted when the budget of the
// upstream is exhausted; any other error means that no report arrived.
type ProbeSender interface {
	Probe(ctx context.Context, target instance.Record) (Report, error)
}

// Prober probes links that receive no requests, and therefore no reports, while their service has traffic. It is
// driven by the calls of the service and has no background work of its own. Each probe runs in a goroutine that ends
// within probeTimeout. It is safe for concurrent use.
type Prober struct {
	sender ProbeSender
	slots  chan struct{}
}

// NewProber returns a prober that sends its probes through sender.
func NewProber(sender ProbeSender) *Prober {
	return &Prober{sender: sender, slots: make(chan struct{}, maxProbes)}
}

// ProbeStalest is called with each call of the service. It starts at most one probe, when a link needs one, its last report
// is older than the contract permits, and the budget of the service allows it. A link that may be chosen needs no
// probe, because the answer to its next request carries the same information.
func (p *Prober) ProbeStalest(now time.Time, s *Set, contract *bundle.Contract) {
	if contract.ProbePerSecond <= 0 || !s.probeDue(now, contract.ProbePerSecond) {
		return
	}
	target := s.stalestLink(now)
	if target == nil {
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
		p.probe(target)
	}()
}

// probe requests a report and applies it to the link.
func (p *Prober) probe(l *Link) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	report, err := p.sender.Probe(ctx, l.Record())
	now := time.Now()
	if err != nil {
		l.recordProbeFailure(now, errors.Is(err, ErrProbeBudgetExhausted))
		return
	}
	l.ApplyReport(now, report)
}

// probeDue reports whether to search for a link to probe: the budget may permit a probe, and there was no search
// within probeSearchInterval.
func (s *Set) probeDue(now time.Time, perSecond float64) bool {
	s.probes.SetRate(now, perSecond)
	s.probes.mu.Lock()
	defer s.probes.mu.Unlock()
	if now.Before(s.probes.next) || now.Sub(s.probes.searchedAt) < probeSearchInterval {
		return false
	}
	s.probes.searchedAt = now
	return true
}

// stalestLink returns the link with the oldest report among the probe candidates, or nil when none of them has a
// report older than the policy permits. It visits all links, which probeDue limits to once per probeSearchInterval.
func (s *Set) stalestLink(now time.Time) *Link {
	var stalest *Link
	oldest := s.policy().ReportMaxAge
	for _, g := range s.view.Load().groups {
		for _, l := range g.links {
			if age, wanted := l.probeCandidate(now); wanted && age > oldest {
				stalest, oldest = l, age
			}
		}
	}
	return stalest
}
