// Package peer tracks the other nodes of the cluster and chooses the node to which a request is sent. For each node it
// keeps the status that the node reports of itself and of its upstream, the load of that upstream, and the outcomes of
// recent requests to it. Nodes send their statuses to each other directly and spread addresses by gossip. Loads are
// queried when a request is to be placed, because a report sent earlier says little of the next 100 ms.
//
// Layout: a Peer represents one machine, a Roster holds one Peer for each known node. Concurrency: the roster is a
// shard.Map by address, the peers of a service are a copy-on-write list, and each Peer has its own lock.
package peer

import (
	"net/netip"
	"sync"
	"time"
)

// Status is what a node reports of itself and of its upstream. It is only accepted from the node itself; nodes do not
// relay the status of others.
type Status struct {
	Node           string
	Boot           uint64 // identifies one run of the process
	Revision       uint32 // increases with each change of the status within one boot, except of StoreReachable
	Address        string // host:port for forwarded requests
	Zone           string
	Service        string // "" until an upstream has registered
	Upstream       string // ID of the upstream's incarnation
	Slots          int    // requests that the upstream can run concurrently
	Serving        bool   // the upstream accepts new requests
	StoreReachable bool   // the node can reach the store
}

// PreviousUpstream is the upstream that a node reported before its last restart. A node that restarts while its upstream keeps
// running learns from its peers which service that upstream belongs to.
type PreviousUpstream struct {
	Upstream string // ID of the upstream's incarnation, "" when nothing is known
	Service  string
}

// StatusMessage is the message by which a node reports its status and passes on addresses of other nodes.
type StatusMessage struct {
	Status         Status
	Addresses      []netip.AddrPort // datagram addresses of some other nodes
	ReplyRequested bool             // the receiver is to answer with its own status
	Previous       PreviousUpstream // previous upstream of the receiver
}

// Load is the load of a node's upstream at one moment.
type Load struct {
	Boot               uint64
	Revision           uint32 // revision of the status that it belongs to
	Serving            bool
	Running            int // requests that run at the upstream
	Waiting            int // requests queued at the node
	Limit              int // concurrent requests that the node admits to the upstream
	ServiceTimePercent int // current service time, in per cent of the usual; above 100 the upstream is slowed down
	RateLimit          RateLimit
}

// Peer is another node, or this one itself. It is safe for concurrent use.
type Peer struct {
	addr   netip.AddrPort // datagram address
	isSelf bool

	mu           sync.Mutex
	status       Status
	ended        endedRun
	stopped      uint64           // boot of a run that has reported that it stops, 0 for none
	silentAt     time.Time        // when Members last found it out of reach
	previous     PreviousUpstream // kept until the node has an upstream again
	departure    reportedDeparture
	leaving      leavingUpstream
	limit        reportedLimit
	load         Load
	loadAt       time.Time // zero when no load of the current boot and upstream is known
	loadSequence uint32    // sequence number of the query that load answers
	lastHeard    time.Time
	query        loadQuery
	waiters      []waiter
	rtt          time.Duration // estimate of the shortest round-trip time of a query
	outcomes     outcomeStats
}

// endedRun is the run of a peer before the present one.
type endedRun struct {
	boot uint64
	at   time.Time // when the present run was first heard of
}

// waiter is a batch that waits for the peer's answer.
type waiter struct {
	batch *queryBatch
	since time.Time // the batch has given up after maxFirstAnswerWait
}

// loadQuery is the last load query sent to the peer.
type loadQuery struct {
	sequence   uint32
	sentAt     time.Time
	open       bool // neither answered nor timed out
	unanswered int  // consecutive queries without an answer
}

// Status returns the last status that the peer reported.
func (p *Peer) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}

func (p *Peer) previousUpstream() PreviousUpstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.previous
}

// updateStatus replaces the status unless s is older, and returns the previous one. A new boot or another upstream
// discards the load and the outcomes.
func (p *Peer) updateStatus(now time.Time, s Status) Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.status
	p.lastHeard = now
	p.query.open, p.query.unanswered = false, 0
	if s.Boot == before.Boot && s.Revision < before.Revision {
		return before // a delayed datagram of the same boot
	}
	if s.Boot == p.ended.boot && now.Sub(p.ended.at) < maxDatagramDelay {
		return before // a delayed datagram of the run before
	}
	if s.Boot != before.Boot {
		p.ended = endedRun{boot: before.Boot, at: now}
	}
	if s.Boot != before.Boot || s.Upstream != before.Upstream {
		p.loadAt = time.Time{}
		p.outcomes = outcomeStats{}
	}
	switch {
	case s.Upstream != "":
		p.previous = PreviousUpstream{}
	case s.Boot != before.Boot && before.Upstream != "":
		p.previous = PreviousUpstream{Upstream: before.Upstream, Service: before.Service}
	}
	p.status = s
	return before
}

