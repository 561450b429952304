package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"strings"
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
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// cluster is a stand-in for the nodes beside the upstreams. Each attempt gets the next of outcomes; the last one repeats.
type cluster struct {
	mu       sync.Mutex
	outcomes []outcome
	byNode   map[string]outcome // takes precedence over outcomes
	sent     []string           // node of each attempt
	ran      int                // attempts that an upstream ran
	ranAt    map[string]bool    // nodes whose upstream ran an attempt
}

// outcome describes the result of one attempt.
type outcome struct {
	refusal *caller.Refusal
	status  int
	body    io.Reader
	after   time.Duration
	waited  time.Duration // part of after spent waiting for a slot
	ran     bool          // whether the upstream ran the request, whatever the result
}

func (f *cluster) Forward(ctx context.Context, _ *caller.Request, target instance.Record) (*caller.Answer, *link.Report, error) {
	f.mu.Lock()
	next, ok := f.byNode[string(target.ID)]
	if !ok {
		next = f.outcomes[min(len(f.sent), len(f.outcomes)-1)]
	}
	f.sent = append(f.sent, string(target.ID))
	if next.ran {
		f.ran++
		if f.ranAt == nil {
			f.ranAt = make(map[string]bool)
		}
		f.ranAt[string(target.ID)] = true
	}
	f.mu.Unlock()
	select {
	case <-time.After(next.after):
	case <-ctx.Done():
		return nil, nil, caller.RefuseUncertain(caller.Cancelled, "forward", string(target.ID), ctx.Err())
	}
	if next.refusal != nil {
		return nil, nil, next.refusal
	}
	body := next.body
	if body == nil {
		body = strings.NewReader("ok")
	}
	closer, ok := body.(io.ReadCloser)
	if !ok {
		closer = io.NopCloser(body)
	}
	return &caller.Answer{Status: next.status, Body: closer, Length: -1, Waited: next.waited}, nil, nil
}

// count returns the number of attempts that ended with the reason.
func (f *cluster) count(reason caller.Reason) int {
	n := 0
	for i := range f.sent {
		if refusal := f.outcomes[min(i, len(f.outcomes)-1)].refusal; refusal != nil && refusal.Reason == reason {
			n++
		}
	}
	return n
}

func newEntry(f *cluster, nodes int) *entry.Dispatcher {
	return entry.New(entry.Dispatcher{
		Service: "self", Roster: rosterOf(nodes), Forward: f, Budgets: caller.NewEmptyRetryBudgets(func() float64 { return 2 }), RetryRatio: func() float64 { return 1 },
		HedgeRatio: func() float64 { return 1 },
		Quarantine: quarantine.NewList(nil), Log: slog.New(slog.DiscardHandler),
	})
}

func routeOf(rule bundle.Rule, attempts int) *contract.Route {
	return &contract.Route{Name: "r", Rule: rule, MaxAttempts: attempts, LatencyObjective: 400 * time.Millisecond}
}

func dispatch(t context.Context, e *entry.Dispatcher, route *contract.Route) (*caller.Answer, *caller.Refusal) {
	ctx, cancel := context.WithTimeout(t, time.Second)
	defer cancel()
	deadline, _ := ctx.Deadline()
	answer, err := e.Dispatch(ctx, &caller.Request{
		ID: "id", Service: "s", Route: "r", Body: caller.NewBody(nil, 0), Deadline: deadline, Placement: &caller.Placement{Host: "h"},
	}, route)
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		return nil, refusal
	}
	return answer, nil
}

func refused(reason caller.Reason) outcome {
	return outcome{refusal: caller.Refuse(reason, "home", "n")}
}

func lost(reason caller.Reason) outcome {
	return outcome{refusal: caller.RefuseUncertain(reason, "home", "n", nil), ran: true}
}

var good = outcome{status: 200, ran: true}

// Guards against requests that keep going to an upstream which looks idle because it rejects them.
func TestRejectingUpstreamIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &cluster{outcomes: []outcome{good}, byNode: map[string]outcome{"n0": refused(caller.UpstreamRejected)}}
		e := newEntry(f, 2)
		for range 40 {
			_, _ = dispatch(t.Context(), e, routeOf(bundle.NotIdempotent, 1))
		}
		rejected := 0
		for _, node := range f.sent {
			if node == "n0" {
				rejected++
			}
		}
		assert.Assert(t, rejected <= 8, "%d of %d requests went to the upstream that rejects", rejected, len(f.sent))
	})
}

