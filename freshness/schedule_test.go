package freshness_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/freshness"
)

const (
	zoneNodes = 17
	step      = 100 * time.Millisecond
)

// simNode is a node of a simulated zone. Its rank is its index.
type simNode struct {
	addr     netip.AddrPort
	proof    *freshness.Proof
	schedule *freshness.Schedule
	queries  *freshness.Queries
	calls    int // of the store
	rounds   int
	refused  bool // the store rejects this node
	alone    bool // no message reaches this node or leaves it
}

// zone is a simulated zone with one store. Calls and messages take no time.
type zone struct {
	fakeClock
	nodes []*simNode
	down  bool // the store
}

func newZone() *zone {
	z := &zone{fakeClock: fakeClock{now: freshness.Instant(time.Hour)}}
	for i := range zoneNodes {
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
	for end := z.now.Add(d); z.now < end; z.advance(step) {
		for rank, n := range z.nodes {
			z.renew(rank, n)
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
		number := uint64(n.rounds)
		for _, other := range []*simNode{z.nodes[0], z.nodes[1], z.nodes[(rank+n.rounds)%zoneNodes]} {
			if other == n || other.alone || n.alone || !other.proof.Fresh() {
				continue
			}
			age, _ := other.proof.Age()
			n.queries.Add(number, []netip.AddrPort{other.addr})
			n.queries.Handle(other.addr, freshness.Reply{Number: number, Version: 1, Age: age}, 1)
		}
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
