package quota

import (
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/magnoliawharf/magnoliawharf/contract"
)

const (
	// startTime is the time whose tokens the bucket of a new allocator starts with, and its share of one token: the previous allocator
	// may have spent the burst.
	startTime = 250 * time.Millisecond
	// forgetLossAfter is the time after which a node that becomes the allocator again starts as a new one. Before, its bucket has no
	// more tokens than when it lost the allocation, so that a tenant whose allocator changes often gets no additional tokens.
	forgetLossAfter = 5 * time.Second
	// minCapacity is the least capacity of an allocator's bucket, so that the tokens that come in during a round trip are not lost
	// when a tenant has no burst. It is half of what the bound on a window allows to any tenant.
	minCapacity = 10
	// holderSlack and holderShare bound the members that may hold the least bucket, of one token, when the fleet falls apart:
	// holderSlack is a part of what the bound on a window allows to any tenant, holderShare a part of the half second of the rate that
	// it allows.
	holderSlack = 5
	holderShare = 0.25
	// advanceShare is the part of the tokens left that is granted for expected demand; requests of other nodes need the rest.
	advanceShare = 0.5
)

// bucket is the token bucket of a tenant at its allocator.
type bucket struct {
	limiter *rate.Limiter
	quota   contract.Quota
	share   float64
	empty   bool // this node is one of too many that would hold a token each
	lost    bool // this node is no longer the allocator, or does not know whether it is
	lostAt  time.Time
}

func (b *bucket) lose(at time.Time) {
	if !b.lost {
		b.lost, b.lostAt = true, at
	}
}

// capacity returns the capacity of the bucket of an allocator that reaches a share of the members, before it is rounded.
func capacity(q contract.Quota, share float64) float64 {
	return min(MaxTokens, share*max(q.Burst, minCapacity))
}

// mayHoldToken reports whether this node may hold a bucket of one token when its part of the quota of a small tenant has less. The
// members that rank first for the tenant may: of all members, each alone, one token would be beyond the quota.
func (v *view) mayHoldToken(t *tenant) bool {
	holders := t.quota.Burst + holderShare*t.quota.PerSecond + holderSlack
	return holders >= float64(v.known) || v.rank(t.hash) < int(holders)
}

// newLimiter returns a bucket with the given number of tokens.
func newLimiter(now time.Time, perSecond float64, capacity int, level float64) *rate.Limiter {
	l := rate.NewLimiter(rate.Limit(perSecond), capacity)
	l.AllowN(now, capacity-int(max(0, min(level, float64(capacity)))))
	return l
}

// choice is the allocator of a tenant in a view.
type choice struct {
	member   ranked
	none     bool   // no member that may allocate is known
	in       *view  // from which the choice follows
	eligible bool   // this node may allocate
	witness  ranked // is to confirm that this node is the allocator; the zero value when that needs no confirmation
}

// isSelf reports whether this node is the allocator.
func (c *choice) isSelf() bool { return c.eligible && !c.none && c.member == c.in.self }

// allocator returns the allocator of the tenant in the present view. A node that may not allocate itself asks the one that ranks first
// of those within reach, whether or not they have settled. It is called with the lock held.
func (t *tenant) allocator(now time.Time) *choice {
	v, eligible := t.node.view.Load(), t.node.eligible(now)
	if t.first.in == v && t.first.eligible == eligible {
		return &t.first
	}
	t.first = choice{in: v, eligible: eligible}
	switch {
	case eligible:
		t.first.member = firstOf(v.settled, t.hash)
		if t.first.isSelf() && len(v.settled) > 1 && firstOf(v.all, t.hash) != v.self {
			t.first.witness = firstOf(v.settled[1:], t.hash) // settled[0] is this node
		}
	case len(v.reachable) > 0:
		t.first.member = firstOf(v.reachable, t.hash)
	default:
		t.first.none = true
	}
	return &t.first
}

// confirmedFor is the time after which an allocator asks again whether others take it as the allocator too.
const confirmedFor = 2 * time.Second

// mayAllocate reports whether this node is the allocator, also in the view of another when a member that ranks before it is out of its
// reach: only the link between the two may have failed. It is called with the lock held.
func (t *tenant) mayAllocate(now time.Time, c *choice) bool {
	return c.isSelf() && (c.witness == ranked{} || now.Before(t.confirmedUntil))
}

// target returns the address of the member that is asked for tokens, or for the confirmation that this node is the allocator.
func (c *choice) target() netip.AddrPort {
	if c.isSelf() {
		return c.witness.addr
	}
	return c.member.addr
}

