package inbound_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

func limitOf(perSecond float64) caller.RateLimit {
	limit, _ := caller.LimitOf(perSecond)
	return limit
}

func named(perSecond float64) caller.Notice { return caller.Notice{Limit: limitOf(perSecond)} }

// noticingClient is a Client whose answers and health reports carry notices. An answer carries the notice of the time when it is written.
type noticingClient struct {
	*fakeClient
	mu     sync.Mutex
	notice caller.Notice
	rejects,
	inHealthReports bool
	sentAt []time.Time
}

func (c *noticingClient) name(notice caller.Notice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notice = notice
}

func (c *noticingClient) current() (caller.Notice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notice, c.rejects
}

func (c *noticingClient) Send(ctx context.Context, req *caller.Request, addr string) (*caller.Answer, error) {
	c.mu.Lock()
	c.sentAt = append(c.sentAt, time.Now())
	c.mu.Unlock()
	answer, err := c.fakeClient.Send(ctx, req, addr)
	if err != nil {
		return nil, err
	}
	notice, rejects := c.current()
	if rejects {
		refusal := caller.Refuse(caller.UpstreamRejected, "send", addr)
		refusal.Cause = &inbound.Rejection{Status: 503, Notice: notice}
		return nil, refusal
	}
	answer.Notice = notice
	return answer, nil
}

func (c *noticingClient) CheckHealth(ctx context.Context, addr, path string) (inbound.HealthReport, error) {
	report, err := c.fakeClient.CheckHealth(ctx, addr, path)
	if c.inHealthReports {
		report.Notice, _ = c.current()
	}
	return report, err
}

func newNoticingClient() *noticingClient {
	return &noticingClient{fakeClient: &fakeClient{report: healthyWithLoad("a", 100)}}
}

// newStartedProxy returns a proxy of a node that has just started. It confirms announcements within the given time.
func newStartedProxy(c inbound.Client, confirm time.Duration, onStatusChange func()) *inbound.Proxy {
	return inbound.New(inbound.Options{
		Node: "n1", Boot: boot, Address: "10.0.0.1:81", Service: "s", Upstream: addr, HealthPath: func(string) string { return "/health" },
		AnnounceEvery: time.Second, LivenessTimeout: time.Hour, ConfirmPeriod: confirm, SlotShare: 1,
		Client: c, Suspects: quarantine.NewList(nil), OnStatusChange: onStatusChange, Log: slog.New(slog.DiscardHandler),
	})
}

// mostSentWithin returns the largest number of requests sent in any window.
func (c *noticingClient) mostSentWithin(window time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for i, first := range c.sentAt {
		n := 0
		for _, at := range c.sentAt[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// flood sends a request to the proxy each 10 ms for the given time.
func flood(t *testing.T, p *inbound.Proxy, length time.Duration) {
	t.Helper()
	var running sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		running.Go(func() { serve(t.Context(), p, "flood", "a", time.Second) })
	}
	running.Wait()
}

// wide is an announcement with many slots.
func wide(id string, born int64, sequence uint64) inbound.Announcement {
	a := announcement(id, born, sequence)
	a.Slots = 12
	return a
}

// allowedIn is the number of requests that an upstream may get in the window when it names a limit, as the platform measures it.
func allowedIn(window time.Duration, perSecond float64) float64 {
	return 1.5*perSecond*window.Seconds() + 5
}

const window = 4 * time.Second

// Guards against an upstream that gets more requests than the limit which it names in its answers.
func TestUpstreamGetsWhatItsLimitAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newNoticingClient()
		p := newProxyWith(c)
		assert.NilError(t, p.Announce(time.Now(), wide("a", 10, 1)))
		c.name(named(3))
		assert.Assert(t, serve(t.Context(), p, "first", "a", time.Second) == nil)
		flood(t, p, 10*time.Second)
		most := c.mostSentWithin(window)
		assert.Assert(t, float64(most) <= allowedIn(window, 3), "%d requests in %v", most, window)
		assert.Assert(t, c.sentCount() >= 28, "only %d requests", c.sentCount())
	})
}

