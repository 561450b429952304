package inbound_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
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

const (
	boot = 7
	addr = "10.0.0.1:80"
)

// fakeClient is a Client without a network.
type fakeClient struct {
	mu       sync.Mutex
	sent     []string // IDs of requests
	work     time.Duration
	refusal  *caller.Refusal
	report   inbound.HealthReport
	checkErr error
	checks   int
	panics   bool // health checks panic
}

func (c *fakeClient) Send(ctx context.Context, req *caller.Request, _ string) (*caller.Answer, error) {
	c.mu.Lock()
	c.sent = append(c.sent, req.ID)
	work, refusal := c.work, c.refusal
	c.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	select {
	case <-time.After(work):
	case <-ctx.Done():
		return nil, caller.RefuseUncertain(caller.Cancelled, "send", "", ctx.Err())
	}
	return &caller.Answer{Status: 200, Body: io.NopCloser(strings.NewReader("")), Length: 0}, nil
}

func (c *fakeClient) CheckHealth(context.Context, string, string) (inbound.HealthReport, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks++
	if c.panics {
		panic("the check has a fault")
	}
	return c.report, c.checkErr
}

func (c *fakeClient) LoadOf(map[string][]string) (caller.UpstreamLoad, bool) {
	return caller.UpstreamLoad{}, false
}
func (c *fakeClient) KeepOnly(string) {}

func (c *fakeClient) update(change func(*fakeClient)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

func (c *fakeClient) sentCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sent)
}

func newProxy(c *fakeClient) *inbound.Proxy { return newProxyWith(c) }

func newProxyWith(c inbound.Client) *inbound.Proxy { return newProxyOf(c, quarantine.NewList(nil)) }

func newProxyOf(c inbound.Client, suspects *quarantine.List) *inbound.Proxy {
	return inbound.New(inbound.Options{
		Node: "n1", Boot: boot, Address: "10.0.0.1:81", Zone: "z", Service: "s", Upstream: addr,
		HealthPath: func(string) string { return "/health" }, FreshFor: 20 * time.Millisecond,
		AnnounceEvery: 1500 * time.Millisecond, LivenessTimeout: 7 * time.Second, SlotShare: 1,
		Client: c, Suspects: suspects, OnStatusChange: func() {}, Log: slog.New(slog.DiscardHandler),
	})
}

func announcement(id string, born int64, sequence uint64) inbound.Announcement {
	return inbound.Announcement{ID: id, Born: born, Sequence: sequence, Address: addr, Service: "s", Slots: 2}
}

func serve(ctx context.Context, p *inbound.Proxy, id, upstream string, limit time.Duration) *caller.Refusal {
	answer, err := p.Serve(ctx, &caller.Request{
		ID: id, Service: "s", Route: "r", Body: caller.NewBody(nil, 0), Deadline: time.Now().Add(limit),
		Placement: &caller.Placement{Host: "h", Upstream: upstream, Objective: limit},
	}, boot)
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	_ = answer.Body.Close()
	return nil
}

