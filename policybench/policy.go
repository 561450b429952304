package policybench

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// chooser is the routing policy of one entry node.
type chooser interface {
	choose(now time.Time, kind link.Kind, tried []instance.ID) (attempt, bool)
}

// attempt is one request on its way to an instance.
type attempt interface {
	target() instance.ID
	answered(now time.Time, result link.Result, report *link.Report)
	end(now time.Time, result link.Result, report *link.Report)
}

// Policy is a way to route and admit.
type Policy struct {
	Name    string
	Classes bool // admission of the project instead of a plain queue
	Links   bool // routing of the project instead of balance
	Reports bool // the baseline uses a report on each answer
	balance func(r *rand.Rand, candidates []*tally) *tally
}

// wants reports whether the answer carries a report.
func (p Policy) wants(h *home, answer reply) bool {
	if p.Links {
		return h.pacer.Due(time.Now(), answer.report)
	}
	return p.Reports
}

// Policies are the baselines and the project.
var Policies = []Policy{
	{Name: "random, plain queue", balance: random},
	{Name: "round robin, plain queue", balance: roundRobin},
	{Name: "least in flight, plain queue", balance: leastInFlight},
	{Name: "two choices by report, plain queue", Reports: true, balance: twoChoices},
	{Name: "random, class queues", Classes: true, balance: random},
	{Name: "round robin, class queues", Classes: true, balance: roundRobin},
	{Name: "least in flight, class queues", Classes: true, balance: leastInFlight},
	{Name: "two choices by report, class queues", Classes: true, Reports: true, balance: twoChoices},
	{Name: "magnoliawharf", Classes: true, Links: true},
}

// linkChooser routes with the project's links.
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

func (a *linkAttempt) answered(now time.Time, result link.Result, report *link.Report) {
	a.link.RecordAnswer(now, a.token, result, report)
}

func (a *linkAttempt) end(now time.Time, result link.Result, report *link.Report) {
	a.link.End(now, a.token, result, report)
}

func contains(ids []instance.ID, id instance.ID) bool {
	for _, held := range ids {
		if held == id {
			return true
		}
	}
	return false
}

// tally is what a baseline knows of an instance.
type tally struct {
	id       instance.ID
	inFlight int
	reported int // slots in use and requests queued, by the last report
	turns    int
}

// baseline routes with one of the textbook policies.
type baseline struct {
	balance func(r *rand.Rand, candidates []*tally) *tally
	present func(now time.Time, id instance.ID) bool

	mu      sync.Mutex
	random  *rand.Rand
	tallies []*tally
}

type baselineAttempt struct {
	owner *baseline
	tally *tally
}

func (b *baseline) choose(now time.Time, _ link.Kind, tried []instance.ID) (attempt, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []*tally
	for _, t := range b.tallies {
		if !contains(tried, t.id) && b.present(now, t.id) {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return nil, false
	}
	chosen := b.balance(b.random, candidates)
	chosen.inFlight++
	chosen.turns++
	return &baselineAttempt{b, chosen}, true
}

func (a *baselineAttempt) target() instance.ID { return a.tally.id }

func (a *baselineAttempt) answered(_ time.Time, _ link.Result, report *link.Report) {
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	if report != nil {
		a.tally.reported = report.InUse + report.Queued
	}
}

func (a *baselineAttempt) end(now time.Time, result link.Result, report *link.Report) {
	a.answered(now, result, report)
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	a.tally.inFlight--
}

func random(r *rand.Rand, candidates []*tally) *tally { return candidates[r.IntN(len(candidates))] }

// roundRobin takes the candidate with the fewest turns, which is the next one in turn.
func roundRobin(_ *rand.Rand, candidates []*tally) *tally {
	return least(candidates, func(t *tally) int { return t.turns })
}

func leastInFlight(r *rand.Rand, candidates []*tally) *tally {
	first := r.IntN(len(candidates))
	rotated := append(append([]*tally(nil), candidates[first:]...), candidates[:first]...)
	return least(rotated, func(t *tally) int { return t.inFlight })
}

func twoChoices(r *rand.Rand, candidates []*tally) *tally {
	first := r.IntN(len(candidates))
	if len(candidates) == 1 {
		return candidates[first]
	}
	second := (first + 1 + r.IntN(len(candidates)-1)) % len(candidates)
	return least([]*tally{candidates[first], candidates[second]}, func(t *tally) int { return t.reported })
}

func least(candidates []*tally, value func(*tally) int) *tally {
	best := candidates[0]
	for _, t := range candidates[1:] {
		if value(t) < value(best) {
			best = t
		}
	}
	return best
}
