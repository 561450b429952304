// Package quota limits the requests of tenants over all nodes together. Each tenant has one allocator, the reachable node that ranks
// first for it by rendezvous hash; it holds a token bucket in memory and grants tokens to the other nodes, which spend one per request.
//
// Layout: a Node represents the part of one machine in the quotas of all tenants, as a spender and as an allocator. Concurrency: the
// tenants are in a shard.Map, each with its own lock; no lock is held while a message is sent or a waiting request is told of its token.
package quota

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/shard"
)

// tenantShards is the number of shards of the tenants of a Node.
const tenantShards = 64

// step is the step named by refusals that are issued in this package.
const step = "quota"

const (
	// TickInterval is how often Tick is called.
	TickInterval = 100 * time.Millisecond
	// maxTickDelay is the time without a call of Tick after which the process counts as paused. Other nodes take over the tenants
	// of an allocator that has not answered for some 300 ms.
	maxTickDelay = 400 * time.Millisecond
	// resumeDelay is the time after a pause in which a node learns again which members are reachable, before it allocates. The others
	// wait as long before they take it as an allocator.
	resumeDelay = time.Second
	// refusalsEndAfter is the time without a refusal after which the refusals of a tenant count as ended, in the log.
	refusalsEndAfter = 5 * time.Second
)

var (
	grantedTotal     = metrics.Counter("magnoliawharf_quota_granted_total")
	exceededTotal    = metrics.Counter(`magnoliawharf_quota_refused_total{reason="quota-exceeded"}`)
	unavailableTotal = metrics.Counter(`magnoliawharf_quota_refused_total{reason="quota-unavailable"}`)
	returnedTotal    = metrics.Counter("magnoliawharf_quota_returned_total")
	expiredTotal     = metrics.Counter("magnoliawharf_quota_expired_total")
	fallbackTotal    = metrics.Counter("magnoliawharf_quota_fallback_total")
	requestsTotal    = metrics.Counter("magnoliawharf_quota_requests_total")
)

// Request asks the allocator of a tenant for tokens.
type Request struct {
	Number  uint32 // copied to the reply; the same when the request is repeated
	Tenant  string
	Version uint64 // of the current contracts at the sender
	Waiting int    // requests that wait for a token
	Wanted  int    // Waiting, and the demand expected beyond the unused tokens
}

// Reply answers a Request.
type Reply struct {
	Number     uint32
	Tenant     string
	Granted    int
	Valid      time.Duration  // from the moment at which the request was sent
	RetryAfter time.Duration  // time until the next token, when fewer were granted than requests wait
	Allocator  bool           // whether the sender is the allocator, in its own view
	Other      netip.AddrPort // the allocator in that view when it is another node, invalid for none
}

// MaxTokens bounds the numbers in a Request and a Reply.
const MaxTokens = 1 << 20

// Sender sends messages to other nodes. Its methods do not block, and any message may be lost.
type Sender interface {
	SendQuotaRequest(to netip.AddrPort, r Request)
	SendQuotaReply(to netip.AddrPort, r Reply)
}

// Options configures a Node.
type Options struct {
	Name      string
	Addr      netip.AddrPort
	Sender    Sender
	Now       func() time.Time
	AfterFunc func(d time.Duration, f func())
	// OnSilent is called with a node that did not answer a request for tokens. No lock is held, and it must not block.
	OnSilent func(addr netip.AddrPort)
	Log      *slog.Logger
}

// Node is the part of one machine in the quotas of all tenants. It is safe for concurrent use.
type Node struct {
	Options

	tenants    *shard.Map[string, *tenant]
	version    atomic.Uint64
	view       atomic.Pointer[view]
	start      time.Time    // zero of the times below
	lastTick   atomic.Int64 // nanoseconds since start
	eligibleAt atomic.Int64 // nanoseconds since start from which this node may allocate, notEligible for never
	lastNumber atomic.Uint32
	answered   answers
	adoptMu    sync.Mutex // serializes Adopt
	viewMu     sync.Mutex // serializes changes of view and eligibleAt, and guards stopped
	stopped    bool
	refusing   *shard.Map[string, *tenant] // tenants with an ongoing series of refusals
}

