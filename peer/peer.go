// Package peer holds what a node knows of the other nodes: who is there, what each says of the upstream beside it, and
// how loaded that upstream is at this moment. A node asks for the load when it has a request to place, because a report
// that was sent earlier says little of the next 100 ms.
//
// Layout: a Peer mirrors one machine, a Roster the machines that this node knows. Concurrency: the roster is a
// shard.Map by address, the peers of a service a copy-on-write list, and each Peer has a lock of its own.
package peer

import (
	"net/netip"
	"sync"
	"time"
)

// Status is what a node says of itself and of the upstream beside it. Only the node's own word counts; no node passes
// on the status of another.
type Status struct {
	Node     string
	Boot     uint64 // differs between two lives of the process
	Revision uint32 // grows with each change within one boot
	Address  string // host:port that takes forwarded requests
	Zone     string
	Service  string // "" while no upstream has announced itself
	Upstream string // ID of the upstream's incarnation
	Slots    int    // requests that the upstream runs at the same time
	Serving  bool   // the upstream takes new work
	Follows  bool   // the node reaches the store
}

// Former is the upstream that a node had in its last life, as that life said it. A node that was started again while its
// upstream went on knows by it which service the upstream belongs to.
type Former struct {
	Upstream string // ID of the upstream's incarnation, "" when nothing is known
	Service  string
}

// Introduction is what one node tells another of itself.
type Introduction struct {
	Status Status
	Known  []netip.AddrPort // some other nodes
	Reply  bool             // the receiver is asked for its own
	Former Former           // of the receiver
}

// Load is the state of the upstream beside a node at one moment.
type Load struct {
	Boot     uint64
	Revision uint32 // that of the status it belongs to
	Serving  bool
	Running  int
	Waiting  int // requests in the home node's queues
	Limit    int // requests that the home node lets run at the same time
	Pace     int // time that work takes at the upstream now, in per cent of the usual
}

// Peer is another node, or this one itself. It is safe for concurrent use.
type Peer struct {
	addr netip.AddrPort // where it takes datagrams
	self bool

	mu       sync.Mutex
	status   Status
	former   Former // until it has an upstream again
	load     Load
	loadAt   time.Time // zero: no load of this boot is known
	heardAt  time.Time
	question question
	waiting  []waiter
	path     time.Duration // shortest recent round trip of a question
	record   record
}

// waiter is a gathering that waits for the peer's answer.
type waiter struct {
	gathering *gathering
	since     time.Time // after lastWait it no longer waits
}

// question is the last one sent and not answered.
type question struct {
	number     uint32
	sentAt     time.Time
	open       bool
	unanswered int // in a row
}

// Status returns what the peer last said of itself.
func (p *Peer) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}

func (p *Peer) formerUpstream() Former {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.former
}

// takeStatus replaces the status and returns the one before.
func (p *Peer) takeStatus(now time.Time, s Status) Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.status
	p.heardAt = now
	p.question.open, p.question.unanswered = false, 0
	if s.Boot == before.Boot && s.Revision < before.Revision {
		return before // an older datagram of the same life came late
	}
	if s.Boot != before.Boot || s.Upstream != before.Upstream {
		p.loadAt = time.Time{}
		p.record = record{}
	}
	switch {
	case s.Upstream != "":
		p.former = Former{}
	case s.Boot != before.Boot && before.Upstream != "":
		p.former = Former{Upstream: before.Upstream, Service: before.Service}
	}
	p.status = s
	return before
}

// takeLoad takes the answer to a question. It reports whether the status of the peer is out of date.
func (p *Peer) takeLoad(now time.Time, number uint32, load Load) (stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAt = now
	p.question.unanswered = 0
	if p.question.open && p.question.number == number {
		p.question.open = false
		p.observePath(now.Sub(p.question.sentAt))
	}
	stale = load.Boot != p.status.Boot || load.Revision != p.status.Revision
	if !stale {
		p.load, p.loadAt = load, now
	}
	for _, w := range p.waiting {
		w.gathering.answered()
	}
	p.waiting = p.waiting[:0]
	return stale
}

// pathRise is the share by which a slower answer raises the round trip; a faster one replaces it.
const pathRise = 1.0 / 16

func (p *Peer) observePath(took time.Duration) {
	if p.path == 0 || took < p.path {
		p.path = took
		return
	}
	p.path += time.Duration(float64(took-p.path) * pathRise)
}

const (
	// silentAfter is the number of unanswered questions after which a node counts as silent, and silentTime the least
	// time without any word of it. A single lost datagram must not take a node out.
	silentAfter = 2
	silentTime  = 300 * time.Millisecond
	// questionTime is the time after which an open question counts as unanswered.
	questionTime = 50 * time.Millisecond
)

// expire counts an open question that was not answered in time. It is called with the lock held.
func (p *Peer) expire(now time.Time) {
	if p.question.open && now.Sub(p.question.sentAt) > questionTime {
		p.question.open = false
		p.question.unanswered++
	}
}

// silent reports whether the peer has stopped answering.
func (p *Peer) silent(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	return !p.self && p.question.unanswered >= silentAfter && now.Sub(p.heardAt) > silentTime
}

// Placed counts a request that was just sent to the peer in its known load, so that the requests placed before the next
// answer do not all choose the same one.
func (p *Peer) Placed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load.Running++
}
