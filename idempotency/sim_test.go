package idempotency

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// world is a deterministic model of nodes, entry nodes, network and store under a virtual clock. It
// runs the real Group, Outsider and Table; only I/O and clocks are modelled.
type world struct {
	random  *rand.Rand
	now     time.Duration
	queue   eventQueue
	serial  int
	busy    int // events in the present second
	view    int // version of the membership
	broken  breakage
	faulty  bool // messages are delayed, doubled and lost
	hostile bool // clocks beyond what the tenure supports; an orphaned group is not replaced
	nodes   []*simNode
	entries []*simEntry
	store   simStore
	oracle  oracle
	err     error
}

type event struct {
	at     time.Duration
	serial int
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (w *world) after(d time.Duration, run func()) {
	w.serial++
	heap.Push(&w.queue, event{at: w.now + d, serial: w.serial, run: run})
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("at %v: %s", w.now, fmt.Sprintf(format, args...))
	}
}

// runUntil works the queue off and checks the invariants that hold at every moment.
func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end && w.err == nil {
		e := heap.Pop(&w.queue).(event)
		if e.at/time.Second != w.now/time.Second {
			w.busy = 0
		}
		if w.busy++; w.busy > 20_000 {
			w.fail("a timer spins")
		}
		w.now = e.at
		e.run()
		if !w.hostile {
			w.checkTenure()
		}
	}
	w.now = end
}

// delay returns the delays of the copies of one message, none when it is lost.
func (w *world) delay() []time.Duration {
	once := func() time.Duration {
		if w.faulty && w.random.IntN(20) == 0 {
			return time.Duration(w.random.Int64N(int64(15 * time.Second)))
		}
		return 200*time.Microsecond + time.Duration(w.random.Int64N(int64(3*time.Millisecond)))
	}
	switch {
	case w.faulty && w.random.IntN(15) == 0:
		return nil
	case w.faulty && w.random.IntN(15) == 0:
		return []time.Duration{once(), once()}
	}
	return []time.Duration{once()}
}

// simProcess is a process with its clocks. Its events wait while it is frozen and are lost when it
// dies.
type simProcess struct {
	w        *world
	life     int
	alive    bool
	isolated bool
	frozen   time.Duration // until
	rate     float64       // of the monotonic clock
	started  time.Duration
	stopped  time.Duration // time for which the monotonic clock stood still
	skew     time.Duration // of the wall clock
}

var simEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (p *simProcess) instant() Instant {
	ran := float64(p.w.now - p.started - p.stopped)
	return Instant{Mono: clockLead + time.Duration(ran*p.rate), Wall: simEpoch.Add(p.w.now + p.skew)}
}

// within runs f in the process after d of real time, in the life in which it was asked for.
func (p *simProcess) within(d time.Duration, f func()) {
	life := p.life
	var attempt func()
	attempt = func() {
		switch {
		case !p.alive || p.life != life:
		case p.w.now < p.frozen:
			p.w.after(p.frozen-p.w.now+time.Duration(p.w.random.Int64N(1e6)), attempt)
		default:
			f()
		}
	}
	p.w.after(d, attempt)
}

// post carries a message from one process to another, and reply what it answers back.
func post[R any](w *world, from, to *simProcess, serve func() R, answered func(R)) {
	for _, d := range w.delay() {
		if from.isolated || to.isolated {
			continue
		}
		to.within(d, func() {
			reply := serve()
			for _, d := range w.delay() {
				if !from.isolated && !to.isolated {
					from.within(d, func() { answered(reply) })
				}
			}
		})
	}
}

// simStore is a linearizable store: a call takes effect at one moment between request and answer.
type simStore struct {
	record   []byte
	revision int64
	down     bool
}

const simStoreTimeout = 5 * time.Second

