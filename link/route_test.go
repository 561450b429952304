package link_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// response describes how an instance responds to a request.
type response struct {
	took   time.Duration
	result link.Result
	report *link.Report
}

// fleetOf returns a fleet of ready instances, named after their data centre and number, and a table of links to them
// from data centre "a".
func fleetOf(counts map[string]int) (*instance.Fleet, *link.Table) {
	fleet := instance.NewFleet()
	for dc, n := range counts {
		for i := range n {
			fleet.Merge(instance.Record{
				ID: instance.ID(fmt.Sprint(dc, i)), Incarnation: 1, Service: "s", DataCentre: dc, State: instance.Ready, Slots: 64,
			})
		}
	}
	return fleet, link.NewTable(fleet, link.WithDataCentre("a"))
}

func excludeNothing(instance.ID) bool { return false }

// sendRequests sends n requests at the interval and returns how many went to each instance.
func sendRequests(table *link.Table, n int, interval time.Duration, respond func(instance.ID) response) map[instance.ID]int {
	counts := make(map[instance.ID]int)
	var done sync.WaitGroup
	for range n {
		chosen, err := table.Set("s").Choose(time.Now(), link.Short, excludeNothing)
		if err != nil {
			panic(err)
		}
		id := chosen.Record().ID
		counts[id]++
		token := chosen.Begin(time.Now(), link.Short)
		answer := respond(id)
		done.Go(func() {
			time.Sleep(answer.took)
			chosen.End(time.Now(), token, answer.result, answer.report)
		})
		time.Sleep(interval)
	}
	done.Wait()
	return counts
}

func servedAfter(took time.Duration) response {
	return response{took: took, result: link.Served, report: &link.Report{
		State: instance.Ready, Slots: 64, InUse: 1, ServiceTime: 5 * time.Millisecond, Elapsed: took - 200*time.Microsecond,
	}}
}

// Guards against an instance that attracts traffic because it fails fast, answers late while it reports to be idle, or
// does not answer at all. Without any mechanism such an instance receives a quarter of the traffic or more.
func TestBadInstanceIsAvoided(t *testing.T) {
	cases := []struct {
		name string
		bad  response
		most float64 // upper bound of the share of the traffic
		gap  time.Duration
	}{
		{"lost at once", response{took: 100 * time.Microsecond, result: link.ConnectionLost}, 0.02, time.Millisecond},
		{"server errors at once", response{took: 100 * time.Microsecond, result: link.ServerError, report: &link.Report{State: instance.Ready, Slots: 8}}, 0.02, time.Millisecond},
		{"unreachable", response{took: time.Millisecond, result: link.Unreachable}, 0.02, time.Millisecond},
		{"claims to be idle, answers late", servedAfter(100 * time.Millisecond), 0.1, time.Millisecond},
		{"answers late, one request at a time", servedAfter(100 * time.Millisecond), 0.1, 150 * time.Millisecond},
		{"never answers", response{took: time.Second, result: link.TimedOut}, 0.1, time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, table := fleetOf(map[string]int{"a": 4})
				good := func(instance.ID) response { return servedAfter(5 * time.Millisecond) }
				sendRequests(table, 200, time.Millisecond, good)
				counts := sendRequests(table, 3000, c.gap, func(id instance.ID) response {
					if id == "a0" {
						return c.bad
					}
					return good(id)
				})
				share := float64(counts["a0"]) / 3000
				t.Logf("share of the bad instance: %.3f", share)
				assert.Assert(t, share <= c.most, "share %.3f", share)
			})
		})
	}
}

