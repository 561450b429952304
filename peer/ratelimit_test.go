package peer_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

// limitAt returns the report of node i that its upstream has named a limit.
func limitAt(i int, perSecond, available float64) peer.RateLimitMessage {
	limit, _ := caller.LimitOf(perSecond)
	return peer.RateLimitMessage{RateLimit: peer.RateLimit{Upstream: "u" + string(rune('0'+i)), Born: 10, RateLimit: limit, Available: available}, Boot: uint64(i)}
}

// impatient is a request that can hardly wait for a rate limit.
var impatient = peer.Criteria{Service: "s", ServiceTime: 100 * time.Millisecond, AnswerWithin: 150 * time.Millisecond}

// Guards against requests that are sent to an upstream whose rate limit is used up, which costs a hop and a retry each, while another
// upstream has room; and against an upstream that is not used again when its limit has room, or is over.
func TestRequestsArePlacedByTheRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 2)
		report := func(m peer.RateLimitMessage) {
			time.Sleep(time.Second) // beyond the age of a fresh load
			n.change(1, func(n *node) { n.limit = m })
			r.HandleRateLimit(address(1), m)
		}
		chosen := func(draws int) map[string]int {
			nodes := make(map[string]int)
			for range draws {
				c, err := r.Choose(t.Context(), impatient)
				assert.NilError(t, err)
				nodes[c.Status.Node]++
			}
			return nodes
		}
		n.change(2, func(n *node) { n.load.Running = 9 }) // slower than an idle one
		report(limitAt(1, 2, 3))
		assert.Equal(t, chosen(3)["n1"], 3, "the limit has room for three")
		assert.Equal(t, chosen(2)["n2"], 2, "the three are counted")
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, chosen(1)["n1"], 1, "there is room for another one by now")
		report(limitAt(1, 2, -3))
		assert.Equal(t, chosen(2)["n2"], 2)
		report(peer.RateLimitMessage{RateLimit: peer.RateLimit{Upstream: "u1"}, Boot: 1})
		assert.Equal(t, chosen(2)["n1"], 2, "the limit is over")
		report(limitAt(9, 2, -3))
		assert.Equal(t, chosen(2)["n1"], 2, "the limit of another upstream")
	})
}

// Guards against a request that is sent, or waits, although the limits of all upstreams leave no room for it in time.
func TestNoPlaceWithinAnyRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 2)
		n.change(1, func(n *node) { n.limit = limitAt(1, 2, 0) })
		n.change(2, func(n *node) { n.limit = limitAt(2, 5, -1) })
		_, err := r.Choose(t.Context(), impatient)
		var limited *peer.LimitedError
		assert.Assert(t, errors.As(err, &limited), "%v", err)
		assert.Assert(t, limited.Wait > 300*time.Millisecond && limited.Wait <= 500*time.Millisecond, "%v", limited.Wait)
		assert.Equal(t, limited.Rate, 7.0)
		patient := impatient
		patient.AnswerWithin = time.Second
		_, err = r.Choose(t.Context(), patient)
		assert.NilError(t, err)
	})
}

// Guards against a limit that holds at the other nodes for good, because the report of its end was lost: the node that had reported it
// answers load queries without it.
func TestLoadWithoutTheLimitEndsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 1)
		r.HandleRateLimit(address(1), limitAt(1, 2, -100))
		time.Sleep(time.Second)
		_, err := r.Choose(t.Context(), impatient) // the first query ends it
		assert.NilError(t, err)
		time.Sleep(time.Second)
		r.HandleRateLimit(address(1), limitAt(1, 2, -100))
		n.change(1, func(n *node) { n.status.Boot = 77 })
		r.HandleStatus(address(1), peer.StatusMessage{Status: n.nodes[address(1)].status})
		_, err = r.Choose(t.Context(), impatient)
		var limited *peer.LimitedError
		assert.Assert(t, errors.As(err, &limited), "a restarted node has forgotten the limit: %v", err)
	})
}

