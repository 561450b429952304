package bundle

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	// startPeers is the number of peers that a starting node asks at once.
	startPeers = 5
	// startTimeout bounds the question to a peer at start.
	startTimeout = time.Second
	// fetchTimeout bounds one fetch. A manifest and parts of 2,000 services are about 2 MB.
	fetchTimeout = 5 * time.Second
	// fetchJitter spreads the fetches of nodes that learn of a version together over a tenth of the
	// 3 s in which it must be in force.
	fetchJitter = 200 * time.Millisecond
)

// source gives what a release refers to.
type source interface {
	Manifest(ctx context.Context, r *Release) (Manifest, error)
	Parts(ctx context.Context, hashes []Hash) (map[Hash][]byte, error)
}

// peerSource reads from one peer.
type peerSource struct {
	client PeerClient
	peer   string
}

func (s peerSource) Manifest(ctx context.Context, r *Release) (Manifest, error) {
	return s.client.Manifest(ctx, s.peer, r.Version)
}

func (s peerSource) Parts(ctx context.Context, hashes []Hash) (map[Hash][]byte, error) {
	return s.client.Parts(ctx, s.peer, hashes)
}

// take brings the release in force with what it needs from the source. One take runs at a time. It
// reports whether the release was new here.
func (d *Distributor) take(ctx context.Context, r *Release, from source, origin string) (bool, error) {
	select {
	case d.turn <- struct{}{}:
		defer func() { <-d.turn }()
	case <-ctx.Done():
		return false, ctx.Err()
	}
	held := d.held.Load()
	fresh, err := Admit(held, r, d.Trust, time.Now())
	if err != nil || !fresh {
		return false, err
	}
	manifest, whole := Next(held, r)
	if !whole {
		if manifest, err = from.Manifest(ctx, r); err != nil {
			return false, err
		}
		if manifest.Root() != r.Root {
			return false, ErrRootMismatch.New("manifest of release %d does not have the signed root", r.Version)
		}
	}
	parts, err := collectParts(ctx, held, manifest, r.Bodies(), from)
	if err != nil {
		return false, err
	}
	next, err := Apply(held, r, manifest, parts)
	if err != nil {
		return false, err
	}
	return d.put(next, origin), nil
}

// collectParts adds the missing parts to those given. A source that returns a few at a time is asked
// again as long as it makes progress.
func collectParts(ctx context.Context, held *Snapshot, m Manifest, parts map[Hash][]byte, from source) (map[Hash][]byte, error) {
	for {
		missing := Missing(held, m, parts)
		if len(missing) == 0 {
			return parts, nil
		}
		found, err := from.Parts(ctx, missing)
		if err != nil {
			return nil, err
		}
		before := len(parts)
		for _, hash := range missing {
			if part, ok := found[hash]; ok && HashPart(part) == hash {
				parts[hash] = part
			}
		}
		if len(parts) == before {
			return nil, ErrMissingPart.New("%d parts are missing", len(missing))
		}
	}
}

// start asks peers for a bundle until there is one, also while the store is down. It tries the
// highest validly signed version first.
func (d *Distributor) start(ctx context.Context) {
	var backoff store.Backoff
	for d.held.Load() == nil {
		releases := d.ask(ctx)
		peers := slices.SortedFunc(maps.Keys(releases), func(a, b string) int {
			return cmp.Compare(releases[b].Version, releases[a].Version)
		})
		for _, peer := range peers {
			if d.takeFrom(ctx, releases[peer], peer) == nil {
				break
			}
		}
		if d.held.Load() != nil || backoff.Wait(ctx) != nil {
			return
		}
	}
}

// ask returns the validly signed releases of some peers.
func (d *Distributor) ask(ctx context.Context) map[string]*Release {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	releases := make(map[string]*Release)
	for _, peer := range d.Peers.Some(startPeers) {
		group.Go(func() {
			r, err := d.Client.Release(ctx, peer)
			if err == nil {
				err = r.Verify(d.Trust, time.Now())
			}
			if err != nil {
				countRefusal(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			releases[peer] = r
		})
	}
	group.Wait()
	return releases
}

func (d *Distributor) takeFrom(ctx context.Context, r *Release, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	_, err := d.take(ctx, r, peerSource{d.Client, peer}, originPeer)
	if err != nil {
		countRefusal(err)
	}
	return err
}

// fetchTargets fetches what Seen, Received and the watch have found, one at a time.
func (d *Distributor) fetchTargets(ctx context.Context) {
	for {
		next, wait, ok := d.targets.next(d.version(), time.Now())
		if ok && wait <= 0 {
			d.targets.done(next, d.fetch(ctx, next), time.Now())
			continue
		}
		var timer <-chan time.Time
		if ok {
			timer = time.After(wait)
		}
		select {
		case <-timer:
		case <-d.targets.wake:
		case <-ctx.Done():
			return
		}
	}
}

// fetch tries one target.
func (d *Distributor) fetch(ctx context.Context, t target) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if t.release != nil {
		fresh, err := d.take(ctx, t.release, StoreReader{d.Store}, originStore)
		if fresh {
			d.announce(t.release)
		}
		if err != nil {
			countRefusal(err)
		}
		return err
	}
	peer := t.peer
	if peer == anyPeer {
		some := d.Peers.Some(1)
		if len(some) == 0 {
			return errNotYet.New("there is no peer to fetch version %d from", t.version)
		}
		peer = some[0]
	}
	r, err := d.Client.Release(ctx, peer)
	if err != nil {
		countRefusal(err)
		return err
	}
	if r.Version <= d.version() {
		fetchFailures.Inc()
		return errNotYet.New("peer %s does not have version %d yet", peer, t.version)
	}
	if err := d.takeFrom(ctx, r, peer); err != nil {
		return err
	}
	if d.version() < t.version {
		return errNotYet.New("peer %s has version %d, not %d yet", peer, r.Version, t.version)
	}
	return nil
}

// jitter returns a random part of d.
func jitter(d time.Duration) time.Duration { return rand.N(d) }
