package entry_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"

	"net/http"
	"net/netip"
	"regexp"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/entry"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// drawnCase is a state of a dispatcher, and a request.
type drawnCase struct {
	running     []int // load of each node; all differ, so that one is clearly best
	limited     bool  // all nodes, by a rate limit that is used up
	warmUp      int   // requests before
	took        time.Duration
	hedgeRatio  float64
	retryRatio  float64
	route       contract.Route
	body        int64
	idle        time.Duration // after these
	forbidden   bool
	quarantined time.Duration // time since the content of the request was put in quarantine, 0 for never
}

func drawCase(t *rapid.T) drawnCase {
	rarely := func(name string) bool { return rapid.IntRange(0, 7).Draw(t, name) == 0 }
	return drawnCase{
		running:    rapid.Permutation([]int{0, 1, 2, 3, 9}).Draw(t, "running")[:rapid.IntRange(0, 5).Draw(t, "nodes")],
		limited:    rarely("limited"),
		warmUp:     rapid.SampledFrom([]int{0, 1, 2, 120}).Draw(t, "warm-up"),
		took:       rapid.SampledFrom([]time.Duration{5, 100, 600}).Draw(t, "took") * time.Millisecond,
		hedgeRatio: rapid.SampledFrom([]float64{0, 0.4, 0.5, 1}).Draw(t, "hedge ratio"), retryRatio: rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(t, "retry ratio"),
		route: contract.Route{
			Name: "r", Rule: rapid.SampledFrom([]bundle.Rule{bundle.Idempotent, bundle.Idempotent, bundle.NotIdempotent}).Draw(t, "rule"), MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"),
			LatencyObjective: rapid.SampledFrom([]time.Duration{0, 200, 1000}).Draw(t, "objective") * time.Millisecond,
		},
		body:      rapid.SampledFrom([]int64{0, 10, caller.ReplayLimit + 1}).Draw(t, "body"),
		forbidden: rarely("forbidden"), quarantined: rapid.SampledFrom([]time.Duration{0, 0, 0, 0, time.Minute, quarantine.Period}).Draw(t, "quarantined"),
		idle: rapid.SampledFrom([]time.Duration{time.Second, 20 * time.Second, 6 * time.Minute}).Draw(t, "idle"),
	}
}

// recorder is a Forwarder that records the attempts. It answers after the time, or never when that is 0.
type recorder struct {
	mu    sync.Mutex
	after time.Duration
	nodes []string
	times []time.Time
}

func (f *recorder) Forward(ctx context.Context, _ *caller.Request, target instance.Record) (*caller.Answer, *link.Report, error) {
	f.mu.Lock()
	f.nodes, f.times = append(f.nodes, string(target.ID)), append(f.times, time.Now())
	after := f.after
	f.mu.Unlock()
	if after > 0 {
		time.Sleep(after)
		return &caller.Answer{Status: 200, Body: http.NoBody}, nil, nil
	}
	<-ctx.Done()
	return nil, nil, caller.RefuseUncertain(caller.Cancelled, "forward", string(target.ID), ctx.Err())
}

// reset forgets the attempts so far. Later ones are never answered.
func (f *recorder) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.after, f.nodes, f.times = 0, nil, nil
}

// loadSender answers load queries at once.
type loadSender struct {
	discardSender
	roster  *peer.Roster
	running []int
}

func (s *loadSender) QueryLoad(to netip.AddrPort, sequence uint32) {
	i := int(to.Addr().As4()[3]) - 1
	s.roster.HandleLoad(to, sequence, peer.Load{Boot: uint64(i + 1), Revision: 1, Serving: true, Running: s.running[i], Limit: 20, ServiceTimePercent: 100 + 10*s.running[i]})
}

