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
	// bootstrapPeers is the number of peers that a starting node queries in parallel.
	bootstrapPeers = 5
	// bootstrapTimeout limits one round of queries to peers at the start.
	bootstrapTimeout = time.Second
	// fetchTimeout limits one fetch. The manifest and the parts of 2,000 services are about 2 MB.
	fetchTimeout = 5 * time.Second
	// fetchJitter spreads the fetches of nodes that learn of a version at the same time. It is less than a tenth
	// of the 3 s within which a version must be current on all nodes.
	fetchJitter = 200 * time.Millisecond
)

// contentSource provides the manifest and the parts that a release refers to.
type contentSource interface {
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

// fetchAndInstall installs the release, fetching from the source what the node lacks. One call runs at a time. It
// reports whether the release was installed.
func (d *Distributor) fetchAndInstall(ctx context.Context, r *Release, from contentSource, origin string) (bool, error) {
	select {
	case d.fetchSlot <- struct{}{}:
		defer func() { <-d.fetchSlot }()
	case <-ctx.Done():
		return false, ctx.Err()
	}
	current := d.current.Load()
	newer, err := Admit(current, r, d.TrustedKeys, time.Now())
	if err != nil || !newer {
		return false, err
	}
	manifest, complete := NextManifest(current, r)
	if !complete {
		if manifest, err = from.Manifest(ctx, r); err != nil {
			return false, err
		}
		if manifest.Root() != r.Root {
			return false, ErrRootMismatch.New("manifest of release %d does not match the signed root", r.Version)
		}
	}
	parts, err := fetchMissingParts(ctx, current, manifest, r.InlineParts(), from)
	if err != nil {
		return false, err
	}
	next, err := Apply(current, r, manifest, parts)
	if err != nil {
		return false, err
	}
	return d.install(next, origin), nil
}

// fetchMissingParts adds the missing parts to parts. A source may return only some of the requested parts, so the
// request is repeated as long as each response adds a part.
func fetchMissingParts(ctx context.Context, current *Snapshot, m Manifest, parts map[Hash][]byte, from contentSource) (map[Hash][]byte, error) {
	for {
		missing := MissingParts(current, m, parts)
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
			return nil, ErrMissingPart.New("%d parts could not be fetched", len(missing))
		}
	}
}

// bootstrap queries peers until the node has a bundle, so that a node can start while the store is unavailable. It
// tries the highest validly signed version first.
func (d *Distributor) bootstrap(ctx context.Context) {
	var backoff store.Backoff
	for d.current.Load() == nil {
		releases := d.queryPeers(ctx)
		peers := slices.SortedFunc(maps.Keys(releases), func(a, b string) int {
			return cmp.Compare(releases[b].Version, releases[a].Version)
		})
		for _, peer := range peers {
			if d.installFromPeer(ctx, releases[peer], peer) == nil {
				break
			}
		}
		if d.current.Load() != nil || backoff.Wait(ctx) != nil {
			return
		}
	}
}

// queryPeers returns the validly signed releases of randomly chosen peers, by peer.
func (d *Distributor) queryPeers(ctx context.Context) map[string]*Release {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	releases := make(map[string]*Release)
	for _, peer := range d.Peers.Sample(bootstrapPeers) {
		group.Go(func() {
			r, err := d.Client.Release(ctx, peer)
			if err == nil {
				err = r.Verify(d.TrustedKeys, time.Now())
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

func (d *Distributor) installFromPeer(ctx context.Context, r *Release, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	_, err := d.fetchAndInstall(ctx, r, peerSource{d.Client, peer}, originPeer)
	if err != nil {
		countRefusal(err)
	}
	return err
}

// runFetches processes the queued targets, one at a time.
func (d *Distributor) runFetches(ctx context.Context) {
	for {
		next, wait, ok := d.queue.next(d.currentVersion(), time.Now())
		if ok && wait <= 0 {
			d.queue.recordResult(next, d.fetch(ctx, next), time.Now())
			continue
		}
		var timer <-chan time.Time
		if ok {
			timer = time.After(wait)
		}
		select {
		case <-timer:
		case <-d.queue.wake:
		case <-ctx.Done():
			return
		}
	}
}

// fetch makes one attempt to fetch the version of a target and to install it.
func (d *Distributor) fetch(ctx context.Context, target fetchTarget) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if target.release != nil {
		installed, err := d.fetchAndInstall(ctx, target.release, StoreReader{d.Store}, originStore)
		if installed {
			d.announce(target.release)
		}
		if err != nil {
			countRefusal(err)
		}
		return err
	}
	peer := target.peer
	if peer == anyPeer {
		peers := d.Peers.Sample(1)
		if len(peers) == 0 {
			return errNotYet.New("no peer is available to fetch version %d from", target.version)
		}
		peer = peers[0]
	}
	r, err := d.Client.Release(ctx, peer)
	if err != nil {
		countRefusal(err)
		return err
	}
	if r.Version <= d.currentVersion() {
		fetchFailures.Inc()
		return errNotYet.New("peer %s does not have version %d yet", peer, target.version)
	}
	if err := d.installFromPeer(ctx, r, peer); err != nil {
		return err
	}
	if d.currentVersion() < target.version {
		return errNotYet.New("peer %s has version %d, not %d yet", peer, r.Version, target.version)
	}
	return nil
}

// jitter returns a random duration in [0, d).
func jitter(d time.Duration) time.Duration { return rand.N(d) }
