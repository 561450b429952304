package datacentre

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/shard"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// batchDelay is how long a change waits for others, so that changes that come together, as at the loss of
	// a rack, share messages.
	batchDelay = 20 * time.Millisecond
	// pushTimeout bounds one push. A lost push is repeated; the redundant fingers cover the delay. With 3
	// attempts at a loss of 5 % in each direction 3 of 10 broadcasts missed one of 160 members.
	pushTimeout  = 500 * time.Millisecond
	pushAttempts = 5
	// maxPushRecords limits a push to about 30 KB.
	maxPushRecords = 256
	// deferDelay and deferJitter delay offers that are probably not needed. With 17 data centres this reduces
	// the traffic of a border node for a release of 1 KB by about a fifth.
	deferDelay  = 150 * time.Millisecond
	deferJitter = 200 * time.Millisecond
)

// outbox batches the updates of a node and sends them to its fingers and, at a border node, to the other
// data centres. Each peer has a queue with at most one push in flight; only repeated offers bypass it.
type outbox struct {
	m      *Membership
	queues *shard.Map[instance.ID, *peerQueue]

	mu             sync.Mutex
	records        map[instance.ID]recordUpdate
	broadcasts     []broadcastUpdate
	flushScheduled bool
}

type recordUpdate struct {
	record instance.Record
	from   instance.ID
}

type broadcastUpdate struct {
	broadcast Broadcast
	from      instance.ID
}

func newOutbox(m *Membership) *outbox {
	return &outbox{m: m, queues: shard.NewString[instance.ID, *peerQueue](memberShards), records: make(map[instance.ID]recordUpdate)}
}

// addRecord passes a record on, but not to the peer that it came from.
func (o *outbox) addRecord(r instance.Record, from instance.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records[r.ID] = recordUpdate{r, from}
	o.scheduleFlush()
}

// addBroadcast passes a broadcast on, but not to the peer that it came from.
func (o *outbox) addBroadcast(b Broadcast, from instance.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.broadcasts = append(o.broadcasts, broadcastUpdate{b, from})
	o.scheduleFlush()
}

func (o *outbox) scheduleFlush() {
	if o.flushScheduled {
		return
	}
	o.flushScheduled = true
	time.AfterFunc(batchDelay, o.flush)
}

func (o *outbox) flush() {
	o.mu.Lock()
	records, broadcasts := o.records, o.broadcasts
	o.records, o.broadcasts, o.flushScheduled = make(map[instance.ID]recordUpdate), nil, false
	o.mu.Unlock()

	o.m.checkBorderRole() // the updates may have made this node a border node
	for _, u := range records {
		if u.record.State.Gone() {
			o.redirect(u.record)
		}
	}
	self := o.m.config.Self
	own, relayed := o.splitBroadcasts(broadcasts)
	if len(own) > 0 {
		time.AfterFunc(deferDelay+rand.N(deferJitter), func() { o.sendDeferred(own) })
	}
	fingers := o.m.local.Fingers(self.ID)
	for i, peer := range fingers {
		if i < len(fingers)/2 {
			o.sendUpdates(peer, records, relayed)
			continue
		}
		o.sendUpdates(peer, records, slices.Concat(relayed, own))
	}
	// Each data centre sends the others only updates that originated in it. They receive the rest directly,
	// or by comparison of digests where two of them cannot reach each other.
	maps.DeleteFunc(records, func(_ instance.ID, u recordUpdate) bool { return u.record.DataCentre != self.DataCentre })
	relayed = slices.DeleteFunc(relayed, func(u broadcastUpdate) bool { return u.broadcast.DataCentre != self.DataCentre })
	for _, peer := range o.m.borderTargets() {
		o.sendUpdates(peer, records, relayed)
	}
}

// splitBroadcasts separates the large broadcasts that originated at this node from the others.
func (o *outbox) splitBroadcasts(broadcasts []broadcastUpdate) (own, relayed []broadcastUpdate) {
	for _, u := range broadcasts {
		if u.broadcast.From == o.m.config.Self.ID && len(u.broadcast.Payload) >= minOfferSize {
			own = append(own, u)
			continue
		}
		relayed = append(relayed, u)
	}
	return own, relayed
}

// sendDeferred offers the node's own large broadcasts to the near fingers, most of which hold them by
// now, and to the other data centres. A release is read from the store and broadcast by all border
// nodes. After the delay the later ones know who holds it already, and the two border nodes of a data
// centre divide the other data centres between them.
func (o *outbox) sendDeferred(own []broadcastUpdate) {
	self := o.m.config.Self.ID
	fingers := o.m.local.Fingers(self)
	for _, peer := range fingers[:len(fingers)/2] {
		o.sendUpdates(peer, nil, own)
	}
	rank, _ := o.m.local.BorderRank(self)
	shared := len(o.m.local.BorderNodes()) == borderCount
	for i, peer := range o.m.borderTargets() {
		if !shared || i%borderCount == rank {
			o.sendUpdates(peer, nil, own)
		}
	}
}

