package idempotency

import (
	"sync"
	"time"
)

// Config holds the times of a keeper group. Tenure and Margin are the same at all nodes.
type Config struct {
	Tenure      time.Duration // D: length of a tenure
	Margin      time.Duration // largest difference between the wall clocks of two nodes
	StoreOutage time.Duration // time without the store after which a member stops granting; in force from the next epoch on
	Reread      time.Duration // interval of reads of the record
}

// Default times of a keeper group.
const (
	DefaultTenure      = 3 * time.Second
	DefaultMargin      = 2 * time.Second
	DefaultStoreOutage = 75 * time.Minute
	DefaultReread      = time.Minute
	// maxClockGap is the difference between the two clocks of a process that ends its tenure.
	maxClockGap = 500 * time.Millisecond
	// readPause bounds how often a member reads the store outside its regular interval.
	readPause = time.Second
	// handOverWait is how long a new owner waits for the previous owner's table before it counts
	// the table as lost.
	handOverWait = time.Second
)

// DefaultConfig returns the default times.
func DefaultConfig() Config {
	return Config{Tenure: DefaultTenure, Margin: DefaultMargin, StoreOutage: DefaultStoreOutage, Reread: DefaultReread}
}

// withDrift lengthens a time measured on another clock by the largest supported difference of
// clock rates, 10 %.
func withDrift(d time.Duration) time.Duration { return d + (d+9)/10 }

// Group is one node's part in the keeper group of a service. It decides; its Keeper reads and
// writes the store, sends the messages and reports back. It is safe for concurrent use.
type Group struct {
	self    Identity
	service string
	config  Config
	table   *Table
	broken  breakage

	mu        sync.RWMutex // held for reading while a claim or settlement uses the table
	record    *Record
	adopted   Instant // when record was adopted
	since     uint64  // first epoch since which this node has been a member without a gap, 0: none
	confirmed *Instant
	covered   map[coverage]uint64 // hand-overs received in full, with the epoch they were meant for
	partial   map[coverage]uint32 // next chunk of hand-overs under way
	sealed    bool
	sealedAt  Instant
	promises  map[string]promise // by owner
	round     round
	tenure    tenure
	heard     map[string]time.Duration // by member: monotonic time of its last answer to a grant
	reading   bool
	lastRead  time.Duration
	nextRead  time.Duration
	nextRound time.Duration
	peers     []Peer
	willing   map[Identity]time.Duration // nodes that would join, by monotonic time of their answer
	nextJoin  time.Duration
	change    *change
	wanted    time.Duration // monotonic time since which there is a reason for a change, 0: none
	stopping  bool
}

// breakage switches off parts of the protocol, so that tests can show that the fuzzing finds it.
type breakage struct {
	noSealWait, noBarrier, noFreezeCheck bool
}

// coverage names the table of one member in one ended epoch.
type coverage struct {
	epoch uint64
	from  Identity
}

// NewGroup returns the part of a node in the keeper group of a service, before it knows the record.
// It begins when it is told of a record, or when a message of a member makes it read the store.
func NewGroup(self Identity, service string, config Config, table *Table) *Group {
	return &Group{
		self: self, service: service, config: config, table: table,
		covered: map[coverage]uint64{}, partial: map[coverage]uint32{},
		promises: map[string]promise{}, heard: map[string]time.Duration{},
		willing: map[Identity]time.Duration{}, nextRead: never,
	}
}

// Record returns the newest known record, or nil. It must not be changed.
func (g *Group) Record() *Record {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.record
}

// IsMember reports whether this node is a member of the newest known epoch.
func (g *Group) IsMember() bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	_, ok := g.member()
	return ok
}

// Serving reports whether this node holds tenure now.
func (g *Group) Serving(now Instant) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.holdsTenure(now)
}

func (g *Group) member() (Member, bool) {
	if g.record == nil {
		return Member{}, false
	}
	return g.record.Member(g.self)
}

// behindOf handles a message of another epoch: it returns the record to a sender that is behind,
// and reads the store soon when this node is.
func (g *Group) behindOf(now Instant, epoch uint64) *Record {
	if g.record == nil || epoch > g.record.Epoch {
		g.readSoon(now)
		return nil
	}
	return g.record
}

// readSoon brings the next read forward. Messages of peers cannot cause more than one per pause.
func (g *Group) readSoon(now Instant) {
	g.nextRead = min(g.nextRead, max(now.Mono, g.lastRead+readPause))
}

// Seal ends this node's part in the epoch and tells how long its promises still run.
func (g *Group) Seal(now Instant, r SealRequest) SealReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.record == nil || r.Epoch != g.record.Epoch {
		return SealReply{Group: g.behindOf(now, r.Epoch)}
	}
	_, asked := g.record.Member(r.From)
	if _, ok := g.member(); !ok || !asked || r.To != g.self {
		return SealReply{}
	}
	return g.seal(now)
}

func (g *Group) seal(now Instant) SealReply {
	if !g.sealed {
		g.sealed, g.sealedAt = true, now
		g.tenure, g.round = tenure{}, round{number: g.round.number}
	}
	reply := SealReply{Sealed: true, Highest: g.table.Highest()}
	for owner, given := range g.promises {
		reply.Promises = append(reply.Promises, Promise{
			Owner: owner, Remaining: max(0, given.until-now.Mono), Ceiling: given.ceiling,
		})
	}
	return reply
}