// dispatcherOf returns a dispatcher in the drawn state. Two of the same case are in the same state.
func dispatcherOf(c drawnCase) (*entry.Dispatcher, *recorder) {
	sender := &loadSender{running: c.running}
	sender.roster = rosterWith(sender, len(c.running), 40)
	f, suspects := &recorder{after: c.took}, quarantine.NewList(nil)
	var permit func(*caller.Request) *caller.Refusal
	if c.forbidden {
		permit = func(*caller.Request) *caller.Refusal { return caller.Refuse(caller.ContractsStale, "permit", "") }
	}
	e := entry.New(entry.Dispatcher{
		Roster: sender.roster, Forward: f, Budgets: caller.NewEmptyRetryBudgets(func() float64 { return 2 }), Quarantine: suspects, Log: slog.New(slog.DiscardHandler),
		RetryRatio: func() float64 { return c.retryRatio }, HedgeRatio: func() float64 { return c.hedgeRatio }, PreviewPermit: permit,
	})
	for range c.warmUp {
		_, _ = e.Dispatch(context.Background(), requestOf(c, 7), &c.route)
	}
	time.Sleep(c.idle) // also ends the attempts that were cancelled
	e.Permit = permit
	if c.quarantined > 0 {
		for crash := range quarantine.Threshold {
			suspects.Report(time.Now().Add(-c.quarantined), quarantine.Crash(crash+1), []quarantine.Fingerprint{1})
		}
	}
	for i := range c.running {
		if c.limited {
			sender.roster.HandleRateLimit(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000), peer.RateLimitMessage{Boot: uint64(i + 1), RateLimit: peer.RateLimit{
				Upstream: "u" + string(rune('0'+i)), RateLimit: caller.RateLimit{Named: true, PerSecond: 0.01}, Available: -5,
			}})
		}
	}
	f.reset()
	return e, f
}

func requestOf(c drawnCase, fingerprint uint64) *caller.Request {
	return &caller.Request{
		Service: "s", Body: caller.NewBody(bytes.NewReader(make([]byte, c.body)), c.body), Deadline: time.Now().Add(3 * time.Second), Attempt: 1,
		Fingerprint: fingerprint, Placement: &caller.Placement{},
	}
}

// counters returns the metrics of the product that do not depend on time.
func counters() string {
	var text bytes.Buffer
	metrics.Write(&text)
	return string(bytes.Join(regexp.MustCompile(`(?m)^magnoliawharf_\S+ .*$`).FindAll(text.Bytes(), -1), []byte("\n")))
}

// Guards against an explanation that differs from what a dispatch does in the same state, and against one that changes the state: later
// explanations, the counters and a dispatch after it must be those of a dispatcher that was never asked.
func TestExplanationsAreWhatADispatchDoes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := drawCase(rt)
		seen := make([]*recorder, 2)
		refusals := make([]caller.Reason, 2)
		var explained entry.Explanation
		for i, asked := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				e, f := dispatcherOf(c)
				if asked {
					before := counters()
					explained = e.Explain(context.Background(), requestOf(c, 1), &c.route)
					for range 3 {
						again := e.Explain(context.Background(), requestOf(c, 1), &c.route)
						assert.Equal(t, again.HedgeAfter, explained.HedgeAfter)
						assert.Equal(t, again.NoHedge, explained.NoHedge)
						assert.Equal(t, again.Survey.Chosen.Cost, explained.Survey.Chosen.Cost)
					}
					assert.Equal(t, before, counters())
					assert.Equal(t, len(f.nodes), 0)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				start := time.Now()
				_, err := e.Dispatch(ctx, requestOf(c, 1), &c.route)
				synctest.Wait()
				var refusal *caller.Refusal
				assert.Assert(t, errors.As(err, &refusal))
				refusals[i], seen[i] = refusal.Reason, f
				for j := range f.times {
					f.times[j] = time.Time{}.Add(f.times[j].Sub(start))
				}
			})
		}
		asked, unasked := seen[0], seen[1]
		assert.DeepEqual(rt, asked.nodes, unasked.nodes)
		assert.DeepEqual(rt, asked.times, unasked.times)
		assert.Equal(rt, refusals[0], refusals[1])
		if explained.Refusal != nil {
			assert.Equal(rt, refusals[0], explained.Refusal.Reason)
			assert.Equal(rt, len(asked.nodes), 0)
			return
		}
		assert.Equal(rt, asked.nodes[0], explained.Survey.Chosen.Status.Node)
		if explained.HedgeAfter == 0 {
			assert.Assert(rt, explained.NoHedge != "" && len(asked.nodes) == 1, "%q, sent to %v", explained.NoHedge, asked.nodes)
			return
		}
		assert.Equal(rt, len(asked.nodes), 2, "hedge after %v", explained.HedgeAfter)
		assert.Equal(rt, asked.nodes[1], explained.HedgeNode)
		assert.Equal(rt, asked.times[1].Sub(asked.times[0]), explained.HedgeAfter)
	})
}
