package datacentre

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// tickInterval is the time between two Syncs with the successor. It bounds the detection of a failure.
	tickInterval = time.Second
	// maxTickGap is the time between two ticks beyond which a node counts as paused and compares tables
	// before it checks other members.
	maxTickGap = 3 * time.Second
	// rejoinTickGap is the time between two ticks beyond which a node drops its table and joins again. It is
	// half of instance.GoneRetention, so that its old records cannot return to the others.
	rejoinTickGap = time.Hour

	fingerSyncTicks  = 2  // ticks between Syncs with the other fingers
	failedProbeTicks = 5  // ticks between attempts to reach a failed member
	pruneTicks       = 60 // ticks between prunings
	// failedProbeAge is how long a failed member of the own data centre is tried again. Two halves of a data
	// centre that declared each other failed merge again this way.
	failedProbeAge = time.Hour
)

// ticker is the state of the tick loop.
type ticker struct {
	m           *Membership
	last        time.Time
	count       int
	fingerCount int
	nextJoin    time.Time
	joinBackoff time.Duration

	lastSynced time.Time
}

func (m *Membership) runTicks(ctx context.Context) {
	t := &ticker{m: m, last: time.Now(), lastSynced: time.Now(), joinBackoff: minJoinBackoff}
	// A random delay spreads the ticks of nodes that start together.
	if !wait.For(ctx, rand.N(tickInterval)) {
		return
	}
	ticks := time.NewTicker(tickInterval)
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
	if pause > maxTickGap {
		t.m.recoverFromPause(pause)
		t.lastSynced = now
	}
	t.m.checkBorderRole()
	t.m.evictUnreachable(now)
	t.rejoin(now)
	if t.count%pruneTicks == 0 {
		t.m.prune(now)
	}
	t.m.syncSuccessor(ctx)
	if t.count%fingerSyncTicks == 0 {
		t.syncFinger(ctx)
	}
	if t.count%failedProbeTicks == 0 {
		t.m.workers.start(t.m.probeFailed)
	}
}

// syncSuccessor compares tables with the next member on the ring and suspects it when it does not
// answer.
func (m *Membership) syncSuccessor(ctx context.Context) {
	successors := m.local.Successors(m.config.Self.ID, 1)
	if len(successors) == 0 {
		return
	}
	start := time.Now()
	response, err := m.syncWith(ctx, successors[0].PeerAddr, syncTimeout)
	unresponsive := err != nil || response.Sender.ID != successors[0].ID || response.Sender.Incarnation < successors[0].Incarnation
	switch {
	case !unresponsive:
		m.reconcile(successors[0].PeerAddr, response)
	case ctx.Err() == nil && m.synced.Load() && time.Since(start) < syncTimeout+maxTimerDelay:
		m.suspect(successors[0], true)
	}
}

// syncFinger compares tables with one of the fingers after the successor, in turn.
func (t *ticker) syncFinger(ctx context.Context) {
	fingers := t.m.local.Fingers(t.m.config.Self.ID)
	if len(fingers) < 2 {
		return
	}
	t.fingerCount++
	peer := fingers[1+t.fingerCount%(len(fingers)-1)]
	if response, err := t.m.syncWith(ctx, peer.PeerAddr, syncTimeout); err == nil {
		t.m.reconcile(peer.PeerAddr, response)
	}
}

// recoverFromPause compares tables after a pause of the node. Until a peer has answered, the node declares
// no member failed and does not offer its table to others.
func (m *Membership) recoverFromPause(pause time.Duration) {
	pauses.Inc()
	m.synced.Store(false)
	addrs := m.knownAddresses()
	if pause > rejoinTickGap {
		m.dropTable()
	}
	m.workers.start(func(ctx context.Context) { m.initialSync(ctx, addrs) })
}

// dropTable removes all instances but this one.
func (m *Membership) dropTable() {
	for _, r := range m.fleet.Select(func(r instance.Record) bool { return r.ID != m.config.Self.ID }) {
		m.fleet.Remove(r.ID)
	}
}

// probeFailed tries to reach a random member that was declared failed. When it answers, the node sends it
// that record, so that it can refute it, and pulls its table.
func (m *Membership) probeFailed(ctx context.Context) {
	var failed []instance.Record
	for _, r := range m.fleet.GoneRecords(m.local.Name, failedProbeAge) {
		if r.State == instance.Failed {
			failed = append(failed, r)
		}
	}
	if len(failed) == 0 || !m.synced.Load() {
		return
	}
	peer := failed[rand.IntN(len(failed))]
	if m.ping(ctx, peer, pingTimeout) != peer.Incarnation {
		return
	}
	m.outbox.sendTo(peer, []instance.Record{peer}, nil)
	if wait.For(ctx, syncTimeout) {
		_ = m.pull(ctx, peer.PeerAddr, m.local.Name)
	}
}

// prune removes expired records, queues and state of the failure detector.
func (m *Membership) prune(now time.Time) {
	m.fleet.PruneGone(now)
	m.outbox.prune()
	m.lastMessages.Range(func(id instance.ID, s lastMessage) bool {
		if now.Sub(s.at) > suspicionRetention {
			m.lastMessages.Delete(id)
		}
		return true
	})
	m.suspicions.Range(func(id instance.ID, s suspicion) bool {
		if !s.verifying && now.Sub(s.lastRefuted) > suspicionRetention && now.Sub(s.since) > suspicionRetention {
			m.suspicions.Delete(id)
		}
		return true
	})
}
