package idempotency

import (
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	// markMargin is added to the store outage before an orphaned group is replaced: it covers the
	// promises that were given just before the members stopped granting.
	markMargin = time.Minute
	// outsiderReread is the interval at which the first outsider of a healthy group reads the record.
	outsiderReread = 5 * time.Minute
	// firstRead gives membership time to learn of the other nodes before a group is created.
	firstRead = time.Second
	// createTurn is the delay by rank between nodes that would create the same group.
	createTurn = 2 * time.Second
)

// Outsider is the part of a node beside an upstream of the service that is no member of its keeper
// group: it creates the first group, goes on from one that ended by planned stops, and replaces one
// that lost its majority. It is safe for concurrent use.
type Outsider struct {
	self    Identity
	service string
	config  Config

	mu       sync.Mutex
	peers    []Peer
	record   *Record
	revision int64
	read     bool // the record has been read at least once
	reading  bool
	unsure   bool // a write of this node may have taken effect unheard
	stopping bool
	nextRead time.Duration
	lastRead time.Duration
	invited  time.Duration // monotonic time at which other nodes were asked to join, 0: not asked
	willing  map[Identity]bool
	marked   int64 // revision of the mark under observation, 0: none
	markedAt time.Duration
}

// NewOutsider returns the part of a node outside the keeper group. spread, below a second, keeps
// nodes that start together from reading at once.
func NewOutsider(now Instant, self Identity, service string, config Config, spread time.Duration) *Outsider {
	return &Outsider{self: self, service: service, config: config, nextRead: now.Mono + firstRead + spread}
}

// Next returns the monotonic time of the next Tick.
func (o *Outsider) Next() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reading { // the end of the read sets the timer anew
		return never
	}
	return o.nextRead
}

// Record returns the newest record read, or nil.
func (o *Outsider) Record() *Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.record
}

// Handle takes an event and returns what is to be done.
func (o *Outsider) Handle(now Instant, in Input) []Output {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch in := in.(type) {
	case Tick:
		return o.tick(now)
	case StopAsked:
		o.stopping, o.nextRead = true, never
	case PeersChanged:
		o.peers = in.Peers
		o.hurry(now)
	case JoinAnswered:
		if o.willing != nil {
			o.willing[in.From] = true
		}
	case RecordReceived:
		if o.record == nil || in.Record.Epoch > o.record.Epoch {
			o.record, o.read = in.Record, true
			o.hurry(now)
		}
	case RecordRead:
		return o.recordRead(now, in)
	case SwapDone:
		return o.swapDone(now, in)
	}
	return nil
}

func (o *Outsider) tick(now Instant) []Output {
	if o.stopping || now.Mono < o.nextRead || o.reading {
		return nil
	}
	turn := o.turn()
	vacant := o.record == nil || len(o.record.Members) == 0
	if turn < 0 || (o.read && !vacant && turn > 0 && !o.holdsMark() && !o.unsure) {
		o.nextRead = now.Mono + o.config.Reread
		return nil
	}
	o.reading, o.lastRead = true, now.Mono
	o.nextRead = now.Mono + outsiderReread
	return []Output{ReadRecord{}}
}