// Guards against time spent waiting for a slot that counts as service time: a busy service would look slow in every zone.
func TestSlotWaitIsNotServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &cluster{outcomes: []outcome{{status: 200, ran: true, after: 350 * time.Millisecond, waited: 300 * time.Millisecond}}}
		e := newEntry(f, 1)
		var log bytes.Buffer
		e.Log = slog.New(slog.NewJSONHandler(&log, nil))
		for range 100 {
			log.Reset()
			answer, refusal := dispatch(t.Context(), e, routeOf(bundle.NotIdempotent, 1))
			assert.Assert(t, refusal == nil)
			assert.NilError(t, answer.Body.Close())
		}
		var line struct {
			Expected int `json:"expected_ms"`
		}
		assert.NilError(t, json.Unmarshal(log.Bytes(), &line))
		assert.Assert(t, line.Expected < 250, "%d ms are expected, for a service time of 50", line.Expected)
	})
}

// Guards against a request that is retried although it may have run, or not retried although it has not, and against a
// refusal that says not-run for a request that may have run.
func TestRetriesByOutcome(t *testing.T) {
	half := func() io.Reader { return io.MultiReader(strings.NewReader("half"), brokenReader{}) }
	tests := []struct {
		name     string
		rule     bundle.Rule
		attempts int
		outcomes []outcome
		sent     int
		status   int
		reason   caller.Reason
		ran      caller.RunState
	}{
		{"answered", bundle.NotIdempotent, 2, []outcome{good}, 1, 200, "", 0},
		{"node draining, then answered", bundle.NotIdempotent, 1, []outcome{refused(caller.Draining), good}, 2, 200, "", 0},
		{"node unreachable, then answered", bundle.NotIdempotent, 1, []outcome{refused(caller.PeerUnreachable), good}, 2, 200, "", 0},
		{"all queues full", bundle.Idempotent, 2, []outcome{refused(caller.QueueFull)}, 4, 0, caller.QueueFull, caller.NotRun},
		{"rejected by the upstream, then answered", bundle.NotIdempotent, 2, []outcome{refused(caller.UpstreamRejected), good}, 2, 200, "", 0},
		{"rejected by the upstream, one attempt", bundle.NotIdempotent, 1, []outcome{refused(caller.UpstreamRejected), good}, 1, 0, caller.UpstreamRejected, caller.NotRun},
		{"upstream lost, not idempotent", bundle.NotIdempotent, 2, []outcome{lost(caller.UpstreamLost), good}, 1, 0, caller.UpstreamLost, caller.Unknown},
		{"node lost, not idempotent", bundle.NotIdempotent, 2, []outcome{lost(caller.PeerLost), good}, 1, 0, caller.PeerLost, caller.Unknown},
		{"upstream lost, idempotent", bundle.Idempotent, 2, []outcome{lost(caller.UpstreamLost), good}, 2, 200, "", 0},
		{"upstream lost, idempotent, one attempt", bundle.Idempotent, 1, []outcome{lost(caller.UpstreamLost), good}, 1, 0, caller.UpstreamLost, caller.Unknown},
		{"kept connection lost, not idempotent", bundle.NotIdempotent, 2, []outcome{lost(caller.KeptConnectionLost), good}, 1, 0, caller.KeptConnectionLost, caller.Unknown},
		{"kept connection lost, idempotent", bundle.Idempotent, 2, []outcome{lost(caller.KeptConnectionLost), good}, 2, 200, "", 0},
		{"kept connection lost, idempotent, one attempt", bundle.Idempotent, 1, []outcome{lost(caller.KeptConnectionLost), good}, 2, 200, "", 0},
		{"kept connection lost, one attempt, then node draining", bundle.Idempotent, 1, []outcome{lost(caller.KeptConnectionLost), refused(caller.Draining), good}, 2, 0, caller.Draining, caller.Unknown},
		{"kept connection lost, then upstream lost", bundle.Idempotent, 1, []outcome{lost(caller.KeptConnectionLost), lost(caller.UpstreamLost), good}, 2, 0, caller.UpstreamLost, caller.Unknown},
		{"upstream lost, then refused", bundle.Idempotent, 3, []outcome{lost(caller.UpstreamLost), refused(caller.Draining)}, 4, 0, caller.Draining, caller.Unknown},
		{"failed, not idempotent", bundle.NotIdempotent, 2, []outcome{{status: 500, ran: true}, good}, 1, 500, "", 0},
		{"failed, idempotent", bundle.Idempotent, 2, []outcome{{status: 500, ran: true}, good}, 2, 200, "", 0},
		{"failed twice", bundle.Idempotent, 2, []outcome{{status: 500, ran: true}}, 2, 500, "", 0},
		{"client error", bundle.Idempotent, 2, []outcome{{status: 404, ran: true}}, 1, 404, "", 0},
		{"answer cut off, idempotent", bundle.Idempotent, 2, []outcome{{status: 200, body: half(), ran: true}, good}, 2, 200, "", 0},
		{"answer cut off, not idempotent", bundle.NotIdempotent, 2, []outcome{{status: 200, body: half(), ran: true}, good}, 1, 0, caller.UpstreamLost, caller.Unknown},
		{"deadline passed", bundle.NotIdempotent, 2, []outcome{{status: 200, after: 2 * time.Second, ran: true}}, 1, 0, caller.DeadlinePassed, caller.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &cluster{outcomes: test.outcomes}
				e := newEntry(f, 5)
				earnRetries(t, e)
				f.sent = nil
				f.outcomes = test.outcomes
				answer, refusal := dispatch(t.Context(), e, routeOf(test.rule, test.attempts))
				assert.Equal(t, len(f.sent), test.sent, "%v", f.sent)
				if test.reason != "" {
					assert.Assert(t, refusal != nil)
					assert.Equal(t, refusal.Reason, test.reason)
					assert.Equal(t, refusal.Ran, test.ran)
					return
				}
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, answer.Status, test.status)
			})
		})
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// earnRetries dispatches two successful requests, so that the service has retries in its budget.
func earnRetries(t *testing.T, e *entry.Dispatcher) {
	t.Helper()
	f := e.Forward.(*cluster)
	saved := f.outcomes
	f.outcomes = []outcome{good}
	for range 2 {
		_, refusal := dispatch(t.Context(), e, routeOf(bundle.NotIdempotent, 1))
		assert.Assert(t, refusal == nil)
	}
	f.outcomes = saved
}

