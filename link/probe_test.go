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

// homes stands for the nodes beside the upstreams: each accepts probes within its own budget.
type homes struct {
	mu       sync.Mutex
	rate     float64
	budgets  map[instance.ID]*link.ProbeBudget
	sent     []time.Time
	accepted map[instance.ID][]time.Time
}

func (h *homes) Probe(_ context.Context, target instance.Record) (link.Report, error) {
	time.Sleep(6 * time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.sent = append(h.sent, now)
	if h.budgets[target.ID] == nil {
		h.budgets[target.ID] = link.NewProbeBudget(now, h.rate)
	}
	if !h.budgets[target.ID].Take(now) {
		return link.Report{}, errors.New("over budget")
	}
	h.accepted[target.ID] = append(h.accepted[target.ID], now)
	return leaving, nil
}

// leaving keeps requests away, so that a newer report is worth a probe.
var leaving = link.Report{State: instance.Draining, Slots: 8}

// withinBudget checks every window that starts and ends at a probe.
func withinBudget(t *testing.T, at []time.Time, rate float64) {
	t.Helper()
	for i := range at {
		for j := i; j < len(at); j++ {
			window := at[j].Sub(at[i]).Seconds()
			assert.Assert(t, float64(j-i+1) <= rate*window+1+1e-6, "%d probes in %.3f s at %.1f per second", j-i+1, window, rate)
		}
	}
}

// Guards against measuring work over the agreed budget in any window: at a crest of calls, when
// entry nodes and home nodes restart, and with many upstreams; and against probes without traffic.
func TestProbesStayWithinBudget(t *testing.T) {
	const rate, entries, seconds = 5.0, 3, 6
	for _, upstreams := range []int{4, 60} {
		synctest.Test(t, func(t *testing.T) {
			h := &homes{rate: rate, budgets: map[instance.ID]*link.ProbeBudget{}, accepted: map[instance.ID][]time.Time{}}
			contract := &bundle.Contract{ProbePerSecond: rate}
			for second := range seconds {
				if second%2 == 0 {
					h.mu.Lock()
					clear(h.budgets) // all home nodes restart
					h.mu.Unlock()
				}
				for range entries {
					_, table := fleetOf(map[string]int{"a": upstreams}) // an entry node restarts
					prober := link.NewProber(h)
					for _, l := range table.Set("s").Links() {
						l.Take(time.Now().Add(-time.Second), leaving)
					}
					go func() {
						for range 2000 {
							prober.Refresh(time.Now(), table.Set("s"), contract)
							time.Sleep(500 * time.Microsecond)
						}
					}()
				}
				time.Sleep(time.Second)
			}
			synctest.Wait()
			time.Sleep(time.Second)
			sent := len(h.sent)
			assert.Assert(t, sent > 0)
			assert.Assert(t, float64(sent) <= rate*entries*seconds, "%d probes sent", sent)
			for _, at := range h.accepted {
				withinBudget(t, at, rate)
			}
			time.Sleep(10 * time.Second)
			assert.Equal(t, len(h.sent), sent, "probes without traffic")
		})
	}
}

// Guards against probes although fresh reports ride on answers.
func TestNoProbeWhileReportsAreFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &homes{rate: 100, budgets: map[instance.ID]*link.ProbeBudget{}, accepted: map[instance.ID][]time.Time{}}
		_, table := fleetOf(map[string]int{"a": 4})
		prober := link.NewProber(h)
		for range 1000 {
			for _, l := range table.Set("s").Links() {
				l.Take(time.Now(), leaving)
			}
			prober.Refresh(time.Now(), table.Set("s"), &bundle.Contract{ProbePerSecond: 100})
			time.Sleep(5 * time.Millisecond)
		}
		synctest.Wait()
		assert.Equal(t, len(h.sent), 0)
	})
}

// Guards against a search of all links on each call while no link is worth a probe.
func BenchmarkRefreshWithoutWork(b *testing.B) {
	_, table := fleetOf(map[string]int{"a": 1000})
	prober, contract, set := link.NewProber(nil), &bundle.Contract{ProbePerSecond: 100}, table.Set("s")
	for b.Loop() {
		prober.Refresh(time.Now(), set, contract)
	}
}