// turn ranks this node among the serving nodes outside the group, in the region of a new group; -1:
// not among them.
func (o *Outsider) turn() int {
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

// holdsMark reports whether the group carries the mark of this node. It goes on with it, even if a
// node that ranks higher has come since.
func (o *Outsider) holdsMark() bool {
	return o.record != nil && o.record.Mark != nil && o.record.Mark.By == o.self
}

// hurry brings the next read forward when the group looks orphaned.
func (o *Outsider) hurry(now Instant) {
	if o.read && !o.stopping && o.orphaned() {
		o.nextRead = min(o.nextRead, max(now.Mono, o.lastRead+readPause))
	}
}

// orphaned reports whether membership knows less than a majority of the group as present.
func (o *Outsider) orphaned() bool {
	if o.record == nil || len(o.record.Members) == 0 {
		return true
	}
	present := 0
	for _, m := range o.record.Members {
		if live(m, o.peers) {
			present++
		}
	}
	return present < o.record.Majority()
}

func (o *Outsider) recordRead(now Instant, in RecordRead) []Output {
	o.reading = false
	if o.stopping {
		return nil
	}
	if in.Failed {
		o.nextRead = now.Mono + o.config.Reread/6
		return nil
	}
	if in.Record != nil && o.record != nil && in.Record.Epoch < o.record.Epoch {
		return nil
	}
	o.read, o.record, o.revision, o.unsure = true, in.Record, in.Revision, false
	turn := o.turn()
	switch {
	case turn < 0:
		return nil
	case in.Record == nil || len(in.Record.Members) == 0:
		return o.create(now, turn)
	case turn > 0 && !o.holdsMark(), !o.orphaned():
		o.marked = 0
		return nil
	}
	o.nextRead = now.Mono + o.config.Reread
	return o.mark(now)
}

// create writes the first group, or the one after all members stopped as planned.
func (o *Outsider) create(now Instant, turn int) []Output {
	o.nextRead = now.Mono + createTurn
	if due := o.createDue(now, turn); now.Mono < due {
		o.nextRead = due
		return nil
	}
	return o.found(now, nil)
}

func (o *Outsider) createDue(now Instant, turn int) time.Duration {
	if turn == 0 {
		return now.Mono
	}
	if o.markedAt == 0 {
		o.markedAt = now.Mono
	}
	return o.markedAt + time.Duration(turn)*createTurn
}

// found returns the swap to a new group of this node and those that agreed to join. It asks them
// first, and goes on with the next read.
func (o *Outsider) found(now Instant, ceilings map[string]int64) []Output {
	i := slices.IndexFunc(o.peers, func(p Peer) bool { return p.Identity == o.self })
	if i < 0 {
		return nil
	}
	self := o.peers[i]
	own := []Member{{Identity: o.self, Addr: self.Addr, DataCentre: self.DataCentre}}
	if o.invited == 0 || now.Mono-o.invited > willingFor {
		o.invited, o.willing = now.Mono, map[Identity]bool{}
		o.nextRead = now.Mono + sealGrace
		var out []Output
		for _, m := range fill(o.service, self.Region, own, o.peers, nil)[1:] {
			out = append(out, AskJoin{To: m, Request: JoinRequest{Service: o.service, To: m.Identity}})
		}
		return out
	}
	willing := slices.DeleteFunc(slices.Clone(o.peers), func(p Peer) bool { return !o.willing[p.Identity] })
	members := worthwhile(own, fill(o.service, self.Region, own, willing, nil))
	o.invited = 0
	record := &Record{Epoch: 1, Members: members, Outage: o.config.StoreOutage.Milliseconds(), Nonce: uuid.NewString()}
	if o.record != nil {
		record = o.record.next(members, ceilings, o.config.StoreOutage)
	}
	record.Region = self.Region
	return []Output{SwapRecord{Record: record, Revision: o.revision}}
}

// mark claims an orphaned group, or replaces it when a mark has stood long enough, whoever wrote it.
// A member that read the record after the mark was written has seen it and does not count that read
// as a confirmation; one that has not stopped granting by then, since its last confirmation is older
// than the store outage.
func (o *Outsider) mark(now Instant) []Output {
	switch {
	case o.record.Mark == nil:
		o.marked = 0
		marked := o.record.withMark(&Mark{By: o.self, Nonce: uuid.NewString()})
		return []Output{SwapRecord{Record: marked, Revision: o.revision}}
	case o.marked != o.revision:
		o.marked, o.markedAt = o.revision, now.Mono
		return nil
	case now.Mono-o.markedAt < withDrift(o.record.outage()+markMargin):
		return nil
	}
	ceiling := now.Wall.Add(2*o.config.Margin + o.config.Tenure).UnixMilli()
	ceilings := map[string]int64{}
	for _, m := range o.record.Members {
		ceilings[m.ID] = ceiling
	}
	return o.found(now, ceilings)
}

func (o *Outsider) swapDone(now Instant, in SwapDone) []Output {
	if o.stopping {
		return nil
	}
	if !in.Swapped {
		o.unsure = true // it may have taken effect
		o.nextRead = min(o.nextRead, now.Mono+readPause)
		return nil
	}
	changed := o.record == nil || in.Record.Epoch > o.record.Epoch
	o.record, o.revision = in.Record, in.Revision
	if !changed {
		o.marked, o.markedAt = in.Revision, now.Mono
		return nil
	}
	o.marked = 0
	var out []Output
	for _, m := range in.Record.Members {
		out = append(out, SendRecord{To: m, Record: in.Record})
	}
	return out
}