// Guards against a limit that ends, or is raised, because an answer arrives that was written before the upstream named it, because a
// rejection or a health report doesn't repeat it, or because the value cannot be read; and against one that goes on for ever.
func TestLimitEndsWhenTheUpstreamSaysSo(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*noticingClient)
		want   caller.RateLimit
	}{
		"an answer without":              {func(c *noticingClient) { c.name(caller.Notice{}) }, caller.RateLimit{}},
		"a higher one":                   {func(c *noticingClient) { c.name(named(50)) }, limitOf(50)},
		"a lower one":                    {func(c *noticingClient) { c.name(named(2)) }, limitOf(2)},
		"an unreadable one":              {func(c *noticingClient) { c.name(caller.Notice{Unreadable: "many"}) }, limitOf(5)},
		"a rejection without":            {func(c *noticingClient) { c.name(caller.Notice{}); c.rejects = true }, limitOf(5)},
		"a rejection with a lower one":   {func(c *noticingClient) { c.name(named(2)); c.rejects = true }, limitOf(2)},
		"a health report without":        {func(c *noticingClient) { c.inHealthReports = true; c.name(caller.Notice{}) }, limitOf(5)},
		"a health report with a lower":   {func(c *noticingClient) { c.inHealthReports = true; c.name(named(2)) }, limitOf(2)},
		"a health report after one with": {func(c *noticingClient) { c.inHealthReports = true }, limitOf(5)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newNoticingClient()
				p := newProxyWith(c)
				assert.NilError(t, p.Announce(time.Now(), wide("a", 10, 1)))
				c.name(named(5))
				assert.Assert(t, serve(t.Context(), p, "first", "a", time.Second) == nil)
				time.Sleep(time.Second)
				test.change(c)
				if c.inHealthReports {
					p.Load(time.Now())
				} else {
					serve(t.Context(), p, "second", "a", time.Second)
				}
				assert.Equal(t, p.RateLimit(time.Now()).RateLimit, test.want)
				if name == "a health report after one with" {
					time.Sleep(time.Second)
					c.name(caller.Notice{})
					p.Load(time.Now())
					assert.Equal(t, p.RateLimit(time.Now()).RateLimit, caller.RateLimit{})
				}
			})
		})
	}
}

// Guards against a limit that ends by an answer to a request which was sent before the upstream named the limit: answers on several
// connections may be read in another order than they were written.
func TestOvertakenAnswerDoesNotEndTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newNoticingClient()
		p := newProxyWith(c)
		assert.NilError(t, p.Announce(time.Now(), wide("a", 10, 1)))
		c.update(func(c *fakeClient) { c.work = 300 * time.Millisecond })
		var running sync.WaitGroup
		running.Go(func() { serve(t.Context(), p, "overtaken", "a", time.Second) })
		time.Sleep(100 * time.Millisecond)
		c.name(named(5))
		c.update(func(c *fakeClient) { c.work = 0 })
		assert.Assert(t, serve(t.Context(), p, "names it", "a", time.Second) == nil)
		c.name(caller.Notice{})
		running.Wait()
		assert.Equal(t, p.RateLimit(time.Now()).RateLimit, limitOf(5))
	})
}

// Guards against a node that forgets the limit of its upstream in a restart, against one that applies it to another incarnation, and
// against one that keeps it although the upstream no longer names it.
func TestRestartedNodeKeepsTheLimit(t *testing.T) {
	told := peer.RateLimit{Upstream: "a", Born: 10, RateLimit: limitOf(2), Available: 1}
	for name, test := range map[string]struct {
		steps []any // inbound.Announcement, peer.RateLimit, or the notice of an answer
		want  caller.RateLimit
	}{
		"told first":                     {[]any{told, wide("a", 10, 5)}, limitOf(2)},
		"announced first":                {[]any{wide("a", 10, 5), told}, limitOf(2)},
		"told twice":                     {[]any{wide("a", 10, 5), told, told}, limitOf(2)},
		"the start is not known":         {[]any{peer.RateLimit{Upstream: "a", RateLimit: limitOf(2)}, wide("a", 10, 5)}, limitOf(2)},
		"the same ID, started again":     {[]any{told, wide("a", 20, 1)}, caller.RateLimit{}},
		"another upstream":               {[]any{told, wide("b", 20, 1)}, caller.RateLimit{}},
		"started again afterwards":       {[]any{wide("a", 10, 5), told, wide("a", 20, 1)}, caller.RateLimit{}},
		"no longer named":                {[]any{wide("a", 10, 5), told, caller.Notice{}}, caller.RateLimit{}},
		"told after it is over":          {[]any{wide("a", 10, 5), caller.Notice{}, told}, caller.RateLimit{}},
		"the upstream has named another": {[]any{wide("a", 10, 5), named(7), told}, limitOf(7)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newNoticingClient()
				p := newProxyWith(c)
				for _, step := range test.steps {
					switch step := step.(type) {
					case inbound.Announcement:
						assert.NilError(t, p.Announce(time.Now(), step))
					case peer.RateLimit:
						p.LearnRateLimit(time.Now(), step)
					case caller.Notice:
						c.name(step)
						time.Sleep(time.Second)
						assert.Assert(t, serve(t.Context(), p, "r", "a", time.Second) == nil)
					}
				}
				assert.Equal(t, p.RateLimit(time.Now()).RateLimit, test.want)
			})
		})
	}
}

