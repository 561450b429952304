package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// entryTTL is the life of the entry by which other nodes find this one, after its last renewal.
	entryTTL = 20 * time.Second
	// longestStoreWait bounds the waits between two tries at the store of the nodes that watch it for their zone, so that it is
	// found soon after it returns. The others wait up to longestQuietWait unless one of these tells them: the tries of all
	// nodes would cost the store a call a second for each.
	longestStoreWait = time.Second
	longestQuietWait = 4 * time.Second
	// readAloneEvery is how often a node without contracts that does not watch reads them itself.
	readAloneEvery = 2 * time.Second
	// relistEvery is how often the entries of all nodes are read, for nodes that no other has told of.
	relistEvery = time.Minute
	// dutyEvery is how often the node on duty reads the contracts, and dutyTimeout bounds one reading.
	dutyEvery   = 700 * time.Millisecond
	dutyTimeout = 600 * time.Millisecond
	// watchersPerZone is the number of nodes of a zone that watch the contracts, rankEvery how often a node looks whether it
	// is one of them, and meetTime the time after the start in which nodes learn of each other.
	watchersPerZone = 2
	rankEvery       = 500 * time.Millisecond
	meetTime        = 100 * time.Millisecond
)

var (
	adoptedTotal = metrics.Counter("magnoliawharf_sidecar_contracts_adopted_total")
	refusedTotal = metrics.Counter("magnoliawharf_sidecar_contracts_refused_total")
)

// followStore keeps up with the contracts and with the entries of nodes until ctx ends.
func (s *Sidecar) followStore(ctx context.Context) {
	client := store.NewClient(s.Platform.Store, 0, 0)
	client.LongestWait, client.Log, client.Reached = longestStoreWait, s.Log, s.storeReached
	s.follows.Store(true) // until a call says otherwise
	go s.watchContracts(ctx, client)
	session := store.NewSession(client, entryTTL)
	session.LongestWait, session.Wake, session.Reached = longestQuietWait, s.wake, s.storeReached
	go func() {
		_ = session.Run(ctx, func(ctx context.Context, id store.LeaseID) error { return s.enter(ctx, client, id) }) // as above
	}()
	go s.relist(ctx, client)
	go s.readOnDuty(ctx, client)
}

// watchContracts watches the contracts while this node is one of the first in its zone, until ctx ends. The others learn of
// a newer version from these: a watch of each node would cost the store a call for each node and change.
func (s *Sidecar) watchContracts(ctx context.Context, client *store.Client) {
	if !wait.For(ctx, meetTime) {
		return
	}
	var readAt time.Time
	for ctx.Err() == nil {
		if s.roster.RankInZone() >= watchersPerZone {
			if s.contracts.Load() == nil && time.Since(readAt) > readAloneEvery {
				readAt = time.Now()
				s.readOnce(ctx, client)
			}
			wait.For(ctx, rankEvery)
			continue
		}
		watching, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			for wait.For(watching, rankEvery) && s.roster.RankInZone() < watchersPerZone {
			}
		}()
		_ = client.Follow(watching, s.Platform.ContractsPrefix, s.watched) // returns when watching ends
		cancel()
	}
}

// watched takes what a watch brought and tells the other nodes.
func (s *Sidecar) watched(entries []store.Entry) {
	before := s.contracts.Version()
	s.readContracts(entries)
	if s.contracts.Version() != before {
		s.roster.Notify()
	}
}

// readOnce reads the contracts of a node that has none yet.
func (s *Sidecar) readOnce(ctx context.Context, client *store.Client) {
	entries, err := client.List(ctx, s.Platform.ContractsPrefix)
	if err != nil {
		s.Log.Warn("contracts not read", "cause", err.Error())
		return
	}
	s.readContracts(entries)
}

// peerReached wakes the waits for the store, since another node has reached it again.
func (s *Sidecar) peerReached() {
	if s.follows.Load() {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// storeReached tells the other nodes whether this one reaches the store, so that one that does reads for all.
func (s *Sidecar) storeReached(reached bool) {
	if s.follows.Swap(reached) != reached {
		s.roster.Changed()
	}
}

// readOnDuty reads the contracts now and then while this node is the one that does so for all, until ctx ends. A watch
// may miss a change without a sign of it; all other nodes learn of a newer version from datagrams.
func (s *Sidecar) readOnDuty(ctx context.Context, client *store.Client) {
	ticker := time.NewTicker(dutyEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !s.roster.OnDuty() {
			continue
		}
		before := s.contracts.Version()
		reading, cancel := context.WithTimeout(ctx, dutyTimeout)
		entries, err := client.List(reading, s.Platform.ContractsPrefix)
		cancel()
		if err != nil {
			s.Log.Warn("contracts not read on duty", "cause", err.Error())
			s.storeReached(false)
			continue
		}
		s.readContracts(entries)
		if s.contracts.Version() != before {
			s.Log.Warn("the watch has missed a change", "version", s.contracts.Version(), "before", before)
			s.roster.Notify()
		}
	}
}

// readContracts takes the keys that are watched for the contracts.
func (s *Sidecar) readContracts(entries []store.Entry) {
	for _, e := range entries {
		if e.Key == s.Platform.ContractsKey {
			s.adopt(e.Value, "store", fmt.Sprint(e.Revision))
		}
	}
}

// adopt puts a document in force when it can be read and is newer.
func (s *Sidecar) adopt(document []byte, from, revision string) {
	decoded, err := s.Platform.DecodeContracts(document)
	if err != nil {
		refusedTotal.Inc()
		s.Log.Error("contracts not taken", "from", from, "revision", revision, "in_force", s.contracts.Version(), "cause", err.Error())
		return
	}
	before := s.contracts.Version()
	if s.contracts.Adopt(decoded) {
		adoptedTotal.Inc()
		s.Log.Info("contracts in force", "version", decoded.Version, "before", before, "routes", len(decoded.Routes),
			"services", len(decoded.Services), "from", from, "revision", revision)
	}
}

// enter writes the entry of this node and reads those of all others. It writes first, so that of two nodes that start
// together at least one finds the other.
func (s *Sidecar) enter(ctx context.Context, client *store.Client, id store.LeaseID) error {
	key := fmt.Sprintf("%s%s-%x", s.Platform.EntriesPrefix, s.Settings.Node, s.boot)
	if _, err := client.Swap(ctx, key, []byte(s.socket.Addr().String()), 0, id); err != nil {
		s.storeReached(false)
		s.Log.Warn("entry not written", "key", key, "lease", int64(id), "cause", err.Error())
		return err
	}
	s.storeReached(true)
	s.Log.Info("entry written", "key", key, "lease", int64(id))
	return s.list(ctx, client)
}

func (s *Sidecar) list(ctx context.Context, client *store.Client) error {
	entries, err := client.List(ctx, s.Platform.EntriesPrefix)
	if err != nil {
		s.Log.Warn("entries of nodes not read", "cause", err.Error())
		return err
	}
	for _, e := range entries {
		if addr, err := netip.ParseAddrPort(string(e.Value)); err == nil {
			s.roster.Learn(addr)
		}
	}
	s.Log.Info("entries of nodes read", "count", len(entries))
	return nil
}

// relist reads the entries of all nodes now and then, until ctx ends.
func (s *Sidecar) relist(ctx context.Context, client *store.Client) {
	for {
		timer := time.NewTimer(relistEvery + rand.N(relistEvery/4))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			_ = s.list(ctx, client) // logged; the next reading makes up for it
		}
	}
}
