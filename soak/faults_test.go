package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	maxSeries    = 3               // most occurrences of one fault
	seriesShare  = 0.3             // share of faults that occur more than once
	maxGap       = 1 * time.Second // longest pause between two occurrences
	minFaultTime = 200 * time.Millisecond
	maxFaultTime = 3500 * time.Millisecond
	// A request that crashes back ends is sent crashingSends times, crashingGap apart, to random machines.
	crashingSends = 20
	crashingGap   = 350 * time.Millisecond
	// crashingRequestShare is the share of runs with such a request. It is drawn from its own random stream,
	// crashingRequestStream.
	crashingRequestShare  = 0.4
	crashingRequestStream = 1 << 20
	// storeRestoredShare is the share of runs in which the store returns from an older copy. It is drawn from its own random
	// stream, storeRestoredStream, whose draws give the regression seeds no such fault.
	storeRestoredShare  = 0.5
	storeRestoredStream = 1 << 24
	// withdrawalShare is the share of runs in which a back end is withdrawn around a kill of its node. It is drawn from its own
	// random stream, withdrawalStream, whose draws give the regression seeds no such fault.
	withdrawalShare  = 0.3
	withdrawalStream = 1<<28 + 363
	// noticeShare is the share of runs in which a back end states in its answers that it limits its requests or leaves. It is drawn
	// from its own random stream, noticeStream, whose draws give the regression seeds no such fault.
	noticeShare  = 0.4
	noticeStream = 1<<32 + 459888
	// reportDelay is the time after the kill at which the last report of the back end arrives, and withdrawnServes how long it serves
	// on then: beyond the time in which the node counts as disturbed.
	reportDelay     = 700 * time.Millisecond
	withdrawnServes = 5 * time.Second
	// faultsPerSecond is the mean number of faults that begin in a second.
	faultsPerSecond = 1.5
)

// fault is one kind of fault.
type fault struct {
	name string
	// inject causes the fault at the machine for about the duration lasting and returns when it is over. draw selects
	// the variant.
	inject func(f *fleet, m *machine, lasting time.Duration, draw uint64)
}

// faultKinds lists the kinds of faults. A seed selects by index, so a change of the order changes the faults of all seeds.
var faultKinds = []fault{
	{"node killed", func(_ *fleet, m *machine, lasting time.Duration, _ uint64) { m.killNode(lasting / 2) }},
	{"node paused", func(_ *fleet, m *machine, lasting time.Duration, _ uint64) { m.pauseNode(lasting) }},
	{"node stopped", func(_ *fleet, m *machine, _ time.Duration, _ uint64) { m.stopNode() }},
	{"settings changed", func(_ *fleet, m *machine, _ time.Duration, draw uint64) {
		m.changeSettings([]float64{0.05, 0.1, retryRatio}[draw%3], draw%2 == 0)
	}},
	{"several nodes killed", func(f *fleet, _ *machine, lasting time.Duration, draw uint64) {
		f.forSomeMachines(draw, func(m *machine) { m.killNode(lasting / 4) })
	}},
	{"back end crashed", func(_ *fleet, m *machine, lasting time.Duration, _ uint64) {
		m.crashBackend(lasting/2, serviceOf(m.index))
	}},
	{"address reused", func(_ *fleet, m *machine, lasting time.Duration, _ uint64) {
		m.crashBackend(reuseAfter, services[1-slices.Index(services[:], serviceOf(m.index))])
		time.Sleep(lasting)
		m.crashBackend(reuseAfter, serviceOf(m.index))
	}},
	{"back end replaced", func(_ *fleet, m *machine, _ time.Duration, _ uint64) { m.replaceBackend(serviceOf(m.index)) }},
	{"back end fails", func(_ *fleet, m *machine, lasting time.Duration, draw uint64) {
		m.failBackend([]standin.BackendFaults{{Fail: 0.4}, {DropResponse: 0.3}, {Truncate: 0.3}, {Slow: 5}, {Fail: 1}}[draw%5], lasting)
	}},
	{"link degraded", func(_ *fleet, m *machine, lasting time.Duration, draw uint64) {
		link := []string{"backend", "peers", "store"}[draw%3]
		m.degradeLink(link, []behaviour{
			{delay: 80 * time.Millisecond}, {refuse: true}, {holdToServer: true}, {holdFromServer: true}, {holdToServer: true, holdFromServer: true}, {stallOpen: true},
		}[draw/3%6], lasting)
	}},
	{"connections reset", func(f *fleet, m *machine, _ time.Duration, draw uint64) {
		from := time.Now()
		m.links[[]string{"backend", "peers", "store"}[draw%3]].reset()
		f.oracle.recordDisturbance(m.index, span{from, time.Now()})
	}},
	{"store unavailable", func(f *fleet, _ *machine, lasting time.Duration, draw uint64) {
		switch draw % 5 {
		case 0:
			f.degradeStore(lasting, standin.StoreFaults{Status: http.StatusServiceUnavailable}, kvstore.Faults{})
		case 1:
			f.degradeStore(lasting, standin.StoreFaults{Status: http.StatusTooManyRequests}, kvstore.Faults{})
		case 2:
			f.degradeStore(lasting, standin.StoreFaults{DropResponses: true}, kvstore.Faults{})
		case 3:
			f.degradeStore(lasting, standin.StoreFaults{}, kvstore.Faults{Delay: 300 * time.Millisecond})
		default:
			f.expireLeases()
			f.degradeStore(lasting, standin.StoreFaults{}, kvstore.Faults{DropEvents: true})
		}
	}},
	{"watches closed", func(f *fleet, _ *machine, _ time.Duration, _ uint64) { f.store.Memory.CloseWatches() }},
	{"contracts changed", func(f *fleet, _ *machine, _ time.Duration, draw uint64) {
		f.operator.publish([]func(map[string]route){moveRoute, toggleRoute, addRoute}[draw%3])
	}},
	{"contracts change often", func(f *fleet, _ *machine, _ time.Duration, draw uint64) {
		for range 3 + draw%4 {
			f.operator.publish(moveRoute, toggleRoute, addRoute)
			time.Sleep(150 * time.Millisecond)
		}
	}},
}