func (n *simNode) callStore(apply func() Input, failed Input, deliver func(Input)) {
	w, done := n.w, false
	finish := func(in Input) {
		if !done {
			done = true
			deliver(in)
		}
	}
	n.within(simStoreTimeout, func() { finish(failed) })
	delays := w.delay()
	if len(delays) == 0 || w.store.down {
		return
	}
	w.after(delays[0], func() {
		if w.store.down {
			return
		}
		in := apply()
		if back := w.delay(); len(back) > 0 {
			n.within(back[0], func() { finish(in) })
		}
	})
}

// simNode is a keeper: the state machines of a node with their outputs carried out by the model.
type simNode struct {
	simProcess
	peer     Peer
	group    *Group
	outsider *Outsider
	table    *Table
	ticking  time.Duration
	view     int // version of the membership known
}

func (w *world) newNode(index int) *simNode {
	n := &simNode{peer: Peer{
		Identity: Identity{ID: fmt.Sprintf("n%d", index)}, Addr: fmt.Sprint(index),
		DataCentre: fmt.Sprintf("dc%d", index%3), Region: "r", Serves: true,
	}}
	n.w = w
	n.skew = w.randomSkew()
	return n
}

func (w *world) randomSkew() time.Duration {
	most := 900 * time.Millisecond
	if w.hostile {
		most = 6 * time.Second
	}
	return time.Duration(w.random.Int64N(2*int64(most))) - most
}

var simConfig = Config{
	Tenure: DefaultTenure, Margin: DefaultMargin, StoreOutage: 40 * time.Second, Reread: 10 * time.Second,
}

var simBounds = Bounds{Keys: 500, AnswerBytes: 1 << 16, Lifetime: 40 * time.Second, Margin: DefaultMargin}

func (n *simNode) start() {
	n.life++
	n.alive, n.frozen, n.stopped, n.started = true, 0, 0, n.w.now
	n.rate = 0.955 + 0.09*n.w.random.Float64()
	config := simConfig
	if n.w.hostile {
		n.rate = 0.3 + 2*n.w.random.Float64()
		config.StoreOutage = time.Hour
	}
	n.peer.Incarnation, n.peer.Gone = uint64(n.w.now)+1, false
	n.table = NewTable(simBounds)
	n.group = NewGroup(n.peer.Identity, "s", config, n.table)
	n.group.broken = n.w.broken
	n.outsider = NewOutsider(n.instant(), n.peer.Identity, "s", config, time.Duration(n.w.random.Int64N(1e9)))
	n.ticking, n.view = 0, 0
	n.w.announce()
	n.within(0, n.schedule)
}

// announce tells every node of the present membership, each at its own time.
func (w *world) announce() {
	var peers []Peer
	for _, n := range w.nodes {
		if n.group != nil {
			peers = append(peers, n.peer)
		}
	}
	w.view++
	view := w.view
	for _, n := range w.nodes {
		n.within(time.Duration(w.random.Int64N(int64(2*time.Second))), func() {
			if n.view < view { // membership does not go back
				n.view = view
				n.feed(PeersChanged{Peers: peers})
			}
		})
	}
}

func (n *simNode) feed(in Input) {
	n.do(n.group.Handle, n.group.Handle(n.instant(), in))
	n.do(n.outsider.Handle, n.outsider.Handle(n.instant(), in))
	n.schedule()
}

func (n *simNode) schedule() {
	next := min(n.group.Next(), n.outsider.Next())
	now := n.instant()
	if n.ticking > now.Mono && n.ticking <= next {
		return
	}
	n.ticking = next
	if next == never {
		return
	}
	wait := time.Duration(float64(max(0, next-now.Mono))/n.rate) + time.Microsecond
	n.within(wait, func() {
		if n.ticking == next {
			n.ticking = 0
			if n.w.random.IntN(20) == 0 {
				n.table.Expire(n.instant())
			}
			n.feed(Tick{})
		}
	})
}

