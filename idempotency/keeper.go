package idempotency

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/magnoliawharf/magnoliawharf/shard"
	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	keeperShards = 16
	// storeTimeout bounds one call to the store, messageTimeout one message to a member.
	storeTimeout   = 5 * time.Second
	messageTimeout = time.Second
	// expireInterval is the interval at which keys past their lifetime are deleted.
	expireInterval = 30 * time.Second
	// handOverAttempts bounds the repetitions of one chunk of a hand-over.
	handOverAttempts   = 30
	handOverBackoff    = 10 * time.Millisecond // doubles up to maxHandOverBackoff
	maxHandOverBackoff = 250 * time.Millisecond
)

// ServiceConfig holds the limits of one service.
type ServiceConfig struct {
	Config Config
	Bounds Bounds
}

// Keeper runs a node's part in the keeper groups that it belongs to or may join: those of the services
// of its upstream. Create it with NewKeeper.
type Keeper struct {
	self     Identity
	clock    Clock
	store    store.Store
	peers    Peers
	services *shard.Map[string, *serviceKeeper]
	ctx      context.Context
	cancel   context.CancelFunc

	mu      sync.Mutex // keeps goroutines from starting once the keeper has stopped
	stopped bool
	work    sync.WaitGroup
}

// serviceKeeper runs this node's state machines for one service: one as a member of the group, one as a
// node outside it.
type serviceKeeper struct {
	service   string
	group     *Group
	nonMember *NonMember
	table     *Table
	wake      chan struct{} // holds one element when the timer must be reset

	mu        sync.Mutex
	leftGroup chan struct{} // closed when the node has left the group, nil before a planned stop
	pending   int           // inputs whose outputs are not all started, and hand-overs under way
}

// NewKeeper returns the keeper of the node with the identity.
func NewKeeper(self Identity, s store.Store, peers Peers) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	return &Keeper{
		self: self, clock: NewClock(), store: s, peers: peers,
		services: shard.NewString[string, *serviceKeeper](keeperShards), ctx: ctx, cancel: cancel,
	}
}

// Self returns the identity of the node.
func (k *Keeper) Self() Identity { return k.self }

// Update passes on what membership knows of the nodes beside the service's upstreams. The first call
// for a service starts its state machines; setting is taken from that call.
func (k *Keeper) Update(service string, setting ServiceConfig, peers []Peer) {
	s := k.services.GetOrCreate(service, func() *serviceKeeper { return k.newServiceKeeper(service, setting) })
	k.deliver(s, PeersChanged{Peers: peers})
}

func (k *Keeper) newServiceKeeper(service string, setting ServiceConfig) *serviceKeeper {
	table := NewTable(setting.Bounds)
	now := k.clock.Now()
	s := &serviceKeeper{
		service: service, table: table, wake: make(chan struct{}, 1),
		group:     NewGroup(k.self, service, setting.Config, table),
		nonMember: NewNonMember(now, k.self, service, setting.Config, rand.N(time.Second)),
	}
	k.start(func() { k.run(s) })
	return s
}

// start runs f in a goroutine unless the keeper has stopped.
func (k *Keeper) start(f func()) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return false
	}
	k.work.Go(f)
	return true
}

// run passes a Tick to the state machines whenever the next one is due, and expires keys.
func (k *Keeper) run(s *serviceKeeper) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, min(s.group.NextTick(), s.nonMember.NextTick())-k.clock.Now().Mono))
		select {
		case <-k.ctx.Done():
			return
		case <-expire.C:
			s.table.Expire(k.clock.Now())
		case <-s.wake:
		case <-timer.C:
			k.deliver(s, Tick{})
		}
	}
}

// deliver passes an input to both state machines and executes their outputs.
func (k *Keeper) deliver(s *serviceKeeper, in Input) {
	k.process(s, s.group.Handle, in)
	k.process(s, s.nonMember.Handle, in)
	s.resetTimer()
}

// resetTimer makes run reset its timer, and ends a planned stop once the node has left the group.
func (s *serviceKeeper) resetTimer() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
	s.addPending(0)
}

// addPending changes the number of pending steps. A planned stop ends when the node is no longer a
// member, no write of its own can make it one, and nothing is pending, so that a hand-over that an input
// has just requested is not cut off.
func (s *serviceKeeper) addPending(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending += change
	if s.leftGroup == nil || s.pending > 0 || s.group.IsMember() || s.nonMember.writeUnresolved() {
		return
	}
	select {
	case <-s.leftGroup:
	default:
		close(s.leftGroup)
	}
}

type handler func(Instant, Input) []Output

