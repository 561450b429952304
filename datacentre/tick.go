package datacentre

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// tickTime is the time between two Syncs with the successor. It bounds the detection of a failure.
	tickTime = time.Second
	// freezeLimit is the pause of its own ticks after which a node compares tables before it judges.
	freezeLimit = 3 * time.Second
	// rejoinLimit is the pause after which a node drops its table and joins anew. It is half of
	// instance.GoneRetention, so that its old records cannot come back to the others.
	rejoinLimit = time.Hour

	fingerEvery = 2  // ticks between Syncs with the other fingers
	failedEvery = 5  // ticks between attempts to reach a failed member
	sweepEvery  = 60 // ticks between sweeps
	// failedProbeAge is how long a failed member of the own data centre is tried again. Two halves of a
	// data centre that declared each other failed find together this way.
	failedProbeAge = time.Hour
)

// ticker is the state of the tick loop.
type ticker struct {
	m        *Membership
	last     time.Time
	count    int
	finger   int
	nextJoin time.Time
	joinWait time.Duration

	lastSettled time.Time
}

func (m *Membership) runTicks(ctx context.Context) {
	t := &ticker{m: m, last: time.Now(), lastSettled: time.Now(), joinWait: joinFirstWait}
	// A random start spreads the ticks of nodes that start together.
	if !wait.For(ctx, rand.N(tickTime)) {
		return
	}
	ticks := time.NewTicker(tickTime)
	defer ticks.Stop()
	for {
		t.tick(ctx)
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
	}
}

func (t *ticker) tick(ctx context.Context) {
	now := time.Now()
	pause := now.Sub(t.last)
	t.last = now
	t.count++
	if pause > freezeLimit {
		t.m.wake(pause)
		t.lastSettled = now
	}
	t.m.noteRole()
	t.m.forgetUnreachable(now)
	t.rejoin(now)
	if t.count%sweepEvery == 0 {
		t.m.sweep(now)
	}
	t.m.syncSuccessor(ctx)
	if t.count%fingerEvery == 0 {
		t.syncFinger(ctx)
	}
	if t.count%failedEvery == 0 {
		t.m.workers.start(t.m.probeFailed)
	}
}

// syncSuccessor compares tables with the next member on the ring and suspects it when it does not
// answer.
func (m *Membership) syncSuccessor(ctx context.Context) {
	successors := m.home.Successors(m.config.Self.ID, 1)
	if len(successors) == 0 {
		return
	}
	start := time.Now()
	response, err := m.syncWith(ctx, successors[0].PeerAddr, syncTimeout)
	silent := err != nil || response.Sender.ID != successors[0].ID || response.Sender.Incarnation < successors[0].Incarnation
	switch {
	case !silent:
		m.reconcile(successors[0].PeerAddr, response)
	case ctx.Err() == nil && m.settled.Load() && time.Since(start) < syncTimeout+pauseLimit:
		m.suspect(successors[0], true)
	}
}

// syncFinger compares tables with one of the fingers after the successor, each in turn.
func (t *ticker) syncFinger(ctx context.Context) {
	fingers := t.m.home.Fingers(t.m.config.Self.ID)
	if len(fingers) < 2 {
		return
	}
	t.finger++
	peer := fingers[1+t.finger%(len(fingers)-1)]
	if response, err := t.m.syncWith(ctx, peer.PeerAddr, syncTimeout); err == nil {
		t.m.reconcile(peer.PeerAddr, response)
	}
}

// wake compares tables after a pause of the node. Until a peer has answered, the node judges nobody
// and offers its table to nobody.
func (m *Membership) wake(pause time.Duration) {
	pauses.Inc()
	m.settled.Store(false)
	addrs := m.knownAddresses()
	if pause > rejoinLimit {
		m.dropTable()
	}
	m.workers.start(func(ctx context.Context) { m.settle(ctx, addrs) })
}

// dropTable forgets all instances but this one.
func (m *Membership) dropTable() {
	for _, r := range m.fleet.Select(func(r instance.Record) bool { return r.ID != m.config.Self.ID }) {
		m.fleet.Remove(r.ID)
	}
}

// probeFailed tries to reach a random member that was declared failed, tells it so, and takes its
// view.
func (m *Membership) probeFailed(ctx context.Context) {
	var failed []instance.Record
	for _, r := range m.fleet.GoneRecords(m.home.Name, failedProbeAge) {
		if r.State == instance.Failed {
			failed = append(failed, r)
		}
	}
	if len(failed) == 0 || !m.settled.Load() {
		return
	}
	peer := failed[rand.IntN(len(failed))]
	if m.ping(ctx, peer, pingTimeout) != peer.Incarnation {
		return
	}
	m.outbox.sendTo(peer, []instance.Record{peer}, nil)
	if wait.For(ctx, syncTimeout) {
		_ = m.pull(ctx, peer.PeerAddr, m.home.Name)
	}
}

// sweep forgets what is no longer needed.
func (m *Membership) sweep(now time.Time) {
	m.fleet.PruneGone(now)
	m.outbox.sweep()
	m.heard.Range(func(id instance.ID, s sighting) bool {
		if now.Sub(s.at) > suspicionMemory {
			m.heard.Delete(id)
		}
		return true
	})
	m.suspicions.Range(func(id instance.ID, s suspicion) bool {
		if !s.busy && now.Sub(s.lastRefuted) > suspicionMemory && now.Sub(s.since) > suspicionMemory {
			m.suspicions.Delete(id)
		}
		return true
	})
}
