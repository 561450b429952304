package node_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/node"
)

// scriptedPeers is a Forwarder whose attempts have the results in script, in order. The last one repeats.
type scriptedPeers struct {
	mu     sync.Mutex
	script []attemptScript
	seen   []caller.Request
	opened int
	closed int

	cancelled atomic.Int32
}

// cancelChannel returns the channel that is closed when the attempt is cancelled, nil if the step ignores that.
func cancelChannel(step attemptScript, ctx context.Context) <-chan struct{} {
	if step.ignoresCancel {
		return nil
	}
	return ctx.Done()
}

// attemptScript is the result of one attempt.
type attemptScript struct {
	took          time.Duration
	refusal       *caller.Refusal
	ignoresCancel bool // the attempt continues after it is cancelled
}

// countedBody counts the bodies that were closed.
type countedBody struct {
	io.Reader
	peers *scriptedPeers
}

func (b *countedBody) Close() error {
	b.peers.mu.Lock()
	defer b.peers.mu.Unlock()
	b.peers.closed++
	return nil
}

func (p *scriptedPeers) Forward(ctx context.Context, req *caller.Request, _ instance.Record) (*caller.Answer, *link.Report, error) {
	p.mu.Lock()
	step := p.script[min(len(p.seen), len(p.script)-1)]
	p.seen = append(p.seen, *req)
	p.mu.Unlock()
	select {
	case <-time.After(step.took):
	case <-cancelChannel(step, ctx):
		p.cancelled.Add(1)
		return nil, nil, caller.RefuseUncertain(caller.Cancelled, "forward", "", ctx.Err())
	}
	if step.refusal != nil {
		return nil, nil, step.refusal
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
	return &caller.Answer{Status: http.StatusOK, Body: &countedBody{strings.NewReader("ok"), p}}, nil, nil
}

func newDispatcher(peers node.Forwarder, route bundle.Route) *node.Dispatcher {
	fleet := instance.NewFleet()
	for _, id := range []instance.ID{"a", "b", "c", "d"} {
		fleet.Merge(instance.Record{ID: id, Incarnation: 1, Service: "s", State: instance.Ready, Slots: 4})
	}
	bundles := bundle.NewCurrent()
	route.Name, route.Class = "r", "short"
	bundles.Put(&bundle.Bundle{Version: 1, Contracts: map[string]*bundle.Contract{"s": {
		Service: "s", Classes: []bundle.Class{{Name: "short"}}, Routes: []bundle.Route{route},
	}}})
	return &node.Dispatcher{Links: link.NewTable(fleet), Forward: peers, Bundles: bundles}
}

func dispatch(t *testing.T, d *node.Dispatcher, attempt int) (*caller.Answer, *caller.Refusal) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	t.Cleanup(cancel)
	answer, err := d.Dispatch(ctx, &caller.Request{
		Service: "s", Route: "r", Class: "short", Body: caller.NewBody(nil, 0), Deadline: time.Now().Add(time.Second), Attempt: attempt,
	})
	if err != nil {
		return nil, err.(*caller.Refusal)
	}
	return answer, nil
}