// crashingBodies are the sizes of the bodies of crashing requests, in bytes.
var crashingBodies = [...]int{10, 6000, 200 << 10}

// crashingRequest repeatedly sends a request that crashes each back end which runs it, to random machines.
var crashingRequest = fault{"crashing request", func(f *fleet, _ *machine, _ time.Duration, draw uint64) {
	random := rand.New(rand.NewPCG(draw, 0))
	for range crashingSends {
		c := newCaller(f, int(f.crashing.Add(1)), f.machines[random.IntN(machineCount)], random)
		go c.sendCrashing(fmt.Sprintf("crash-%d", draw), crashingBodies[draw%uint64(len(crashingBodies))])
		time.Sleep(crashingGap)
	}
}}

// storeRestored is a return of the store from an older copy, which is taken when the fault begins.
var storeRestored = fault{"store restored", func(f *fleet, _ *machine, _ time.Duration, draw uint64) {
	f.restoreStore(drawRestoredStore(draw))
}}

// withdrawnAroundKill is a back end that is withdrawn, whose node is killed or stopped, and whose last reports arrive late.
var withdrawnAroundKill = fault{"back end withdrawn around a kill", func(_ *fleet, m *machine, lasting time.Duration, draw uint64) {
	m.withdrawAroundRestart(serviceOf(m.index), lasting/4, drawWithdrawal(draw))
}}

// noticeKinds are the faults drawn from noticeStream.
var noticeKinds = [...]fault{limitNamed, limitNamed, leavingInAnswers}

// forSomeMachines runs step concurrently for a subset of the machines, for all of them on every third draw.
func (f *fleet) forSomeMachines(draw uint64, step func(*machine)) {
	var steps sync.WaitGroup
	for i, m := range f.machines {
		if draw%3 == 0 || draw>>i&1 == 1 {
			steps.Go(func() { step(m) })
		}
	}
	steps.Wait()
}

// degradeStore injects the faults into the store for the duration.
func (f *fleet) degradeStore(lasting time.Duration, calls standin.StoreFaults, memory kvstore.Faults) {
	f.storeFaults.RLock()
	defer f.storeFaults.RUnlock()
	from := time.Now()
	f.store.SetFaults(calls)
	f.store.Memory.SetFaults(memory)
	time.Sleep(lasting)
	f.store.SetFaults(standin.StoreFaults{})
	f.store.Memory.SetFaults(kvstore.Faults{})
	f.oracle.recordStoreDisturbance(span{from, time.Now()})
}

