package bundle_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
)

// fleet connects distributors in memory, with faults.
type fleet struct {
	ctx    context.Context
	memory *kvstore.Memory
	trust  bundle.Trust

	mu    sync.Mutex
	rng   *rand.Rand
	loss  float64 // of broadcasts and of calls between nodes
	nodes []*member
	sent  [][]byte // all broadcasts, for replays
}

// member is one node: what a Distributor sees of the others.
type member struct {
	*bundle.Distributor
	fleet     *fleet
	id        string
	cut       bool // from all others
	watchRole *bundle.WatchRoleSwitch
	cancel    context.CancelFunc
}

var errLost = errors.New("lost")

func newFleet(ctx context.Context, n int, trust bundle.Trust, seed uint64) *fleet {
	f := &fleet{ctx: ctx, memory: kvstore.NewMemory(), trust: trust, rng: rand.New(rand.NewPCG(seed, 1))}
	f.nodes = make([]*member, n)
	for i := range n {
		f.restart(i, i < 2)
	}
	return f
}

// restart replaces a node by one without a bundle.
func (f *fleet) restart(i int, watchRole bool) {
	ctx, cancel := context.WithCancel(f.ctx)
	m := &member{fleet: f, id: strconv.Itoa(i), watchRole: bundle.NewWatchRoleSwitch(watchRole), cancel: cancel}
	m.Distributor = bundle.NewDistributor(bundle.Config{
		Trust: f.trust, InForce: bundle.NewInForce(), Store: store.NewClient(f.memory, 0, 0),
		Broadcast: m, WatchRole: m.watchRole, Peers: m, Client: m,
	})
	f.mu.Lock()
	old := f.nodes[i]
	f.nodes[i] = m
	f.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	go m.Run(ctx)
	go m.sync(ctx)
}

func (f *fleet) setLoss(loss float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss = loss
}

func (m *member) set(change func(*member)) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	change(m)
}

// other returns the peer when a message to it arrives.
func (m *member) other(peer string) *member {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	i, err := strconv.Atoi(peer)
	if err != nil || i >= len(m.fleet.nodes) || m.fleet.nodes[i] == nil || m.cut || m.fleet.nodes[i].cut || m.fleet.rng.Float64() < m.fleet.loss {
		return nil
	}
	return m.fleet.nodes[i]
}

// sync tells one other node a second which version is in force here.
func (m *member) sync(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if held := m.Snapshot(); held != nil {
			if peer := m.other(m.Some(1)[0]); peer != nil {
				peer.Seen(held.Release.Version, m.id)
			}
		}
	}
}

// Broadcast delivers late, out of order, twice or not at all.
func (m *member) Broadcast(_, _ string, payload []byte) error {
	m.fleet.mu.Lock()
	m.fleet.sent = append(m.fleet.sent, payload)
	m.fleet.mu.Unlock()
	for i := range m.fleet.nodes {
		for range 2 {
			m.fleet.mu.Lock()
			late := time.Duration(m.fleet.rng.IntN(400)) * time.Millisecond
			m.fleet.mu.Unlock()
			if peer := m.other(strconv.Itoa(i)); peer != nil && peer != m {
				time.AfterFunc(late, func() { peer.Received(payload) })
			}
		}
	}
	return nil
}

func (m *member) Some(n int) []string {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	var ids []string
	for _, i := range m.fleet.rng.Perm(len(m.fleet.nodes)) {
		if id := strconv.Itoa(i); id != m.id && len(ids) < n {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *member) ask(peer string) (*bundle.Snapshot, error) {
	other := m.other(peer)
	if other == nil || other.Snapshot() == nil {
		return nil, errLost
	}
	return other.Snapshot(), nil
}

func (m *member) Release(_ context.Context, peer string) (*bundle.Release, error) {
	held, err := m.ask(peer)
	if err != nil {
		return nil, err
	}
	return held.Release, nil
}

func (m *member) Manifest(_ context.Context, peer string, version uint64) (bundle.Manifest, error) {
	held, err := m.ask(peer)
	if err != nil {
		return nil, err
	}
	if held.Release.Version != version {
		return nil, errLost
	}
	return held.Manifest, nil
}

func (m *member) Parts(_ context.Context, peer string, hashes []bundle.Hash) (map[bundle.Hash][]byte, error) {
	held, err := m.ask(peer)
	if err != nil {
		return nil, err
	}
	raw, err := held.Parts(hashes, 1500) // a few at a time
	parts := make(map[bundle.Hash][]byte)
	for _, part := range raw {
		parts[bundle.HashPart(part)] = part
	}
	return parts, err
}

// check compares what each node has in force with the oracle: the versions that were approved, by
// root, and the highest version seen at each node before.
func (f *fleet) check(approved map[bundle.Hash]uint64, highest map[*member]uint64) error {
	for _, m := range f.nodes {
		held := m.InForce.Load()
		if held == nil {
			continue
		}
		if held.Version < highest[m] {
			return fmt.Errorf("node %s went back from version %d to %d", m.id, highest[m], held.Version)
		}
		highest[m] = held.Version
		contracts := make([]*bundle.Contract, 0, len(held.Contracts))
		for _, c := range held.Contracts {
			contracts = append(contracts, c)
		}
		contents, err := bundle.Prepare(contracts, held.Version)
		if err != nil {
			return err
		}
		if approved[contents.Root] != held.Version {
			return fmt.Errorf("node %s has contents in force that were not approved as version %d", m.id, held.Version)
		}
	}
	return nil
}