// Guards against a request that fails, or that reaches more upstreams than its route allows, when the upstream has dropped
// the idle connection on which the request is sent: it is sent again to the same upstream if no other may get it.
func TestUpstreamAfterLostKeptConnection(t *testing.T) {
	for _, test := range []struct {
		name            string
		nodes, attempts int
		same            bool
	}{
		{"no other upstream", 1, 2, true},
		{"no other upstream, one attempt", 1, 1, true},
		{"other upstreams", 5, 2, false},
		{"other upstreams, one attempt", 5, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &cluster{}
				e := newEntry(f, test.nodes)
				earnRetries(t, e)
				f.sent, f.outcomes = nil, []outcome{lost(caller.KeptConnectionLost), good}
				answer, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, test.attempts))
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, answer.Status, 200)
				assert.Equal(t, len(f.sent), 2)
				assert.Equal(t, f.sent[0] == f.sent[1], test.same, "%v", f.sent)
			})
		})
	}
}

// Guards against a second repetition at the same upstream, after one that was answered with a failure.
func TestFailedAnswerIsNotRepeatedAtItsUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &cluster{}
		e := newEntry(f, 1)
		earnRetries(t, e)
		f.sent, f.outcomes = nil, []outcome{lost(caller.KeptConnectionLost), {status: 500, ran: true}, good}
		_, _ = dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
		assert.Equal(t, len(f.sent), 2, "%v", f.sent)
	})
}

// Guards against a generic refusal when all nodes have refused: the caller must get the reason of the last one, and the
// time after which a resend may help.
func TestLastRefusalIsReturnedWhenNoNodeIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy := caller.Refuse(caller.DeadlineUnmeetable, "home", "n")
		busy.RetryAfter = 300 * time.Millisecond
		busier := caller.Refuse(caller.QueueFull, "home", "n")
		busier.RetryAfter = 900 * time.Millisecond
		e := newEntry(&cluster{outcomes: []outcome{{refusal: busy}, {refusal: busier}}}, 2)
		_, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
		assert.Equal(t, refusal.Reason, caller.QueueFull)
		assert.Equal(t, refusal.RetryAfter, 300*time.Millisecond)
	})
}

