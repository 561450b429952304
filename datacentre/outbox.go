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
)

const (
	// batchTime is how long a change waits for others, so that the loss of a rack shares messages.
	batchTime = 20 * time.Millisecond
	// pushTimeout bounds one push. A lost one is repeated; the redundant fingers cover the wait. With 3
	// attempts at a loss of 5 % in each direction 3 of 10 broadcasts missed one of 160 members.
	pushTimeout  = 500 * time.Millisecond
	pushAttempts = 5
	// maxPushRecords keeps a push near 30 KB.
	maxPushRecords = 256
	// offerSize is the payload size from which a broadcast is offered before it is sent. Each node
	// has up to 8 fingers and needs the payload once.
	offerSize = 256
	// deferTime and deferSpread delay the offers that are probably not needed. With 17 data centres a
	// release of 1 KB then costs a border node about a fifth less.
	deferTime   = 150 * time.Millisecond
	deferSpread = 200 * time.Millisecond
)

// outbox collects the updates of a node and sends them to its fingers and, at a border node, to the other
// data centres. Each peer has a lane with at most one push under way.
type outbox struct {
	m     *Membership
	lanes *shard.Map[instance.ID, *lane]

	mu      sync.Mutex
	records map[instance.ID]recordUpdate
	casts   []broadcastUpdate
	armed   bool
}

type recordUpdate struct {
	record instance.Record
	from   instance.ID
}

type broadcastUpdate struct {
	cast Broadcast
	from instance.ID
}

func newOutbox(m *Membership) *outbox {
	return &outbox{m: m, lanes: shard.NewString[instance.ID, *lane](memberShards), records: make(map[instance.ID]recordUpdate)}
}

// addRecord passes a record on, but not to the peer that it came from.
func (o *outbox) addRecord(r instance.Record, from instance.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records[r.ID] = recordUpdate{r, from}
	o.arm()
}

// addCast passes a broadcast on, but not to the peer that it came from.
func (o *outbox) addCast(b Broadcast, from instance.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.casts = append(o.casts, broadcastUpdate{b, from})
	o.arm()
}

func (o *outbox) arm() {
	if o.armed {
		return
	}
	o.armed = true
	time.AfterFunc(batchTime, o.flush)
}

func (o *outbox) flush() {
	o.mu.Lock()
	records, casts := o.records, o.casts
	o.records, o.casts, o.armed = make(map[instance.ID]recordUpdate), nil, false
	o.mu.Unlock()

	o.m.noteRole() // the updates may have made this node a border node
	self := o.m.config.Self
	own, relayed := o.splitCasts(casts)
	if len(own) > 0 {
		time.AfterFunc(deferTime+rand.N(deferSpread), func() { o.sendDeferred(own) })
	}
	fingers := o.m.home.Fingers(self.ID)
	for i, peer := range fingers {
		if i < len(fingers)/2 {
			o.sendUpdates(peer, records, relayed)
			continue
		}
		o.sendUpdates(peer, records, slices.Concat(relayed, own))
	}
	// Each data centre tells the others only what began in it. The rest reaches them directly, or by
	// comparison of digests where two of them cannot reach each other.
	maps.DeleteFunc(records, func(_ instance.ID, n recordUpdate) bool { return n.record.DataCentre != self.DataCentre })
	relayed = slices.DeleteFunc(relayed, func(n broadcastUpdate) bool { return n.cast.DataCentre != self.DataCentre })
	for _, peer := range o.m.borderTargets() {
		o.sendUpdates(peer, records, relayed)
	}
}

// splitCasts separates the large broadcasts that began at this node from the others.
func (o *outbox) splitCasts(casts []broadcastUpdate) (own, relayed []broadcastUpdate) {
	for _, n := range casts {
		if n.cast.From == o.m.config.Self.ID && len(n.cast.Payload) >= offerSize {
			own = append(own, n)
			continue
		}
		relayed = append(relayed, n)
	}
	return own, relayed
}

// sendDeferred offers the node's own large broadcasts to the near fingers, which mostly hold them by
// now, and to the other data centres. A release is read from the store and broadcast by all border
// nodes: the later ones have learned by then who holds it, and the two of one data centre share the
// others between them.
func (o *outbox) sendDeferred(own []broadcastUpdate) {
	self := o.m.config.Self.ID
	fingers := o.m.home.Fingers(self)
	for _, peer := range fingers[:len(fingers)/2] {
		o.sendUpdates(peer, nil, own)
	}
	rank, _ := o.m.home.BorderRank(self)
	shared := len(o.m.home.Borders()) == borderCount
	for i, peer := range o.m.borderTargets() {
		if !shared || i%borderCount == rank {
			o.sendUpdates(peer, nil, own)
		}
	}
}

func (o *outbox) sendUpdates(peer instance.Record, records map[instance.ID]recordUpdate, casts []broadcastUpdate) {
	var updates []instance.Record
	for _, n := range records {
		if n.from != peer.ID && n.record.ID != peer.ID {
			updates = append(updates, n.record)
		}
	}
	var broadcasts []Broadcast
	for _, n := range casts {
		if n.from != peer.ID && !o.m.casts.holds(n.cast, peer.ID) {
			broadcasts = append(broadcasts, n.cast)
		}
	}
	o.sendTo(peer, updates, broadcasts)
}

