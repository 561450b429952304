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
	// expireInterval is the interval at which keys past their lifetime are forgotten.
	expireInterval = 30 * time.Second
	// handOverTries bounds the repetitions of one chunk of a hand-over.
	handOverTries    = 30
	handOverPause    = 10 * time.Millisecond // doubles up to handOverPauseMax
	handOverPauseMax = 250 * time.Millisecond
)

// Setting holds the limits of one service.
type Setting struct {
	Config Config
	Bounds Bounds
}

// Keeper runs the keeper groups that a node belongs to, or may come to belong to: those of the
// services of its upstream. Create it with NewKeeper.
type Keeper struct {
	self   Identity
	clock  Clock
	store  store.Store
	peers  Peers
	groups *shard.Map[string, *part]
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex // guards the start of work against the end of the keeper
	stopped bool
	work    sync.WaitGroup
}

// part is the node's part in one service: member of its group, or outsider.
type part struct {
	service  string
	group    *Group
	outsider *Outsider
	table    *Table
	wake     chan struct{} // holds one element when the timer must be set anew

	mu      sync.Mutex
	leaving chan struct{} // closed when the node has left the group, nil before a planned stop
	pending int           // inputs whose outputs are not all started, and hand-overs under way
}

// NewKeeper returns the keeper of the node with the identity.
func NewKeeper(self Identity, s store.Store, peers Peers) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	return &Keeper{
		self: self, clock: NewClock(), store: s, peers: peers,
		groups: shard.NewString[string, *part](keeperShards), ctx: ctx, cancel: cancel,
	}
}

// Self returns the identity of the node.
func (k *Keeper) Self() Identity { return k.self }

// Update tells what membership knows of the nodes beside the service's upstreams. The first call
// for a service begins this node's part in it; setting is taken from that call.
func (k *Keeper) Update(service string, setting Setting, peers []Peer) {
	p := k.groups.GetOrCreate(service, func() *part { return k.begin(service, setting) })
	k.feed(p, PeersChanged{Peers: peers})
}

func (k *Keeper) begin(service string, setting Setting) *part {
	table := NewTable(setting.Bounds)
	now := k.clock.Now()
	p := &part{
		service: service, table: table, wake: make(chan struct{}, 1),
		group:    NewGroup(k.self, service, setting.Config, table),
		outsider: NewOutsider(now, k.self, service, setting.Config, rand.N(time.Second)),
	}
	k.start(func() { k.run(p) })
	return p
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

// run ticks the part whenever its next time has come.
func (k *Keeper) run(p *part) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, min(p.group.Next(), p.outsider.Next())-k.clock.Now().Mono))
		select {
		case <-k.ctx.Done():
			return
		case <-expire.C:
			p.table.Expire(k.clock.Now())
		case <-p.wake:
		case <-timer.C:
			k.feed(p, Tick{})
		}
	}
}

// feed gives an input to both machines of the part and does what they ask for.
func (k *Keeper) feed(p *part, in Input) {
	k.handle(p, p.group.Handle, in)
	k.handle(p, p.outsider.Handle, in)
	p.poke()
}

// poke sets the timer anew and ends a planned stop once the node is no member any more.
func (p *part) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
	p.count(0)
}

// count changes the number of pending steps. A planned stop ends when the node is no member any more
// and nothing is pending, so that no hand-over is cut off that an input has just asked for.
func (p *part) count(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending += change
	if p.leaving == nil || p.pending > 0 || p.group.IsMember() {
		return
	}
	select {
	case <-p.leaving:
	default:
		close(p.leaving)
	}
}

type handler func(Instant, Input) []Output

// handle gives an input to a machine and carries out its outputs, each in a goroutine that ends with
// its call.
func (k *Keeper) handle(p *part, machine handler, in Input) {
	p.count(1)
	defer p.count(-1)
	for _, out := range machine(k.clock.Now(), in) {
		release := func() {}
		if _, ok := out.(HandOver); ok {
			p.count(1)
			release = func() { p.count(-1) }
		}
		started := k.start(func() {
			defer release()
			in := k.carryOut(p, out)
			if in == nil || k.ctx.Err() != nil {
				return
			}
			k.handle(p, machine, in)
			k.share(p, in)
			p.poke()
		})
		if !started {
			release()
		}
	}
}

