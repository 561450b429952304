package policybench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

const announceEvery = time.Second

// run is one simulated service under load: the nodes beside the upstreams, the entry nodes and the measurements.
type run struct {
	deployment    Deployment
	scenario      Scenario
	policy        Policy
	started       time.Time
	upstreamNodes map[instance.ID]*upstreamNode
	fleet         *instance.Fleet
	entries       []*entry
	arrivals      *rand.Rand
	requests      sync.WaitGroup
	probes        atomic.Int64
	reports       atomic.Int64
	collected     collector
}

// entry is a node that callers send to.
type entry struct {
	run        *run
	dataCentre int
	chooser    chooser
	budget     *caller.RetryBudget
}

// Run measures one policy under one scenario. It must be called in a synctest bubble.
func Run(d Deployment, s Scenario, p Policy, seed uint64) Result {
	r := &run{
		deployment: d, scenario: s, policy: p, started: time.Now(),
		upstreamNodes: make(map[instance.ID]*upstreamNode), fleet: instance.NewFleet(),
		arrivals: rand.New(rand.NewPCG(seed, 0)),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	for i := range d.Upstreams {
		n := r.addUpstreamNode(i, seed)
		background.Go(func() { r.keepAnnounced(ctx, n) })
	}
	for i := range d.EntryNodes {
		r.entries = append(r.entries, r.newEntry(i, seed))
	}
	var sources sync.WaitGroup
	shortSeed, longSeed := r.arrivals.Uint64(), r.arrivals.Uint64()
	sources.Go(func() { r.generate(contract.Classes[0], shortSeed, r.shortRate) })
	if s.Downloads > 0 {
		sources.Go(func() { r.generate(contract.Classes[1], longSeed, r.longRate) })
	}
	sources.Wait()
	r.requests.Wait()
	cancel()
	background.Wait()
	return r.summary()
}

func dataCentre(n int) string { return string(rune('a' + n)) }

func (r *run) addUpstreamNode(i int, seed uint64) *upstreamNode {
	id := instance.ID(fmt.Sprint("home", i))
	n := &upstreamNode{
		record: instance.Record{
			ID: id, Incarnation: 1, Service: contract.Service, DataCentre: dataCentre(i % r.deployment.DataCentres),
			State: instance.Ready, Slots: r.deployment.Slots,
		},
		budget:   link.NewProbeBudget(r.started, probeRate),
		scenario: r.scenario, hasFault: i == 0, started: r.started,
		random: rand.New(rand.NewPCG(seed, uint64(i+1))),
	}
	n.admit = newFIFO(r.deployment.Slots)
	if r.policy.ClassQueues {
		n.admit = announcedAdmission{upstream.New()}
	}
	r.upstreamNodes[id] = n
	return n
}

// keepAnnounced announces the upstream periodically and updates its record in the fleet.
func (r *run) keepAnnounced(ctx context.Context, n *upstreamNode) {
	record := n.record
	for ctx.Err() == nil {
		now := time.Now()
		if !n.notJoined(now) {
			if a, ok := n.admit.(announcedAdmission); ok {
				a.announce(n)
			}
			state := instance.Ready
			if n.fault(now) == Starting {
				state = instance.Cold
			}
			if state != record.State || record.StateVersion == 0 {
				record.State = state
				record.StateVersion++
				r.fleet.Merge(record)
			}
		}
		select {
		case <-time.After(announceEvery):
		case <-ctx.Done():
		}
	}
}

func (r *run) newEntry(i int, seed uint64) *entry {
	e := &entry{run: r, dataCentre: i % r.deployment.DataCentres, budget: caller.NewRetryBudgets().Of(contract.Service)}
	if r.policy.LinkRouting {
		e.chooser = &linkChooser{
			table:  link.NewTable(r.fleet, link.WithDataCentre(dataCentre(e.dataCentre))),
			prober: link.NewProber(e),
		}
		return e
	}
	b := &baseline{pick: r.policy.pick, random: rand.New(rand.NewPCG(seed, uint64(1000+i)))}
	b.present = func(now time.Time, id instance.ID) bool { return !r.upstreamNodes[id].notJoined(now) }
	for n := range r.deployment.Upstreams {
		// The order is rotated per entry node, so that round robin does not start at the same instance everywhere.
		b.candidates = append(b.candidates, &candidate{id: instance.ID(fmt.Sprint("home", (n+i)%r.deployment.Upstreams))})
	}
	e.chooser = b
	return e
}

func (r *run) shortRate(at time.Duration) float64 {
	load := r.scenario.Load
	if r.inPeak(at) {
		load = r.scenario.PeakLoad
	}
	return load * r.deployment.capacity()
}

func (r *run) inPeak(at time.Duration) bool {
	return r.scenario.PeakLoad > 0 && at >= r.scenario.PeakFrom && at < r.scenario.PeakTo
}

func (r *run) longRate(time.Duration) float64 {
	return r.scenario.Downloads * float64(r.deployment.Upstreams*r.deployment.Slots) / longMedian.Seconds()
}

// generate sends requests of the class to random entry nodes. The intervals are exponentially distributed with the mean
// rate at that time.
func (r *run) generate(class bundle.Class, seed uint64, rate func(time.Duration) float64) {
	random := rand.New(rand.NewPCG(seed, 0))
	for {
		at := time.Since(r.started)
		if at >= r.scenario.Length {
			return
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate(at) * float64(time.Second)))
		e := r.entries[random.IntN(len(r.entries))]
		r.requests.Go(func() { e.call(class, time.Since(r.started)) })
	}
}

