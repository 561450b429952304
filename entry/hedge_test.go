package entry_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against hedges that do not help where one upstream is slow now and then, or that cost more than the share allows.
func TestHedgesCutTheSlowestAnswers(t *testing.T) {
	const (
		perSecond = 200
		ratio     = 0.05
		warmUp    = 2 * perSecond // requests until enough times are known
	)
	work := func(node, request, attempt int) time.Duration {
		if node == 0 && request%3 == 0 {
			return 900 * time.Millisecond
		}
		return between(30*time.Millisecond, 60*time.Millisecond, node, request, attempt)
	}
	run := func(ratio float64) (times []time.Duration, f *fleet) {
		synctest.Test(t, func(t *testing.T) {
			f = newFleet(10, work)
			times = load(t.Context(), entryOf(f, ratio), perSecond, time.Minute)
			synctest.Wait()
		})
		return times, f
	}
	without, none := run(0)
	with, f := run(ratio)
	slow, slowWith := slowerThan(without[warmUp:], 500*time.Millisecond), slowerThan(with[warmUp:], 500*time.Millisecond)
	t.Logf("%d answers after more than 500 ms without hedges, %d with %d hedges, of %d requests", slow, slowWith, f.hedged, len(with))
	assert.Equal(t, none.hedged, 0)
	assert.Assert(t, slow > 10)
	assert.Assert(t, slowWith < slow/3)
	assert.Assert(t, f.hedged > 0 && float64(f.hedged) <= ratio*float64(len(with)))
	assert.Equal(t, f.cancelled, f.hedged, "each hedged request has one attempt that is cancelled")
}

// Guards against hedges that go on where all upstreams are slow, and that stay away when they would help again.
func TestHedgesFadeOutWhereAllUpstreamsAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			perSecond = 50
			ratio     = 0.05
		)
		factor := 1
		f := newFleet(10, func(node, request, attempt int) time.Duration {
			if attempt == 1 && request%30 == 0 && factor == 1 {
				return 800 * time.Millisecond // a slow one that another upstream would answer quickly
			}
			return time.Duration(factor) * between(30*time.Millisecond, 60*time.Millisecond, node, request, attempt)
		})
		e := entryOf(f, ratio)
		phase := func(lasting time.Duration) int {
			before := f.hedges()
			load(t.Context(), e, perSecond, lasting)
			return f.hedges() - before
		}
		usual := phase(time.Minute)
		factor = 8
		first, second := phase(time.Minute), phase(time.Minute)
		factor = 1
		_ = phase(time.Minute)
		after := phase(time.Minute)
		t.Logf("hedges in a minute: usual %d, all slow %d, then %d, after %d", usual, first, second, after)
		assert.Assert(t, usual > 50)
		assert.Assert(t, first <= 40, "%d hedges in the first minute", first)
		assert.Assert(t, second <= 6, "%d hedges in the second minute", second)
		assert.Assert(t, after > 50)
	})
}

// Guards against hedges that do not help: for requests that are slow at each upstream, and at a service where most requests are
// late, also when some of the hedges win.
func TestHedgesThatDoNotHelpAreWithheld(t *testing.T) {
	for name, test := range map[string]struct {
		work          func(node, request, attempt int) time.Duration
		first, second int // largest numbers of hedges in two minutes
	}{
		"requests slow at each upstream": {func(_, request, _ int) time.Duration {
			if request%10 == 0 {
				return 800 * time.Millisecond
			}
			return 50 * time.Millisecond
		}, 40, 6},
		"most requests late": {func(node, request, attempt int) time.Duration {
			return between(400*time.Millisecond, 900*time.Millisecond, node, request, attempt)
		}, 40, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(20, test.work)
				e := entryOf(f, 0.05)
				load(t.Context(), e, 50, time.Minute)
				first := f.hedges()
				load(t.Context(), e, 50, time.Minute)
				second := f.hedges() - first
				t.Logf("%d hedges in the first minute, %d in the second", first, second)
				assert.Assert(t, first <= test.first && second <= test.second, "%d and %d hedges", first, second)
			})
		})
	}
}

// Guards against hedges that take the last slots of a service: requests wait, or are refused, that would have been answered.
func TestNoHedgesWhereThereIsLittleRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 4
		f := newFleet(nodes, func(node, request, attempt int) time.Duration {
			if attempt == 1 && request%20 == 0 {
				return 700 * time.Millisecond
			}
			return 100 * time.Millisecond
		})
		// 130 ms on average: 220 requests a second occupy 29 of 32 slots.
		times := load(t.Context(), entryOf(f, 0.5), 220, 20*time.Second)
		t.Logf("%d hedges of %d requests, %d attempts refused", f.hedged, len(times), f.refused)
		assert.Equal(t, f.refused, 0)
		assert.Assert(t, f.hedged < len(times)/100, "%d hedges", f.hedged)
	})
}

