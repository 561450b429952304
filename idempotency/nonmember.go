package idempotency

import (
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	// markMargin is added to the store outage before an orphaned group is replaced: it covers the
	// leases that were granted just before the members stopped granting.
	markMargin = time.Minute
	// nonMemberReadInterval is the interval at which the first-ranked node outside a healthy group
	// reads the record.
	nonMemberReadInterval = 5 * time.Minute
	// firstReadDelay gives membership time to learn of the other nodes before a group is created.
	firstReadDelay = time.Second
	// createStagger is the delay by rank between nodes that would create the same group.
	createStagger = 2 * time.Second
)

// NonMember is the state machine of a node beside an upstream of the service that is not a member of its
// keeper group: it creates the first group, and replaces one that ended by planned stops or lost its
// majority. It is safe for concurrent use.
type NonMember struct {
	self    Identity
	service string
	config  Config

	mu             sync.Mutex
	peers          []Peer
	record         *Record
	revision       int64
	era            store.EraStatus // in which the revision holds
	read           bool            // the record has been read at least once
	reading        bool
	writing        bool // a write of this node is under way
	writeUncertain bool // a write of this node may have taken effect although its reply was lost
	stopping       bool
	nextRead       time.Duration
	lastRead       time.Duration
	joinAskedAt    time.Duration // monotonic time at which other nodes were asked to join, 0: not asked
	joinAccepted   map[Identity]bool
	observedMark   int64         // revision of the mark under observation, 0: none
	waitingSince   time.Duration // monotonic start of the wait before creating a group or replacing a marked one, 0: none
}

// NewNonMember returns the state machine of a node outside the keeper group. spread, below a second, keeps
// nodes that start together from reading at once.
func NewNonMember(now Instant, self Identity, service string, config Config, spread time.Duration) *NonMember {
	return &NonMember{self: self, service: service, config: config, nextRead: now.Mono + firstReadDelay + spread}
}

// NextTick returns the monotonic time of the next Tick.
func (o *NonMember) NextTick() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reading { // the end of the read resets the timer
		return never
	}
	return o.nextRead
}

// Record returns the newest record read, or nil.
func (o *NonMember) Record() *Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record
}

// writeUnresolved reports whether a write that makes this node a member may take effect, or may have done so unknown to it.
func (o *NonMember) writeUnresolved() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.writing || o.writeUncertain
}

// Handle processes an input and returns the outputs to execute.
func (o *NonMember) Handle(now Instant, in Input) []Output {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch in := in.(type) {
	case Tick:
		return o.tick(now)
	case StopRequested:
		o.stopping = true
		if !o.writeUncertain {
			o.nextRead = never
		}
	case PeersChanged:
		o.peers = in.Peers
		o.readSoonIfMemberLost(now)
	case JoinAnswered:
		if o.joinAccepted != nil {
			o.joinAccepted[in.From] = true
		}
	case RecordReceived:
		if o.record == nil || in.Record.Epoch > o.record.Epoch {
			o.record, o.read = in.Record, true
			o.readSoonIfMemberLost(now)
		}
	case RecordRead:
		return o.recordRead(now, in)
	case SwapDone:
		return o.swapDone(now, in)
	}
	return nil
}

func (o *NonMember) tick(now Instant) []Output {
	if now.Mono < o.nextRead || o.reading {
		return nil
	}
	if !o.writeUncertain && !o.watches() {
		o.nextRead = now.Mono + o.config.ReadInterval
		return nil
	}
	o.reading, o.lastRead = true, now.Mono
	o.nextRead = now.Mono + nonMemberReadInterval
	return []Output{ReadRecord{}}
}

// watches reports whether this node reads the record at its regular interval: as the first-ranked node outside the group, as the
// one that marked it, or as any candidate while there is no group or it appears orphaned. A node that knows only an older record
// may take a member for the first-ranked node outside, and be the first-ranked one itself.
func (o *NonMember) watches() bool {
	ownRank := o.candidateRank()
	return ownRank == 0 || ownRank > 0 && (!o.read || o.holdsMark() || o.orphaned())
}