// Guards against a limit that nobody knows any more when the node beside the upstream was started again.
func TestRestartedNodeIsToldItsRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 2)
		limit := limitAt(1, 2, 1)
		r.HandleRateLimit(address(1), limit)
		started := peer.Status{Node: "n1", Boot: 77, Address: "10.0.0.1:80", Zone: "z1"}
		r.HandleStatus(address(1), peer.StatusMessage{Status: started, ReplyRequested: true})
		told := limit
		told.Boot, told.OfReceiver = 99, true
		assert.DeepEqual(t, n.limits[address(1)], []peer.RateLimitMessage{told})
		assert.Equal(t, len(n.limits[address(2)]), 0)

		r.HandleRateLimit(address(1), peer.RateLimitMessage{RateLimit: limit.RateLimit, Boot: 77})
		r.HandleStatus(address(1), peer.StatusMessage{Status: started, ReplyRequested: true})
		assert.Equal(t, len(n.limits[address(1)]), 1, "it is told again although it knows")

		r.HandleRateLimit(address(1), told)
		assert.DeepEqual(t, n.self.told, []peer.RateLimit{limit.RateLimit})
	})
}

// Guards against a limit that the other nodes learn only when they ask for the load.
func TestRateLimitIsSentToTheOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 2)
		n.self.limit = limitAt(5, 2, 1).RateLimit
		r.UpdateOwnStatus()
		for i := 1; i <= 2; i++ {
			assert.DeepEqual(t, n.limits[address(i)], []peer.RateLimitMessage{{RateLimit: n.self.limit, Boot: 99}})
		}
	})
}

// Guards against requests to an upstream that has told this node in an answer that it leaves: the report of the node beside it was lost,
// and that node was started again and uses the upstream. When it has reported the departure, its word counts.
func TestUpstreamThatSaidThatItLeavesIsNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 1)
		answered := choose(t, r)
		answered.ObserveNotice(time.Now(), caller.Notice{Leaving: true, Born: 10})
		isChosen := func() bool {
			_, err := r.Choose(t.Context(), impatient)
			assert.Assert(t, err == nil || errors.Is(err, peer.ErrNoUpstream))
			return err == nil
		}
		assert.Assert(t, !isChosen(), "the status from before the answer says that it serves")
		restarted := func(boot uint64, upstream string) {
			n.change(1, func(n *node) { n.status.Boot, n.status.Upstream = boot, upstream })
			r.HandleStatus(address(1), peer.StatusMessage{Status: n.nodes[address(1)].status})
		}
		restarted(77, "u1")
		assert.Assert(t, !isChosen(), "the node was started again")
		assert.DeepEqual(t, n.departures[address(1)], []peer.DepartureMessage{{Departure: peer.Departure{Upstream: "u1", Born: 10}, Boot: 99, OfReceiver: true}})
		r.HandleDeparture(address(1), peer.DepartureMessage{Departure: peer.Departure{Upstream: "u1", Born: 10}, Boot: 77})
		assert.Assert(t, isChosen(), "the node knows of the departure: a later incarnation has the ID")
		restarted(78, "u9")
		assert.Assert(t, isChosen(), "another upstream")
	})
}

// Guards against a departure that is lost with the node beside the upstream, because an earlier incarnation with the same ID had left
// before: the restarted node would be told the earlier one only.
func TestLaterIncarnationThatLeavesIsRemembered(t *testing.T) {
	for name, test := range map[string]struct {
		said, told int64 // start of the incarnation that says so, 0 when not known, and of the one that the node is told of
	}{
		"a later incarnation":                    {20, 20},
		"the one that is known":                  {10, 10},
		"the start is not known, nothing is new": {0, 10},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, r := rosterOf(t, 1)
				r.HandleDeparture(address(1), peer.DepartureMessage{Departure: peer.Departure{Upstream: "u1", Born: 10}, Boot: 1})
				choose(t, r).ObserveNotice(time.Now(), caller.Notice{Leaving: true, Born: test.said})
				r.HandleStatus(address(1), peer.StatusMessage{Status: peer.Status{Node: "n1", Boot: 77, Address: "10.0.0.1:80", Zone: "z1"}})
				want := peer.DepartureMessage{Departure: peer.Departure{Upstream: "u1", Born: test.told}, Boot: 99, OfReceiver: true}
				assert.DeepEqual(t, n.departures[address(1)], []peer.DepartureMessage{want})
			})
		})
	}
}

// Guards against a node that waits for the report of a limit which its own answer has told it.
func TestLimitInAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := rosterOf(t, 1)
		limit, _ := caller.LimitOf(2)
		n.change(1, func(n *node) { n.down = true }) // what it sends is lost
		choose(t, r).ObserveNotice(time.Now(), caller.Notice{Limit: limit, Born: 10})
		_, err := r.Choose(t.Context(), impatient)
		var limited *peer.LimitedError
		assert.Assert(t, errors.As(err, &limited), "%v", err)
	})
}
