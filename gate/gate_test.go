package gate_test

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
	"github.com/magnoliawharf/magnoliawharf/gate"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

const (
	boot = 7
	addr = "10.0.0.1:80"
)

// client is a stand-in for the way to the upstream.
type client struct {
	mu      sync.Mutex
	sent    []string // IDs of requests
	work    time.Duration
	refuse  *caller.Refusal
	reading gate.Reading
	readErr error
	reads   int
}

func (c *client) Send(ctx context.Context, req *caller.Request, _ string) (*caller.Answer, error) {
	c.mu.Lock()
	c.sent = append(c.sent, req.ID)
	work, refuse := c.work, c.refuse
	c.mu.Unlock()
	if refuse != nil {
		return nil, refuse
	}
	select {
	case <-time.After(work):
	case <-ctx.Done():
		return nil, caller.Lost(caller.Cancelled, "send", "", ctx.Err())
	}
	return &caller.Answer{Status: 200, Body: io.NopCloser(strings.NewReader("")), Length: 0}, nil
}

func (c *client) Read(context.Context, string, string) (gate.Reading, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	return c.reading, c.readErr
}

func (c *client) LoadOf(map[string][]string) (caller.UpstreamLoad, bool) {
	return caller.UpstreamLoad{}, false
}
func (c *client) KeepOnly(string) {}

func (c *client) set(change func(*client)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

func (c *client) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sent)
}

func newGate(c *client) *gate.Gate {
	return gate.New(gate.Options{
		Node: "n1", Boot: boot, Address: "10.0.0.1:81", Zone: "z", Service: "s", Upstream: addr,
		HealthPath: func(string) string { return "/health" }, FreshFor: 20 * time.Millisecond, LapseAfter: 7 * time.Second, SlotShare: 1,
		Client: c, Suspects: quarantine.NewList(nil), Changed: func() {}, Log: slog.New(slog.DiscardHandler),
	})
}

func announcement(id string, born int64, sequence uint64) gate.Announcement {
	return gate.Announcement{ID: id, Born: born, Sequence: sequence, Address: addr, Service: "s", Slots: 2}
}

func serve(ctx context.Context, g *gate.Gate, id, upstream string, limit time.Duration) *caller.Refusal {
	answer, err := g.Serve(ctx, &caller.Request{
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

// Guards against announcements that come late, twice, from an earlier incarnation or from another writer, and put an
// upstream in use that is not there or is leaving.
func TestAnnouncementsInAnyOrder(t *testing.T) {
	draining := func(a gate.Announcement) gate.Announcement { a.Draining = true; return a }
	tests := []struct {
		name    string
		steps   []any // gate.Announcement, or the ID that leaves
		serving bool
		id      string
	}{
		{"first", []any{announcement("a", 10, 1)}, true, "a"},
		{"leaves", []any{announcement("a", 10, 1), draining(announcement("a", 10, 2))}, false, "a"},
		{"late one after the leave", []any{announcement("a", 10, 1), draining(announcement("a", 10, 3)), announcement("a", 10, 2)}, false, "a"},
		{"does not come back", []any{announcement("a", 10, 1), draining(announcement("a", 10, 2)), announcement("a", 10, 3)}, false, "a"},
		{"deleted without draining", []any{announcement("a", 10, 1), "a", announcement("a", 10, 2)}, false, "a"},
		{"deleted before its first announcement", []any{"a", announcement("a", 10, 1)}, false, ""},
		{"replaced", []any{announcement("a", 10, 9), announcement("b", 20, 1)}, true, "b"},
		{"late one of the replaced", []any{announcement("a", 10, 8), announcement("b", 20, 1), announcement("a", 10, 9)}, true, "b"},
		{"leave of the replaced", []any{announcement("a", 10, 8), announcement("b", 20, 1), "a"}, true, "b"},
		{"same ID started again", []any{announcement("a", 10, 9), announcement("a", 20, 1)}, true, "a"},
		{"same ID started again after its leave", []any{announcement("a", 10, 9), "a", announcement("a", 20, 1)}, true, "a"},
		{"late one of the first life of an ID", []any{announcement("a", 20, 1), draining(announcement("a", 10, 9))}, true, "a"},
		{"another address", []any{announcement("a", 10, 1), gate.Announcement{ID: "x", Born: 30, Address: "10.9.9.9:80", Service: "s", Slots: 1}}, true, "a"},
		{"no slots", []any{announcement("a", 10, 1), gate.Announcement{ID: "x", Born: 30, Address: addr, Service: "s"}}, true, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newGate(&client{})
			now := time.UnixMilli(15)
			for _, step := range test.steps {
				switch step := step.(type) {
				case gate.Announcement:
					err := g.Announce(now, step)
					assert.Assert(t, err == nil || errors.Is(err, gate.ErrAnnouncement))
				case string:
					g.Leave(now, step)
				}
				now = now.Add(time.Millisecond)
			}
			assert.Equal(t, g.Status().Serving, test.serving)
			assert.Equal(t, g.Status().Upstream, test.id)
		})
	}
}

// Guards against a request that reaches an upstream for which it was not placed, or a node that was started again.
func TestRequestsForAnotherIncarnationDoNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{}
		g := newGate(c)
		assert.Equal(t, serve(t.Context(), g, "r0", "a", time.Second).Reason, caller.StaleIncarnation)
		assert.NilError(t, g.Announce(time.Now(), announcement("a", 10, 1)))
		assert.Assert(t, serve(t.Context(), g, "r1", "a", time.Second) == nil)
		refusal := serve(t.Context(), g, "r2", "b", time.Second)
		assert.Equal(t, refusal.Reason, caller.StaleIncarnation)
		assert.Equal(t, refusal.Ran, caller.NotRun)
		_, err := g.Serve(t.Context(), &caller.Request{
			ID: "r3", Service: "s", Body: caller.NewBody(nil, 0), Deadline: time.Now().Add(time.Second), Placement: &caller.Placement{Upstream: "a"},
		}, boot+1)
		assert.ErrorContains(t, err, string(caller.StaleIncarnation))
		assert.Equal(t, c.count(), 1)
	})
}