// candidateRank returns the rank of this node among the serving nodes outside the group, in the
// region of a new group, or -1 when it is not among them.
func (o *NonMember) candidateRank() int {
	region := regionFor(o.service, o.peers)
	ranked := slices.DeleteFunc(rank(o.service, o.peers), func(p Peer) bool {
		if !p.Serves || p.Gone || p.Region != region {
			return true
		}
		if o.record == nil {
			return false
		}
		_, member := o.record.Member(p.Identity)
		return member
	})
	return slices.IndexFunc(ranked, func(p Peer) bool { return p.Identity == o.self })
}

// holdsMark reports whether the group carries the mark of this node. This node then continues the
// replacement, even if a higher ranked node has appeared since.
func (o *NonMember) holdsMark() bool {
	return o.record != nil && o.record.Mark != nil && o.record.Mark.By == o.self
}

// readSoonIfMemberLost brings the next read forward when a member of the known group is not present. The group may have lost its
// majority even if the known record still has one, because it may have shrunk since.
func (o *NonMember) readSoonIfMemberLost(now Instant) {
	if o.read && !o.stopping && (o.orphaned() || o.presentMembers() < len(o.record.Members)) {
		o.nextRead = min(o.nextRead, max(now.Mono, o.lastRead+minReadInterval))
	}
}

// orphaned reports whether membership knows less than a majority of the group as present.
func (o *NonMember) orphaned() bool {
	return o.record == nil || len(o.record.Members) == 0 || o.presentMembers() < o.record.Majority()
}

func (o *NonMember) presentMembers() int {
	present := 0
	for _, m := range o.record.Members {
		if live(m, o.peers) {
			present++
		}
	}
	return present
}

func (o *NonMember) recordRead(now Instant, in RecordRead) []Output {
	o.reading = false
	if o.stopping {
		o.resolveWrite(now, in)
		return nil
	}
	if in.Failed {
		o.nextRead = now.Mono + o.config.ReadInterval/6
		return nil
	}
	if o.era.Ended() {
		o.observedMark = 0 // a revision of the earlier era does not identify the mark
	}
	o.read, o.record, o.revision, o.era, o.writeUncertain = true, o.newest(in.Record), in.Revision, in.Era, false
	ownRank := o.candidateRank()
	switch {
	case ownRank < 0:
		return nil
	case o.record == nil || len(o.record.Members) == 0:
		return o.createWhenDue(now, ownRank)
	case ownRank > 0 && !o.holdsMark():
		o.observedMark = 0
		if o.orphaned() {
			o.nextRead = now.Mono + o.config.ReadInterval
		}
		return nil
	case !o.orphaned():
		o.observedMark = 0
		return informMembers(o.record) // the node that wrote it may have ended before it informed them
	}
	o.nextRead = now.Mono + o.config.ReadInterval
	return o.markOrReplace(now)
}

// newest returns the record read, or the known one when the store holds an older one or none. The next
// write then goes from the known record to the revision read. The store has no mark on it that members
// could see.
func (o *NonMember) newest(read *Record) *Record {
	if o.record != nil && (read == nil || read.Epoch < o.record.Epoch) {
		return o.record.withMark(nil)
	}
	return read
}

// resolveWrite ends the uncertainty about a write of a stopping node once the record has been read. If the write made this node a
// member, its Group receives the record and leaves the group.
func (o *NonMember) resolveWrite(now Instant, in RecordRead) {
	if in.Failed && o.writeUncertain {
		o.nextRead = now.Mono + minReadInterval
		return
	}
	o.writeUncertain, o.nextRead = false, never
}

// createWhenDue creates the first group, or the next one after all members stopped as planned, when
// this node's delay by rank has passed.
func (o *NonMember) createWhenDue(now Instant, ownRank int) []Output {
	o.nextRead = now.Mono + createStagger
	if due := o.createDue(now, ownRank); now.Mono < due {
		o.nextRead = due
		return nil
	}
	return o.formGroup(now, nil)
}

