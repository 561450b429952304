package link_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// probeTargets simulates the nodes beside the upstreams: each accepts probes within its own budget.
type probeTargets struct {
	mu       sync.Mutex
	rate     float64
	budgets  map[instance.ID]*link.ProbeBudget
	sent     []time.Time
	accepted map[instance.ID][]time.Time
}

func (targets *probeTargets) Probe(_ context.Context, target instance.Record) (link.Report, error) {
	time.Sleep(6 * time.Millisecond)
	targets.mu.Lock()
	defer targets.mu.Unlock()
	now := time.Now()
	targets.sent = append(targets.sent, now)
	if targets.budgets[target.ID] == nil {
		targets.budgets[target.ID] = link.NewProbeBudget(now, targets.rate)
	}
	if !targets.budgets[target.ID].Take(now) {
		return link.Report{}, errors.New("over budget")
	}
	targets.accepted[target.ID] = append(targets.accepted[target.ID], now)
	return drainingReport, nil
}

// drainingReport keeps requests away from an upstream, so that its link is a candidate for probes.
var drainingReport = link.Report{State: instance.Draining, Slots: 8}

// assertWithinBudget checks the rate in every window that starts and ends at a probe.
func assertWithinBudget(t *testing.T, at []time.Time, rate float64) {
	t.Helper()
	for i := range at {
		for j := i; j < len(at); j++ {
			window := at[j].Sub(at[i]).Seconds()
			assert.Assert(t, float64(j-i+1) <= rate*window+1+1e-6, "%d probes in %.3f s at %.1f per second", j-i+1, window, rate)
		}
	}
}

// Guards against probes above the agreed budget in any window: at a peak of calls, when entry nodes and the nodes
// beside the upstreams restart, and with many upstreams. It also guards against probes without traffic.
func TestProbesStayWithinBudget(t *testing.T) {
	const rate, entries, seconds = 5.0, 3, 6
	for _, upstreams := range []int{4, 60} {
		synctest.Test(t, func(t *testing.T) {
			targets := &probeTargets{rate: rate, budgets: map[instance.ID]*link.ProbeBudget{}, accepted: map[instance.ID][]time.Time{}}
			contract := &bundle.Contract{ProbePerSecond: rate}
			for second := range seconds {
				if second%2 == 0 {
					targets.mu.Lock()
					clear(targets.budgets) // the nodes beside the upstreams restart
					targets.mu.Unlock()
				}
				for range entries {
					_, table := fleetOf(map[string]int{"a": upstreams}) // an entry node restarts
					prober := link.NewProber(targets)
					for _, l := range table.Set("s").Links() {
						l.ApplyReport(time.Now().Add(-time.Second), drainingReport)
					}
					go func() {
						for range 2000 {
							prober.ProbeStalest(time.Now(), table.Set("s"), contract)
							time.Sleep(500 * time.Microsecond)
						}
					}()
				}
				time.Sleep(time.Second)
			}
			synctest.Wait()
			time.Sleep(time.Second)
			sent := len(targets.sent)
			assert.Assert(t, sent > 0)
			assert.Assert(t, float64(sent) <= rate*entries*seconds, "%d probes sent", sent)
			for _, at := range targets.accepted {
				assertWithinBudget(t, at, rate)
			}
			time.Sleep(10 * time.Second)
			assert.Equal(t, len(targets.sent), sent, "probes without traffic")
		})
	}
}

// Guards against probes while answers carry fresh reports.
func TestNoProbeWhileReportsAreFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := &probeTargets{rate: 100, budgets: map[instance.ID]*link.ProbeBudget{}, accepted: map[instance.ID][]time.Time{}}
		_, table := fleetOf(map[string]int{"a": 4})
		prober := link.NewProber(targets)
		for range 1000 {
			for _, l := range table.Set("s").Links() {
				l.ApplyReport(time.Now(), drainingReport)
			}
			prober.ProbeStalest(time.Now(), table.Set("s"), &bundle.Contract{ProbePerSecond: 100})
			time.Sleep(5 * time.Millisecond)
		}
		synctest.Wait()
		assert.Equal(t, len(targets.sent), 0)
	})
}

// BenchmarkRefreshWithoutWork guards against a search of all links on each call while no link is a candidate for
// probes.
func BenchmarkRefreshWithoutWork(b *testing.B) {
	_, table := fleetOf(map[string]int{"a": 1000})
	prober, contract, set := link.NewProber(nil), &bundle.Contract{ProbePerSecond: 100}, table.Set("s")
	for b.Loop() {
		prober.ProbeStalest(time.Now(), set, contract)
	}
}