// sendTo pushes to one peer. While an earlier push is under way the updates wait for it.
func (o *outbox) sendTo(peer instance.Record, records []instance.Record, casts []Broadcast) {
	if len(records) == 0 && len(casts) == 0 {
		return
	}
	l := o.lanes.GetOrCreate(peer.ID, func() *lane { return &lane{records: make(map[instance.ID]instance.Record)} })
	if l.add(peer, records, casts) && !o.m.workers.start(func(ctx context.Context) { o.drain(ctx, l) }) {
		l.clear()
	}
}

// drain pushes what waits in the lane until it is empty or the peer does not answer.
func (o *outbox) drain(ctx context.Context, l *lane) {
	failures := 0
	for {
		peer, records, casts, ok := l.take()
		if !ok {
			return
		}
		if err := o.m.pushUpdates(ctx, peer, records, casts); err == nil {
			failures = 0
			continue
		}
		if failures++; failures >= pushAttempts || !o.m.isLive(peer) {
			l.clear()
			return
		}
		l.putBack(records, casts)
	}
}

// sweep forgets the idle lanes of instances that are not live.
func (o *outbox) sweep() {
	o.lanes.Range(func(id instance.ID, l *lane) bool {
		if r, ok := o.m.fleet.Get(id); (!ok || r.State.Gone()) && l.idle() {
			o.lanes.Delete(id)
		}
		return true
	})
}

// lane is what waits for one peer.
type lane struct {
	mu      sync.Mutex
	peer    instance.Record
	busy    bool
	records map[instance.ID]instance.Record
	casts   []Broadcast
}

// add reports whether the caller must start draining the lane.
func (l *lane) add(peer instance.Record, records []instance.Record, casts []Broadcast) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peer = peer
	for _, r := range records {
		l.records[r.ID] = r
	}
	l.addCasts(casts)
	start := !l.busy
	l.busy = true
	return start
}

func (l *lane) addCasts(casts []Broadcast) {
	l.casts = append(l.casts, casts...)
	if excess := len(l.casts) - maxBroadcasts; excess > 0 {
		castsDropped.Add(excess)
		l.casts = slices.Delete(l.casts, 0, excess)
	}
}

func (l *lane) take() (instance.Record, []instance.Record, []Broadcast, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) == 0 && len(l.casts) == 0 {
		l.busy = false
		return instance.Record{}, nil, nil, false
	}
	records := slices.Collect(maps.Values(l.records))
	records = records[:min(len(records), maxPushRecords)]
	for _, r := range records {
		delete(l.records, r.ID)
	}
	casts := l.casts
	l.casts = nil
	return l.peer, records, casts, true
}

// putBack returns what was not delivered, unless something newer took its place.
func (l *lane) putBack(records []instance.Record, casts []Broadcast) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		if held, ok := l.records[r.ID]; !ok || r.Newer(held) {
			l.records[r.ID] = r
		}
	}
	newer := l.casts
	l.casts = slices.Clone(casts)
	l.addCasts(newer)
}

func (l *lane) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.records)
	l.casts, l.busy = nil, false
}

func (l *lane) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.busy
}

// isLive reports whether the peer is, as far as this node knows, neither gone nor replaced.
func (m *Membership) isLive(peer instance.Record) bool {
	held, ok := m.fleet.Get(peer.ID)
	return ok && !held.State.Gone() && held.Incarnation == peer.Incarnation
}

// pushUpdates pushes records and broadcasts. Large broadcasts are offered, and sent when wanted.
func (m *Membership) pushUpdates(ctx context.Context, peer instance.Record, records []instance.Record, casts []Broadcast) error {
	request := PushRequest{Sender: m.sender(), Records: records}
	var offered []Broadcast
	for _, b := range casts {
		if len(b.Payload) < offerSize {
			request.Broadcasts = append(request.Broadcasts, b)
			continue
		}
		offered = append(offered, b)
		request.Offers = append(request.Offers, Offer{b.Topic, b.ID})
	}
	response, err := m.push(ctx, peer, request)
	if err != nil || len(response.Wanted) == 0 {
		return err
	}
	follow := PushRequest{Sender: request.Sender}
	for _, index := range response.Wanted {
		follow.Broadcasts = append(follow.Broadcasts, offered[index])
	}
	return m.pushAgain(ctx, peer, follow)
}

// pushAgain repeats a push until it is answered, up to pushAttempts times. The peer asked for what it
// carries and meanwhile declines the offers of others.
func (m *Membership) pushAgain(ctx context.Context, peer instance.Record, request PushRequest) error {
	var err error
	for range pushAttempts {
		if _, err = m.push(ctx, peer, request); err == nil || !m.isLive(peer) {
			return err
		}
	}
	return err
}

func (m *Membership) push(ctx context.Context, peer instance.Record, request PushRequest) (PushResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	response, err := m.config.Messenger.Push(ctx, peer.PeerAddr, request)
	if err != nil {
		return PushResponse{}, err
	}
	if err := response.validate(len(request.Offers)); err != nil {
		invalid.Inc()
		return PushResponse{}, err
	}
	m.takeSender(response.Sender)
	return response, nil
}

// targets returns the peers to which this node passes updates: its fingers and, at a border node, one
// node of each other data centre.
func (m *Membership) targets() []instance.Record {
	return slices.Concat(m.home.Fingers(m.config.Self.ID), m.borderTargets())
}
