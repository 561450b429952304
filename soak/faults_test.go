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
	mostSeries  = 3               // repeats of one fault
	seriesShare = 0.3             // of faults that come in series
	mostGap     = 1 * time.Second // between two of a series
	leastFault  = 200 * time.Millisecond
	mostFault   = 3500 * time.Millisecond
	// A request that crashes back ends is sent crashingSends times, crashingGap apart, at any machine.
	crashingSends = 20
	crashingGap   = 350 * time.Millisecond
	// crashingShare is the share of runs with such a request, and apartStream the random numbers of kinds that came later.
	crashingShare = 0.4
	apartStream   = 1 << 20
	// faultsPerSecond is the mean number of faults that begin in a second.
	faultsPerSecond = 1.5
)

// fault is one kind of fault.
type fault struct {
	name string
	// bring brings it about at a machine for the time and returns when it is over.
	bring func(f *fleet, m *machine, lasting time.Duration, draw uint64)
}

// faults holds all kinds.
var faults = []fault{
	{"node killed", func(_ *fleet, m *machine, lasting time.Duration, _ uint64) { m.kill(lasting / 2) }},
	{"node paused", func(_ *fleet, m *machine, lasting time.Duration, _ uint64) { m.pause(lasting) }},
	{"node stopped", func(_ *fleet, m *machine, _ time.Duration, _ uint64) { m.stop() }},
	{"settings changed", func(_ *fleet, m *machine, _ time.Duration, draw uint64) {
		m.reload([]float64{0.05, 0.1, retryRatio}[draw%3], draw%2 == 0)
	}},
	{"herd killed", func(f *fleet, _ *machine, lasting time.Duration, draw uint64) {
		f.forAll(draw, func(m *machine) { m.kill(lasting / 4) })
	}},
	{"back end crashed", func(_ *fleet, m *machine, lasting time.Duration, _ uint64) { m.crash(lasting/2, serviceOf(m.index)) }},
	{"address reused", func(_ *fleet, m *machine, lasting time.Duration, _ uint64) {
		m.crash(reuseAfter, services[1-slices.Index(services[:], serviceOf(m.index))])
		time.Sleep(lasting)
		m.crash(reuseAfter, serviceOf(m.index))
	}},
	{"back end replaced", func(_ *fleet, m *machine, _ time.Duration, _ uint64) { m.replace(serviceOf(m.index)) }},
	{"back end fails", func(_ *fleet, m *machine, lasting time.Duration, draw uint64) {
		m.fail([]standin.BackendFaults{{Fail: 0.4}, {DropResponse: 0.3}, {Truncate: 0.3}, {Slow: 5}, {Fail: 1}}[draw%5], lasting)
	}},
	{"link harmed", func(_ *fleet, m *machine, lasting time.Duration, draw uint64) {
		link := []string{"backend", "peers", "store"}[draw%3]
		m.harm(link, []behaviour{
			{delay: 80 * time.Millisecond}, {refuse: true}, {holdUp: true}, {holdDown: true}, {holdUp: true, holdDown: true}, {stallsOpen: true},
		}[draw/3%6], lasting)
	}},
	{"connections reset", func(f *fleet, m *machine, _ time.Duration, draw uint64) {
		from := time.Now()
		m.links[[]string{"backend", "peers", "store"}[draw%3]].reset()
		f.oracle.disturb(m.index, span{from, time.Now()})
	}},
	{"store away", func(f *fleet, _ *machine, lasting time.Duration, draw uint64) {
		switch draw % 5 {
		case 0:
			f.harmStore(lasting, standin.StoreFaults{Status: http.StatusServiceUnavailable}, kvstore.Faults{})
		case 1:
			f.harmStore(lasting, standin.StoreFaults{Status: http.StatusTooManyRequests}, kvstore.Faults{})
		case 2:
			f.harmStore(lasting, standin.StoreFaults{DropResponses: true}, kvstore.Faults{})
		case 3:
			f.harmStore(lasting, standin.StoreFaults{}, kvstore.Faults{Delay: 300 * time.Millisecond})
		default:
			f.store.Memory.LapseLeases()
			f.harmStore(lasting, standin.StoreFaults{}, kvstore.Faults{MuteWatches: true})
		}
	}},
	{"watches cut", func(f *fleet, _ *machine, _ time.Duration, _ uint64) { f.store.Memory.BreakWatches() }},
	{"contracts changed", func(f *fleet, _ *machine, _ time.Duration, draw uint64) {
		f.operator.publish([]func(map[string]route){move, toggle, grow}[draw%3])
	}},
	{"contracts change often", func(f *fleet, _ *machine, _ time.Duration, draw uint64) {
		for range 3 + draw%4 {
			f.operator.publish(move, toggle, grow)
			time.Sleep(150 * time.Millisecond)
		}
	}},
}