// Guards against a node that was started again and sends as much as the slots allow, although its upstream named a limit to the process
// before: until the first answer it knows nothing of it.
func TestRestartedNodeSendsLittleUntilTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newNoticingClient()
		c.work = 700 * time.Millisecond
		c.name(named(1))
		p := newStartedProxy(c, 10*time.Second, func() {})
		for sequence := range uint64(2) {
			assert.NilError(t, p.Announce(time.Now(), wide("a", 10, 1+sequence)))
		}
		flood(t, p, 8*time.Second)
		most := c.mostSentWithin(window)
		assert.Assert(t, float64(most) <= allowedIn(window, 1), "%d requests in %v", most, window)
	})
}

// Guards against a restarted node that takes its upstream into service by a health report, and does not heed the limit that this names.
func TestLimitInTheReportThatAdoptsTheUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newNoticingClient()
		c.inHealthReports = true
		c.name(named(2))
		p := newStartedProxy(c, 10*time.Second, func() {})
		go p.Watch(t.Context())
		p.Recall(peer.PreviousUpstream{Upstream: "a", Service: "s"})
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, p.Status().Serving)
		assert.Equal(t, p.RateLimit(time.Now()).RateLimit, limitOf(2))
	})
}

// Guards against a message to each other node with each answer of an upstream whose limit goes up and down.
func TestUnsteadyLimitIsToldOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newNoticingClient()
		told := 0
		p := newStartedProxy(c, 0, func() { told++ })
		assert.NilError(t, p.Announce(time.Now(), wide("a", 10, 1)))
		told = 0
		for i := range 100 {
			c.name(named(float64(50 + 50*(i%2))))
			assert.Assert(t, serve(t.Context(), p, "r", "a", time.Second) == nil)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, told >= 3 && told <= 6, "%d in 5 s", told)
	})
}

// Guards against a fleet that starts slowly, because each node takes its upstream, which has just started too, for one that may have named
// a limit before.
func TestUpstreamThatStartsAfterItsNodeIsNotHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newNoticingClient()
		c.work = 100 * time.Millisecond
		p := newStartedProxy(c, 10*time.Second, func() {})
		go p.Watch(t.Context())
		assert.NilError(t, p.Announce(time.Now(), wide("a", time.Now().UnixMilli(), 1)))
		time.Sleep(300 * time.Millisecond) // for the health check that confirms it
		var running sync.WaitGroup
		for range 8 {
			running.Go(func() { serve(t.Context(), p, "r", "a", time.Second) })
		}
		synctest.Wait()
		assert.Equal(t, c.sentCount(), 8)
		running.Wait()
	})
}

// Guards against an upstream that says in an answer that it leaves and gets new requests: waiting ones, those placed by a late report
// that says ready, and those after a restart of its node, which the other nodes tell.
func TestLeavingInAnAnswerIsADeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newNoticingClient()
		c.work = 200 * time.Millisecond
		c.name(caller.Notice{Leaving: true})
		p := newProxyWith(c)
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
		var running sync.WaitGroup
		for range 6 {
			running.Go(func() { serve(t.Context(), p, "r", "a", 5*time.Second) })
		}
		running.Wait()
		assert.Equal(t, c.sentCount(), 2, "more than the two slots held")
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 2)))
		assert.Assert(t, !p.Status().Serving)
		assert.Equal(t, p.Departure(), peer.Departure{Upstream: "a", Born: 10})
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 20, 1)))
		assert.Assert(t, p.Status().Serving, "the next incarnation with the ID")
	})
}

// Guards against an upstream that is taken out of service by a late answer of the incarnation before it, which has left.
func TestLeavingOfTheIncarnationBefore(t *testing.T) {
	for name, next := range map[string]inbound.Announcement{"another ID": announcement("b", 20, 1), "the same ID": announcement("a", 20, 1)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newNoticingClient()
				c.work = 200 * time.Millisecond
				c.name(caller.Notice{Leaving: true})
				p := newProxyWith(c)
				assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
				var running sync.WaitGroup
				running.Go(func() { serve(t.Context(), p, "r", "a", time.Second) })
				time.Sleep(100 * time.Millisecond)
				assert.NilError(t, p.Announce(time.Now(), next))
				running.Wait()
				assert.Assert(t, p.Status().Serving)
				time.Sleep(8 * time.Second) // until the next one no longer counts as alive
				assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 9)))
				assert.Equal(t, p.Status().Upstream, next.ID, "the one that left is back")
			})
		})
	}
}
