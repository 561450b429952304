package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// nodeKeyTTL is the lease time of the store key under which other nodes find this one.
	nodeKeyTTL = 40 * time.Second
	// relistInterval is how often the keys of all nodes are listed, to find nodes that no other node has passed on.
	relistInterval = time.Minute
	// minListDelay and listDelaySpread bound the random time for which a node waits to hear of another one before it lists all
	// nodes, and peerCheckInterval is how often it looks.
	minListDelay      = 50 * time.Millisecond
	listDelaySpread   = 400 * time.Millisecond
	peerCheckInterval = 10 * time.Millisecond
	// introductionDelay is the time in which the nodes that one has listed answer it, before it tells them of each other.
	introductionDelay = 30 * time.Millisecond
	// maxIgnoredLogged is the maximum number of log lines for the ignored entries of one list.
	maxIgnoredLogged = 20
)

var ignoredNodesTotal = metrics.Counter("magnoliawharf_sidecar_node_entries_ignored_total")

// registerNode writes the store key of this node and reads those of all others. It writes first, so that of two nodes that
// start at the same time at least one finds the other.
func (s *Sidecar) registerNode(ctx context.Context, granted store.Store, id store.LeaseID) error {
	key, address := s.nodeKey()
	if err := store.Put(ctx, granted, key, address, id); err != nil {
		s.setStoreReachable(store.Is(err, store.ErrEraEnded))
		s.Log.Warn("cannot register node in store", "key", key, "lease", int64(id), "cause", err.Error())
		return err
	}
	s.setStoreReachable(true)
	s.Log.Info("node registered in store", "key", key, "lease", int64(id))
	return s.findNodes(ctx, granted, key)
}

// findNodes adds the nodes in a copy of the store to the roster. When the copy lacks the key of this node, and no other node has
// been heard of within a random time, it lists those in the store: of many nodes that start together a few do so, and tell the others.
func (s *Sidecar) findNodes(ctx context.Context, granted store.Store, key string) error {
	entries, err := store.ListStale(ctx, granted, s.Platform.NodesPrefix)
	if err == nil {
		s.addNodes(entries)
	}
	isCurrent := slices.ContainsFunc(entries, func(e store.Entry) bool { return e.Key == key })
	if !isCurrent && !s.awaitPeer(ctx, minListDelay+rand.N(listDelaySpread)) {
		if err := s.discoverNodes(ctx, granted.List); err != nil {
			return err
		}
		wait.For(ctx, introductionDelay)
		s.roster.Introduce()
	}
	s.foundNodes.Do(func() { close(s.nodesFound) })
	return nil
}

// awaitPeer reports whether another node has been heard of, now or within the time.
func (s *Sidecar) awaitPeer(ctx context.Context, within time.Duration) bool {
	for end := time.Now().Add(within); s.roster.HeardPeers() == 0; {
		if time.Now().After(end) || !wait.For(ctx, peerCheckInterval) {
			return false
		}
	}
	return true
}

// nodeKey returns the store key of this node and its value.
func (s *Sidecar) nodeKey() (key string, address []byte) {
	return fmt.Sprintf("%s%s-%x", s.Platform.NodesPrefix, s.Settings.Node, s.boot), []byte(s.socket.Addr().String())
}

// discoverNodes lists the keys of all nodes in the store and adds their addresses to the roster.
func (s *Sidecar) discoverNodes(ctx context.Context, list func(ctx context.Context, prefix string) ([]store.Entry, error)) error {
	entries, err := list(ctx, s.Platform.NodesPrefix)
	if err != nil {
		s.Log.Warn("cannot list nodes in store", "cause", err.Error())
		return err
	}
	s.addNodes(entries)
	return nil
}

// addNodes adds the addresses in the entries to the roster.
func (s *Sidecar) addNodes(entries []store.Entry) {
	ignored := 0
	for _, e := range entries {
		addr, err := netip.ParseAddrPort(string(e.Value))
		if err != nil {
			ignoredNodesTotal.Inc()
			if ignored++; ignored > maxIgnoredLogged {
				continue
			}
			s.Log.Warn("node entry ignored: the value is no address", "key", e.Key, "bytes", len(e.Value), "revision", e.Revision)
			continue
		}
		s.roster.AddNode(addr)
	}
	s.Log.Info("nodes listed from store", "count", len(entries), "ignored", ignored)
}

// runDiscovery lists the nodes in the store every relistInterval, with jitter, until ctx ends. A node that has been missed so
// far may be missed by a copy of the store as well, and is found by the next list.
func (s *Sidecar) runDiscovery(ctx context.Context, client *store.Client) {
	for {
		timer := time.NewTimer(relistInterval + rand.N(relistInterval/4))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			_ = s.discoverNodes(ctx, client.ListStale) // logged; the next interval tries again
		}
	}
}