// Guards against a stalled link that receives traffic until its first late answer: 40 ms after the stall, almost no
// new requests may go there.
func TestStalledLinkIsAvoidedWithinTensOfMilliseconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, table := fleetOf(map[string]int{"a": 1, "b": 3})
		stalled := false
		respond := func(id instance.ID) response {
			if id != "a0" {
				answer := servedAfter(9 * time.Millisecond)
				answer.report.Elapsed = 5 * time.Millisecond // network round trip: 4 ms
				return answer
			}
			if stalled {
				return servedAfter(2 * time.Second)
			}
			return servedAfter(5 * time.Millisecond)
		}
		sendRequests(table, 400, 500*time.Microsecond, respond)
		stalled = true
		var early, late map[instance.ID]int
		go func() { early = sendRequests(table, 80, 500*time.Microsecond, respond) }()
		time.Sleep(40 * time.Millisecond)
		late = sendRequests(table, 400, 500*time.Microsecond, respond)
		time.Sleep(3 * time.Second)
		t.Logf("to the stalled link: %d of 80 in the first 40 ms, %d of 400 after", early["a0"], late["a0"])
		assert.Assert(t, late["a0"] <= 8)
	})
}

// Guards against traffic over the longer path while the nearer data centre has free slots, and against queueing there
// once that costs more than the path.
func TestLocality(t *testing.T) {
	for _, c := range []struct {
		name     string
		queued   int
		low, top float64 // share that leaves the data centre
	}{
		{"room here", 0, 0, 0.02},
		{"short queue here costs less than the path", 16, 0, 0.05},
		{"long queue here costs more than the path", 320, 0.9, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, table := fleetOf(map[string]int{"a": 2, "b": 2, "c": 2})
				respond := func(id instance.ID) response {
					answer := servedAfter(5 * time.Millisecond)
					if id[0] == 'a' && c.queued > 0 {
						answer.report.InUse, answer.report.Queued = 64, c.queued
						answer.took += 5 * time.Millisecond * time.Duration(c.queued) / 64
						answer.report.Elapsed = answer.took - 200*time.Microsecond
					}
					if id[0] != 'a' {
						answer.took += 4 * time.Millisecond // network round trip: 4.2 ms
					}
					return answer
				}
				sendRequests(table, 300, time.Millisecond, respond)
				counts := sendRequests(table, 1000, time.Millisecond, respond)
				away := 1 - float64(counts["a0"]+counts["a1"])/1000
				assert.Assert(t, away >= c.low && away <= c.top, "%.3f leaves, want %.2f to %.2f", away, c.low, c.top)
			})
		})
	}
}

// Guards against an ejected link that receives more than one trial at a time, or its full traffic immediately after
// its reinstatement.
func TestEjectionTrialsAndReinstatementRamp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, table := fleetOf(map[string]int{"a": 4})
		broken := true
		respond := func(id instance.ID) response {
			if broken && id == "a0" {
				return response{took: time.Millisecond, result: link.ConnectionLost}
			}
			return servedAfter(5 * time.Millisecond)
		}
		for _, l := range table.Set("s").Links() {
			for i := 0; i < 3 && l.Record().ID == "a0"; i++ {
				l.End(time.Now(), l.Begin(time.Now(), link.Short), link.ConnectionLost, nil)
			}
		}
		assert.Equal(t, table.Set("s").EjectedCount(), 1)
		// Back-off of 0.25, 0.5, 1, 2, 4 s, at least half of each: at most 7 trials in 8 s.
		trials := sendRequests(table, 8000, time.Millisecond, respond)["a0"]
		assert.Assert(t, trials >= 2 && trials <= 7, "%d trials", trials)
		broken = false
		for table.Set("s").EjectedCount() > 0 {
			sendRequests(table, 1, time.Millisecond, respond)
		}
		first := sendRequests(table, 2000, 100*time.Microsecond, respond)["a0"]
		time.Sleep(2 * time.Second)
		later := sendRequests(table, 2000, 100*time.Microsecond, respond)["a0"]
		t.Logf("in 2000 requests: %d just after the return, %d later", first, later)
		assert.Assert(t, first*2 < later)
	})
}

// Guards against all traffic going to the few healthy instances when most fail: at most half may be ejected, and all
// are tried when all fail.
func TestAllFailing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, table := fleetOf(map[string]int{"a": 4})
		counts := sendRequests(table, 400, time.Millisecond, func(instance.ID) response {
			return response{took: time.Millisecond, result: link.ConnectionLost}
		})
		assert.Equal(t, table.Set("s").EjectedCount(), 2)
		assert.Equal(t, len(counts), 4)
	})
}