// Handle takes an event and returns what is to be done.
func (g *Group) Handle(now Instant, in Input) []Output {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch in := in.(type) {
	case Tick:
		return g.tick(now)
	case RecordRead:
		return g.recordRead(now, in)
	case SwapDone:
		return g.swapDone(now, in)
	case GrantAnswered:
		return g.grantAnswered(now, in)
	case SealAnswered:
		return g.sealAnswered(now, in)
	case JoinAnswered:
		g.willing[in.From] = now.Mono
		return g.tick(now)
	case RecordReceived:
		return g.adopt(now, in.Record)
	case PeersChanged:
		g.peers = in.Peers
		return g.tick(now)
	case StopAsked:
		g.stopping = true
		return g.tick(now)
	}
	return nil
}

// Next returns the monotonic time of the next Tick.
func (g *Group) Next() time.Duration {
	g.mu.RLock()
	defer g.mu.RUnlock()
	next := never // a read under way sets the timer anew when it ends
	if !g.reading {
		next = g.nextRead
	}
	if _, ok := g.member(); ok {
		next = min(next, g.nextRound)
	}
	if g.change != nil {
		next = min(next, g.change.wake())
	}
	return next
}

func (g *Group) tick(now Instant) []Output {
	var out []Output
	if now.Mono >= g.nextRead && !g.reading {
		out = append(out, g.read(now))
	}
	if _, ok := g.member(); !ok {
		return out
	}
	if now.Mono >= g.nextRound {
		g.nextRound = now.Mono + g.roundInterval(now)
		out = append(out, g.startRound(now)...)
	}
	g.consider(now)
	out = append(out, g.invite(now)...)
	return append(out, g.advance(now)...)
}

func (g *Group) read(now Instant) Output {
	g.reading, g.lastRead = true, now.Mono
	g.nextRead = never // an Outsider reads for a node that is no member
	if _, ok := g.member(); ok {
		g.nextRead = now.Mono + g.config.Reread
	}
	return ReadRecord{}
}

// recordRead takes what the store holds. A read of the current epoch without a mark confirms it.
func (g *Group) recordRead(now Instant, in RecordRead) []Output {
	g.reading = false
	if in.Failed || in.Record == nil {
		g.readFailed(now)
		return nil
	}
	out := g.adopt(now, in.Record)
	if in.Record.Epoch != g.record.Epoch {
		return out
	}
	if in.Record.Mark == nil {
		g.confirm(in.Started)
	} else if _, ok := g.member(); ok && g.majorityHeard(now) {
		out = append(out, SwapRecord{Record: g.record.withMark(nil), Revision: in.Revision})
	}
	return append(out, g.changeRead(now, in)...)
}

// failedReadPause is the wait after a failed read: it shortens with the need.
func (g *Group) failedReadPause() time.Duration {
	if g.confirmed == nil || g.change != nil {
		return 2 * readPause
	}
	return g.config.Reread / 6
}

func (g *Group) readFailed(now Instant) {
	if _, ok := g.member(); !ok {
		return
	}
	g.nextRead = now.Mono + g.failedReadPause()
	if g.change != nil {
		g.change.retry()
	}
}

// confirm notes the start of a read: a mark may have been written at any time after it.
func (g *Group) confirm(started Instant) {
	if g.confirmed == nil || started.Mono > g.confirmed.Mono {
		g.confirmed = &started
	}
	if !g.tenure.held {
		g.nextRound = min(g.nextRound, started.Mono)
	}
}

func (g *Group) swapDone(now Instant, in SwapDone) []Output {
	if !in.Swapped {
		g.nextRead = min(g.nextRead, now.Mono+readPause/2) // read back what took effect
		if g.change != nil {
			g.change.retry()
		}
		return nil
	}
	if in.Record.Epoch == g.record.Epoch { // a mark was cleared
		g.confirm(in.Started)
		return nil
	}
	old := g.record
	out := g.adopt(now, in.Record)
	g.confirm(in.Started)
	return append(out, g.sendToAll(old, in.Record)...)
}

func (g *Group) sendToAll(old, record *Record) []Output {
	var out []Output
	told := map[string]bool{g.self.ID: true}
	for _, m := range append(append([]Member{}, record.Members...), old.Members...) {
		if !told[m.ID] {
			told[m.ID] = true
			out = append(out, SendRecord{To: m, Record: record})
		}
	}
	return out
}

// adopt takes a record of a higher epoch and hands over the keys that moved to other members.
func (g *Group) adopt(now Instant, record *Record) []Output {
	if record == nil || (g.record != nil && record.Epoch <= g.record.Epoch) {
		return nil
	}
	old := g.record
	g.record, g.adopted, g.confirmed, g.change = record, now, nil, nil
	g.sealed, g.tenure, g.round = false, tenure{}, round{number: g.round.number}
	g.promises = map[string]promise{}
	g.heard = map[string]time.Duration{}
	g.nextRound, g.nextRead = now.Mono, never
	wasMember := false
	if old != nil {
		_, wasMember = old.Member(g.self)
	}
	if _, ok := g.member(); !ok {
		g.since = 0
	} else {
		g.readSoon(now)
		if !wasMember || g.since == 0 {
			g.since = record.Epoch
		}
	}
	if !wasMember {
		return nil
	}
	return g.handOver(now, old)
}