// Guards against retries beyond the budget when all upstreams of a service fail.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	for _, reason := range []caller.Reason{caller.UpstreamLost, caller.KeptConnectionLost, caller.UpstreamRejected} {
		t.Run(string(reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &cluster{outcomes: []outcome{lost(reason)}}
				e := entry.New(entry.Dispatcher{
					Roster: rosterOf(4), Forward: f, Budgets: caller.NewEmptyRetryBudgets(func() float64 { return 2 }), RetryRatio: func() float64 { return 0.1 },
					Quarantine: quarantine.NewList(nil), Log: slog.New(slog.DiscardHandler),
				})
				const requests = 200
				for range requests {
					dispatch(t.Context(), e, routeOf(bundle.Idempotent, 3))
				}
				assert.Assert(t, len(f.sent) <= requests+requests/10+2, "%d attempts of %d requests", len(f.sent), requests)
				assert.Assert(t, len(f.sent) > requests, "no retry at all")
			})
		})
	}
}

// Guards, over random sequences of outcomes, against a non-idempotent request that runs twice, against a refusal that says
// not-run for a request that ran, and against more attempts at upstreams than the route allows.
func TestRetryInvariants(t *testing.T) {
	outcomes := []outcome{
		good, {status: 500, ran: true}, lost(caller.UpstreamLost), lost(caller.PeerLost), lost(caller.AnswerMismatch), lost(caller.KeptConnectionLost),
		refused(caller.Draining), refused(caller.NotReady), refused(caller.QueueFull), refused(caller.DeadlineUnmeetable),
		refused(caller.UpstreamRejected), refused(caller.UpstreamUnreachable), refused(caller.PeerUnreachable), refused(caller.StaleIncarnation),
	}
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.SampledFrom(outcomes), 1, 6).Draw(rt, "outcomes")
		rule := rapid.SampledFrom([]bundle.Rule{bundle.Idempotent, bundle.NotIdempotent}).Draw(rt, "rule")
		attempts := rapid.IntRange(1, 3).Draw(rt, "attempts")
		f := &cluster{outcomes: drawn}
		e := newEntry(f, 6)
		_, refusal := dispatch(context.Background(), e, routeOf(rule, attempts))
		if rule == bundle.NotIdempotent && f.ran > 1 {
			rt.Fatalf("ran %d times", f.ran)
		}
		if refusal != nil && refusal.Ran == caller.NotRun && f.ran > 0 {
			rt.Fatalf("refusal says not-run, but the request ran %d times", f.ran)
		}
		if len(f.ranAt) > attempts {
			rt.Fatalf("ran at %d upstreams of %d allowed", len(f.ranAt), attempts)
		}
		if keptConnectionsLost := f.count(caller.KeptConnectionLost); f.ran-keptConnectionsLost > attempts {
			rt.Fatalf("ran %d times, %d of them on kept connections that were lost, of %d allowed", f.ran, keptConnectionsLost, attempts)
		}
	})
}

// Guards against a quarantined request, one that crashes upstreams, that is forwarded.
func TestQuarantinedRequestsAreRefused(t *testing.T) {
	f := &cluster{outcomes: []outcome{good}}
	suspects := quarantine.NewList(nil)
	for crash := range quarantine.Crash(quarantine.Threshold) {
		suspects.Report(time.Now(), crash+1, []quarantine.Fingerprint{0})
	}
	e := entry.New(entry.Dispatcher{
		Roster: rosterOf(2), Forward: f, Budgets: caller.NewEmptyRetryBudgets(func() float64 { return 1 }), RetryRatio: func() float64 { return 1 }, Quarantine: suspects, Log: slog.New(slog.DiscardHandler),
	})
	_, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
	assert.Equal(t, refusal.Reason, caller.Quarantined)
	assert.Equal(t, refusal.Ran, caller.NotRun)
	assert.Equal(t, len(f.sent), 0)
}

// Guards against a request that reaches an upstream although it may not run any more, because its key was withdrawn.
func TestRequestWithoutPermitIsNotSent(t *testing.T) {
	f := &cluster{outcomes: []outcome{{status: 200}}}
	e := newEntry(f, 2)
	e.Permit = func(req *caller.Request) *caller.Refusal {
		assert.Equal(t, req.ID, "id")
		return caller.Refuse(caller.ContractsStale, "permit", "")
	}
	_, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Reason, caller.ContractsStale)
	assert.Equal(t, refusal.Ran, caller.NotRun)
	assert.Equal(t, len(f.sent), 0)
	e.Permit = func(*caller.Request) *caller.Refusal { return nil }
	answer, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
	assert.Assert(t, refusal == nil)
	assert.Equal(t, answer.Status, 200)
}