// Guards against a cold upstream that receives its full share at once.
func TestColdStartRamp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, table := fleetOf(map[string]int{"a": 4})
		table.Set("s").SetPolicy(link.Policy{ColdStart: 10 * time.Second})
		respond := func(instance.ID) response { return servedAfter(5 * time.Millisecond) }
		sendRequests(table, 200, time.Millisecond, respond)
		fleet.Merge(instance.Record{ID: "a4", Incarnation: 1, Service: "s", DataCentre: "a", State: instance.Cold, Slots: 8})
		first := sendRequests(table, 1000, time.Millisecond, respond)["a4"]
		time.Sleep(10 * time.Second)
		later := sendRequests(table, 1000, time.Millisecond, respond)["a4"]
		t.Logf("of 1000 requests: %d in the first second, %d after the ramp", first, later)
		assert.Assert(t, first > 0 && first*3 < later)
	})
}

// Guards against many entry nodes that send to the same upstream because a report showed it as idle.
func TestNoStampedeOnStaleReport(t *testing.T) {
	const nodes = 40
	counts := make(map[instance.ID]int)
	for range nodes {
		_, table := fleetOf(map[string]int{"a": 8})
		for i, l := range table.Set("s").Links() {
			report := link.Report{State: instance.Ready, Slots: 8, InUse: 8, Queued: 1, ServiceTime: 5 * time.Millisecond}
			if i == 0 {
				report.InUse, report.Queued = 0, 0
			}
			l.ApplyReport(time.Now(), report)
		}
		idle := table.Set("s").Links()[0].Record().ID
		for range 4 {
			chosen, err := table.Set("s").Choose(time.Now(), link.Short, excludeNothing)
			assert.NilError(t, err)
			chosen.Begin(time.Now(), link.Short)
			if chosen.Record().ID == idle {
				counts["idle"]++
			}
		}
	}
	// A comparison of all 8 would send nearly all requests there; two random candidates include it in a quarter of them.
	assert.Assert(t, counts["idle"] < nodes*4/2, "%d of %d requests", counts["idle"], nodes*4)
}

// Guards against a choice that scans the fleet or allocates for each request.
func TestChooseAllocatesNothing(t *testing.T) {
	_, table := fleetOf(map[string]int{"a": 100, "b": 100, "c": 100})
	allocs := testing.AllocsPerRun(100, func() { _, _ = table.Set("s").Choose(time.Now(), link.Short, excludeNothing) })
	assert.Equal(t, allocs, 0.0)
}

func BenchmarkChoose(b *testing.B) {
	_, table := fleetOf(map[string]int{"a": 200, "b": 200, "c": 200})
	b.ReportAllocs()
	for b.Loop() {
		_, _ = table.Set("s").Choose(time.Now(), link.Short, excludeNothing)
	}
}

// Guards against a node that sends requests over the network while its own upstream has free slots.
func TestOwnUpstreamIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _ := fleetOf(map[string]int{"a": 4})
		table := link.NewTable(fleet, link.WithDataCentre("a"), link.WithOwnInstance("a2"))
		counts := sendRequests(table, 300, 10*time.Millisecond, func(id instance.ID) response {
			answer := servedAfter(5 * time.Millisecond)
			if id == "a2" {
				answer.report.Elapsed = 0
			}
			return answer
		})
		assert.Assert(t, counts["a2"] > 290, "%d of 300", counts["a2"])
	})
}

// Guards against links to instances that the fleet removed without a change of state.
func TestRemovedInstanceIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, table := fleetOf(map[string]int{"a": 4})
		assert.Equal(t, table.Set("s").Len(), 4)
		fleet.Remove("a0")
		time.Sleep(61 * time.Second)
		assert.Equal(t, table.Set("s").Len(), 3)
	})
}
