package idempotency

import (
	"sync"
	"time"
)

// Config holds the time limits of a keeper group. The length of a lease and Margin must be the same
// at all nodes.
type Config struct {
	LeaseDuration time.Duration // D: length of a lease
	Margin        time.Duration // largest difference between the wall clocks of two nodes
	StoreOutage   time.Duration // time without the store after which a member stops granting; in force from the next epoch on
	ReadInterval  time.Duration // interval between reads of the record
}

// Default time limits of a keeper group.
const (
	DefaultLeaseDuration = 3 * time.Second
	DefaultMargin        = 2 * time.Second
	DefaultStoreOutage   = 75 * time.Minute
	DefaultReadInterval  = time.Minute
	// maxClockDivergence is the largest difference between the elapsed times on the two clocks of a
	// process: above it, the process's lease counts as ended.
	maxClockDivergence = 500 * time.Millisecond
	// minReadInterval bounds how often a member reads the store outside its regular interval.
	minReadInterval = time.Second
	// handOverWait is how long a new owner waits for the previous owner's table before it counts
	// the table as lost.
	handOverWait = time.Second
)

// DefaultConfig returns the default time limits.
func DefaultConfig() Config {
	return Config{LeaseDuration: DefaultLeaseDuration, Margin: DefaultMargin, StoreOutage: DefaultStoreOutage, ReadInterval: DefaultReadInterval}
}

// withDrift lengthens a time measured on another clock by the largest supported difference of
// clock rates, 10 %.
func withDrift(d time.Duration) time.Duration { return d + (d+9)/10 }

// Group is the state machine of one node in the keeper group of a service. It makes the decisions;
// its Keeper calls the store, sends the messages and passes the results back as inputs. It is safe
// for concurrent use.
type Group struct {
	self     Identity
	service  string
	config   Config
	table    *Table
	mutation mutation

	mu                sync.RWMutex // held for reading while a claim or settlement uses the table
	record            *Record
	adoptedAt         Instant               // when record was adopted
	memberSince       uint64                // first epoch of this node's uninterrupted membership, 0: not a member
	confirmedAt       *Instant              // start of the latest read that confirmed the epoch, nil: none
	handOversReceived map[handOverID]uint64 // hand-overs received in full, with the epoch in which this node owns the keys
	nextChunk         map[handOverID]uint32 // number of the next chunk of each hand-over under way
	sealed            bool                  // this node takes no further part in the epoch
	sealedAt          Instant
	promises          map[string]promise // leases granted in the epoch, by owner ID
	round             grantRound
	lease             lease
	lastGrantReply    map[string]time.Duration // monotonic time of each member's last reply to a grant request, by ID
	reading           bool
	lastRead          time.Duration
	nextRead          time.Duration
	nextRound         time.Duration
	peers             []Peer
	joinAcceptedAt    map[Identity]time.Duration // nodes that agreed to join, with the monotonic time of their reply
	nextJoin          time.Duration
	change            *epochChange
	changeWantedSince time.Duration // monotonic time since which there is a reason for a change, 0: none
	stopping          bool
}

// mutation disables single rules of the protocol, so that a test can show that the fuzz tests detect it.
type mutation struct {
	noSealWait, noBarrier, noFreezeCheck bool
}

// handOverID identifies the hand-over of one member's table at the end of an epoch.
type handOverID struct {
	epoch uint64
	from  Identity
}

// NewGroup returns the state machine of a node that does not know the record yet. It becomes active
// when it receives a record, or when a message of a member makes it read the store.
func NewGroup(self Identity, service string, config Config, table *Table) *Group {
	return &Group{
		self: self, service: service, config: config, table: table,
		handOversReceived: map[handOverID]uint64{}, nextChunk: map[handOverID]uint32{},
		promises: map[string]promise{}, lastGrantReply: map[string]time.Duration{},
		joinAcceptedAt: map[Identity]time.Duration{}, nextRead: never,
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

// Serving reports whether this node holds a lease now.
func (g *Group) Serving(now Instant) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.holdsLease(now)
}

func (g *Group) member() (Member, bool) {
	if g.record == nil {
		return Member{}, false
	}
	return g.record.Member(g.self)
}

// handleEpochMismatch handles a message of another epoch: it returns the record for a sender that is
// behind, and schedules a read of the store when this node is behind.
func (g *Group) handleEpochMismatch(now Instant, epoch uint64) *Record {
	if g.record == nil || epoch > g.record.Epoch {
		g.readSoon(now)
		return nil
	}
	return g.record
}

// readSoon brings the next read forward. Messages of peers cannot cause more than one read per
// minReadInterval.
func (g *Group) readSoon(now Instant) {
	g.nextRead = min(g.nextRead, max(now.Mono, g.lastRead+minReadInterval))
}

// Seal ends this node's part in the epoch and reports how long its promises are still valid.
func (g *Group) Seal(now Instant, r SealRequest) SealReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.record == nil || r.Epoch != g.record.Epoch {
		return SealReply{Group: g.handleEpochMismatch(now, r.Epoch)}
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
		g.lease, g.round = lease{}, grantRound{number: g.round.number}
	}
	reply := SealReply{Sealed: true, LatestIssued: g.table.LatestIssued()}
	for owner, given := range g.promises {
		reply.Promises = append(reply.Promises, Promise{
			Owner: owner, Remaining: max(0, given.until-now.Mono), Ceiling: given.ceiling,
		})
	}
	return reply
}