// share passes a record that one machine learned on to the other.
func (k *Keeper) share(p *part, in Input) {
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
			k.handle(p, p.group.Handle, RecordReceived{Record: record})
		}
	}
	if held := p.group.Record(); held != nil {
		p.outsider.Handle(k.clock.Now(), RecordReceived{Record: held})
	}
}

func (k *Keeper) carryOut(p *part, out Output) Input {
	switch out := out.(type) {
	case ReadRecord:
		return k.readRecord(p.service)
	case SwapRecord:
		return k.swapRecord(p.service, out)
	case AskGrant:
		reply, err := k.askGrant(out)
		if err != nil {
			return nil
		}
		return GrantAnswered{Round: out.Round, From: out.To.Identity, Reply: reply}
	case AskSeal:
		ctx, cancel := context.WithTimeout(k.ctx, messageTimeout)
		defer cancel()
		reply, err := k.peers.Seal(ctx, out.To, out.Request)
		if err != nil {
			return nil
		}
		return SealAnswered{Epoch: out.Request.Epoch, From: out.To.Identity, Reply: reply}
	case AskJoin:
		ctx, cancel := context.WithTimeout(k.ctx, messageTimeout)
		defer cancel()
		if willing, err := k.peers.Join(ctx, out.To, out.Request); err != nil || !willing {
			return nil
		}
		return JoinAnswered{From: out.To.Identity}
	case SendRecord:
		ctx, cancel := context.WithTimeout(k.ctx, messageTimeout)
		defer cancel()
		_, _ = k.peers.GroupInfo(ctx, out.To, InfoRequest{Service: p.service, Tell: out.Record})
	case HandOver:
		k.handOver(out)
	}
	return nil
}

func (k *Keeper) askGrant(out AskGrant) (GrantReply, error) {
	ctx, cancel := context.WithTimeout(k.ctx, messageTimeout)
	defer cancel()
	return k.peers.Grant(ctx, out.To, out.Request)
}

func (k *Keeper) readRecord(service string) RecordRead {
	started := k.clock.Now()
	ctx, cancel := context.WithTimeout(k.ctx, storeTimeout)
	defer cancel()
	entry, err := k.store.Get(ctx, StoreKey(service))
	if errorx.IsOfType(err, store.ErrNotFound) {
		return RecordRead{Started: started}
	}
	if err != nil {
		return RecordRead{Started: started, Failed: true}
	}
	record, err := DecodeRecord(entry.Value)
	return RecordRead{Started: started, Record: record, Revision: entry.Revision, Failed: err != nil}
}

func (k *Keeper) swapRecord(service string, out SwapRecord) SwapDone {
	started := k.clock.Now()
	ctx, cancel := context.WithTimeout(k.ctx, storeTimeout)
	defer cancel()
	revision, err := k.store.Swap(ctx, StoreKey(service), out.Record.Encode(), out.Revision, 0)
	return SwapDone{Started: started, Record: out.Record, Revision: revision, Swapped: err == nil}
}

func (k *Keeper) handOver(out HandOver) {
	for _, chunk := range out.Chunks {
		if !k.sendChunk(out.To, chunk) {
			return
		}
	}
}

func (k *Keeper) sendChunk(to Member, chunk Chunk) bool {
	pause := handOverPause
	for range handOverTries {
		ctx, cancel := context.WithTimeout(k.ctx, messageTimeout)
		accepted, err := k.peers.HandOver(ctx, to, chunk)
		cancel()
		if err == nil && accepted {
			return true
		}
		if !sleep(k.ctx, pause) {
			return false
		}
		pause = min(2*pause, handOverPauseMax)
	}
	return false
}