// updateLoad records the answer to a query. It reports whether the known status of the peer is out of date.
func (p *Peer) updateLoad(now time.Time, sequence uint32, load Load) (stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHeard = now
	p.query.unanswered = 0
	if p.query.open && p.query.sequence == sequence {
		p.query.open = false
		p.observeRTT(now.Sub(p.query.sentAt))
	}
	if sequence == p.query.sequence && load.Boot == p.ended.boot {
		p.ended = endedRun{} // it answers the latest query: the datagram that replaced it was the delayed one
	}
	stale = load.Boot != p.status.Boot || load.Revision != p.status.Revision
	if !stale && p.answersLater(now, sequence) {
		p.load, p.loadAt, p.loadSequence = load, now, sequence
		p.endLimit(load.Boot, sequence)
	}
	for _, w := range p.waiters {
		w.batch.answered()
	}
	p.waiters = p.waiters[:0]
	return stale
}

// maxDatagramDelay is the time for which a datagram may be on its way.
const maxDatagramDelay = 5 * time.Second

// answersLater reports whether the query with the sequence number was sent to the peer, and later than the one that the known
// load answers. Sequence numbers wrap around. The caller holds the lock.
func (p *Peer) answersLater(now time.Time, sequence uint32) bool {
	sent := int32(p.query.sequence-sequence) >= 0
	later := int32(sequence-p.loadSequence) > 0
	return sent && (later || now.Sub(p.loadAt) > maxDatagramDelay)
}

// rttIncreaseWeight is the weight of a slower answer in the round-trip time; a faster one replaces it.
const rttIncreaseWeight = 1.0 / 16

func (p *Peer) observeRTT(measured time.Duration) {
	if p.rtt == 0 || measured < p.rtt {
		p.rtt = measured
		return
	}
	p.rtt += time.Duration(float64(measured-p.rtt) * rttIncreaseWeight)
}

const (
	// A node is unresponsive after unresponsiveQueries consecutive unanswered queries, but only when nothing was received
	// from it for unresponsiveTime. A single lost datagram must not exclude a node.
	unresponsiveQueries = 2
	unresponsiveTime    = 300 * time.Millisecond
	// queryTimeout is the time after which an open query counts as unanswered. One that startQuery replaces earlier counts
	// as unanswered at once.
	queryTimeout = 50 * time.Millisecond
)

// expireQuery counts an open query that was not answered in time. The caller holds the lock.
func (p *Peer) expireQuery(now time.Time) {
	p.query = p.query.expiredAt(now)
}

// expiredAt returns the query as it is at the time, when it may have timed out.
func (q loadQuery) expiredAt(now time.Time) loadQuery {
	if q.open && now.Sub(q.sentAt) > queryTimeout {
		q.open = false
		q.unanswered++
	}
	return q
}

// unresponsive reports whether the peer has stopped answering. This node itself is never unresponsive.
func (p *Peer) unresponsive(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireQuery(now)
	return p.isUnresponsive(now)
}

// isUnresponsive is unresponsive for a caller that holds the lock. It modifies nothing.
func (p *Peer) isUnresponsive(now time.Time) bool {
	return !p.isSelf && p.query.expiredAt(now).unanswered >= unresponsiveQueries && now.Sub(p.lastHeard) > unresponsiveTime
}

// countPlacement adds a request to the known load of the peer, so that the requests placed before the next answer do not all
// choose the same node. It returns the time of that load.
func (p *Peer) countPlacement() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load.Running++
	p.limit.Available--
	return p.loadAt
}

// CancelPlacement takes the request back from the load of the candidate when it is not sent. A load that is newer than the
// choice does not include it.
func (c Candidate) CancelPlacement() {
	c.Peer.mu.Lock()
	defer c.Peer.mu.Unlock()
	if c.countedAt.Equal(c.loadAt) {
		c.load.Running--
		c.limit.Available++
	}
}
