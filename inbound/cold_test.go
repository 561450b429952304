package inbound_test

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

const (
	coldPerSecond = 14
	// coldBound is the largest number of requests that a cold upstream may get in any second.
	coldBound = coldPerSecond*3/2 + 8
)

// coldClient is a Client of an upstream that is cold until a moment.
type coldClient struct {
	*noticingClient
	mu       sync.Mutex
	until    time.Time
	silent   bool // health reports state no cold time
	odd      string
	coldSent []time.Time // requests that arrived while the upstream was cold
}

func newColdClient() *coldClient { return &coldClient{noticingClient: newNoticingClient()} }

func (c *coldClient) cool(length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Now().Add(length)
}

func (c *coldClient) Send(ctx context.Context, req *caller.Request, addr string) (*caller.Answer, error) {
	c.mu.Lock()
	if now := time.Now(); now.Before(c.until) {
		c.coldSent = append(c.coldSent, now)
	}
	c.mu.Unlock()
	return c.noticingClient.Send(ctx, req, addr)
}

func (c *coldClient) CheckHealth(ctx context.Context, addr, path string) (inbound.HealthReport, error) {
	c.mu.Lock()
	cold := caller.ColdTime{Stated: !c.silent && c.odd == "", Remaining: max(0, time.Until(c.until)), Unreadable: c.odd}
	if c.odd != "" {
		c.odd += "!" // another value in each report
	}
	c.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	report, err := c.noticingClient.CheckHealth(ctx, addr, path)
	report.Cold = cold
	return report, err
}

// LoadOf returns the load in each answer, so that a busy upstream needs no health checks for its load.
func (c *coldClient) LoadOf(map[string][]string) (caller.UpstreamLoad, bool) {
	return caller.UpstreamLoad{Slots: 500, ServiceTimePercent: 100}, true
}

func (c *coldClient) mostColdWithin(window time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most, first := 0, 0
	for i, at := range c.coldSent {
		for at.Sub(c.coldSent[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// startColdProxy returns a proxy whose service has a cold rate, with its log.
func startColdProxy(t *testing.T, c inbound.Client, confirm time.Duration) (*inbound.Proxy, *strings.Builder) {
	t.Helper()
	log := &strings.Builder{}
	p := inbound.New(inbound.Options{
		Node: "n1", Boot: boot, Address: "10.0.0.1:81", Service: "s", Upstream: addr, HealthPath: func(string) string { return "/health" },
		ColdRate:      func(string) (float64, bool) { return coldPerSecond, true },
		AnnounceEvery: time.Second, LivenessTimeout: time.Hour, ConfirmPeriod: confirm, SlotShare: 1, FreshFor: 20 * time.Millisecond,
		Client: c, Suspects: quarantine.NewList(nil), OnStatusChange: func() {}, Log: slog.New(slog.NewTextHandler(log, nil)),
	})
	go p.Watch(t.Context())
	t.Cleanup(func() { time.Sleep(10 * time.Millisecond) }) // a health check may be in progress
	return p, log
}

// many is an announcement with more slots than any test uses.
func many(sequence uint64, cold time.Duration) inbound.Announcement {
	a := announcement("a", 10, sequence)
	a.Slots, a.ColdStartRemaining = 500, cold
	return a
}

// Guards against an upstream that gets more than its cold rate from a node that has just found it, and against a rate that goes on when
// the upstream is known to be warm.
func TestUpstreamIsTakenForColdUntilItIsKnownToBeWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newColdClient()
		c.cool(3 * time.Second)
		p, _ := startColdProxy(t, c, 0)
		assert.NilError(t, p.Announce(time.Now(), many(1, 0)))
		assert.Equal(t, p.ColdRate(), float64(coldPerSecond), "the announcement may have been sent before")
		flood(t, p, 3*time.Second)
		most := c.mostColdWithin(time.Second)
		assert.Check(t, most <= coldBound, "%d requests in a second, %d allowed", most, coldBound)
		assert.Check(t, most >= coldPerSecond, "only %d requests in a second", most)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, p.ColdRate(), 0.0, "the end was not seen within 300 ms")
		before := c.sentCount()
		flood(t, p, time.Second)
		assert.Check(t, c.sentCount()-before >= 90, "only %d of 100 requests after the end", c.sentCount()-before)
	})
}

// Guards against an upstream that becomes cold again during a burst and gets more than it tolerates before the node knows.
func TestUpstreamBecomesColdAgainDuringABurst(t *testing.T) {
	for _, every := range []time.Duration{3 * time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond} {
		for name, after := range map[string]time.Duration{"busy": time.Second, "first burst after an idle time": 0} {
			t.Run(every.String()+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newColdClient()
					c.work = 20 * time.Millisecond
					p, _ := startColdProxy(t, c, 0)
					assert.NilError(t, p.Announce(time.Now(), many(1, 0)))
					time.Sleep(10*time.Second + 130*time.Millisecond)
					var running sync.WaitGroup
					send := func(length time.Duration) {
						for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(every) {
							running.Go(func() {
								p.Load(time.Now()) // the entry node asks before it sends
								serve(t.Context(), p, "burst", "a", time.Second)
							})
						}
					}
					send(after)
					c.cool(4 * time.Second)
					send(4 * time.Second)
					running.Wait()
					most := c.mostColdWithin(time.Second)
					assert.Check(t, most <= coldBound, "%d requests in a second, %d allowed", most, coldBound)
				})
			})
		}
	}
}

