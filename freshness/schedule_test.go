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

func newZone() *zone { return newZoneOf(zoneNodes) }

func newZoneOf(nodes int) *zone {
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

// Guards against a zone whose nodes all call the store, and against proofs that are renewed late in normal operation.
func TestOneNodeOfAZoneCallsTheStore(t *testing.T) {
	z := newZone()
	z.run(5*time.Second, all)
	z.calls()
	oldest := z.run(20*time.Second, all)
	first := z.nodes[0].calls
	assert.Assert(t, first >= 15 && first <= 25, "%d calls of the first node in 20 s", first)
	assert.Equal(t, z.calls(), first, "other nodes called the store")
	assert.Assert(t, oldest <= 2*time.Second, "a proof of age %v", oldest)
}

// Guards against a large zone whose nodes all ask the first two, which then spend more than 6 KB a second on replies, or one whose
// proofs become old because they pass through more nodes.
func TestNodesOfALargeZoneShareTheReplies(t *testing.T) {
	const (
		nodes         = 188
		exchangeBytes = 39 + 45 // of a query and a reply, with headers
		limit         = 6000    // bytes a second
		seconds       = 60
	)
	z := newZoneOf(nodes)
	z.run(5*time.Second, all)
	z.calls()
	for _, n := range z.nodes {
		n.asked = 0
	}
	oldest := z.run(seconds*time.Second, all)
	most := 0
	for _, n := range z.nodes {
		most = max(most, n.asked)
	}
	t.Logf("oldest proof %v, %d B/s at the node asked most often", oldest, most*exchangeBytes/seconds)
	assert.Assert(t, most*exchangeBytes/seconds < limit, "%d queries in %d s", most, seconds)
	assert.Assert(t, oldest < bound/2, "a proof of age %v", oldest)
	first := z.nodes[0].calls
	assert.Equal(t, z.calls(), first, "other nodes called the store")
}

// Guards against a start of all nodes at which each calls the store.
func TestStartOfAllNodes(t *testing.T) {
	z := newZone()
	z.run(2*time.Second, all)
	calls := z.calls()
	assert.Assert(t, calls <= 4, "%d calls in the first 2 s", calls)
	for rank, n := range z.nodes {
		assert.Check(t, n.proof.Fresh(), "rank %d", rank)
	}
}

// Guards against a zone that loses its proofs because the store rejects the node that renews them, or some others too.
func TestStoreThatRejectsSomeNodes(t *testing.T) {
	z := newZone()
	z.run(5*time.Second, all)
	for _, n := range z.nodes[:zoneNodes/2] {
		n.refused = true
	}
	oldest := z.run(30*time.Second, all)
	assert.Assert(t, oldest < bound*9/10, "a proof of age %v", oldest)
}

// Guards against a node that is cut off from all others and loses its proof although it reaches the store.
func TestNodeThatReachesOnlyTheStore(t *testing.T) {
	z := newZone()
	z.run(5*time.Second, all)
	last := z.nodes[zoneNodes-1]
	last.alone = true
	oldest := z.run(30*time.Second, func(n *simNode) bool { return n == last })
	assert.Assert(t, oldest < bound*9/10, "a proof of age %v", oldest)
}

// Guards against nodes that keep admitting keys while the store is down, that call it all at once meanwhile, or that regain their
// proofs late after the end of the outage.
func TestStoreDownForNineSeconds(t *testing.T) {
	z := newZone()
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

// Guards against a second call of the store beside one that takes long, and against queries to other nodes that wait for it.
func TestSlowCallOfTheStore(t *testing.T) {
	clock, proof := newProof()
	proof.Extend(clock.now)
	clock.advance(bound)
	s := freshness.NewSchedule(proof)
	assert.Assert(t, s.StoreTimeout() <= time.Second)
	assert.Assert(t, s.StoreDue(0))
	rounds := 0
	for range 30 {
		clock.advance(step)
		assert.Assert(t, !s.StoreDue(0))
		if s.RoundDue() {
			rounds++
		}
	}
	assert.Assert(t, rounds >= 5 && rounds <= 15, "%d rounds in 3 s", rounds)
	s.StoreDone(false)
	assert.Assert(t, s.StoreDue(0))
}

// Guards against nodes that start together, ask each other before any has a proof, and then wait, and against ones that go on to ask
// each other as often when no proof can be had.
func TestFirstRounds(t *testing.T) {
	clock, proof := newProof()
	s := freshness.NewSchedule(proof)
	rounds := func(d time.Duration) (sent int) {
		for end := clock.now.Add(d); clock.now < end; clock.advance(step) {
			if s.RoundDue() {
				sent++
			}
		}
		return sent
	}
	assert.Equal(t, rounds(time.Second), 10)
	later := rounds(3 * time.Second)
	assert.Assert(t, later <= 12, "%d rounds in 3 s", later)
}

// Guards against renewals of a proof that is young enough, and against ones that begin late after a time without any.
func TestNothingIsDueWhileTheProofIsYoung(t *testing.T) {
	clock, proof := newProof()
	s := freshness.NewSchedule(proof)
	proof.Extend(clock.now)
	assert.Assert(t, !s.Due() && !s.RoundDue() && !s.StoreDue(0))
	clock.advance(bound / 5)
	assert.Assert(t, s.Due() && s.RoundDue() && s.StoreDue(0))
	s.StoreDone(false)
	assert.Assert(t, !s.StoreDue(0), "at once after a failure")
	s.Start()
	assert.Assert(t, s.RoundDue() && s.StoreDue(0), "after a new start")
}