// Guards against late, duplicate or foreign announcements, and those of an earlier incarnation, that put an absent or
// draining upstream into service.
func TestAnnouncementsOutOfOrder(t *testing.T) {
	draining := func(a inbound.Announcement) inbound.Announcement { a.Draining = true; return a }
	tests := []struct {
		name    string
		steps   []any // inbound.Announcement, or the ID (string) passed to Deregister
		serving bool
		id      string
	}{
		{"first", []any{announcement("a", 10, 1)}, true, "a"},
		{"leaves", []any{announcement("a", 10, 1), draining(announcement("a", 10, 2))}, false, "a"},
		{"late announcement after draining", []any{announcement("a", 10, 1), draining(announcement("a", 10, 3)), announcement("a", 10, 2)}, false, "a"},
		{"draining is final", []any{announcement("a", 10, 1), draining(announcement("a", 10, 2)), announcement("a", 10, 3)}, false, "a"},
		{"left without draining", []any{announcement("a", 10, 1), "a", announcement("a", 10, 2)}, false, "a"},
		{"left before its first announcement", []any{"a", announcement("a", 10, 1)}, false, ""},
		{"replaced", []any{announcement("a", 10, 9), announcement("b", 20, 1)}, true, "b"},
		{"late announcement of the replaced incarnation", []any{announcement("a", 10, 8), announcement("b", 20, 1), announcement("a", 10, 9)}, true, "b"},
		{"leave of the replaced incarnation", []any{announcement("a", 10, 8), announcement("b", 20, 1), "a"}, true, "b"},
		{"same ID restarted", []any{announcement("a", 10, 9), announcement("a", 20, 1)}, true, "a"},
		{"same ID restarted after its leave", []any{announcement("a", 10, 9), "a", announcement("a", 20, 1)}, true, "a"},
		{"late announcement of an earlier incarnation of the same ID", []any{announcement("a", 20, 1), draining(announcement("a", 10, 9))}, true, "a"},
		{"another address", []any{announcement("a", 10, 1), inbound.Announcement{ID: "x", Born: 30, Address: "10.9.9.9:80", Service: "s", Slots: 1}}, true, "a"},
		{"no slots", []any{announcement("a", 10, 1), inbound.Announcement{ID: "x", Born: 30, Address: addr, Service: "s"}}, true, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newProxy(&fakeClient{})
			now := time.UnixMilli(15)
			for _, step := range test.steps {
				switch step := step.(type) {
				case inbound.Announcement:
					err := p.Announce(now, step)
					assert.Assert(t, err == nil || errors.Is(err, inbound.ErrInvalidAnnouncement))
				case string:
					p.Deregister(now, step)
				}
				now = now.Add(time.Millisecond)
			}
			assert.Equal(t, p.Status().Serving, test.serving)
			assert.Equal(t, p.Status().Upstream, test.id)
		})
	}
}

// Guards against a request that reaches another incarnation of the upstream than it was placed for, or a node that has
// restarted since.
func TestRequestsForAnotherIncarnationDoNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{}
		p := newProxy(c)
		assert.Equal(t, serve(t.Context(), p, "r0", "a", time.Second).Reason, caller.StaleIncarnation)
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
		assert.Assert(t, serve(t.Context(), p, "r1", "a", time.Second) == nil)
		refusal := serve(t.Context(), p, "r2", "b", time.Second)
		assert.Equal(t, refusal.Reason, caller.StaleIncarnation)
		assert.Equal(t, refusal.Ran, caller.NotRun)
		_, err := p.Serve(t.Context(), &caller.Request{
			ID: "r3", Service: "s", Body: caller.NewBody(nil, 0), Deadline: time.Now().Add(time.Second), Placement: &caller.Placement{Upstream: "a"},
		}, boot+1)
		assert.ErrorContains(t, err, string(caller.StaleIncarnation))
		assert.Equal(t, c.sentCount(), 1)
	})
}

// Guards against requests, new or already queued, that reach an upstream after it has announced that it drains.
func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{work: 500 * time.Millisecond}
		p := newProxy(c)
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
		results := make(chan *caller.Refusal, 5)
		for i := range 5 {
			go func() { results <- serve(t.Context(), p, "r"+string(rune('0'+i)), "a", 5*time.Second) }()
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, c.sentCount(), 2) // both slots
		leaving := announcement("a", 10, 2)
		leaving.Draining = true
		assert.NilError(t, p.Announce(time.Now(), leaving))
		refused := 0
		for range 5 {
			if refusal := <-results; refusal != nil {
				assert.Equal(t, refusal.Reason, caller.Draining)
				assert.Equal(t, refusal.Ran, caller.NotRun)
				refused++
			}
		}
		assert.Equal(t, refused, 3)
		assert.Equal(t, c.sentCount(), 2)
	})
}