func (f *fleet) expireLeases() {
	f.storeFaults.RLock()
	defer f.storeFaults.RUnlock()
	f.store.Memory.ExpireAllLeases()
}

// plannedFault is one fault of a run's schedule.
type plannedFault struct {
	fault   fault
	at      time.Duration
	machine int
	lasting time.Duration
	series  int
	gap     time.Duration
	draw    uint64
}

func (p plannedFault) String() string {
	if p.fault.name == storeRestored.name {
		return fmt.Sprintf("%v %s, %d times, %v", p.at.Round(time.Millisecond), p.fault.name, p.series, drawRestoredStore(p.draw))
	}
	return fmt.Sprintf("%v %s m%d for %v, %d times, draw %d", p.at.Round(time.Millisecond), p.fault.name, p.machine, p.lasting.Round(time.Millisecond), p.series, p.draw)
}

// drawFaults returns the faults of a run in order of time. The crashing request, the return of the store, the withdrawal around a
// kill and what back ends state in answers are drawn from separate random streams, so that the other faults of a seed do not depend on them.
func drawFaults(seed uint64, length time.Duration) []plannedFault {
	random := rand.New(rand.NewPCG(seed, 0))
	var schedule []plannedFault
	for range int(length.Seconds() * faultsPerSecond) {
		p := plannedFault{
			fault: faultKinds[random.IntN(len(faultKinds))], at: time.Duration(random.Int64N(int64(length))), machine: random.IntN(machineCount),
			lasting: minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime))), series: 1,
			gap: time.Duration(random.Int64N(int64(maxGap))), draw: random.Uint64(),
		}
		if random.Float64() < seriesShare {
			p.series += 1 + random.IntN(maxSeries-1)
		}
		schedule = append(schedule, p)
	}
	if separate := rand.New(rand.NewPCG(seed, crashingRequestStream)); separate.Float64() < crashingRequestShare {
		schedule = append(schedule, plannedFault{
			fault: crashingRequest, at: time.Duration(separate.Int64N(int64(length))), series: 1, draw: separate.Uint64(),
		})
	}
	if separate := rand.New(rand.NewPCG(seed, storeRestoredStream)); separate.Float64() < storeRestoredShare {
		p := plannedFault{
			fault: storeRestored, at: time.Duration(separate.Int64N(int64(length))), series: 1, gap: time.Duration(separate.Int64N(int64(maxGap))),
			draw: separate.Uint64(),
		}
		if separate.Float64() < seriesShare {
			p.series++
		}
		schedule = append(schedule, p)
	}
	if separate := rand.New(rand.NewPCG(seed, withdrawalStream)); separate.Float64() < withdrawalShare {
		schedule = append(schedule, plannedFault{
			fault: withdrawnAroundKill, at: time.Duration(separate.Int64N(int64(length))), machine: separate.IntN(machineCount), series: 1,
			lasting: minFaultTime + time.Duration(separate.Int64N(int64(maxFaultTime-minFaultTime))), draw: separate.Uint64(),
		})
	}
	if separate := rand.New(rand.NewPCG(seed, noticeStream)); separate.Float64() < noticeShare {
		schedule = append(schedule, plannedFault{
			fault: noticeKinds[separate.IntN(len(noticeKinds))], at: time.Duration(separate.Int64N(int64(length))), machine: separate.IntN(machineCount), series: 1,
			lasting: minFaultTime + time.Duration(separate.Int64N(int64(maxFaultTime-minFaultTime))), draw: separate.Uint64(),
		})
	}
	schedule = append(schedule, drawPartFaults(seed, length)...)
	slices.SortFunc(schedule, func(a, b plannedFault) int { return int(a.at - b.at) })
	return schedule
}

// describe lists the faults, one per line.
func describe(schedule []plannedFault) string {
	var lines strings.Builder
	for _, p := range schedule {
		fmt.Fprintln(&lines, p)
	}
	return lines.String()
}

// injectFaults injects each fault at its time and returns when the last one is over.
func (f *fleet) injectFaults(schedule []plannedFault) {
	start := time.Now()
	var running sync.WaitGroup
	for _, p := range schedule {
		wait.For(context.Background(), p.at-time.Since(start))
		running.Go(func() {
			for range p.series {
				p.fault.inject(f, f.machines[p.machine], p.lasting, p.draw)
				time.Sleep(p.gap)
			}
		})
	}
	running.Wait()
}
