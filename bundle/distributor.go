package bundle

import (
	"context"
	"encoding/hex"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/store"
)

// Topic is the broadcast topic of releases.
const Topic = "bundle"

// Broadcaster sends a payload of at most MaxReleaseBytes bytes to the other nodes. Payloads with an id seen
// before are dropped. An error means that nothing was sent. datacentre.Membership implements it.
type Broadcaster interface {
	Broadcast(topic, id string, payload []byte) error
}

// PeerSampler selects up to n other nodes that may have a bundle, in random order and preferably from the same data centre.
// The returned names are passed to PeerClient unchanged.
type PeerSampler interface {
	Sample(n int) []string
}

// PeerClient reads from another node. Manifest fails when the current version of the peer is another one. Parts may
// return fewer parts than requested. Errors may be of any type; the Distributor retries, with another peer where the
// target allows any.
type PeerClient interface {
	Release(ctx context.Context, peer string) (*Release, error)
	Manifest(ctx context.Context, peer string, version uint64) (Manifest, error)
	Parts(ctx context.Context, peer string, hashes []Hash) (map[Hash][]byte, error)
}

// Config contains the settings and dependencies of a Distributor. Log may be nil.
type Config struct {
	TrustedKeys TrustedKeys
	Current     *Current
	Store       *store.Client
	Broadcast   Broadcaster
	WatchRole   WatchRole
	Peers       PeerSampler
	Client      PeerClient
	Log         *slog.Logger
}

// Distributor keeps the bundle of one node up to date. It learns of new versions from the store when the node watches
// it, from broadcasts, and from peers that have a higher version. It installs only releases that are validly signed
// and newer than the current one; it counts and drops all others. It is safe for concurrent use.
type Distributor struct {
	Config
	current   atomic.Pointer[Snapshot]
	installMu sync.Mutex    // serialises writers of current
	fetchSlot chan struct{} // semaphore: one fetch at a time
	queue     *fetchQueue
}

// NewDistributor returns a distributor without a bundle.
func NewDistributor(config Config) *Distributor {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	return &Distributor{Config: config, fetchSlot: make(chan struct{}, 1), queue: newFetchQueue()}
}

// Run keeps the node up to date until ctx ends.
func (d *Distributor) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { d.bootstrap(ctx) })
	group.Go(func() { d.watchStore(ctx) })
	group.Go(func() { d.runFetches(ctx) })
	group.Wait()
}

// Snapshot returns the current snapshot, or nil before the first bundle is installed.
func (d *Distributor) Snapshot() *Snapshot { return d.current.Load() }

// ObserveVersion records that a peer has the given version. A version higher than the current one is fetched from that peer;
// otherwise the call costs one atomic load.
func (d *Distributor) ObserveVersion(version uint64, peer string) {
	if peer != storePeer && version > d.currentVersion() {
		d.queue.add(fetchTarget{peer: peer, version: version})
	}
}

// HandleBroadcast handles a broadcast release. When the release does not include everything that this node lacks, the version
// is fetched from randomly chosen peers: nodes that watch the store have it first and every node that has it serves it,
// so that no single node serves the whole fleet.
func (d *Distributor) HandleBroadcast(payload []byte) {
	r, err := DecodeRelease(payload)
	if err != nil {
		countRefusal(err)
		return
	}
	current := d.current.Load()
	newer, err := Admit(current, r, d.TrustedKeys, time.Now())
	if err != nil {
		countRefusal(err)
	}
	if !newer {
		return
	}
	manifest, complete := NextManifest(current, r)
	parts := r.InlineParts()
	if !complete || len(MissingParts(current, manifest, parts)) > 0 {
		d.queue.add(fetchTarget{peer: anyPeer, version: r.Version})
		return
	}
	next, err := Apply(current, r, manifest, parts)
	if err != nil {
		countRefusal(err)
		return
	}
	d.install(next, originBroadcast)
}

func (d *Distributor) currentVersion() uint64 {
	if current := d.current.Load(); current != nil {
		return current.Release.Version
	}
	return 0
}

// install makes next the current snapshot unless one at least as new is current, and reports whether it did.
func (d *Distributor) install(next *Snapshot, origin string) bool {
	d.installMu.Lock()
	defer d.installMu.Unlock()
	if next.Release.Version <= d.currentVersion() || !d.Current.Put(next.Bundle) {
		return false
	}
	d.current.Store(next)
	applied[origin].Inc()
	d.Log.Info("installed bundle version", "version", next.Release.Version, "origin", origin)
	return true
}

// watchStore follows the head in the store while this node has the watch role.
func (d *Distributor) watchStore(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.WatchRole.Changed()
		if d.WatchRole.Watching() {
			d.followHead(ctx, changed)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// followHead follows the head until the watch role changes.
func (d *Distributor) followHead(ctx context.Context, changed <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { _ = d.Store.Follow(ctx, HeadKey, d.handleHead) })
	select {
	case <-changed:
	case <-ctx.Done():
	}
	cancel()
	group.Wait()
}

func (d *Distributor) handleHead(entries []store.Entry) {
	for _, entry := range entries {
		if entry.Key != HeadKey {
			continue
		}
		r, err := DecodeRelease(entry.Value)
		if err != nil {
			countRefusal(err)
			continue
		}
		if _, err := Admit(d.current.Load(), r, d.TrustedKeys, time.Now()); err != nil {
			countRefusal(err)
			continue
		}
		d.queue.add(fetchTarget{version: r.Version, release: r})
	}
}

// announce broadcasts a release that was read from the store. The broadcast id is a hash of the payload, so that a
// forged release cannot suppress a genuine one as a duplicate.
func (d *Distributor) announce(r *Release) {
	payload, err := r.Encode()
	if err != nil {
		return // cannot happen: DecodeRelease applied the same limits
	}
	id := HashPart(payload)
	if err := d.Broadcast.Broadcast(Topic, hex.EncodeToString(id[:8]), payload); err != nil {
		d.Log.Warn("could not broadcast the bundle release", "version", r.Version, "error", err)
	}
}