// Guards against an idle upstream whose new cold time is not seen before the next burst, and against one that is checked so often that the
// checks are a load.
func TestIdleUpstreamIsCheckedNowAndThen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newColdClient()
		p, _ := startColdProxy(t, c, 0)
		assert.NilError(t, p.Announce(time.Now(), many(1, 0)))
		time.Sleep(time.Second)
		assert.Equal(t, p.ColdRate(), 0.0)
		c.fakeClient.update(func(c *fakeClient) { c.checks = 0 })
		time.Sleep(10 * time.Second)
		c.fakeClient.update(func(c *fakeClient) {
			assert.Check(t, c.checks >= 10 && c.checks <= 20, "%d checks in 10 s", c.checks)
		})
		c.cool(time.Minute)
		time.Sleep(700 * time.Millisecond)
		assert.Equal(t, p.ColdRate(), float64(coldPerSecond))
		c.fakeClient.update(func(c *fakeClient) { c.checks = 0 })
		time.Sleep(10 * time.Second)
		c.fakeClient.update(func(c *fakeClient) {
			assert.Check(t, c.checks >= 10 && c.checks <= 20, "%d checks in 10 s while it is cold", c.checks)
		})
	})
}

// Guards against health checks of an upstream whose service has no cold rate, beyond those for its load, and against a limit for it.
func TestServiceWithoutAColdRateIsServedAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newColdClient()
		c.cool(time.Minute)
		p := newStartedProxy(c, 0, func() {})
		go p.Watch(t.Context())
		assert.NilError(t, p.Announce(time.Now(), many(1, time.Minute)))
		flood(t, p, time.Second)
		assert.Equal(t, p.ColdRate(), 0.0)
		assert.Check(t, c.sentCount() >= 99, "%d of 100 requests", c.sentCount())
		c.fakeClient.update(func(c *fakeClient) { assert.Equal(t, c.checks, 0) })
		assert.Equal(t, p.RateLimit(time.Now()).Upstream, "")
	})
}

// Guards against a late announcement that ends a cold time of which a health report has told, and against a cold time that goes on when
// the upstream states it in its announcements only.
func TestAnnouncementsOfTheColdTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newColdClient()
		p, _ := startColdProxy(t, c, 0)
		assert.NilError(t, p.Announce(time.Now(), many(1, 0)))
		time.Sleep(time.Second)
		c.cool(5 * time.Second)
		time.Sleep(700 * time.Millisecond)
		assert.Equal(t, p.ColdRate(), float64(coldPerSecond))
		for sequence := range uint64(3) {
			assert.NilError(t, p.Announce(time.Now(), many(2+sequence, 0)))
			assert.Equal(t, p.ColdRate(), float64(coldPerSecond), "an announcement from before the cold time ended it")
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, p.ColdRate(), 0.0)
		assert.NilError(t, p.Announce(time.Now(), many(9, time.Minute)))
		assert.Equal(t, p.ColdRate(), float64(coldPerSecond))
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, p.ColdRate(), 0.0, "a health check after a late announcement says that it is warm")
	})
	synctest.Test(t, func(t *testing.T) {
		c := newColdClient()
		c.silent = true
		p, _ := startColdProxy(t, c, 0)
		for sequence, want := range []float64{coldPerSecond, coldPerSecond, coldPerSecond, 0, coldPerSecond, coldPerSecond, 0} {
			cold := map[int]time.Duration{0: 2 * time.Second, 1: time.Second, 4: time.Second}[sequence]
			assert.NilError(t, p.Announce(time.Now(), many(uint64(sequence)+1, cold)))
			assert.Equal(t, p.ColdRate(), want, "announcement %d", sequence+1)
			time.Sleep(time.Second)
		}
	})
}

// Guards against an odd cold time that counts, or that fills the log.
func TestOddColdTimesAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newColdClient()
		p, log := startColdProxy(t, c, 0)
		assert.NilError(t, p.Announce(time.Now(), many(1, 0)))
		time.Sleep(time.Second)
		c.mu.Lock()
		c.odd = "soon"
		c.mu.Unlock()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		assert.Equal(t, p.ColdRate(), 0.0)
		assert.Equal(t, strings.Count(log.String(), "cold time unreadable"), 1, "%s", log)
	})
}