// crashing sends a request that crashes each back end which runs it, again and again and at any machine.
var crashing = fault{"crashing request", func(f *fleet, _ *machine, _ time.Duration, draw uint64) {
	random := rand.New(rand.NewPCG(draw, 0))
	for range crashingSends {
		c := newCaller(f, int(f.crashing.Add(1)), f.machines[random.IntN(machineCount)], random)
		go c.sendCrashing(fmt.Sprintf("crash-%d", draw))
		time.Sleep(crashingGap)
	}
}}

// forAll runs step at some machines at the same time, at all of them for every third draw.
func (f *fleet) forAll(draw uint64, step func(*machine)) {
	var done sync.WaitGroup
	for i, m := range f.machines {
		if draw%3 == 0 || draw>>i&1 == 1 {
			done.Go(func() { step(m) })
		}
	}
	done.Wait()
}

// harmStore gives the store the faults for the time.
func (f *fleet) harmStore(lasting time.Duration, calls standin.StoreFaults, memory kvstore.Faults) {
	from := time.Now()
	f.store.SetFaults(calls)
	f.store.Memory.SetFaults(memory)
	time.Sleep(lasting)
	f.store.SetFaults(standin.StoreFaults{})
	f.store.Memory.SetFaults(kvstore.Faults{})
	f.oracle.disturbStore(span{from, time.Now()})
}

// planned is one fault of a plan.
type planned struct {
	fault   fault
	at      time.Duration
	machine int
	lasting time.Duration
	series  int
	gap     time.Duration
	draw    uint64
}

func (p planned) String() string {
	return fmt.Sprintf("%v %s m%d for %v, %d times, draw %d", p.at.Round(time.Millisecond), p.fault.name, p.machine, p.lasting.Round(time.Millisecond), p.series, p.draw)
}

// plan draws the faults of a run. Kinds that came later are drawn apart, so that older seeds keep their plans.
func plan(seed uint64, length time.Duration) []planned {
	random := rand.New(rand.NewPCG(seed, 0))
	var drawn []planned
	for range int(length.Seconds() * faultsPerSecond) {
		p := planned{
			fault: faults[random.IntN(len(faults))], at: time.Duration(random.Int64N(int64(length))), machine: random.IntN(machineCount),
			lasting: leastFault + time.Duration(random.Int64N(int64(mostFault-leastFault))), series: 1,
			gap: time.Duration(random.Int64N(int64(mostGap))), draw: random.Uint64(),
		}
		if random.Float64() < seriesShare {
			p.series += 1 + random.IntN(mostSeries-1)
		}
		drawn = append(drawn, p)
	}
	if apart := rand.New(rand.NewPCG(seed, apartStream)); apart.Float64() < crashingShare {
		drawn = append(drawn, planned{
			fault: crashing, at: time.Duration(apart.Int64N(int64(length))), series: 1, draw: apart.Uint64(),
		})
	}
	slices.SortFunc(drawn, func(a, b planned) int { return int(a.at - b.at) })
	return drawn
}

// describe lists the faults of a plan, a line each.
func describe(drawn []planned) string {
	var lines strings.Builder
	for _, p := range drawn {
		fmt.Fprintln(&lines, p)
	}
	return lines.String()
}

// bring brings the faults of the plan about and returns when the last one is over.
func (f *fleet) bring(drawn []planned) {
	began := time.Now()
	var over sync.WaitGroup
	for _, p := range drawn {
		wait.For(context.Background(), p.at-time.Since(began))
		over.Go(func() {
			for range p.series {
				p.fault.bring(f, f.machines[p.machine], p.lasting, p.draw)
				time.Sleep(p.gap)
			}
		})
	}
	over.Wait()
}
