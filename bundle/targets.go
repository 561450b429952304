package bundle

import (
	"sync"
	"time"
)

const (
	// maxTargets bounds the peers remembered as having a higher version.
	maxTargets = 32
	// Limits of the waits between tries at one target.
	minRest = 50 * time.Millisecond
	maxRest = 8 * time.Second
	// maxAnyRest is the longest wait before another peer is asked for a version that is known to
	// exist. The number of nodes that have it about doubles in each wait.
	maxAnyRest = 200 * time.Millisecond
	// maxTries is the number of failures after which a peer is forgotten until it is seen again.
	maxTries = 12
)

const (
	// storePeer stands for the store in place of a peer.
	storePeer = ""
	// anyPeer stands for a peer chosen anew for each try.
	anyPeer = "*"
)

// errNotYet says that a peer does not have a version that others have.
var errNotYet = namespace.NewType("not_yet")

// target is a place that has a version newer than the one in force: a peer, any peer, or the store
// with the release read there.
type target struct {
	peer      string
	version   uint64
	release   *Release
	tries     int
	notBefore time.Time
}

// targets holds the places to fetch from, by peer. Each place has its own back-off, so that a peer
// that claims a version it does not have delays no other.
type targets struct {
	mu     sync.Mutex
	byPeer map[string]*target
	wake   chan struct{}
}

func newTargets() *targets {
	return &targets{byPeer: make(map[string]*target), wake: make(chan struct{}, 1)}
}

// add remembers a target, or raises the version of one that is known. Fetches from peers wait for a
// moment, so that a peer is not asked by many nodes at once.
func (t *targets) add(found target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.byPeer[found.peer]
	switch {
	case ok && known.version >= found.version:
		return
	case ok:
		known.version, known.release = found.version, found.release
		if found.release != nil {
			known.tries, known.notBefore = 0, time.Time{}
		}
	default:
		t.makeRoom()
		if found.release == nil {
			found.notBefore = time.Now().Add(jitter(fetchJitter))
		}
		t.byPeer[found.peer] = &found
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// makeRoom forgets the peer that failed most often when there are too many.
func (t *targets) makeRoom() {
	if len(t.byPeer) < maxTargets {
		return
	}
	worst := ""
	for peer, known := range t.byPeer {
		if peer != storePeer && peer != anyPeer && (worst == "" || known.tries > t.byPeer[worst].tries) {
			worst = peer
		}
	}
	delete(t.byPeer, worst)
}

// next returns the target to try first and the time until then. Targets that are not above the
// version in force are forgotten.
func (t *targets) next(inForce uint64, now time.Time) (first target, wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for peer, known := range t.byPeer {
		if known.version <= inForce {
			delete(t.byPeer, peer)
			continue
		}
		if !ok || known.before(first) {
			first, ok = *known, true
		}
	}
	return first, first.notBefore.Sub(now), ok
}

func (t *target) before(other target) bool {
	if !t.notBefore.Equal(other.notBefore) {
		return t.notBefore.Before(other.notBefore)
	}
	return t.version > other.version
}

// done records the end of a try.
func (t *targets) done(tried target, err error, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.byPeer[tried.peer]
	if !ok {
		return
	}
	if err == nil || tried.release != nil && Is(err, ErrOlder) {
		if known.version == tried.version {
			delete(t.byPeer, tried.peer)
		}
		return
	}
	known.tries++
	if known.tries > maxTries && known.release == nil && tried.peer != anyPeer {
		delete(t.byPeer, tried.peer)
		return
	}
	rest := min(minRest<<min(known.tries, 10), maxRest)
	if tried.peer == anyPeer {
		rest = min(rest, maxAnyRest)
	}
	known.notBefore = now.Add(rest/2 + jitter(rest/2))
}
