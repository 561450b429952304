package entry_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"regexp"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

// metric returns the value of a metric, whose labels are part of the name.
func metric(t *testing.T, name string) float64 {
	t.Helper()
	var written bytes.Buffer
	metrics.Write(&written)
	match := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\S+)$`).FindSubmatch(written.Bytes())
	assert.Assert(t, match != nil, "there is no %s", name)
	value, err := strconv.ParseFloat(string(match[1]), 64)
	assert.NilError(t, err)
	return value
}

// withheld returns the number of hedges that were withheld for the reason so far.
func withheld(t *testing.T, reason string) float64 {
	t.Helper()
	return metric(t, fmt.Sprintf("magnoliawharf_entry_hedges_withheld_total{reason=%q}", reason))
}

// Guards against a hedge that is not sent and is charged to the budgets nevertheless, and against hedges to nodes that should
// not get them.
func TestUnsentHedgeIsNotCharged(t *testing.T) {
	const slots = 4 // of each node of rosterOf
	idle := peer.Load{Serving: true, Limit: slots, ServiceTimePercent: 100}
	tests := map[string]struct {
		nodes   int
		prepare func(r *peer.Roster)
		load    peer.Load
		tokens  float64 // of the retry budget
	}{
		"retry-budget": {2, nil, idle, 0},
		"no-upstream":  {1, nil, idle, budgetTokens},
		"full":         {2, nil, peer.Load{Serving: true, Running: 2, Limit: slots, ServiceTimePercent: 100}, budgetTokens},
		"slow":         {2, nil, peer.Load{Serving: true, Limit: slots, ServiceTimePercent: 300}, budgetTokens},
		"rate-limited": {2, func(r *peer.Roster) { limitNode(r, 0); limitNode(r, 1); time.Sleep(20 * time.Second) }, idle, budgetTokens},
	}
	for reason, test := range tests {
		t.Run(reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &cluster{outcomes: []outcome{{status: 200, ran: true, after: 350 * time.Millisecond}}}
				e, budget := newBudgetedEntry(f, test.nodes)
				tokensLeft(budget)
				if test.tokens > 0 {
					budget.Deposit(test.tokens)
				}
				ratio := 1.0
				e.HedgeRatio = func() float64 { return ratio }
				e.Roster.SetRouting(peer.Routing{FreshFor: time.Minute})
				if test.prepare != nil {
					test.prepare(e.Roster)
				}
				setLoad := func(load peer.Load) {
					for i := range test.nodes {
						load.Boot, load.Revision = uint64(i+1), 1
						e.Roster.HandleLoad(addressOf(i), 0, load)
					}
				}
				setLoad(test.load)
				before := withheld(t, reason)
				_, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, len(f.sent), 1)
				assert.Equal(t, withheld(t, reason), before+1)
				assert.Equal(t, tokensLeft(budget), int(test.tokens))

				// The token of the share is left for the next request.
				budget.Deposit(budgetTokens)
				ratio = 0.001
				time.Sleep(10 * time.Second)
				setLoad(idle)
				for i := range test.nodes {
					e.Roster.HandleRateLimit(addressOf(i), peer.RateLimitMessage{RateLimit: peer.RateLimit{Upstream: fmt.Sprintf("u%d", i)}, Boot: uint64(i + 1)})
				}
				e.Roster.HandleStatus(addressOf(5), peer.StatusMessage{Status: peer.Status{
					Node: "other", Boot: 9, Revision: 1, Service: "s", Upstream: "other", Slots: slots, Serving: true,
				}})
				sent := len(f.sent)
				for i := range 3 {
					route := routeOf(bundle.Idempotent, 2)
					route.Name = fmt.Sprint("new ", i) // so that its first request is hedged after the initial delay
					_, _ = dispatch(t.Context(), e, route)
				}
				assert.Equal(t, len(f.sent)-sent, 4, "one of three requests is hedged")
			})
		})
	}
}

// Guards against an answer that is held back while a node for the hedge is chosen, and against a hedge after the answer.
func TestAnswerDoesNotWaitForTheChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			delay     = 240 * time.Millisecond // of the hedge, by the objective and the first estimate of the route
			firstWait = 25 * time.Millisecond  // of each choice, since no node answers load queries
			service   = delay - firstWait + 10*time.Millisecond
		)
		f := &cluster{outcomes: []outcome{{status: 200, ran: true, after: service}}}
		e, budget := newBudgetedEntry(f, 2)
		before := withheld(t, "answered")
		began := time.Now()
		_, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, time.Since(began), firstWait+service)
		assert.Equal(t, len(f.sent), 1)
		assert.Equal(t, withheld(t, "answered"), before+1)
		assert.Equal(t, tokensLeft(budget), budgetTokens)
	})
}

// Guards against a log line that does not say that the request was hedged, or names the wrong winner, and against cancelled
// work that is not counted.
func TestRecordsOfAHedgedRequest(t *testing.T) {
	late := outcome{status: 200, ran: true, after: 390 * time.Millisecond}
	for name, test := range map[string]struct {
		hedge  outcome
		won    bool
		wasted float64 // seconds of the slower attempt
	}{
		// The first attempt is sent after the wait of 25 ms for answers to load queries, the hedge after 240 ms and that wait.
		"hedge wins":  {outcome{status: 200, ran: true, after: 20 * time.Millisecond}, true, 0.26},
		"hedge loses": {outcome{status: 200, ran: true, after: 300 * time.Millisecond}, false, 0.15},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &cluster{outcomes: []outcome{late, test.hedge}}
				e, _ := newBudgetedEntry(f, 2)
				var log bytes.Buffer
				e.Log = slog.New(slog.NewJSONHandler(&log, nil))
				wonBefore, wastedBefore := metric(t, "magnoliawharf_entry_hedges_won_total"), metric(t, "magnoliawharf_entry_hedge_wasted_seconds_total")
				_, refusal := dispatch(t.Context(), e, routeOf(bundle.Idempotent, 2))
				assert.Assert(t, refusal == nil, "%v", refusal)
				synctest.Wait() // until the slower attempt has ended
				wasted := metric(t, "magnoliawharf_entry_hedge_wasted_seconds_total") - wastedBefore
				assert.Assert(t, wasted > test.wasted-0.001 && wasted < test.wasted+0.001, "%g seconds wasted", wasted)
				assert.Equal(t, metric(t, "magnoliawharf_entry_hedges_won_total")-wonBefore == 1, test.won)
				var line struct {
					Peer  string `json:"peer"`
					Hedge string `json:"hedge_peer"`
					Won   bool   `json:"hedge_won"`
				}
				assert.NilError(t, json.Unmarshal(log.Bytes(), &line))
				assert.Equal(t, line.Hedge, f.sent[1])
				assert.Equal(t, line.Won, test.won)
				assert.Equal(t, line.Peer == line.Hedge, test.won, "%s", log.String())
			})
		})
	}
}