// process passes an input to a state machine and executes its outputs, each in a goroutine that ends
// with its call.
func (k *Keeper) process(s *serviceKeeper, machine handler, in Input) {
	s.addPending(1)
	defer s.addPending(-1)
	for _, out := range machine(k.clock.Now(), in) {
		release := func() {}
		if _, ok := out.(HandOver); ok {
			s.addPending(1)
			release = func() { s.addPending(-1) }
		}
		started := k.start(func() {
			defer release()
			in := k.execute(s, out)
			if in == nil || k.ctx.Err() != nil {
				return
			}
			s.addPending(1)
			k.process(s, machine, in)
			k.shareRecord(s, in)
			s.addPending(-1)
			s.resetTimer()
		})
		if !started {
			release()
		}
	}
}

// shareRecord passes a record that one state machine received on to the other.
func (k *Keeper) shareRecord(s *serviceKeeper, in Input) {
	var record *Record
	switch in := in.(type) {
	case RecordRead:
		record = in.Record
	case SwapDone:
		if in.Swapped {
			record = in.Record
		}
	}
	if record != nil {
		if _, ok := record.Member(k.self); ok {
			k.process(s, s.group.Handle, RecordReceived{Record: record})
		}
	}
	if newest := s.group.Record(); newest != nil {
		s.nonMember.Handle(k.clock.Now(), RecordReceived{Record: newest})
	}
}

func (k *Keeper) execute(s *serviceKeeper, out Output) Input {
	switch out := out.(type) {
	case ReadRecord:
		return k.readRecord(s.service)
	case SwapRecord:
		return k.swapRecord(s.service, out)
	case SendGrantRequest:
		reply, err := k.requestGrant(out)
		if err != nil {
			return nil
		}
		return GrantAnswered{Round: out.Round, From: out.To.Identity, Reply: reply}
	case SendSealRequest:
		ctx, cancel := context.WithTimeout(k.ctx, messageTimeout)
		defer cancel()
		reply, err := k.peers.Seal(ctx, out.To, out.Request)
		if err != nil {
			return nil
		}
		return SealAnswered{Epoch: out.Request.Epoch, From: out.To.Identity, Reply: reply}
	case SendJoinRequest:
		ctx, cancel := context.WithTimeout(k.ctx, messageTimeout)
		defer cancel()
		if willing, err := k.peers.Join(ctx, out.To, out.Request); err != nil || !willing {
			return nil
		}
		return JoinAnswered{From: out.To.Identity}
	case SendRecord:
		ctx, cancel := context.WithTimeout(k.ctx, messageTimeout)
		defer cancel()
		_, _ = k.peers.GroupInfo(ctx, out.To, GroupInfoRequest{Service: s.service, Record: out.Record})
	case HandOver:
		k.sendHandOver(out)
	}
	return nil
}

func (k *Keeper) requestGrant(out SendGrantRequest) (GrantReply, error) {
	ctx, cancel := context.WithTimeout(k.ctx, messageTimeout)
	defer cancel()
	return k.peers.Grant(ctx, out.To, out.Request)
}

func (k *Keeper) readRecord(service string) RecordRead {
	started, era := k.clock.Now(), k.store.Era()
	ctx, cancel := context.WithTimeout(k.ctx, storeTimeout)
	defer cancel()
	entry, err := k.store.Get(ctx, StoreKey(service))
	if errorx.IsOfType(err, store.ErrNotFound) {
		return RecordRead{Started: started, Era: era}
	}
	if err != nil {
		return RecordRead{Started: started, Failed: true}
	}
	record, err := DecodeRecord(entry.Value)
	return RecordRead{Started: started, Record: record, Revision: entry.Revision, Era: era, Failed: err != nil}
}

func (k *Keeper) swapRecord(service string, out SwapRecord) SwapDone {
	started := k.clock.Now()
	ctx, cancel := context.WithTimeout(k.ctx, storeTimeout)
	defer cancel()
	revision, err := store.Within(k.store, out.Era).Swap(ctx, StoreKey(service), out.Record.Encode(), out.Revision, 0)
	return SwapDone{Started: started, Record: out.Record, Revision: revision, Era: out.Era, Swapped: err == nil}
}

func (k *Keeper) sendHandOver(out HandOver) {
	for _, chunk := range out.Chunks {
		if !k.sendChunk(out.To, chunk) {
			return
		}
	}
}

func (k *Keeper) sendChunk(to Member, chunk HandOverChunk) bool {
	pause := handOverBackoff
	for range handOverAttempts {
		ctx, cancel := context.WithTimeout(k.ctx, messageTimeout)
		accepted, err := k.peers.HandOver(ctx, to, chunk)
		cancel()
		if err == nil && accepted {
			return true
		}
		if !sleep(k.ctx, pause) {
			return false
		}
		pause = min(2*pause, maxHandOverBackoff)
	}
	return false
}
