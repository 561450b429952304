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

// fleet connects distributors in memory and injects faults between them.
type fleet struct {
	ctx    context.Context
	memory *kvstore.Memory
	trust  bundle.TrustedKeys

	mu         sync.Mutex
	rng        *rand.Rand
	loss       float64 // probability of losing a broadcast or a call between nodes
	nodes      []*testNode
	broadcasts [][]byte // all payloads so far, for replays
}

// testNode is one node of a fleet. It implements the network interfaces of its Distributor.
type testNode struct {
	*bundle.Distributor
	fleet     *fleet
	id        string
	isolated  bool // partitioned from all other nodes
	watchRole *bundle.WatchRoleSwitch
	cancel    context.CancelFunc
}

var errUnreachable = errors.New("peer is unreachable or has no matching version")

func newFleet(ctx context.Context, n int, trust bundle.TrustedKeys, seed uint64) *fleet {
	f := &fleet{ctx: ctx, memory: kvstore.NewMemory(), trust: trust, rng: rand.New(rand.NewPCG(seed, 1))}
	f.nodes = make([]*testNode, n)
	for i := range n {
		f.restart(i, i < 2)
	}
	return f
}

// restart replaces a node by a new one without a bundle.
func (f *fleet) restart(i int, watchRole bool) {
	ctx, cancel := context.WithCancel(f.ctx)
	m := &testNode{fleet: f, id: strconv.Itoa(i), watchRole: bundle.NewWatchRoleSwitch(watchRole), cancel: cancel}
	m.Distributor = bundle.NewDistributor(bundle.Config{
		TrustedKeys: f.trust, Current: bundle.NewCurrent(), Store: store.NewClient(f.memory, 0, 0),
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
	go m.exchangeVersions(ctx)
}

func (f *fleet) setLoss(loss float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss = loss
}

func (m *testNode) update(change func(*testNode)) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	change(m)
}

// reachablePeer returns the peer, or nil when a message to it is lost.
func (m *testNode) reachablePeer(peer string) *testNode {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	i, err := strconv.Atoi(peer)
	if err != nil || i >= len(m.fleet.nodes) || m.fleet.nodes[i] == nil || m.isolated || m.fleet.nodes[i].isolated || m.fleet.rng.Float64() < m.fleet.loss {
		return nil
	}
	return m.fleet.nodes[i]
}

// exchangeVersions reports the current version to one random node each second.
func (m *testNode) exchangeVersions(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if current := m.Snapshot(); current != nil {
			if peer := m.reachablePeer(m.Sample(1)[0]); peer != nil {
				peer.ObserveVersion(current.Release.Version, m.id)
			}
		}
	}
}

// Broadcast delivers the payload to each node late, out of order, twice or not at all.
func (m *testNode) Broadcast(_, _ string, payload []byte) error {
	m.fleet.mu.Lock()
	m.fleet.broadcasts = append(m.fleet.broadcasts, payload)
	m.fleet.mu.Unlock()
	for i := range m.fleet.nodes {
		for range 2 {
			m.fleet.mu.Lock()
			delay := time.Duration(m.fleet.rng.IntN(400)) * time.Millisecond
			m.fleet.mu.Unlock()
			if peer := m.reachablePeer(strconv.Itoa(i)); peer != nil && peer != m {
				time.AfterFunc(delay, func() { peer.HandleBroadcast(payload) })
			}
		}
	}
	return nil
}

func (m *testNode) Sample(n int) []string {
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

func (m *testNode) peerSnapshot(peer string) (*bundle.Snapshot, error) {
	target := m.reachablePeer(peer)
	if target == nil || target.Snapshot() == nil {
		return nil, errUnreachable
	}
	return target.Snapshot(), nil
}

func (m *testNode) Release(_ context.Context, peer string) (*bundle.Release, error) {
	current, err := m.peerSnapshot(peer)
	if err != nil {
		return nil, err
	}
	return current.Release, nil
}

func (m *testNode) Manifest(_ context.Context, peer string, version uint64) (bundle.Manifest, error) {
	current, err := m.peerSnapshot(peer)
	if err != nil {
		return nil, err
	}
	if current.Release.Version != version {
		return nil, errUnreachable
	}
	return current.Manifest, nil
}

func (m *testNode) Parts(_ context.Context, peer string, hashes []bundle.Hash) (map[bundle.Hash][]byte, error) {
	current, err := m.peerSnapshot(peer)
	if err != nil {
		return nil, err
	}
	raw, err := current.Parts(hashes, 1500) // small limit, so that several requests are needed
	parts := make(map[bundle.Hash][]byte)
	for _, part := range raw {
		parts[bundle.HashPart(part)] = part
	}
	return parts, err
}

// checkBundles compares the current bundle of each node with the approved versions, by root, and with the highest
// version seen at that node before.
func (f *fleet) checkBundles(approved map[bundle.Hash]uint64, highest map[*testNode]uint64) error {
	for _, m := range f.nodes {
		current := m.Current.Load()
		if current == nil {
			continue
		}
		if current.Version < highest[m] {
			return fmt.Errorf("node %s went back from version %d to %d", m.id, highest[m], current.Version)
		}
		highest[m] = current.Version
		contracts := make([]*bundle.Contract, 0, len(current.Contracts))
		for _, c := range current.Contracts {
			contracts = append(contracts, c)
		}
		prepared, err := bundle.Prepare(contracts, current.Version)
		if err != nil {
			return err
		}
		if approved[prepared.Root] != current.Version {
			return fmt.Errorf("node %s has contents that were not approved as version %d", m.id, current.Version)
		}
	}
	return nil
}
