package policybench

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// chooser selects instances at one entry node.
type chooser interface {
	choose(now time.Time, kind link.Kind, tried []instance.ID) (attempt, bool)
}

// attempt is one request to an instance.
type attempt interface {
	target() instance.ID
	recordAnswer(now time.Time, result link.Result, report *link.Report)
	end(now time.Time, result link.Result, report *link.Report)
}

// Policy is a combination of a routing and an admission policy.
type Policy struct {
	Name        string
	ClassQueues bool // admission by package upstream instead of a plain queue
	LinkRouting bool // routing of the project instead of balance
	Reports     bool // a baseline receives a report with each response
	pick        func(r *rand.Rand, candidates []*candidate) *candidate
}

// sendsReport reports whether the response carries a report.
func (p Policy) sendsReport(n *upstreamNode, response reply) bool {
	if p.LinkRouting {
		return n.pacer.Due(time.Now(), response.report)
	}
	return p.Reports
}

// Policies are the baselines and, last, the policy of this project.
var Policies = []Policy{
	{Name: "random, plain queue", pick: random},
	{Name: "round robin, plain queue", pick: roundRobin},
	{Name: "least in flight, plain queue", pick: leastInFlight},
	{Name: "two choices by report, plain queue", Reports: true, pick: twoChoices},
	{Name: "random, class queues", ClassQueues: true, pick: random},
	{Name: "round robin, class queues", ClassQueues: true, pick: roundRobin},
	{Name: "least in flight, class queues", ClassQueues: true, pick: leastInFlight},
	{Name: "two choices by report, class queues", ClassQueues: true, Reports: true, pick: twoChoices},
	{Name: "magnoliawharf", ClassQueues: true, LinkRouting: true},
}

// linkChooser routes by package link.
type linkChooser struct {
	table  *link.Table
	prober *link.Prober
}

type linkAttempt struct {
	link  *link.Link
	token *link.Token
}

func (c *linkChooser) choose(now time.Time, kind link.Kind, tried []instance.ID) (attempt, bool) {
	set := c.table.Set(contract.Service)
	set.SetPolicy(link.PolicyOf(&contract))
	chosen, err := set.Choose(now, kind, func(id instance.ID) bool { return contains(tried, id) })
	if err != nil {
		return nil, false
	}
	c.prober.ProbeStalest(now, set, &contract)
	return &linkAttempt{chosen, chosen.Begin(now, kind)}, true
}

func (a *linkAttempt) target() instance.ID { return a.link.Record().ID }

func (a *linkAttempt) recordAnswer(now time.Time, result link.Result, report *link.Report) {
	a.link.RecordAnswer(now, a.token, result, report)
}

func (a *linkAttempt) end(now time.Time, result link.Result, report *link.Report) {
	a.link.End(now, a.token, result, report)
}

func contains(ids []instance.ID, id instance.ID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// candidate is the state that a baseline keeps for an instance.
type candidate struct {
	id       instance.ID
	inFlight int
	reported int // slots in use plus queued requests in the last report
	picks    int
}

// baseline routes by one of the common load balancing policies.
type baseline struct {
	pick    func(r *rand.Rand, candidates []*candidate) *candidate
	present func(now time.Time, id instance.ID) bool

	mu         sync.Mutex
	random     *rand.Rand
	candidates []*candidate
}

type baselineAttempt struct {
	owner     *baseline
	candidate *candidate
}

func (b *baseline) choose(now time.Time, _ link.Kind, tried []instance.ID) (attempt, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []*candidate
	for _, c := range b.candidates {
		if !contains(tried, c.id) && b.present(now, c.id) {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		return nil, false
	}
	chosen := b.pick(b.random, candidates)
	chosen.inFlight++
	chosen.picks++
	return &baselineAttempt{b, chosen}, true
}

func (a *baselineAttempt) target() instance.ID { return a.candidate.id }

func (a *baselineAttempt) recordAnswer(_ time.Time, _ link.Result, report *link.Report) {
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	if report != nil {
		a.candidate.reported = report.InUse + report.Queued
	}
}

func (a *baselineAttempt) end(now time.Time, result link.Result, report *link.Report) {
	a.recordAnswer(now, result, report)
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	a.candidate.inFlight--
}

func random(r *rand.Rand, candidates []*candidate) *candidate {
	return candidates[r.IntN(len(candidates))]
}

// roundRobin returns the candidate that was picked least often, which is the next one in turn.
func roundRobin(_ *rand.Rand, candidates []*candidate) *candidate {
	return minBy(candidates, func(c *candidate) int { return c.picks })
}

func leastInFlight(r *rand.Rand, candidates []*candidate) *candidate {
	first := r.IntN(len(candidates))
	rotated := append(append([]*candidate(nil), candidates[first:]...), candidates[:first]...)
	return minBy(rotated, func(c *candidate) int { return c.inFlight })
}

func twoChoices(r *rand.Rand, candidates []*candidate) *candidate {
	first := r.IntN(len(candidates))
	if len(candidates) == 1 {
		return candidates[first]
	}
	second := (first + 1 + r.IntN(len(candidates)-1)) % len(candidates)
	return minBy([]*candidate{candidates[first], candidates[second]}, func(c *candidate) int { return c.reported })
}

func minBy(candidates []*candidate, value func(*candidate) int) *candidate {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if value(c) < value(best) {
			best = c
		}
	}
	return best
}