// Guards against an upstream that comes back under the same announcement, after its process refused connections, and gets a full load.
func TestUpstreamThatComesBackIsTakenForCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newColdClient()
		p, _ := startColdProxy(t, c, 0)
		assert.NilError(t, p.Announce(time.Now(), many(1, 0)))
		time.Sleep(time.Second)
		assert.Equal(t, p.ColdRate(), 0.0)
		c.fakeClient.update(func(f *fakeClient) { f.checkErr = inbound.ErrRefused })
		p.Load(time.Now())
		time.Sleep(time.Second)
		assert.Check(t, !p.Status().Serving)
		c.cool(2 * time.Second)
		c.fakeClient.update(func(f *fakeClient) { f.checkErr = nil })
		flood(t, p, 2*time.Second)
		most := c.mostColdWithin(time.Second)
		assert.Check(t, p.Status().Serving && most > 0 && most <= coldBound, "%d requests in a second, %d allowed", most, coldBound)
	})
}

// Guards against a node that was started again without contracts and sends its upstream more than any cold rate permits.
func TestRateIsLowWhileNoContractsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newColdClient()
		c.cool(time.Hour)
		p := inbound.New(inbound.Options{
			Node: "n1", Boot: boot, Address: "10.0.0.1:81", Service: "s", Upstream: addr, HealthPath: func(string) string { return "" },
			ColdRate:      func(string) (float64, bool) { return 0, false },
			AnnounceEvery: time.Second, LivenessTimeout: time.Hour, SlotShare: 1,
			Client: c, Suspects: quarantine.NewList(nil), OnStatusChange: func() {}, Log: slog.New(slog.DiscardHandler),
		})
		assert.NilError(t, p.Announce(time.Now(), many(1, 0)))
		flood(t, p, 3*time.Second)
		most := c.mostColdWithin(time.Second)
		assert.Check(t, most > 0 && most <= 8, "%d requests in a second", most)
	})
}

// Guards against requests that reach an upstream in an evacuated zone, at once, from its full queue or after the wait for a slot, and
// against a full load for it when the evacuation has ended.
func TestEvacuationWithAFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newColdClient()
		c.work = time.Second
		p, _ := startColdProxy(t, c, 0)
		one := announcement("a", 10, 1)
		one.Slots = 5
		assert.NilError(t, p.Announce(time.Now(), one))
		time.Sleep(time.Second)
		var mu sync.Mutex
		refused := 0
		var running sync.WaitGroup
		for range 15 {
			running.Go(func() {
				if refusal := serve(t.Context(), p, "queued", "a", 10*time.Second); refusal != nil {
					mu.Lock()
					defer mu.Unlock()
					refused++
					assert.Check(t, refusal.Reason == caller.Evacuated && refusal.Ran == caller.NotRun, "%v", refusal)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		p.SetEvacuated(time.Now(), true)
		synctest.Wait()
		mu.Lock()
		assert.Equal(t, refused, 10, "the waiting requests were not refused at once")
		mu.Unlock()
		assert.Check(t, !p.Status().Serving && !p.Load(time.Now()).Serving)
		assert.Equal(t, serve(t.Context(), p, "late", "a", time.Second).Reason, caller.Evacuated)
		running.Wait()
		assert.Equal(t, c.sentCount(), 5)
		time.Sleep(5 * time.Second)
		next := one
		next.Sequence = 2
		assert.NilError(t, p.Announce(time.Now(), next))
		assert.Check(t, !p.Status().Serving, "an announcement ended the evacuation")

		c.cool(2 * time.Second)
		c.fakeClient.update(func(c *fakeClient) { c.work = 0 })
		next.Slots, next.Sequence = 500, 3
		assert.NilError(t, p.Announce(time.Now(), next))
		p.SetEvacuated(time.Now(), false)
		assert.Check(t, p.Status().Serving)
		assert.Equal(t, p.ColdRate(), float64(coldPerSecond), "it is not known whether the upstream is cold")
		flood(t, p, 2*time.Second)
		most := c.mostColdWithin(time.Second)
		assert.Check(t, most > 0 && most <= coldBound, "%d requests in a second, %d allowed", most, coldBound)
		time.Sleep(time.Second)
		assert.Equal(t, p.ColdRate(), 0.0)
		p.SetEvacuated(time.Now(), true)
		time.Sleep(time.Second)
		p.SetEvacuated(time.Now(), false)
		time.Sleep(5 * time.Millisecond)
		assert.Equal(t, p.ColdRate(), 0.0, "a warm upstream was not checked at once")
	})
}

// Guards against a health check that was sent before the end of an evacuation and shows the upstream as warm afterwards.
func TestHealthCheckFromBeforeTheEndOfAnEvacuationDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newColdClient()
		p, _ := startColdProxy(t, c, 0)
		assert.NilError(t, p.Announce(time.Now(), many(1, 0)))
		time.Sleep(time.Second)
		p.Load(time.Now().Add(-time.Minute)) // no check is in progress afterwards
		go p.Load(time.Now())                // its check takes 2 ms
		time.Sleep(time.Millisecond)
		p.SetEvacuated(time.Now(), true)
		p.SetEvacuated(time.Now(), false)
		time.Sleep(5 * time.Millisecond)
		assert.Equal(t, p.ColdRate(), float64(coldPerSecond))
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, p.ColdRate(), 0.0)
	})
}
