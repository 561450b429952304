package idempotency

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// simulation is a deterministic simulation of nodes, entry nodes, network and store under a virtual
// clock. It runs the real state machines and tables; only I/O and clocks are simulated.
type simulation struct {
	random            *rand.Rand
	now               time.Duration
	queue             eventQueue
	serial            int
	eventsThisSecond  int           // events in the current virtual second
	burstEnds         time.Duration // end of the second after an event that had waited for a frozen process
	membershipVersion int
	mutation          mutation
	faulty            bool // messages are delayed, duplicated and lost
	clocksOutOfBounds bool // clocks differ by more than leases support; an orphaned group is not replaced
	nodes             []*simNode
	entries           []*simEntry
	store             simStore
	oracle            oracle
	err               error
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

func (sim *simulation) after(d time.Duration, run func()) {
	sim.serial++
	heap.Push(&sim.queue, event{at: sim.now + d, serial: sim.serial, run: run})
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf("at %v: %s", sim.now, fmt.Sprintf(format, args...))
	}
}

const (
	// maxEventsPerSecond bounds the events of a virtual second. It does not hold right after a freeze, when all messages sent to
	// the process meanwhile are handled and answered.
	maxEventsPerSecond = 20_000
	// maxTicksPerSecond bounds the ticks of one node's timer in a virtual second.
	maxTicksPerSecond = 100
)

// runUntil executes the queued events and checks the invariants after each.
func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= end && sim.err == nil {
		e := heap.Pop(&sim.queue).(event)
		if e.at/time.Second != sim.now/time.Second {
			sim.eventsThisSecond = 0
		}
		sim.now = e.at
		if sim.eventsThisSecond++; sim.eventsThisSecond > maxEventsPerSecond && sim.now >= sim.burstEnds {
			sim.fail("messages multiply")
		}
		e.run()
		if !sim.clocksOutOfBounds {
			sim.checkTenure()
		}
	}
	sim.now = end
}

// delay returns the delays of the copies of one message, none when it is lost.
func (sim *simulation) delay() []time.Duration {
	once := func() time.Duration {
		if sim.faulty && sim.random.IntN(20) == 0 {
			return time.Duration(sim.random.Int64N(int64(15 * time.Second)))
		}
		return 200*time.Microsecond + time.Duration(sim.random.Int64N(int64(3*time.Millisecond)))
	}
	switch {
	case sim.faulty && sim.random.IntN(15) == 0:
		return nil
	case sim.faulty && sim.random.IntN(15) == 0:
		return []time.Duration{once(), once()}
	}
	return []time.Duration{once()}
}

// simProcess is a process with its clocks. Its events wait while it is frozen and are dropped when it
// ends.
type simProcess struct {
	sim          *simulation
	generation   int
	alive        bool
	isolated     bool
	frozenUntil  time.Duration
	rate         float64 // of the monotonic clock
	started      time.Duration
	clockStopped time.Duration // time for which the monotonic clock did not advance
	skew         time.Duration // of the wall clock
}

var simEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (p *simProcess) instant() Instant {
	ran := float64(p.sim.now - p.started - p.clockStopped)
	return Instant{Mono: clockOffset + time.Duration(ran*p.rate), Wall: simEpoch.Add(p.sim.now + p.skew)}
}

// runAfter runs f in the process after d on the simulation's clock, unless the process has ended or
// restarted by then.
func (p *simProcess) runAfter(d time.Duration, f func()) {
	generation, deferred := p.generation, false
	var attempt func()
	attempt = func() {
		if deferred {
			p.sim.burstEnds = p.sim.now + time.Second
		}
		switch {
		case !p.alive || p.generation != generation:
		case p.sim.now < p.frozenUntil:
			deferred = true
			p.sim.after(p.frozenUntil-p.sim.now+time.Duration(p.sim.random.Int64N(1e6)), attempt)
		default:
			f()
		}
	}
	p.sim.after(d, attempt)
}