// Guards against a queued request that runs although its caller has cancelled it.
func TestQueuedRequestDoesNotRunAfterCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{work: 300 * time.Millisecond}
		p := newProxy(c)
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
		for range 2 {
			go serve(t.Context(), p, "long", "a", 5*time.Second)
		}
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		refusal := serve(ctx, p, "gone", "a", 5*time.Second)
		assert.Equal(t, refusal.Ran, caller.NotRun)
		time.Sleep(time.Second)
		assert.Equal(t, c.sentCount(), 2)
	})
}

// Guards against requests that are still sent to an upstream which refuses connections, and against an upstream that
// stays out of service after it has recovered.
func TestUpstreamDownAndRecovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{refusal: caller.Refuse(caller.UpstreamUnreachable, "send", addr), checkErr: errors.New("refused")}
		p := newProxy(c)
		go p.Watch(t.Context())
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
		assert.Equal(t, serve(t.Context(), p, "r1", "a", time.Second).Reason, caller.UpstreamUnreachable)
		assert.Assert(t, !p.Status().Serving)
		assert.Equal(t, serve(t.Context(), p, "r2", "a", time.Second).Reason, caller.NotReady)
		assert.Equal(t, c.sentCount(), 1)
		c.update(func(c *fakeClient) {
			c.refusal, c.checkErr = nil, nil
			c.report = inbound.HealthReport{Healthy: true, UpstreamID: "a", HasLoad: true, Load: caller.UpstreamLoad{Slots: 2, ServiceTimePercent: 100}}
		})
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, p.Status().Serving)
		assert.Assert(t, serve(t.Context(), p, "r3", "a", time.Second) == nil)
	})
}

// Guards against a restarted node that does not use its running upstream before the next announcement, and against one
// that assumes the service in its settings: the address may have passed to another service meanwhile.
func TestUnannouncedUpstreamIsAdoptedByHealthCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{report: inbound.HealthReport{Healthy: true, UpstreamID: "a", HasLoad: true, Load: caller.UpstreamLoad{Slots: 2, ServiceTimePercent: 100}}}
		p := newProxy(c)
		go p.Watch(t.Context())
		p.Recall(peer.PreviousUpstream{Upstream: "b", Service: "s"})
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, !p.Status().Serving, "the service of the upstream is not known")
		p.Recall(peer.PreviousUpstream{Upstream: "a", Service: "other"})
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, p.Status().Serving)
		assert.Equal(t, p.Status().Upstream, "a")
		assert.Equal(t, p.Status().Service, "other")
		p.Deregister(time.Now(), "a")
		time.Sleep(time.Second)
		assert.Assert(t, !p.Status().Serving)
	})
}

// Guards against an upstream that stays in service although nothing has been heard from it for LivenessTimeout.
func TestSilentUpstreamIsTakenOutOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{checkErr: errors.New("refused")}
		p := newProxy(c)
		go p.Watch(t.Context())
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
		time.Sleep(6 * time.Second)
		assert.Assert(t, p.Status().Serving)
		time.Sleep(2 * time.Second)
		assert.Assert(t, !p.Status().Serving)
	})
}

// Guards against a cold upstream that is taken for twice as slow as it reports: the reported service time already
// includes the cold start.
func TestReportedServiceTimeIncludesColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{}
		p := newProxy(c)
		cold := announcement("a", 10, 1)
		cold.ColdStartRemaining = 3 * time.Second
		assert.NilError(t, p.Announce(time.Now(), cold))
		assert.Equal(t, p.Load(time.Now()).ServiceTimePercent, 200, "before any health check")
		time.Sleep(50 * time.Millisecond)
		c.update(func(c *fakeClient) {
			c.report = inbound.HealthReport{Healthy: true, UpstreamID: "a", HasLoad: true, Load: caller.UpstreamLoad{Slots: 2, ServiceTimePercent: 210}}
		})
		assert.Equal(t, p.Load(time.Now()).ServiceTimePercent, 210)
	})
}