// Guards against more hedges than the share allows, at one node or at all together: at the start, after an idle hour and in a
// burst, with two late requests in five.
func TestShareOfHedgesHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			ratio = 0.1
			nodes = 5
		)
		var late atomic.Bool
		late.Store(true)
		f := newFleet(200, func(_, request, attempt int) time.Duration {
			if attempt == 1 && request%5 < 2 && late.Load() {
				return 900 * time.Millisecond
			}
			return 10 * time.Millisecond
		})
		entries := make([]func(perSecond int, lasting time.Duration), nodes)
		for i := range entries {
			e := entryOf(f, ratio)
			entries[i] = func(perSecond int, lasting time.Duration) { load(t.Context(), e, perSecond, lasting) }
		}
		phase := func(name string, perSecond int, lasting time.Duration, burst int) {
			t.Helper()
			sentBefore, hedgedBefore := f.sent, f.hedged
			for _, send := range entries {
				go send(perSecond, lasting)
			}
			time.Sleep(lasting + 5*time.Second)
			synctest.Wait()
			hedged := f.hedged - hedgedBefore
			requests := f.sent - sentBefore - hedged
			t.Logf("%s: %d hedges of %d requests", name, hedged, requests)
			assert.Assert(t, float64(hedged) <= ratio*float64(requests)+float64(burst), "%s: %d hedges of %d requests", name, hedged, requests)
		}
		phase("start", 2, 10*time.Second, 0)
		assert.Assert(t, f.hedged > 0)
		time.Sleep(30 * time.Second)
		phase("at a low rate", 1, 20*time.Second, nodes)
		time.Sleep(time.Hour)
		phase("after an idle hour", 2, 4*time.Second, 0)
		phase("steady", 20, 20*time.Second, nodes)
		phase("burst", 150, 2*time.Second, 2*nodes)
		late.Store(false)
		phase("on time", 20, time.Minute, 2*nodes)
		late.Store(true)
		phase("late again", 20, 5*time.Second, 2*nodes)
		time.Sleep(30 * time.Second)
		phase("after the burst", 2, 2*time.Second, nodes)
	})
}

// Guards against a delay that falls from minute to minute, because the attempts that were cancelled for being late are
// missing among the measured times.
func TestCancelledAttemptsKeepTheDelayUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(10, func(node, request, attempt int) time.Duration {
			if between(0, 100, node, request, attempt) < 8 {
				return between(400*time.Millisecond, 900*time.Millisecond, attempt, request, node)
			}
			return between(20*time.Millisecond, 60*time.Millisecond, node, request, attempt)
		})
		e := entryOf(f, 1)
		load(t.Context(), e, 50, 4*time.Minute)
		before := f.hedges()
		times := load(t.Context(), e, 50, 2*time.Minute)
		hedged := f.hedges() - before
		t.Logf("%d hedges of %d requests", hedged, len(times))
		// The delay of the 95th percentile hedges one request in twenty; a delay that has fallen hedges all late ones.
		assert.Assert(t, hedged > len(times)*35/1000 && hedged < len(times)*65/1000, "%d hedges of %d requests", hedged, len(times))
	})
}

// Guards against measured times that decide on hedges of a deployment whose settings do not ask for it: where all upstreams are slow,
// hedges by the objective are sent for as long as the budgets allow.
func TestHedgesByObjectiveIgnoreMeasuredTimes(t *testing.T) {
	const perSecond = 100
	slow := func(node, request, attempt int) time.Duration {
		return between(40*time.Millisecond, 60*time.Millisecond, node, request, attempt) + time.Duration(request%4/3)*800*time.Millisecond
	}
	run := func(byObjective bool) int {
		var f *fleet
		synctest.Test(t, func(t *testing.T) {
			f = newFleet(10, slow)
			e := entryOf(f, 1)
			e.HedgeByObjective = func() bool { return byObjective }
			load(t.Context(), e, perSecond, time.Minute)
			synctest.Wait()
		})
		return f.hedged
	}
	byObjective, measured := run(true), run(false)
	t.Logf("%d hedges by the objective, %d by measured times", byObjective, measured)
	assert.Assert(t, byObjective > 2*measured)
}
