package idempotency

import (
	"fmt"
	"time"
)

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