// call sends one request, with retries by the rules of package caller, and records its outcome.
func (e *entry) call(class bundle.Class, at time.Duration) {
	kind, timeout := link.Short, shortTimeout
	if class.Long {
		kind, timeout = link.Long, longTimeout
	}
	started := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(timeout))
	defer cancel()
	request := upstream.AdmitRequest{Class: class, Rules: upstream.RulesOf(&contract), Deadline: started.Add(timeout)}
	e.budget.Deposit(contract.RetryRatio)
	var tried []instance.ID
	for {
		chosen, ok := e.chooser.choose(time.Now(), kind, tried)
		if !ok {
			e.run.collected.add(class, e.run.inPeak(at), refused, time.Since(started))
			return
		}
		tried = append(tried, chosen.target())
		answer := e.attempt(ctx, chosen, request)
		if answer.refusal == nil {
			e.run.collected.add(class, e.run.inPeak(at), outcomeOf(answer.result), time.Since(started))
			return
		}
		if !e.retry(ctx, answer.refusal, len(tried), started.Add(timeout)) {
			e.run.collected.add(class, e.run.inPeak(at), outcomeOfRefusal(answer.refusal), time.Since(started))
			return
		}
	}
}

// retry decides whether the request is retried, withdraws from the retry budget and waits for the delay before the retry.
func (e *entry) retry(ctx context.Context, refusal *caller.Refusal, attempts int, deadline time.Time) bool {
	decision := caller.Decide(caller.FailedAttempt{
		Rule: bundle.Idempotent, Reason: refusal.Reason, Ran: refusal.Ran, Attempts: attempts,
		Replayable: true, TimeLeft: time.Until(deadline),
	})
	if !decision.Retry || ctx.Err() != nil || (decision.Paid && !e.budget.TryWithdraw()) {
		return false
	}
	time.Sleep(caller.Jitter(decision.Delay))
	return true
}

// attempt sends the request over the simulated network and waits for the complete response.
func (e *entry) attempt(ctx context.Context, chosen attempt, request upstream.AdmitRequest) reply {
	n := e.run.upstreamNodes[chosen.target()]
	latency := e.oneWay(n)
	time.Sleep(latency)
	answer := n.serve(ctx, request, func(first reply) {
		e.run.requests.Go(func() {
			time.Sleep(latency)
			chosen.recordAnswer(time.Now(), first.result, &first.report)
		})
	})
	time.Sleep(latency)
	// Reports count as control traffic only for policies that use them.
	report := &answer.report
	if answer.result == link.TimedOut || !e.run.policy.sendsReport(n, answer) {
		report = nil
	} else {
		e.run.reports.Add(1)
	}
	chosen.end(time.Now(), answer.result, report)
	return answer
}

func (e *entry) oneWay(n *upstreamNode) time.Duration {
	if n.record.DataCentre == dataCentre(e.dataCentre) {
		return localOneWay
	}
	return e.run.deployment.OneWayLatency
}

var errOverBudget = errors.New("over budget")

// Probe implements link.ProbeSender.
func (e *entry) Probe(_ context.Context, target instance.Record) (link.Report, error) {
	n := e.run.upstreamNodes[target.ID]
	e.run.probes.Add(1)
	time.Sleep(e.run.deployment.ProbeTime)
	if !n.budget.Take(time.Now()) {
		return link.Report{}, errOverBudget
	}
	return n.report(time.Now()), nil
}
