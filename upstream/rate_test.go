package upstream_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

// limited is the class of requests to an upstream with a rate limit.
var limited = bundle.Class{Name: "limited", MaxQueue: 100}

// flood sends a request each interval for the given time and returns when requests started. Each holds its slot for a moment.
func flood(t *testing.T, u *upstream.Upstream, every, length time.Duration) []time.Time {
	t.Helper()
	var mu sync.Mutex
	var started []time.Time
	var running sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(every) {
		running.Go(func() {
			release, err := u.Admit(t.Context(), upstream.AdmitRequest{Class: limited, Deadline: time.Now().Add(time.Second)})
			if err != nil {
				return
			}
			mu.Lock()
			started = append(started, time.Now())
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			release()
		})
	}
	running.Wait()
	return started
}

// mostWithin returns the largest number of times in any window.
func mostWithin(times []time.Time, window time.Duration) int {
	most := 0
	for i := range times {
		n := 0
		for _, other := range times[i:] {
			if other.Sub(times[i]) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func ready(slots int) *upstream.Upstream {
	u := upstream.NewWithOptions(upstream.Options{TimeToLive: time.Hour})
	u.Announce(time.Now(), upstream.Announcement{State: instance.Ready, Slots: slots, TimeToLive: time.Hour})
	return u
}

func limitOf(perSecond float64) caller.RateLimit {
	limit, _ := caller.LimitOf(perSecond)
	return limit
}

// Guards against an upstream that gets more requests than the limit that it has named, in any window, and against one with a limit
// that gets none any more: only an answer can say that the limit is over.
func TestRateLimitHoldsInEachWindow(t *testing.T) {
	const window = 4 * time.Second
	for _, perSecond := range []float64{0, 0.2, 1, 5.4, 17.5} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := ready(12)
				u.SetRateLimit(time.Now(), limitOf(perSecond))
				started := flood(t, u, 5*time.Millisecond, 30*time.Second)
				most := mostWithin(started, window)
				assert.Assert(t, float64(most) <= 1.25*perSecond*window.Seconds()+2, "%d requests in %v", most, window)
				assert.Assert(t, float64(len(started)) >= 0.9*perSecond*30, "only %d requests", len(started))
				assert.Assert(t, len(started) >= 5, "only %d requests", len(started))
				u.SetRateLimit(time.Now(), caller.RateLimit{})
				assert.Assert(t, len(flood(t, u, 5*time.Millisecond, time.Second)) >= 190, "the limit has ended")
			})
		})
	}
}

// Guards against requests that are kept waiting although the limit cannot serve them in time, and against their callers returning
// together.
func TestRefusalsByRateAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := ready(12)
		u.SetRateLimit(time.Now(), limitOf(2))
		var last time.Duration
		for i := range 4 {
			began := time.Now()
			_, err := u.Admit(t.Context(), upstream.AdmitRequest{Class: limited, Deadline: began.Add(100 * time.Millisecond)})
			var refusal *caller.Refusal
			assert.Assert(t, errors.As(err, &refusal))
			assert.Equal(t, refusal.Reason, caller.RateLimited)
			assert.Equal(t, refusal.Ran, caller.NotRun)
			assert.Equal(t, time.Since(began), time.Duration(0))
			if i > 0 {
				assert.Equal(t, refusal.RetryAfter-last, 500*time.Millisecond)
			}
			last = refusal.RetryAfter
		}
	})
}

// Guards against a scarce rate that goes to whoever came first: the more urgent work starts first, and no place is lost to a request
// that is refused.
func TestRateGoesToUrgentWorkFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmissionRecorder(t, 12)
		a.upstream = ready(12)
		a.upstream.SetRateLimit(time.Now(), limitOf(1))
		for i := range 3 {
			a.arrive(fmt.Sprint("history", i), history, 20*time.Second)
			a.arrive(fmt.Sprint("short", i), short, time.Duration(20+i)*time.Second)
		}
		time.Sleep(3*time.Second + 500*time.Millisecond)
		synctest.Wait()
		a.mu.Lock()
		defer a.mu.Unlock()
		assert.DeepEqual(t, a.order, []string{"short0", "short1", "short2"})
	})
}

// Guards against a lower limit that counts only for requests which arrive after it, and against waiting requests that stay although
// the limit has ended.
func TestLimitChangesWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmissionRecorder(t, 20)
		a.upstream = ready(20)
		a.upstream.SetRateLimit(time.Now(), limitOf(10))
		for i := range 12 {
			a.arrive(fmt.Sprint(i), limited, time.Minute)
		}
		started := func() int {
			synctest.Wait()
			a.mu.Lock()
			defer a.mu.Unlock()
			return len(a.order)
		}
		time.Sleep(300*time.Millisecond + 5*time.Millisecond)
		assert.Equal(t, started(), 3)
		a.upstream.SetRateLimit(time.Now(), limitOf(1))
		time.Sleep(2 * time.Second)
		assert.Equal(t, started(), 5)
		a.upstream.SetRateLimit(time.Now(), caller.RateLimit{})
		assert.Equal(t, started(), 12)
	})
}

// Guards against a restarted node that sends as many requests as there are slots before the first answer tells it the limit again.
func TestFewSlotsWhileTheRateIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmissionRecorder(t, 12)
		a.upstream.RateUnknown()
		for i := range 8 {
			a.arrive(fmt.Sprint(i), limited, time.Minute)
		}
		assert.Equal(t, len(a.order), 3)
		a.upstream.RateKnown()
		synctest.Wait()
		assert.Equal(t, len(a.order), 8)
	})
}