func (o *NonMember) createDue(now Instant, ownRank int) time.Duration {
	if ownRank == 0 {
		return now.Mono
	}
	if o.waitingSince == 0 {
		o.waitingSince = now.Mono
	}
	return o.waitingSince + time.Duration(ownRank)*createStagger
}

// formGroup returns the swap to a new group of this node and those that agreed to join. It first
// sends the join requests, and continues after the next read.
func (o *NonMember) formGroup(now Instant, ceilings map[string]int64) []Output {
	i := slices.IndexFunc(o.peers, func(p Peer) bool { return p.Identity == o.self })
	if i < 0 {
		return nil
	}
	self := o.peers[i]
	own := []Member{{Identity: o.self, Addr: self.Addr, DataCentre: self.DataCentre}}
	if o.joinAskedAt == 0 || now.Mono-o.joinAskedAt > joinReplyTTL {
		o.joinAskedAt, o.joinAccepted = now.Mono, map[Identity]bool{}
		o.nextRead = now.Mono + replyGracePeriod
		var out []Output
		for _, m := range fillMembers(o.service, self.Region, own, o.peers, nil)[1:] {
			out = append(out, SendJoinRequest{To: m, Request: JoinRequest{Service: o.service, To: m.Identity}})
		}
		return out
	}
	willing := slices.DeleteFunc(slices.Clone(o.peers), func(p Peer) bool { return !o.joinAccepted[p.Identity] })
	members := acceptGrowth(own, fillMembers(o.service, self.Region, own, willing, nil))
	o.joinAskedAt = 0
	record := &Record{Epoch: 1, Members: members, Outage: o.config.StoreOutage.Milliseconds(), Nonce: uuid.NewString()}
	if o.record != nil {
		record = o.record.next(members, ceilings, o.config.StoreOutage)
	}
	record.Region = self.Region
	return o.write(record)
}

// markOrReplace marks an orphaned group, or replaces it when a mark has stood long enough, whoever
// wrote it. A member that read the record after the mark was written has seen it and does not count
// that read as a confirmation; any other member has stopped granting by then, because its last
// confirmation is older than the store outage.
func (o *NonMember) markOrReplace(now Instant) []Output {
	switch {
	case o.record.Mark == nil:
		o.observedMark = 0
		marked := o.record.withMark(&ReplacementMark{By: o.self, Nonce: uuid.NewString()})
		return o.write(marked)
	case o.observedMark != o.revision:
		o.observedMark, o.waitingSince = o.revision, now.Mono
		return nil
	case now.Mono-o.waitingSince < withDrift(o.record.outage()+markMargin):
		return nil
	}
	ceiling := now.Wall.Add(2*o.config.Margin + o.config.LeaseDuration).UnixMilli()
	ceilings := map[string]int64{}
	for _, m := range o.record.Members {
		ceilings[m.ID] = ceiling
	}
	return o.formGroup(now, ceilings)
}

// write returns the swap to the record at the revision that was read.
func (o *NonMember) write(record *Record) []Output {
	o.writing = true
	return []Output{SwapRecord{Record: record, Revision: o.revision, Era: o.era}}
}

func (o *NonMember) swapDone(now Instant, in SwapDone) []Output {
	o.writing = false
	if !in.Swapped {
		o.writeUncertain = true // it may have taken effect
		o.nextRead = min(o.nextRead, now.Mono+minReadInterval)
		return nil
	}
	if o.stopping {
		return nil
	}
	changed := o.record == nil || in.Record.Epoch > o.record.Epoch
	o.record, o.revision, o.era = in.Record, in.Revision, in.Era
	if !changed {
		o.observedMark, o.waitingSince = in.Revision, now.Mono
		return nil
	}
	o.observedMark = 0
	return informMembers(in.Record)
}

// informMembers returns the messages that send the record to its members.
func informMembers(record *Record) []Output {
	var out []Output
	for _, m := range record.Members {
		out = append(out, SendRecord{To: m, Record: record})
	}
	return out
}
