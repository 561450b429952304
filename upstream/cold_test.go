package upstream_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

// coldBound is the largest number of requests that a cold upstream may get in any second.
func coldBound(perSecond float64) int { return int(perSecond*1.5 + 8) }

// timerSlack is how much later than its token a waiting request may start.
const timerSlack = 2 * time.Millisecond

// Guards against a cold upstream that gets more requests in some second than it tolerates: when it becomes cold under load, after it was
// idle, when it becomes warm and cold again, and with a rate limit of its own beside the cold rate.
func TestColdRateHoldsInEachSecond(t *testing.T) {
	for _, perSecond := range []float64{0.05, 1, 14, 40, 200} {
		for name, named := range map[string]caller.RateLimit{"alone": {}, "a lower limit": {Named: true, PerSecond: 5}, "a higher limit": {Named: true, PerSecond: 1000}, "an equal limit": {Named: true, PerSecond: perSecond}} {
			t.Run(fmt.Sprintf("%v a second, %s", perSecond, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					u := ready(1000)
					u.SetRateLimit(time.Now(), named)
					limit := upstream.ColdLimitOf(perSecond)
					// The load while it is warm is within the bound, so that each second counts.
					warmEvery := time.Duration(float64(time.Second) / float64(coldBound(perSecond)-1))
					all := flood(t, u, warmEvery, 2*time.Second)
					u.SetColdLimit(time.Now(), limit)
					cold := flood(t, u, time.Millisecond, 4*time.Second)
					all = append(all, cold...)
					u.SetColdLimit(time.Now(), upstream.ColdLimit{})
					all = append(all, flood(t, u, warmEvery, 500*time.Millisecond)...)
					u.SetColdLimit(time.Now(), limit)
					all = append(all, flood(t, u, time.Millisecond, 3*time.Second)...)
					time.Sleep(10 * time.Second)
					all = append(all, flood(t, u, time.Millisecond, 3*time.Second)...)
					most := mostWithin(all, time.Second)
					assert.Check(t, most <= coldBound(perSecond), "%d requests in a second, %d allowed", most, coldBound(perSecond))
					usable := int(min(perSecond, 5)) // of the lower limit
					assert.Check(t, len(cold) >= 2*usable, "only %d requests in 4 s", len(cold))
				})
			})
		}
	}
}

// Guards against two processes of a node, one after the other, that together send more than the upstream tolerates: the second one does
// not know what the first one has sent.
func TestColdRateHoldsAcrossARestart(t *testing.T) {
	for _, perSecond := range []float64{1, 14, 40, 200} {
		synctest.Test(t, func(t *testing.T) {
			var all []time.Time
			for range 2 {
				u := ready(1000)
				u.SetColdLimit(time.Now(), upstream.ColdLimitOf(perSecond))
				all = append(all, flood(t, u, time.Millisecond, 300*time.Millisecond)...)
			}
			most := mostWithin(all, time.Second)
			assert.Check(t, most <= coldBound(perSecond), "%v: %d requests in a second, %d allowed", perSecond, most, coldBound(perSecond))
		})
	}
}

// Guards against requests that wait at an upstream which has become cold until they are late, while other upstreams have room.
func TestWaitingRequestsAreRefusedWhenTheUpstreamBecomesCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := ready(2)
		var mu sync.Mutex
		var atOnce int
		cooled := time.Now()
		var running sync.WaitGroup
		for range 20 {
			running.Go(func() {
				release, err := u.Admit(t.Context(), upstream.AdmitRequest{
					Class: limited, Deadline: time.Now().Add(10 * time.Second), Objective: time.Now().Add(400 * time.Millisecond),
				})
				var refusal *caller.Refusal
				if errors.As(err, &refusal) {
					mu.Lock()
					defer mu.Unlock()
					if time.Now().Equal(cooled) {
						atOnce++
						assert.Check(t, refusal.Reason == caller.RateLimited && refusal.Ran == caller.NotRun && refusal.RetryAfter > 0, "%v", refusal)
					}
					return
				}
				time.Sleep(3 * time.Second)
				release()
			})
		}
		synctest.Wait()
		u.SetColdLimit(time.Now(), upstream.ColdLimitOf(14))
		synctest.Wait()
		mu.Lock()
		assert.Check(t, atOnce >= 10, "only %d of 18 waiting requests were refused at once", atOnce)
		mu.Unlock()
		running.Wait()
	})
}

// Guards against a burst at a cold upstream that waits for its rate, although other upstreams may have room: no request waits for longer
// than a quarter of the time to its answer, at least 100 and at most 500 ms.
func TestRequestsBeyondTheColdRateDoNotWait(t *testing.T) {
	for limit, longest := range map[time.Duration]time.Duration{
		300 * time.Millisecond: 100 * time.Millisecond, time.Second: 250 * time.Millisecond, 10 * time.Second: 500 * time.Millisecond,
	} {
		synctest.Test(t, func(t *testing.T) {
			u := ready(100)
			u.SetColdLimit(time.Now(), upstream.ColdLimitOf(14))
			var running sync.WaitGroup
			var most time.Duration
			var mu sync.Mutex
			for range 50 {
				running.Go(func() {
					began := time.Now()
					release, err := u.Admit(t.Context(), upstream.AdmitRequest{Class: limited, Deadline: began.Add(limit)})
					mu.Lock()
					most = max(most, time.Since(began))
					mu.Unlock()
					if err == nil {
						release()
					}
				})
			}
			running.Wait()
			assert.Check(t, most <= longest+timerSlack && most > longest/2, "%v: waited for up to %v, %v allowed", limit, most, longest)
		})
	}
}