func (n *simNode) do(handle handler, outputs []Output) {
	back := func(in Input) {
		n.do(handle, handle(n.instant(), in))
		if record := recordOf(in); record != nil {
			if _, ok := record.Member(n.peer.Identity); ok {
				n.do(n.group.Handle, n.group.Handle(n.instant(), RecordReceived{Record: record}))
			}
		}
		if held := n.group.Record(); held != nil {
			n.outsider.Handle(n.instant(), RecordReceived{Record: held})
		}
		n.schedule()
	}
	for _, out := range outputs {
		n.carryOut(out, back)
	}
}

func recordOf(in Input) *Record {
	switch in := in.(type) {
	case RecordRead:
		return in.Record
	case SwapDone:
		if in.Swapped {
			return in.Record
		}
	}
	return nil
}

func (n *simNode) carryOut(out Output, back func(Input)) {
	w, started := n.w, n.instant()
	switch out := out.(type) {
	case ReadRecord:
		n.callStore(func() Input {
			if w.store.revision == 0 {
				return RecordRead{Started: started}
			}
			record, err := DecodeRecord(w.store.record)
			return RecordRead{Started: started, Record: record, Revision: w.store.revision, Failed: err != nil}
		}, RecordRead{Started: started, Failed: true}, back)
	case SwapRecord:
		raw := out.Record.Encode()
		n.callStore(func() Input {
			done := SwapDone{Started: started, Record: out.Record}
			if w.store.revision == out.Revision {
				w.store.record, w.store.revision = raw, w.store.revision+1
				done.Swapped, done.Revision = true, w.store.revision
			}
			return done
		}, SwapDone{Started: started, Record: out.Record}, back)
	case AskGrant:
		w.toNode(&n.simProcess, out.To, func(to *simNode) {
			post(w, &n.simProcess, &to.simProcess, func() GrantReply {
				defer to.schedule()
				return to.group.Grant(to.instant(), out.Request)
			}, func(r GrantReply) { back(GrantAnswered{Round: out.Round, From: out.To.Identity, Reply: r}) })
		})
	case AskSeal:
		w.toNode(&n.simProcess, out.To, func(to *simNode) {
			post(w, &n.simProcess, &to.simProcess, func() SealReply {
				defer to.schedule()
				return to.group.Seal(to.instant(), out.Request)
			}, func(r SealReply) {
				back(SealAnswered{Epoch: out.Request.Epoch, From: out.To.Identity, Reply: r})
			})
		})
	case AskJoin:
		w.toNode(&n.simProcess, out.To, func(to *simNode) {
			post(w, &n.simProcess, &to.simProcess, func() bool { return to.group.Join(out.Request) }, func(willing bool) {
				if willing {
					back(JoinAnswered{From: out.To.Identity})
				}
			})
		})
	case SendRecord:
		w.toNode(&n.simProcess, out.To, func(to *simNode) {
			post(w, &n.simProcess, &to.simProcess, func() bool {
				to.do(to.group.Handle, to.group.Handle(to.instant(), RecordReceived{Record: out.Record}))
				to.schedule()
				return true
			}, func(bool) {})
		})
	case HandOver:
		n.sendChunks(out.To, out.Chunks, 20)
	}
}

func (n *simNode) sendChunks(to Member, chunks []Chunk, tries int) {
	if len(chunks) == 0 || tries == 0 {
		return
	}
	accepted := false
	n.w.toNode(&n.simProcess, to, func(peer *simNode) {
		post(n.w, &n.simProcess, &peer.simProcess, func() bool {
			defer peer.schedule()
			return peer.group.TakeOver(peer.instant(), chunks[0])
		}, func(ok bool) {
			if ok && !accepted {
				accepted = true
				n.sendChunks(to, chunks[1:], 20)
			}
		})
	})
	n.within(time.Second, func() {
		if !accepted {
			n.sendChunks(to, chunks, tries-1)
		}
	})
}

// toNode finds the process at the member's address, whatever its incarnation.
func (w *world) toNode(_ *simProcess, to Member, use func(*simNode)) {
	for _, n := range w.nodes {
		if n.peer.ID == to.ID && n.alive {
			use(n)
		}
	}
}