// notEligible is the eligibleAt of a node that does not know the others, or stops.
const notEligible = 1<<63 - 1

// NewNode returns a node that knows no tenants and does not allocate until Start is called.
func NewNode(o Options) *Node {
	n := &Node{
		Options: o, start: o.Now(),
		tenants: shard.NewString[string, *tenant](tenantShards), refusing: shard.NewString[string, *tenant](tenantShards),
	}
	n.view.Store(newView(Member{Name: o.Name, Addr: o.Addr}, nil))
	n.eligibleAt.Store(notEligible)
	n.lastNumber.Store(rand.Uint32()) // other nodes may remember replies to an earlier run under the same address
	return n
}

// tenant is the state of one tenant at this node.
type tenant struct {
	name string
	hash uint64

	mu        sync.Mutex
	node      *Node
	quota     contract.Quota
	since     time.Time // when the tenant got a quota, as far as this node knows
	tokens    unusedTokens
	demand    rateAverage
	tokenRate rateAverage // of tokens
	pending   pendingRequest
	first     choice

	confirmedUntil time.Time // another node has confirmed that this one is the allocator
	bucket         *bucket   // nil until this node is the allocator for the first time
	refusal        refusals
	fallback       fallback
}

// Start lets the node allocate and use its fallback: it knows the other nodes.
func (n *Node) Start() {
	n.viewMu.Lock()
	defer n.viewMu.Unlock()
	if !n.stopped && n.eligibleAt.Load() == notEligible {
		n.eligibleAt.Store(int64(n.Now().Sub(n.start)))
	}
}

// Stop ends the allocation at this node, which has told the others that it stops being a member.
func (n *Node) Stop() {
	n.viewMu.Lock()
	defer n.viewMu.Unlock()
	n.stopped = true
	n.eligibleAt.Store(notEligible)
	n.loseAll(n.Now())
}

// eligible reports whether this node may allocate. A process that was paused does not know what the others did meanwhile.
func (n *Node) eligible(now time.Time) bool {
	elapsed := int64(now.Sub(n.start))
	return elapsed >= n.eligibleAt.Load() && elapsed-n.lastTick.Load() <= int64(maxTickDelay)
}

// Tick notices a pause of the process and, when they have changed, updates the other members.
func (n *Node) Tick(others []Member, changed bool) {
	now := n.Now()
	n.viewMu.Lock()
	elapsed := int64(now.Sub(n.start))
	before := n.lastTick.Swap(elapsed)
	if elapsed-before > int64(maxTickDelay) {
		n.resume(elapsed, before)
	}
	if changed {
		n.setView(now, others)
	}
	n.viewMu.Unlock()
	n.endRefusals(now)
}

// Resume is called after a pause that Now does not show: a monotonic clock may stand still while a machine is suspended.
func (n *Node) Resume() {
	n.viewMu.Lock()
	defer n.viewMu.Unlock()
	n.resume(int64(n.Now().Sub(n.start)), n.lastTick.Load())
}

// resume ends the allocation at the time of the last tick before a pause. The node may allocate again after resumeDelay.
func (n *Node) resume(elapsed, before int64) {
	if n.eligibleAt.Load() == notEligible {
		return
	}
	n.eligibleAt.Store(elapsed + int64(resumeDelay))
	n.loseAll(n.start.Add(time.Duration(before)))
}

// setView replaces the view. The buckets of tenants for which an added member ranks before this node are lost.
func (n *Node) setView(now time.Time, others []Member) {
	before := n.view.Load()
	next := newView(Member{Name: n.Name, Addr: n.Addr}, others)
	next.shrunkAt = before.shrunkAt
	if len(before.added(next)) > 0 {
		next.shrunkAt = now
	}
	added := next.added(before)
	n.view.Store(next)
	if len(before.settled) > 1 && len(next.settled) >= 2*len(before.settled) {
		n.loseAll(now) // the sides of a partition meet: the other side has spent its part
	}
	if len(added) == 0 {
		return
	}
	n.tenants.Range(func(_ string, t *tenant) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.bucket != nil && firstOf(append(added, next.self), t.hash) != next.self {
			t.bucket.lose(now)
		}
		return true
	})
}