// Guards against new work for an upstream that has said that it leaves, also for requests that waited already.
func TestNothingNewAfterTheLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{work: 500 * time.Millisecond}
		g := newGate(c)
		assert.NilError(t, g.Announce(time.Now(), announcement("a", 10, 1)))
		results := make(chan *caller.Refusal, 5)
		for i := range 5 {
			go func() { results <- serve(t.Context(), g, "r"+string(rune('0'+i)), "a", 5*time.Second) }()
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, c.count(), 2) // both slots
		leaving := announcement("a", 10, 2)
		leaving.Draining = true
		assert.NilError(t, g.Announce(time.Now(), leaving))
		refused := 0
		for range 5 {
			if refusal := <-results; refusal != nil {
				assert.Equal(t, refusal.Reason, caller.Draining)
				assert.Equal(t, refusal.Ran, caller.NotRun)
				refused++
			}
		}
		assert.Equal(t, refused, 3)
		assert.Equal(t, c.count(), 2)
	})
}

// Guards against a request that runs after its caller has left the queue.
func TestCallerThatLeavesTheQueueDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{work: 300 * time.Millisecond}
		g := newGate(c)
		assert.NilError(t, g.Announce(time.Now(), announcement("a", 10, 1)))
		for range 2 {
			go serve(t.Context(), g, "long", "a", 5*time.Second)
		}
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		refusal := serve(ctx, g, "gone", "a", 5*time.Second)
		assert.Equal(t, refusal.Ran, caller.NotRun)
		time.Sleep(time.Second)
		assert.Equal(t, c.count(), 2)
	})
}

// Guards against requests that keep going to an upstream that refuses connections, and against one that stays out
// although it is back.
func TestUpstreamDownAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{refuse: caller.Refuse(caller.UpstreamUnreachable, "send", addr), readErr: errors.New("refused")}
		g := newGate(c)
		go g.Watch(t.Context())
		assert.NilError(t, g.Announce(time.Now(), announcement("a", 10, 1)))
		assert.Equal(t, serve(t.Context(), g, "r1", "a", time.Second).Reason, caller.UpstreamUnreachable)
		assert.Assert(t, !g.Status().Serving)
		assert.Equal(t, serve(t.Context(), g, "r2", "a", time.Second).Reason, caller.NotReady)
		assert.Equal(t, c.count(), 1)
		c.set(func(c *client) {
			c.refuse, c.readErr = nil, nil
			c.reading = gate.Reading{Healthy: true, UpstreamID: "a", HasLoad: true, Load: caller.UpstreamLoad{Slots: 2, Pace: 100}}
		})
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, g.Status().Serving)
		assert.Assert(t, serve(t.Context(), g, "r3", "a", time.Second) == nil)
	})
}

