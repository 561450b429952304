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

// Topic is the topic under which releases are broadcast.
const Topic = "bundle"

// Broadcaster passes a payload of at most MaxRelease bytes on to the other nodes. Payloads with an id
// seen before are dropped. An error says that nothing was sent. datacentre.Membership implements it.
type Broadcaster interface {
	Broadcast(topic, id string, payload []byte) error
}

// Peers names up to n other nodes that may have a bundle, in random order and preferably in the same
// data centre. A name is passed to PeerClient as it is.
type Peers interface {
	Some(n int) []string
}

// PeerClient reads from another node. Manifest fails when the peer has another version in force;
// Parts may return fewer parts than asked for. An error may be of any type; the Distributor then may
// try again, with another peer when it may choose one.
type PeerClient interface {
	Release(ctx context.Context, peer string) (*Release, error)
	Manifest(ctx context.Context, peer string, version uint64) (Manifest, error)
	Parts(ctx context.Context, peer string, hashes []Hash) (map[Hash][]byte, error)
}

// Config has what a Distributor works with. Log may be nil.
type Config struct {
	Trust     Trust
	InForce   *InForce
	Store     *store.Client
	Broadcast Broadcaster
	WatchRole WatchRole
	Peers     Peers
	Client    PeerClient
	Log       *slog.Logger
}

// Distributor brings each version to one node: from the store when the node watches it, by broadcast,
// and from a peer that has a higher version. It takes only releases that are validly signed and newer
// than the one in force; whatever else arrives is counted and dropped. It is safe for concurrent use.
type Distributor struct {
	Config
	held    atomic.Pointer[Snapshot]
	install sync.Mutex    // writers of held
	turn    chan struct{} // held by the one fetch that may run
	targets *targets
}

// NewDistributor returns a distributor that has no bundle yet.
func NewDistributor(config Config) *Distributor {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	return &Distributor{Config: config, turn: make(chan struct{}, 1), targets: newTargets()}
}

// Run keeps the node up to date until ctx ends.
func (d *Distributor) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { d.start(ctx) })
	group.Go(func() { d.watchStore(ctx) })
	group.Go(func() { d.fetchTargets(ctx) })
	group.Wait()
}

// Snapshot returns what is in force, or nil before there is a bundle.
func (d *Distributor) Snapshot() *Snapshot { return d.held.Load() }

// Seen tells that a peer has the version in force. It is cheap unless the version is higher than the
// one here, which is then fetched from the peer.
func (d *Distributor) Seen(version uint64, peer string) {
	if peer != storePeer && version > d.version() {
		d.targets.add(target{peer: peer, version: version})
	}
}

// Received takes a broadcast release. When it needs more than it carries, the rest is fetched from
// any peer that has it: the nodes that watch the store have it first, and each node that has it gives it on, so
// that no single node serves the whole fleet.
func (d *Distributor) Received(payload []byte) {
	r, err := DecodeRelease(payload)
	if err != nil {
		countRefusal(err)
		return
	}
	held := d.held.Load()
	fresh, err := Admit(held, r, d.Trust, time.Now())
	if err != nil {
		countRefusal(err)
	}
	if !fresh {
		return
	}
	manifest, whole := Next(held, r)
	parts := r.Bodies()
	if !whole || len(Missing(held, manifest, parts)) > 0 {
		d.targets.add(target{peer: anyPeer, version: r.Version})
		return
	}
	next, err := Apply(held, r, manifest, parts)
	if err != nil {
		countRefusal(err)
		return
	}
	d.put(next, originBroadcast)
}

func (d *Distributor) version() uint64 {
	if held := d.held.Load(); held != nil {
		return held.Release.Version
	}
	return 0
}

// put brings the snapshot in force unless a newer one came first, and reports whether it did.
func (d *Distributor) put(next *Snapshot, origin string) bool {
	d.install.Lock()
	defer d.install.Unlock()
	if next.Release.Version <= d.version() || !d.InForce.Put(next.Bundle) {
		return false
	}
	d.held.Store(next)
	applied[origin].Inc()
	d.Log.Info("bundle in force", "version", next.Release.Version, "origin", origin)
	return true
}

// watchStore follows the head in the store while this node has the role.
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

// followHead follows the head until the role changes.
func (d *Distributor) followHead(ctx context.Context, changed <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { _ = d.Store.Follow(ctx, HeadKey, d.headRead) })
	select {
	case <-changed:
	case <-ctx.Done():
	}
	cancel()
	group.Wait()
}

func (d *Distributor) headRead(entries []store.Entry) {
	for _, entry := range entries {
		if entry.Key != HeadKey {
			continue
		}
		r, err := DecodeRelease(entry.Value)
		if err != nil {
			countRefusal(err)
			continue
		}
		if _, err := Admit(d.held.Load(), r, d.Trust, time.Now()); err != nil {
			countRefusal(err)
			continue
		}
		d.targets.add(target{version: r.Version, release: r})
	}
}

// announce broadcasts a release that came from the store. Its id is the hash of its content, so that
// a forged release cannot take the place of a true one.
func (d *Distributor) announce(r *Release) {
	payload, err := r.Encode()
	if err != nil {
		return // it was decoded within the same limits
	}
	id := HashPart(payload)
	if err := d.Broadcast.Broadcast(Topic, hex.EncodeToString(id[:8]), payload); err != nil {
		d.Log.Warn("bundle not broadcast", "version", r.Version, "error", err)
	}
}