func (o *outbox) sendUpdates(peer instance.Record, records map[instance.ID]recordUpdate, pending []broadcastUpdate) {
	var updates []instance.Record
	for _, u := range records {
		if u.from != peer.ID && u.record.ID != peer.ID {
			updates = append(updates, u.record)
		}
	}
	var broadcasts []Broadcast
	for _, u := range pending {
		if u.from != peer.ID && !o.m.broadcasts.peerHolds(u.broadcast, peer.ID) {
			broadcasts = append(broadcasts, u.broadcast)
		}
	}
	o.sendTo(peer, updates, broadcasts)
}

// sendTo pushes to one peer. While an earlier push is in flight the updates are queued.
func (o *outbox) sendTo(peer instance.Record, records []instance.Record, broadcasts []Broadcast) {
	if len(records) == 0 && len(broadcasts) == 0 {
		return
	}
	q := o.queues.GetOrCreate(peer.ID, func() *peerQueue { return &peerQueue{records: make(map[instance.ID]instance.Record)} })
	if q.add(peer, records, broadcasts) && !o.m.workers.start(func(ctx context.Context) { o.drain(ctx, q) }) {
		q.clear()
	}
}

// drain pushes the queued updates until the queue is empty, or pushAttempts pushes in a row have failed.
func (o *outbox) drain(ctx context.Context, q *peerQueue) {
	failures := 0
	for {
		peer, records, broadcasts, ok := q.dequeue()
		if !ok {
			return
		}
		start := time.Now()
		if pending, err := o.m.pushUpdates(ctx, peer, records, broadcasts); err == nil {
			q.confirm()
			o.startRepeats(peer, pending)
			failures = 0
			continue
		}
		failures++
		q.requeue()
		if !o.m.isLive(peer) {
			o.redirect(peer)
		}
		// A refused connection fails at once. The wait leaves time to detect the failure of the peer.
		if failures >= pushAttempts || !wait.For(ctx, pushTimeout-time.Since(start)) {
			q.clear()
			return
		}
	}
}

// redirect passes the updates that a member has not acknowledged to the member that takes its place. Otherwise
// a member would miss them when all members that pass updates on to it fail together.
func (o *outbox) redirect(gone instance.Record) {
	q, ok := o.queues.Get(gone.ID)
	if !ok {
		return
	}
	records, broadcasts := q.takeUnacknowledged()
	records = slices.DeleteFunc(records, func(r instance.Record) bool { return r.ID == gone.ID })
	if replacement, ok := o.m.replacement(gone.ID); ok {
		o.sendTo(replacement, records, broadcasts)
	}
}

// prune removes the idle queues of instances that are not live.
func (o *outbox) prune() {
	o.queues.Range(func(id instance.ID, q *peerQueue) bool {
		if r, ok := o.m.fleet.Get(id); (!ok || r.State.Gone()) && q.idle() {
			o.queues.Delete(id)
		}
		return true
	})
}

// isLive reports whether the peer is, as far as this node knows, neither gone nor restarted.
func (m *Membership) isLive(peer instance.Record) bool {
	held, ok := m.fleet.Get(peer.ID)
	return ok && !held.State.Gone() && held.Incarnation == peer.Incarnation
}

// replacement returns the member that receives updates in place of a gone one: its later incarnation, its
// successor on the ring, or a border node of its data centre when that is another one.
func (m *Membership) replacement(gone instance.ID) (instance.Record, bool) {
	held, found := m.fleet.Get(gone)
	switch {
	case !found:
		return instance.Record{}, false
	case !held.State.Gone():
		return held, true
	case held.DataCentre != m.local.Name:
		return m.borderTarget(held.DataCentre)
	}
	successors := m.local.Successors(gone, 1)
	if len(successors) == 0 || successors[0].ID == m.config.Self.ID {
		return instance.Record{}, false
	}
	return successors[0], true
}

func (m *Membership) push(ctx context.Context, peer instance.Record, request PushRequest) (PushResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	response, err := m.config.Messenger.Push(ctx, peer.PeerAddr, request)
	if err != nil {
		return PushResponse{}, err
	}
	if err := response.validate(len(request.Offers)); err != nil {
		invalidMessages.Inc()
		return PushResponse{}, err
	}
	m.recordSender(response.Sender)
	return response, nil
}

// targets returns the peers to which this node passes updates: its fingers and, at a border node, one
// node of each other data centre.
func (m *Membership) targets() []instance.Record {
	return slices.Concat(m.local.Fingers(m.config.Self.ID), m.borderTargets())
}
