package bundle

import (
	"sync"
	"time"
)

const (
	// maxTargets limits the queue of fetch targets.
	maxTargets = 32
	// minBackoff and maxBackoff limit the delay between attempts at one target.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 8 * time.Second
	// maxAnyPeerBackoff limits the delay before another random peer is asked for a version that is known to
	// exist. The number of nodes that have the version roughly doubles in that time.
	maxAnyPeerBackoff = 200 * time.Millisecond
	// maxFailures is the number of failures after which a peer is removed until it reports a version again.
	maxFailures = 12
)

const (
	// storePeer is the queue key of the store.
	storePeer = ""
	// anyPeer is the queue key for a peer that is chosen at random for each attempt.
	anyPeer = "*"
)

// errNotYet means that a peer does not have a version that exists elsewhere.
var errNotYet = namespace.NewType("not_yet")

// fetchTarget is a source of a version newer than the current one: a given peer, any peer, or the store. For the
// store, release is the head that was read.
type fetchTarget struct {
	peer      string
	version   uint64
	release   *Release
	failures  int
	notBefore time.Time
}

// fetchQueue holds the pending fetch targets by peer. Each target has its own backoff, so that a peer that reports a
// version which it does not have delays no other target.
type fetchQueue struct {
	mu     sync.Mutex
	byPeer map[string]*fetchTarget
	wake   chan struct{}
}

func newFetchQueue() *fetchQueue {
	return &fetchQueue{byPeer: make(map[string]*fetchTarget), wake: make(chan struct{}, 1)}
}

// add queues a target, or raises the version of one that is queued. The first attempt at a peer is delayed by a random
// jitter, so that many nodes do not query one peer at once.
func (q *fetchQueue) add(added fetchTarget) {
	q.mu.Lock()
	defer q.mu.Unlock()
	queued, ok := q.byPeer[added.peer]
	switch {
	case ok && queued.version >= added.version:
		return
	case ok:
		queued.version, queued.release = added.version, added.release
		if added.release != nil {
			queued.failures, queued.notBefore = 0, time.Time{}
		}
	default:
		q.evictMostFailed()
		if added.release == nil {
			added.notBefore = time.Now().Add(jitter(fetchJitter))
		}
		q.byPeer[added.peer] = &added
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// evictMostFailed removes the peer with the most failures when the queue is full.
func (q *fetchQueue) evictMostFailed() {
	if len(q.byPeer) < maxTargets {
		return
	}
	worst := ""
	for peer, queued := range q.byPeer {
		if peer != storePeer && peer != anyPeer && (worst == "" || queued.failures > q.byPeer[worst].failures) {
			worst = peer
		}
	}
	delete(q.byPeer, worst)
}

// next returns the target that is due first and the time until it is due. It removes targets that are not newer than
// currentVersion.
func (q *fetchQueue) next(currentVersion uint64, now time.Time) (first fetchTarget, wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for peer, queued := range q.byPeer {
		if queued.version <= currentVersion {
			delete(q.byPeer, peer)
			continue
		}
		if !ok || queued.before(first) {
			first, ok = *queued, true
		}
	}
	return first, first.notBefore.Sub(now), ok
}

// before orders targets by due time, then by version with the highest first.
func (t *fetchTarget) before(other fetchTarget) bool {
	if !t.notBefore.Equal(other.notBefore) {
		return t.notBefore.Before(other.notBefore)
	}
	return t.version > other.version
}

// recordResult removes the target after a success, or schedules the next attempt after a failure. A peer is removed
// after maxFailures.
func (q *fetchQueue) recordResult(attempted fetchTarget, err error, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	queued, ok := q.byPeer[attempted.peer]
	if !ok {
		return
	}
	if err == nil || attempted.release != nil && Is(err, ErrOlderVersion) {
		if queued.version == attempted.version {
			delete(q.byPeer, attempted.peer)
		}
		return
	}
	queued.failures++
	if queued.failures > maxFailures && queued.release == nil && attempted.peer != anyPeer {
		delete(q.byPeer, attempted.peer)
		return
	}
	backoff := min(minBackoff<<min(queued.failures, 10), maxBackoff)
	if attempted.peer == anyPeer {
		backoff = min(backoff, maxAnyPeerBackoff)
	}
	queued.notBefore = now.Add(backoff/2 + jitter(backoff/2))
}