// Guards against a node that was started again beside a running upstream and knows nothing of it until its next
// announcement, and against one that takes the upstream for one of its settings' service: its address may have gone to
// another service meanwhile.
func TestUpstreamFoundByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{reading: gate.Reading{Healthy: true, UpstreamID: "a", HasLoad: true, Load: caller.UpstreamLoad{Slots: 2, Pace: 100}}}
		g := newGate(c)
		go g.Watch(t.Context())
		g.Recall(peer.Former{Upstream: "b", Service: "s"})
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, !g.Status().Serving, "nobody has said which service the upstream belongs to")
		g.Recall(peer.Former{Upstream: "a", Service: "other"})
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, g.Status().Serving)
		assert.Equal(t, g.Status().Upstream, "a")
		assert.Equal(t, g.Status().Service, "other")
		g.Leave(time.Now(), "a")
		time.Sleep(time.Second)
		assert.Assert(t, !g.Status().Serving)
	})
}

// Guards against an upstream of which nothing is heard and that stays in use.
func TestSilentUpstreamLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{readErr: errors.New("refused")}
		g := newGate(c)
		go g.Watch(t.Context())
		assert.NilError(t, g.Announce(time.Now(), announcement("a", 10, 1)))
		time.Sleep(6 * time.Second)
		assert.Assert(t, g.Status().Serving)
		time.Sleep(2 * time.Second)
		assert.Assert(t, !g.Status().Serving)
	})
}

// Guards against a cold upstream that is taken for twice as slow as it says: the pace that it reports has its cold start
// in it already.
func TestReportedPaceCountsAsItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{}
		g := newGate(c)
		cold := announcement("a", 10, 1)
		cold.Cold = 3 * time.Second
		assert.NilError(t, g.Announce(time.Now(), cold))
		assert.Equal(t, g.Load(time.Now()).Pace, 200, "before any reading")
		time.Sleep(50 * time.Millisecond)
		c.set(func(c *client) {
			c.reading = gate.Reading{Healthy: true, UpstreamID: "a", HasLoad: true, Load: caller.UpstreamLoad{Slots: 2, Pace: 210}}
		})
		assert.Equal(t, g.Load(time.Now()).Pace, 210)
	})
}

// Guards against readings that cost more than they tell: many askers within the time that a load is fresh share one.
func TestReadingsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{reading: gate.Reading{Healthy: true, UpstreamID: "a", HasLoad: true, Load: caller.UpstreamLoad{Slots: 2, Pace: 250}}}
		g := newGate(c)
		assert.NilError(t, g.Announce(time.Now(), announcement("a", 10, 1)))
		for range 50 {
			assert.Equal(t, g.Load(time.Now()).Pace, 250)
			time.Sleep(2 * time.Millisecond)
		}
		c.set(func(c *client) { assert.Check(t, c.reads <= 6, "%d readings in 100 ms", c.reads) })
	})
}

// Guards against a node that takes work for its upstream while it stops, whatever the upstream announces.
func TestStoppedGateTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{}
		g := newGate(c)
		assert.NilError(t, g.Announce(time.Now(), announcement("a", 10, 1)))
		g.Stop()
		assert.NilError(t, g.Announce(time.Now(), announcement("a", 10, 2)))
		assert.Equal(t, serve(t.Context(), g, "r1", "a", time.Second).Reason, caller.Draining)
		assert.Assert(t, !g.Status().Serving)
	})
}

// Guards against short work that waits behind long answers.
func TestLongAnswersLeaveSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{work: time.Second}
		g := newGate(c)
		announced := announcement("a", 10, 1)
		announced.Slots = 4
		assert.NilError(t, g.Announce(time.Now(), announced))
		request := func(id, route string, long bool) {
			answer, err := g.Serve(t.Context(), &caller.Request{
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
		assert.Equal(t, c.count(), 2)
		began := time.Now()
		request("short", "lookup", false)
		assert.Equal(t, time.Since(began), time.Second)
		time.Sleep(10 * time.Second)
	})
}