// Handle processes an input and returns the outputs to execute.
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
		g.joinAcceptedAt[in.From] = now.Mono
		return g.tick(now)
	case RecordReceived:
		return g.adopt(now, in.Record)
	case PeersChanged:
		g.peers = in.Peers
		return g.tick(now)
	case StopRequested:
		g.stopping = true
		return g.tick(now)
	}
	return nil
}

// NextTick returns the monotonic time of the next Tick.
func (g *Group) NextTick() time.Duration {
	g.mu.RLock()
	defer g.mu.RUnlock()
	next := never // the end of a read under way resets the timer
	if !g.reading {
		next = g.nextRead
	}
	if _, ok := g.member(); ok {
		next = min(next, g.nextRound)
	}
	if g.change != nil {
		next = min(next, g.change.nextTick())
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
	g.maybeStartChange(now)
	out = append(out, g.inviteCandidates(now)...)
	return append(out, g.advanceChange(now)...)
}

func (g *Group) read(now Instant) Output {
	g.reading, g.lastRead = true, now.Mono
	g.nextRead = never // for a node that is not a member, the non-member state machine reads
	if _, ok := g.member(); ok {
		g.nextRead = now.Mono + g.config.ReadInterval
	}
	return ReadRecord{}
}

// recordRead processes the result of a store read. A read of the current epoch without a mark confirms it.
func (g *Group) recordRead(now Instant, in RecordRead) []Output {
	g.reading = false
	switch {
	case in.Failed || in.Record == nil && g.record == nil:
		g.readFailed(now)
		return nil
	case in.Record == nil || g.record != nil && in.Record.Epoch < g.record.Epoch:
		return g.restoreRecord(now, in)
	}
	out := g.adopt(now, in.Record)
	if in.Record.Mark == nil {
		g.confirm(in.Started)
	} else if _, ok := g.member(); ok && g.majorityResponsive(now) {
		out = append(out, SwapRecord{Record: g.record.withMark(nil), Revision: in.Revision, Era: in.Era})
	}
	return append(out, g.resumeChange(now, in)...)
}

// restoreRecord handles the read of an older record, or of none. A read that began after the known
// record was adopted shows that the store has lost that record: a member writes it again, and reads it
// back before a change of epoch goes on. Like a mark of the known epoch, one of the older record is
// overwritten only while a majority responds.
func (g *Group) restoreRecord(now Instant, in RecordRead) []Output {
	if _, ok := g.member(); !ok || in.Started.Mono < g.adoptedAt.Mono {
		return nil
	}
	g.readFailed(now)
	if in.Record != nil && in.Record.Mark != nil && !g.majorityResponsive(now) {
		return nil
	}
	return []Output{SwapRecord{Record: g.record.withMark(nil), Revision: in.Revision, Era: in.Era}}
}

// failedReadDelay is the wait after a failed read. It is shorter while the epoch is unconfirmed or a
// change is under way.
func (g *Group) failedReadDelay() time.Duration {
	if g.confirmedAt == nil || g.change != nil {
		return 2 * minReadInterval
	}
	return g.config.ReadInterval / 6
}

func (g *Group) readFailed(now Instant) {
	if _, ok := g.member(); !ok {
		return
	}
	g.nextRead = now.Mono + g.failedReadDelay()
	if g.change != nil {
		g.change.rereadStore()
	}
}

// confirm takes the start of a read as the time of confirmation, because a mark may have been written
// at any time after it.
func (g *Group) confirm(started Instant) {
	if g.confirmedAt == nil || started.Mono > g.confirmedAt.Mono {
		g.confirmedAt = &started
	}
	if !g.lease.held {
		g.nextRound = min(g.nextRound, started.Mono)
	}
}

func (g *Group) swapDone(now Instant, in SwapDone) []Output {
	if !in.Swapped {
		g.nextRead = min(g.nextRead, now.Mono+minReadInterval/2) // read back which write took effect
		if g.change != nil {
			g.change.rereadStore()
		}
		return nil
	}
	if in.Record.Epoch < g.record.Epoch {
		return nil // it says nothing of the epoch adopted since
	}
	if in.Record.Epoch == g.record.Epoch { // a mark was cleared, or a lost record restored
		g.confirm(in.Started)
		return nil
	}
	old := g.record
	out := g.adopt(now, in.Record)
	g.confirm(in.Started)
	return append(out, g.broadcastRecord(old, in.Record)...)
}

func (g *Group) broadcastRecord(old, record *Record) []Output {
	var out []Output
	notified := map[string]bool{g.self.ID: true}
	for _, m := range append(append([]Member{}, record.Members...), old.Members...) {
		if !notified[m.ID] {
			notified[m.ID] = true
			out = append(out, SendRecord{To: m, Record: record})
		}
	}
	return out
}

// adopt installs a record of a higher epoch and hands over the keys that moved to other members.
func (g *Group) adopt(now Instant, record *Record) []Output {
	if record == nil || (g.record != nil && record.Epoch <= g.record.Epoch) {
		return nil
	}
	old := g.record
	g.record, g.adoptedAt, g.confirmedAt, g.change = record, now, nil, nil
	g.sealed, g.lease, g.round = false, lease{}, grantRound{number: g.round.number}
	g.promises = map[string]promise{}
	g.lastGrantReply = map[string]time.Duration{}
	g.nextRound, g.nextRead = now.Mono, never
	wasMember := false
	if old != nil {
		_, wasMember = old.Member(g.self)
	}
	if _, ok := g.member(); !ok {
		g.memberSince = 0
	} else {
		g.readSoon(now)
		if !wasMember || g.memberSince == 0 {
			g.memberSince = record.Epoch
		}
	}
	if !wasMember {
		return nil
	}
	return g.handOver(now, old)
}