// Guards against a process that ends because of one health report that the client can't cope with, and against no further checks
// after it.
func TestPanicInAHealthCheckFailsTheCheckOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{panics: true, report: inbound.HealthReport{Healthy: true, UpstreamID: "a", HasLoad: true, Load: caller.UpstreamLoad{Slots: 2, ServiceTimePercent: 250}}}
		p := newProxy(c)
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
		assert.Equal(t, p.Load(time.Now()).ServiceTimePercent, 100)
		c.update(func(c *fakeClient) { c.panics = false })
		time.Sleep(time.Second)
		assert.Equal(t, p.Load(time.Now()).ServiceTimePercent, 250)
	})
}

// Guards against a health check for each query of the load: queries within FreshFor share one check.
func TestHealthChecksAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{report: inbound.HealthReport{Healthy: true, UpstreamID: "a", HasLoad: true, Load: caller.UpstreamLoad{Slots: 2, ServiceTimePercent: 250}}}
		p := newProxy(c)
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
		for range 50 {
			assert.Equal(t, p.Load(time.Now()).ServiceTimePercent, 250)
			time.Sleep(2 * time.Millisecond)
		}
		c.update(func(c *fakeClient) { assert.Check(t, c.checks <= 6, "%d health checks in 100 ms", c.checks) })
	})
}

// Guards against a stopping node that admits requests when its upstream announces itself again.
func TestStoppedGateRefusesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{}
		p := newProxy(c)
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
		p.Stop()
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 2)))
		assert.Equal(t, serve(t.Context(), p, "r1", "a", time.Second).Reason, caller.Draining)
		assert.Assert(t, !p.Status().Serving)
	})
}

// Guards against a request that a stopping node passes on although the node may end before it, also when it waited for a slot as
// the stop began, and against one that is refused although it ends in time.
func TestStoppingProxyRefusesWhatMayOutlastIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{work: time.Second}
		p := newProxy(c)
		announced := announcement("a", 10, 1)
		announced.Slots = 1
		assert.NilError(t, p.Announce(time.Now(), announced))
		var waiting sync.WaitGroup
		waiting.Go(func() { assert.Check(t, serve(t.Context(), p, "running", "a", 10*time.Second) == nil) })
		synctest.Wait()
		waiting.Go(func() {
			refusal := serve(t.Context(), p, "waiting", "a", 10*time.Second)
			assert.Check(t, refusal != nil && refusal.Reason == caller.Draining && refusal.Ran == caller.NotRun, "%v", refusal)
		})
		synctest.Wait()
		p.StopBy(time.Now().Add(4 * time.Second))
		waiting.Wait()
		assert.Assert(t, p.Status().Serving)
		assert.Assert(t, serve(t.Context(), p, "short", "a", 2*time.Second) == nil)
		refusal := serve(t.Context(), p, "long", "a", 4*time.Second)
		assert.Assert(t, refusal != nil && refusal.Reason == caller.Draining && refusal.Ran == caller.NotRun, "%v", refusal)
		assert.Equal(t, c.sentCount(), 2)
	})
}

// Guards against short requests that wait behind long answers.
func TestLongAnswersLeaveSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{work: time.Second}
		p := newProxy(c)
		announced := announcement("a", 10, 1)
		announced.Slots = 4
		assert.NilError(t, p.Announce(time.Now(), announced))
		request := func(id, route string, long bool) {
			answer, err := p.Serve(t.Context(), &caller.Request{
				ID: id, Service: "s", Route: route, Body: caller.NewBody(nil, 0), Deadline: time.Now().Add(10 * time.Second),
				Placement: &caller.Placement{Host: "h", Upstream: "a", Objective: 10 * time.Second, Long: long},
			}, boot)
			if assert.Check(t, err) {
				_ = answer.Body.Close()
			}
		}
		for range 6 {
			go request("long", "download", true)
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, c.sentCount(), 2)
		began := time.Now()
		request("short", "lookup", false)
		assert.Equal(t, time.Since(began), time.Second)
		time.Sleep(10 * time.Second)
	})
}