// Guards against a request that is retried against its route's rule, against retries of a call whose
// ancestor is a retry, and against a refusal with not-run although an earlier attempt may have run.
func TestAttemptsOfCall(t *testing.T) {
	lost := attemptScript{refusal: caller.RefuseUncertain(caller.PeerLost, "forward", "", nil)}
	draining := attemptScript{refusal: caller.Refuse(caller.Draining, "admit", "")}
	overload := attemptScript{refusal: caller.Refuse(caller.Overload, "admit", "")}
	final := attemptScript{refusal: caller.Refuse(caller.NoService, "home", "")}
	cases := []struct {
		name     string
		rule     bundle.Rule
		attempt  int
		script   []attemptScript
		attempts int
		served   bool
		ran      caller.RunState
	}{
		{"lost, idempotent", bundle.Idempotent, 1, []attemptScript{lost, {}}, 2, true, 0},
		{"lost, not idempotent", bundle.NotIdempotent, 1, []attemptScript{lost, {}}, 1, false, caller.Unknown},
		{"lost, at most once", bundle.AtMostOnce, 1, []attemptScript{lost, {}}, 1, false, caller.Unknown},
		{"draining, at most once", bundle.AtMostOnce, 1, []attemptScript{draining, {}}, 2, true, 0},
		{"overload, not idempotent", bundle.NotIdempotent, 1, []attemptScript{overload, {}}, 2, true, 0},
		{"overload, ancestor is a retry", bundle.Idempotent, 2, []attemptScript{overload, {}}, 1, false, caller.NotRun},
		{"draining, ancestor is a retry", bundle.Idempotent, 2, []attemptScript{draining, {}}, 2, true, 0},
		{"always overloaded", bundle.Idempotent, 1, []attemptScript{overload}, caller.MaxAttempts, false, caller.NotRun},
		{"lost, then not run", bundle.Idempotent, 1, []attemptScript{lost, final}, 2, false, caller.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &scriptedPeers{script: c.script}
				answer, refusal := dispatch(t, newDispatcher(peers, bundle.Route{Rule: c.rule}), c.attempt)
				assert.Equal(t, len(peers.seen), c.attempts)
				assert.Equal(t, answer != nil, c.served)
				if refusal != nil {
					assert.Equal(t, refusal.Ran, c.ran)
				}
				for i, req := range peers.seen {
					assert.Equal(t, req.Attempt, c.attempt+i)
				}
			})
		})
	}
}

// Guards against retries beyond the budget when a whole service fails.
func TestRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &scriptedPeers{script: []attemptScript{{refusal: caller.Refuse(caller.Overload, "admit", "")}}}
		d := newDispatcher(peers, bundle.Route{Rule: bundle.Idempotent})
		const calls = 1000
		for range calls {
			dispatch(t, d, 1)
		}
		assert.Assert(t, len(peers.seen) <= calls+calls/10+10, "%d attempts", len(peers.seen))
	})
}

// Guards against a hedge for a request that must not run twice, a hedge that is not sent, and a losing
// attempt that is not cancelled or whose response is not closed.
func TestHedge(t *testing.T) {
	quick, slow := attemptScript{took: 5 * time.Millisecond}, attemptScript{took: 500 * time.Millisecond}
	uncancellable := attemptScript{took: 500 * time.Millisecond, ignoresCancel: true}
	cases := []struct {
		name     string
		route    bundle.Route
		first    attemptScript
		attempts int
		within   time.Duration
	}{
		{"idempotent with hedge", bundle.Route{Rule: bundle.Idempotent, Hedge: true}, slow, 2, 50 * time.Millisecond},
		{"losing attempt ignores the cancellation", bundle.Route{Rule: bundle.Idempotent, Hedge: true}, uncancellable, 2, 50 * time.Millisecond},
		{"idempotent without hedge", bundle.Route{Rule: bundle.Idempotent}, slow, 1, time.Second},
		{"not idempotent", bundle.Route{Rule: bundle.NotIdempotent, Hedge: true}, slow, 1, time.Second},
		{"at most once", bundle.Route{Rule: bundle.AtMostOnce, Hedge: true}, slow, 1, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &scriptedPeers{}
				for range 40 {
					peers.script = append(peers.script, quick)
				}
				peers.script = append(peers.script, c.first, quick)
				d := newDispatcher(peers, c.route)
				for range 40 {
					answer, _ := dispatch(t, d, 1)
					assert.NilError(t, answer.Body.Close())
				}
				assert.Equal(t, len(peers.seen), 40)
				started := time.Now()
				answer, refusal := dispatch(t, d, 1)
				assert.Assert(t, refusal == nil)
				assert.Assert(t, time.Since(started) <= c.within)
				assert.Equal(t, len(peers.seen)-40, c.attempts)
				assert.NilError(t, answer.Body.Close())
				time.Sleep(time.Second)
				synctest.Wait()
				assert.Equal(t, peers.opened, peers.closed)
				assert.Equal(t, peers.cancelled.Load() == 1, c.attempts == 2 && !c.first.ignoresCancel)
				for _, l := range d.Links.Set("s").Links() {
					assert.Equal(t, l.InFlight(), 0)
				}
			})
		})
	}
}
