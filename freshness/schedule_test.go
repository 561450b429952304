package freshness_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/freshness"
)

const (
	zoneNodes = 17
	step      = 100 * time.Millisecond // between two checks of a node
	phases    = 5                      // the nodes check at so many different times within a step
)

// simNode is a node of a simulated zone. Its rank is its index.
type simNode struct {
	addr     netip.AddrPort
	proof    *freshness.Proof
	schedule *freshness.Schedule
	queries  *freshness.Queries
	calls    int // of the store
	rounds   int
	asked    int  // queries that other nodes sent to this one
	refused  bool // the store rejects this node
	alone    bool // no message reaches this node or leaves it
}

// zone is a simulated zone with one store. Calls and messages take no time.
type zone struct {
	fakeClock
	nodes []*simNode
	ticks int
	down  bool // the store
}

func newZone(nodes int) *zone {
	z := &zone{fakeClock: fakeClock{now: freshness.Instant(time.Hour)}}
	for i := range nodes {
		proof := freshness.NewProof(z.read, bound)
		z.nodes = append(z.nodes, &simNode{
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), proof: proof,
			schedule: freshness.NewSchedule(proof), queries: freshness.NewQueries(proof),
		})
	}
	return z
}

// run lets the zone renew its proofs for the time and returns the largest age of any proof that check selects.
func (z *zone) run(d time.Duration, check func(*simNode) bool) (oldest time.Duration) {
	for end := z.now.Add(d); z.now < end; z.advance(step / phases) {
		z.ticks++
		for rank, n := range z.nodes {
			if (rank+z.ticks)%phases == 0 {
				z.renew(rank, n)
			}
		}
		for _, n := range z.nodes {
			if age, proven := n.proof.Age(); check(n) && proven {
				oldest = max(oldest, age)
			}
		}
	}
	return oldest
}

func (z *zone) renew(rank int, n *simNode) {
	if n.schedule.RoundDue() {
		n.rounds++
		z.query(rank, n)
	}
	if n.schedule.StoreDue(rank) {
		n.calls++
		answered := !z.down && !n.refused
		if answered {
			n.proof.Extend(z.now)
		}
		n.schedule.StoreDone(answered)
	}
}

// query sends one round of queries, to the sources of the node and to one more.
func (z *zone) query(rank int, n *simNode) {
	var others []netip.AddrPort
	for _, other := range z.nodes {
		if other != n {
			others = append(others, other.addr)
		}
	}
	number := uint64(n.rounds)
	to := append(freshness.Sources(others, rank), z.nodes[(rank+n.rounds)%len(z.nodes)].addr)
	n.queries.Add(number, to)
	for _, other := range z.nodes {
		if other == n || !slices.Contains(to, other.addr) || other.alone || n.alone {
			continue
		}
		other.asked++
		age := time.Duration(freshness.NoProof)
		if other.proof.Fresh() {
			age, _ = other.proof.Age()
		}
		n.queries.Handle(other.addr, freshness.Reply{Number: number, Version: 1, Age: age}, 1)
	}
}

func (z *zone) calls() (total int) {
	for _, n := range z.nodes {
		total += n.calls
		n.calls = 0
	}
	return total
}

func all(*simNode) bool { return true }

// Guards against a zone whose nodes all call the store, against proofs that become old in normal operation, and against nodes of a large
// zone that all ask the first two, which then spend more than 6 KB a second on replies.
func TestOneNodeOfAZoneCallsTheStore(t *testing.T) {
	const (
		exchangeBytes = 39 + 45 // of a query and a reply, with headers
		limit         = 6000    // bytes a second
		seconds       = 60
	)
	for _, nodes := range []int{zoneNodes, 188} {
		z := newZone(nodes)
		z.run(2*time.Second, all)
		calls := z.calls()
		assert.Assert(t, calls <= 4, "%d calls in the first 2 s", calls)
		z.run(3*time.Second, all)
		z.calls()
		for _, n := range z.nodes {
			n.asked = 0
		}
		oldest := z.run(seconds*time.Second, all)
		most := slices.MaxFunc(z.nodes, func(a, b *simNode) int { return a.asked - b.asked }).asked * exchangeBytes / seconds
		t.Logf("%d nodes: oldest proof %v, %d B/s at the node asked most often", nodes, oldest, most)
		assert.Assert(t, most < limit && oldest < bound/2)
		first := z.nodes[0].calls
		assert.Assert(t, first >= seconds*3/4 && first <= seconds*5/4, "%d calls of the first node", first)
		assert.Equal(t, z.calls(), first, "other nodes called the store")
	}
}

// Guards against proofs that are lost because the store rejects the node that renews them for the zone, and some others too, or because
// a node reaches only the store.
func TestProofsOutlastTheFailureOfSomeNodes(t *testing.T) {
	for name, fail := range map[string]func([]*simNode){
		"rejected by the store": func(nodes []*simNode) {
			for _, n := range nodes[:zoneNodes/2] {
				n.refused = true
			}
		},
		"cut off from the others": func(nodes []*simNode) { nodes[zoneNodes-1].alone = true },
	} {
		z := newZone(zoneNodes)
		z.run(5*time.Second, all)
		fail(z.nodes)
		oldest := z.run(30*time.Second, all)
		assert.Check(t, oldest < bound*9/10, "%s: a proof of age %v", name, oldest)
	}
}

// Guards against nodes that keep admitting keys while the store is down, that call it all at once meanwhile, or that regain their
// proofs late after the end of the outage.
func TestStoreDownForNineSeconds(t *testing.T) {
	z := newZone(zoneNodes)
	z.run(5*time.Second, all)
	z.down = true
	z.calls()
	z.run(9*time.Second, all)
	for rank, n := range z.nodes {
		assert.Check(t, !n.proof.Fresh(), "rank %d", rank)
	}
	calls := z.calls()
	assert.Assert(t, calls <= 110, "%d calls in 9 s", calls)
	z.down = false
	z.run(1500*time.Millisecond, all)
	for rank, n := range z.nodes {
		assert.Check(t, n.proof.Fresh(), "rank %d", rank)
	}
}

// Guards against a second call of the store beside one that takes long, against queries to other nodes that wait for it, and against
// ones that are sent without a pause because no proof can be had.
func TestSlowCallOfTheStore(t *testing.T) {
	clock, proof := newProof()
	s := freshness.NewSchedule(proof)
	rounds := func(d time.Duration) (sent int) {
		for end := clock.now.Add(d); clock.now < end; clock.advance(step) {
			if s.RoundDue() {
				sent++
			}
			assert.Assert(t, !s.StoreDue(0))
		}
		return sent
	}
	assert.Assert(t, s.StoreTimeout() <= time.Second)
	assert.Assert(t, s.StoreDue(0))
	assert.Equal(t, rounds(time.Second), 10, "nodes that start together have no proofs at first")
	later := rounds(3 * time.Second)
	assert.Assert(t, later >= 5 && later <= 12, "%d rounds in 3 s", later)
	s.StoreDone(false)
	assert.Assert(t, s.StoreDue(0))
	s.StoreDone(false)
	assert.Assert(t, !s.StoreDue(0), "at once after a failure")
	proof.Extend(clock.now)
	assert.Assert(t, !s.Due() && !s.RoundDue() && !s.StoreDue(0), "a young proof")
	clock.advance(bound / 5)
	assert.Assert(t, s.Due() && s.RoundDue() && s.StoreDue(0))
}