// loseAll ends the allocation of all tenants at the given time.
func (n *Node) loseAll(at time.Time) {
	n.tenants.Range(func(_ string, t *tenant) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.bucket != nil {
			t.bucket.lose(at)
		}
		return true
	})
}

// Members returns the number of known members and of those that are reachable, this node included.
func (n *Node) Members() (known, reachable int) {
	v := n.view.Load()
	return v.known, len(v.settled)
}

// Limited returns the number of tenants with a quota.
func (n *Node) Limited() int { return n.tenants.Len() }

// Adopt applies the quotas of a version of the contracts at once.
func (n *Node) Adopt(c *contract.Contracts) {
	now := n.Now()
	n.adoptMu.Lock()
	defer n.adoptMu.Unlock()
	n.tenants.Range(func(name string, t *tenant) bool {
		if !c.Tenants[name].Quota.Limited() {
			n.tenants.Delete(name)
			n.refusing.Delete(name)
		}
		return true
	})
	for name, described := range c.Tenants {
		if !described.Quota.Limited() {
			continue
		}
		t := n.tenants.GetOrCreate(name, func() *tenant {
			return &tenant{name: name, hash: xxhash.Sum64String(name), node: n, since: now, quota: described.Quota}
		})
		t.mu.Lock()
		if t.quota != described.Quota {
			t.tokens.limitTo(now.Sub(n.start), described.Quota)
			t.quota, t.fallback = described.Quota, fallback{}
		}
		t.mu.Unlock()
	}
	n.version.Store(c.Version) // a request of an earlier version for a tenant without a quota is granted from now on
}

// Token is the right of one request to reach an upstream. The zero value is that of a tenant without a quota.
type Token struct {
	tenant  *tenant
	expires int64 // end of its validity, see unusedTokens
}

// GiveBack returns the token of a request that has not run. It keeps its end of validity: tokens that circulate for longer would let
// requests of an earlier time reach the upstreams in addition to those of the present.
func (t Token) GiveBack() {
	if t.tenant == nil {
		return
	}
	returnedTotal.Inc()
	t.tenant.mu.Lock()
	defer t.tenant.mu.Unlock()
	t.tenant.tokens.add(t.tenant.node.Now().Sub(t.tenant.node.start), t.expires, 1)
}

// Outcome is the decision on a request: a token, or a refusal.
type Outcome struct {
	Token   Token
	Refusal *caller.Refusal // nil with a token
}

// Acquire waits for a token of the tenant and returns it, or the refusal of the request.
func (n *Node) Acquire(ctx context.Context, name string) (Token, *caller.Refusal) {
	t, limited := n.tenants.Get(name)
	if !limited {
		return Token{}, nil
	}
	if token, ok := t.takeUnused(n.Now()); ok {
		return token, nil
	}
	return n.acquireSlow(ctx, t)
}

// acquireSlow is separate, so that Acquire allocates nothing. The wait is bounded by the timeouts of two requests for tokens.
func (n *Node) acquireSlow(ctx context.Context, t *tenant) (Token, *caller.Refusal) {
	decided := make(chan Outcome, 1)
	n.decide(t, func(o Outcome) { decided <- o })
	select {
	case o := <-decided:
		return o.Token, o.Refusal
	case <-ctx.Done():
		go func() { (<-decided).Token.GiveBack() }()
		return Token{}, caller.Refuse(caller.ContextReason(ctx), step, "")
	}
}

// Request decides on a request of the tenant and calls done once, at once or when a reply has come. done must not block.
func (n *Node) Request(name string, done func(Outcome)) {
	t, limited := n.tenants.Get(name)
	if !limited {
		done(Outcome{})
		return
	}
	if token, ok := t.takeUnused(n.Now()); ok {
		done(Outcome{Token: token})
		return
	}
	n.decide(t, done)
}
