package freshness_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/freshness"
	"github.com/magnoliawharf/magnoliawharf/store"
)

const bound = 5 * time.Second

// fakeClock is a clock that a test moves.
type fakeClock struct{ now freshness.Instant }

func (c *fakeClock) read() freshness.Instant { return c.now }

func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newProof() (*fakeClock, *freshness.Proof) {
	clock := &fakeClock{now: freshness.Instant(time.Hour)}
	return clock, freshness.NewProof(clock.read, bound)
}

// Guards against a node that admits keys without a proof, with one that has aged up to the bound, or after its process was frozen or its
// machine suspended: the clock then shows the whole time at the next read.
func TestProofEndsBeforeTheBound(t *testing.T) {
	clock, proof := newProof()
	assert.Assert(t, !proof.Fresh(), "without a proof")
	assert.Assert(t, proof.Extend(clock.now))
	assert.Assert(t, proof.Fresh())
	clock.advance(bound*9/10 - time.Millisecond)
	assert.Assert(t, proof.Fresh())
	clock.advance(time.Millisecond)
	assert.Assert(t, !proof.Fresh(), "at nine tenths of the bound")
	assert.Assert(t, proof.Extend(clock.now))
	clock.advance(time.Hour)
	assert.Assert(t, !proof.Fresh(), "after a suspension of an hour")
	age, proven := proof.Age()
	assert.Assert(t, proven && age == time.Hour)
}

// Guards against a proof that becomes older by a late renewal, or counts although its instant is yet to come.
func TestProofOnlyBecomesYounger(t *testing.T) {
	clock, proof := newProof()
	assert.Assert(t, proof.Extend(clock.now))
	assert.Assert(t, !proof.Extend(clock.now.Add(-time.Second)))
	assert.Assert(t, !proof.Extend(clock.now), "the same instant")
	assert.Assert(t, !proof.Extend(clock.now.Add(time.Second)))
	age, _ := proof.Age()
	assert.Equal(t, age, time.Duration(0))
	clock.advance(-time.Second)
	assert.Assert(t, !proof.Fresh(), "the clock has gone back")
}

// Guards against a clock that stands still or is set.
func TestBootTimeGoesOn(t *testing.T) {
	before, start := freshness.BootTime(), time.Now()
	time.Sleep(10 * time.Millisecond)
	took := time.Since(start)
	assert.Assert(t, before > 0)
	assert.Assert(t, freshness.BootTime().Sub(before) >= took)
}

// Guards against replies that make a proof younger than it is: one that was on its way for seconds, one of a node with newer contracts,
// and one that nobody asked for; and against queries that are kept for ever.
func TestRepliesOfOtherNodes(t *testing.T) {
	other, stranger := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	for _, test := range []struct {
		name  string
		from  netip.AddrPort
		reply freshness.Reply
		late  time.Duration
		want  freshness.Result
		age   time.Duration
	}{
		{"at once", other, freshness.Reply{Number: 7, Version: 3, Age: time.Second}, 0, freshness.Renewed, time.Second},
		{"replier with an older version", other, freshness.Reply{Number: 7, Version: 2, Age: time.Second}, 0, freshness.Renewed, time.Second},
		{"replier with a newer version", other, freshness.Reply{Number: 7, Version: 4, Age: time.Second}, 0, freshness.NewerVersion, 2 * time.Second},
		{"3 s late", other, freshness.Reply{Number: 7, Version: 3, Age: time.Second}, 3 * time.Second, freshness.Renewed, 4 * time.Second},
		{"replier with an older proof", other, freshness.Reply{Number: 7, Version: 3, Age: 4 * time.Second}, 0, freshness.NotYounger, 2 * time.Second},
		{"replier without a proof", other, freshness.Reply{Number: 7, Version: 3, Age: freshness.NoProof}, 0, freshness.Unproven, 2 * time.Second},
		{"other number", other, freshness.Reply{Number: 8, Version: 3}, 0, freshness.Unasked, 2 * time.Second},
		{"other node", stranger, freshness.Reply{Number: 7, Version: 3}, 0, freshness.Unasked, 2 * time.Second},
		{"age below 0", other, freshness.Reply{Number: 7, Version: 3, Age: -time.Second}, 0, freshness.Unasked, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock, proof := newProof()
			queries := freshness.NewQueries(proof)
			proof.Extend(clock.now)
			clock.advance(2 * time.Second)
			queries.Add(7, []netip.AddrPort{other})
			clock.advance(test.late)
			assert.Equal(t, queries.Handle(test.from, test.reply, 3), test.want)
			age, _ := proof.Age()
			assert.Equal(t, age, test.age)
			for number := range uint64(100) {
				queries.Add(100+number, []netip.AddrPort{other})
			}
			assert.Equal(t, queries.Handle(test.from, test.reply, 3), freshness.Unasked, "long after the query")
		})
	}
}