// ownBucket returns the bucket at this node, which is the allocator, and reports whether the allocation begins. It is called with the
// lock held.
func (t *tenant) ownBucket(now time.Time, v *view) (*bucket, bool) {
	share := v.share()
	perSecond, size := t.quota.PerSecond*share, int(max(1, capacity(t.quota, share)))
	level := perSecond*startTime.Seconds() + share
	mayNotHold := capacity(t.quota, share) < 1 && !v.mayHoldToken(t)
	switch b := t.bucket; {
	case b == nil:
		// A tenant without a bucket has sent nothing since this node became its allocator, at the latest when a member was lost.
		since := latest(t.since, v.shrunkAt, t.node.start.Add(time.Duration(t.node.eligibleAt.Load())))
		level += perSecond * max(0, now.Sub(since).Seconds())
	case b.lost:
		if now.Sub(b.lostAt) < forgetLossAfter {
			level = min(level, b.limiter.TokensAt(b.lostAt))
		}
	default:
		if b.quota != t.quota || b.share != share {
			b.limiter.SetLimitAt(now, rate.Limit(perSecond))
			b.limiter.SetBurstAt(now, size)
			b.quota, b.share, b.empty = t.quota, share, mayNotHold
		}
		return b, false
	}
	t.bucket = &bucket{limiter: newLimiter(now, perSecond, size, level), quota: t.quota, share: share, empty: mayNotHold}
	return t.bucket, true
}

func latest(times ...time.Time) (last time.Time) {
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// grant takes tokens for the requests that wait and, as far as enough are left, for the demand expected beyond. It returns the time
// until the next token when there are too few.
func (b *bucket) grant(now time.Time, waiting, wanted int) (granted int, retryAfter time.Duration) {
	if b.empty {
		return 0, maxRetryAfter
	}
	level := max(0, b.limiter.TokensAt(now))
	granted = min(waiting, int(level))
	granted += min(max(0, wanted-waiting), int(advanceShare*(level-float64(granted))))
	if granted > 0 {
		b.limiter.AllowN(now, granted)
	}
	if granted < waiting {
		missing := 1 - (level - float64(granted))
		retryAfter = waitFor(missing, float64(b.limiter.Limit()), maxRetryAfter)
	}
	return granted, retryAfter
}

// waitFor returns the time in which the tokens come in at the rate, at most the longest one. With a tiny rate it would overflow a
// time.Duration.
func waitFor(tokens, perSecond float64, longest time.Duration) time.Duration {
	if tokens >= perSecond*longest.Seconds() {
		return longest
	}
	return time.Duration(max(0, tokens/perSecond) * float64(time.Second))
}

// HandleRequest answers a request of another node for tokens.
func (n *Node) HandleRequest(from netip.AddrPort, r Request) {
	if reply, ok := n.answered.find(n.Now(), from, r); ok {
		n.Sender.SendQuotaReply(from, reply)
		return
	}
	reply := n.allocate(r)
	if reply.Allocator {
		n.answered.add(n.Now(), from, reply)
	}
	n.Sender.SendQuotaReply(from, reply)
}

func (n *Node) allocate(r Request) Reply {
	now := n.Now()
	reply := Reply{Number: r.Number, Tenant: r.Tenant, Valid: validity}
	t, limited := n.tenants.Get(r.Tenant)
	if !limited {
		if r.Version < n.version.Load() { // the tenant has no quota any more
			reply.Allocator, reply.Granted = true, r.Wanted
		}
		return reply
	}
	t.mu.Lock()
	first := *t.allocator(now)
	if !first.isSelf() {
		t.mu.Unlock()
		if !first.none {
			reply.Other = first.member.addr
			n.OnSilent(reply.Other) // the sender may not reach it
		}
		return reply
	}
	t.confirmedUntil = now.Add(confirmedFor) // the sender takes this node as the allocator
	v := first.in
	b, begins := t.ownBucket(now, v)
	reply.Allocator = true
	reply.Granted, reply.RetryAfter = b.grant(now, r.Waiting, r.Wanted)
	t.mu.Unlock()
	if begins {
		n.logAllocation(r.Tenant, v)
	}
	return reply
}

func (n *Node) logAllocation(tenant string, v *view) {
	n.Log.Info("allocation of a quota begins at this node", "tenant", tenant, "known", v.known, "reachable", len(v.settled))
}

const (
	// answerSlots is the number of replies that are remembered for repeated requests.
	answerSlots = 1 << 10
	// answerAge is the time for which a reply is remembered: a datagram may be repeated for as long as its tokens are valid.
	answerAge = validity
)

// answers holds the latest replies, so that a request that is repeated, because its reply was lost or late, takes no more tokens. A
// reply may be overwritten early; the repeated request then takes tokens that expire.
type answers struct {
	mu      sync.Mutex
	replies [answerSlots]answer
}

type answer struct {
	from  netip.AddrPort
	reply Reply
	at    time.Time
}

// answerSlot spreads the replies over the slots by multiplicative hashing of the request's number and sender.
func answerSlot(from netip.AddrPort, number uint32) uint32 {
	return (number*2654435761 + uint32(from.Port())*40503 + uint32(from.Addr().As16()[15])*97) % answerSlots
}

func (a *answers) find(now time.Time, from netip.AddrPort, r Request) (Reply, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := a.replies[answerSlot(from, r.Number)]
	same := kept.from == from && kept.reply.Number == r.Number && kept.reply.Tenant == r.Tenant
	return kept.reply, same && now.Sub(kept.at) < answerAge
}

func (a *answers) add(now time.Time, from netip.AddrPort, reply Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.replies[answerSlot(from, reply.Number)] = answer{from, reply, now}
}