// sendMessage delivers a request from one process to another, and the reply back.
func sendMessage[R any](sim *simulation, from, to *simProcess, serve func() R, answered func(R)) {
	for _, d := range sim.delay() {
		if from.isolated || to.isolated {
			continue
		}
		to.runAfter(d, func() {
			reply := serve()
			for _, d := range sim.delay() {
				if !from.isolated && !to.isolated {
					from.runAfter(d, func() { answered(reply) })
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
	sim, done := n.sim, false
	finish := func(in Input) {
		if !done {
			done = true
			deliver(in)
		}
	}
	n.runAfter(simStoreTimeout, func() { finish(failed) })
	delays := sim.delay()
	if len(delays) == 0 || sim.store.down {
		return
	}
	sim.after(delays[0], func() {
		if sim.store.down {
			return
		}
		in := apply()
		if back := sim.delay(); len(back) > 0 {
			n.runAfter(back[0], func() { finish(in) })
		}
	})
}

// simNode is a keeper: the state machines of a node, with their outputs executed by the simulation.
type simNode struct {
	simProcess
	peer              Peer
	group             *Group
	nonMember         *NonMember
	table             *Table
	nextTick          time.Duration
	tickSecond        time.Duration // virtual second of the last tick
	ticksThisSecond   int
	membershipVersion int // version known to the node
}

func (sim *simulation) newNode(index int) *simNode {
	n := &simNode{peer: Peer{
		Identity: Identity{ID: fmt.Sprintf("n%d", index)}, Addr: fmt.Sprint(index),
		DataCentre: fmt.Sprintf("dc%d", index%3), Region: "r", Serves: true,
	}}
	n.sim = sim
	n.skew = sim.randomSkew()
	return n
}

func (sim *simulation) randomSkew() time.Duration {
	most := 900 * time.Millisecond
	if sim.clocksOutOfBounds {
		most = 6 * time.Second
	}
	return time.Duration(sim.random.Int64N(2*int64(most))) - most
}

var simConfig = Config{
	LeaseDuration: DefaultLeaseDuration, Margin: DefaultMargin, StoreOutage: 40 * time.Second, ReadInterval: 10 * time.Second,
}

var simBounds = Bounds{Keys: 500, AnswerBytes: 1 << 16, Lifetime: 40 * time.Second, Margin: DefaultMargin}

func (n *simNode) start() {
	n.generation++
	n.alive, n.frozenUntil, n.clockStopped, n.started = true, 0, 0, n.sim.now
	n.rate = 0.955 + 0.09*n.sim.random.Float64()
	config := simConfig
	if n.sim.clocksOutOfBounds {
		n.rate = 0.3 + 2*n.sim.random.Float64()
		config.StoreOutage = time.Hour
	}
	n.peer.Incarnation, n.peer.Gone = uint64(n.sim.now)+1, false
	n.table = NewTable(simBounds)
	n.group = NewGroup(n.peer.Identity, "s", config, n.table)
	n.group.mutation = n.sim.mutation
	n.nonMember = NewNonMember(n.instant(), n.peer.Identity, "s", config, time.Duration(n.sim.random.Int64N(1e9)))
	n.nextTick, n.membershipVersion = 0, 0
	n.sim.announce()
	n.runAfter(0, n.schedule)
}

// announce sends the current membership to every node, each after a random delay.
func (sim *simulation) announce() {
	var peers []Peer
	for _, n := range sim.nodes {
		if n.group != nil {
			peers = append(peers, n.peer)
		}
	}
	sim.membershipVersion++
	version := sim.membershipVersion
	for _, n := range sim.nodes {
		n.runAfter(time.Duration(sim.random.Int64N(int64(2*time.Second))), func() {
			if n.membershipVersion < version { // membership does not go back
				n.membershipVersion = version
				n.deliver(PeersChanged{Peers: peers})
			}
		})
	}
}

func (n *simNode) deliver(in Input) {
	n.executeAll(n.group.Handle, n.group.Handle(n.instant(), in))
	n.executeAll(n.nonMember.Handle, n.nonMember.Handle(n.instant(), in))
	n.schedule()
}

func (n *simNode) schedule() {
	next := min(n.group.NextTick(), n.nonMember.NextTick())
	now := n.instant()
	if n.nextTick > now.Mono && n.nextTick <= next {
		return
	}
	n.nextTick = next
	if next == never {
		return
	}
	wait := time.Duration(float64(max(0, next-now.Mono))/n.rate) + time.Microsecond
	n.runAfter(wait, func() {
		if n.nextTick == next {
			n.nextTick = 0
			n.countTick()
			if n.sim.random.IntN(20) == 0 {
				n.table.Expire(n.instant())
			}
			n.deliver(Tick{})
		}
	})
}

// countTick fails the simulation when the node's timer spins.
func (n *simNode) countTick() {
	if second := n.sim.now / time.Second; second != n.tickSecond {
		n.tickSecond, n.ticksThisSecond = second, 0
	}
	if n.ticksThisSecond++; n.ticksThisSecond > maxTicksPerSecond {
		n.sim.fail("the timer of %s spins", n.peer.ID)
	}
}

func (n *simNode) executeAll(handle handler, outputs []Output) {
	back := func(in Input) {
		n.executeAll(handle, handle(n.instant(), in))
		if record := recordOf(in); record != nil {
			if _, ok := record.Member(n.peer.Identity); ok {
				n.executeAll(n.group.Handle, n.group.Handle(n.instant(), RecordReceived{Record: record}))
			}
		}
		if newest := n.group.Record(); newest != nil {
			n.nonMember.Handle(n.instant(), RecordReceived{Record: newest})
		}
		n.schedule()
	}
	for _, out := range outputs {
		n.execute(out, back)
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

func (n *simNode) execute(out Output, back func(Input)) {
	sim, started := n.sim, n.instant()
	switch out := out.(type) {
	case ReadRecord:
		n.callStore(func() Input {
			if sim.store.revision == 0 {
				return RecordRead{Started: started}
			}
			record, err := DecodeRecord(sim.store.record)
			return RecordRead{Started: started, Record: record, Revision: sim.store.revision, Failed: err != nil}
		}, RecordRead{Started: started, Failed: true}, back)
	case SwapRecord:
		raw := out.Record.Encode()
		n.callStore(func() Input {
			done := SwapDone{Started: started, Record: out.Record}
			if sim.store.revision == out.Revision {
				sim.store.record, sim.store.revision = raw, sim.store.revision+1
				done.Swapped, done.Revision = true, sim.store.revision
			}
			return done
		}, SwapDone{Started: started, Record: out.Record}, back)
	case SendGrantRequest:
		sim.toNode(&n.simProcess, out.To, func(to *simNode) {
			sendMessage(sim, &n.simProcess, &to.simProcess, func() GrantReply {
				defer to.schedule()
				return to.group.Grant(to.instant(), out.Request)
			}, func(r GrantReply) { back(GrantAnswered{Round: out.Round, From: out.To.Identity, Reply: r}) })
		})
	case SendSealRequest:
		sim.toNode(&n.simProcess, out.To, func(to *simNode) {
			sendMessage(sim, &n.simProcess, &to.simProcess, func() SealReply {
				defer to.schedule()
				return to.group.Seal(to.instant(), out.Request)
			}, func(r SealReply) {
				back(SealAnswered{Epoch: out.Request.Epoch, From: out.To.Identity, Reply: r})
			})
		})
	case SendJoinRequest:
		sim.toNode(&n.simProcess, out.To, func(to *simNode) {
			sendMessage(sim, &n.simProcess, &to.simProcess, func() bool { return to.group.Join(out.Request) }, func(willing bool) {
				if willing {
					back(JoinAnswered{From: out.To.Identity})
				}
			})
		})
	case SendRecord:
		sim.toNode(&n.simProcess, out.To, func(to *simNode) {
			sendMessage(sim, &n.simProcess, &to.simProcess, func() bool {
				to.executeAll(to.group.Handle, to.group.Handle(to.instant(), RecordReceived{Record: out.Record}))
				to.nonMember.Handle(to.instant(), RecordReceived{Record: to.group.Record()})
				to.schedule()
				return true
			}, func(bool) {})
		})
	case HandOver:
		n.sendChunks(out.To, out.Chunks, 20)
	}
}

func (n *simNode) sendChunks(to Member, chunks []HandOverChunk, tries int) {
	if len(chunks) == 0 || tries == 0 {
		return
	}
	accepted := false
	n.sim.toNode(&n.simProcess, to, func(peer *simNode) {
		sendMessage(n.sim, &n.simProcess, &peer.simProcess, func() bool {
			defer peer.schedule()
			return peer.group.AcceptHandOver(peer.instant(), chunks[0])
		}, func(ok bool) {
			if ok && !accepted {
				accepted = true
				n.sendChunks(to, chunks[1:], 20)
			}
		})
	})
	n.runAfter(time.Second, func() {
		if !accepted {
			n.sendChunks(to, chunks, tries-1)
		}
	})
}

// toNode finds the process at the member's address, whatever its incarnation.
func (sim *simulation) toNode(_ *simProcess, to Member, use func(*simNode)) {
	for _, n := range sim.nodes {
		if n.peer.ID == to.ID && n.alive {
			use(n)
		}
	}
}