// Guards against a node that takes the document of a store which has lost a version, or holds one that cannot be read, for a proof,
// although it has missed versions itself; and against nodes that refuse keys for good after an outage in which the store went back.
func TestStoreWithoutADocumentAsNew(t *testing.T) {
	const listen = time.Second
	clock, proof := newProof()
	reads := freshness.NewReadCheck(proof, listen)
	assert.Assert(t, !reads.Accepts(3), "a node without a proof")
	clock.advance(listen - 1)
	assert.Assert(t, !reads.Accepts(3))
	clock.advance(1)
	assert.Assert(t, reads.Accepts(3), "no other node had a newer version")

	proof.Extend(clock.now)
	clock.advance(time.Second)
	assert.Assert(t, reads.Accepts(3), "the node has missed nothing")
	reads.ObserveVersion(4)
	assert.Assert(t, !reads.Accepts(3), "another node has a newer version")
	assert.Assert(t, reads.Accepts(4), "once it is in force")

	clock.advance(bound)
	assert.Assert(t, !reads.Accepts(3), "the proof was lost")
	reads.Reset()
	clock.advance(listen)
	assert.Assert(t, !reads.Accepts(3), "the store held the contracts in force in between")
	clock.advance(listen / 2)
	proof.Extend(clock.now)
	clock.advance(bound)
	assert.Assert(t, !reads.Accepts(3), "another node proved them in between")
}

// Guards against a node that has just started and takes the document of a store which has lost a version for a proof before it has heard
// from the others, and against one that waits longer than it must.
func TestFirstReadOfANode(t *testing.T) {
	const listen = time.Second
	clock, proof := newProof()
	reads := freshness.NewReadCheck(proof, listen)
	assert.Assert(t, !reads.AcceptsFirst(3, clock.now))
	reads.ObserveVersion(4)
	reads.ObserveReply(3)
	clock.advance(2 * listen)
	assert.Assert(t, !reads.AcceptsFirst(3, clock.now), "another node has a newer version")
	assert.Assert(t, !proof.Fresh())

	clock, proof = newProof()
	reads = freshness.NewReadCheck(proof, listen)
	reads.ObserveReply(3)
	assert.Assert(t, !proof.Fresh(), "without a read of the store")
	assert.Assert(t, reads.AcceptsFirst(3, clock.now), "an answer just before the end of the read")
	reads.ObserveVersion(4)
	assert.Assert(t, !reads.AcceptsFirst(3, clock.now), "but another node has a newer version")

	clock, proof = newProof()
	reads = freshness.NewReadCheck(proof, listen)
	reads.ObserveReply(3)
	clock.advance(listen)
	assert.Assert(t, !reads.AcceptsFirst(3, clock.now), "an answer long before")
	clock.advance(listen / 2)
	reads.ObserveReply(3)
	age, proven := proof.Age()
	assert.Assert(t, proven && age == listen/2, "the instant is that of the read, not of the answer")

	clock, proof = newProof()
	reads = freshness.NewReadCheck(proof, listen)
	assert.Assert(t, !reads.AcceptsFirst(3, clock.now))
	clock.advance(listen)
	assert.Assert(t, reads.AcceptsFirst(3, clock.now), "no other node has answered")
}

// Guards against a comparison with a revision of other contracts or of an earlier era of the store.
func TestClaimsHoldForTheirVersionAndEra(t *testing.T) {
	var tracker store.EraTracker
	var claims freshness.Claims
	tracker.Observe(1)
	_, known := claims.Of(0)
	assert.Assert(t, !known)
	claims.Set(freshness.Claim{Version: 3, Revision: 70, Era: tracker.Era()})
	claim, known := claims.Of(3)
	assert.Assert(t, known && claim.Revision == 70)
	_, known = claims.Of(4)
	assert.Assert(t, !known, "of newer contracts")
	assert.Assert(t, !claims.EraEnded())
	tracker.Observe(2)
	assert.Assert(t, claims.EraEnded())
	_, known = claims.Of(3)
	assert.Assert(t, !known, "of an earlier era")
	claims.Set(freshness.Claim{Version: 3, Revision: 71, Era: tracker.Era()})
	claims.Forget()
	_, known = claims.Of(3)
	assert.Assert(t, !known, "forgotten")
}
