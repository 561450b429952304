package sidecar

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// maxWatchRetryDelay bounds the back-off of the nodes that watch the contracts for their zone, so that they notice soon
	// when the store is reachable again; they then end the back-off of the other nodes' sessions early.
	maxWatchRetryDelay = time.Second
	// maxSessionRetryDelay bounds the back-off of every node's session: with maxWatchRetryDelay, an outage would cost the
	// store one call a second per node.
	maxSessionRetryDelay = 4 * time.Second
	// initialReadInterval is how often a node that has no contracts yet and does not watch them reads them from the store.
	initialReadInterval = 2 * time.Second
	// initialReadDelay is the time that such a node gives the watchers of its zone to deliver the contracts, and initialReadStep
	// how much more for each node of its zone that would read before it, up to maxInitialReadDelay: one that has read the
	// contracts tells the others.
	initialReadDelay    = 150 * time.Millisecond
	initialReadStep     = 100 * time.Millisecond
	maxInitialReadDelay = 3 * time.Second
	// initialCheckInterval is how often such a node checks whether it is to read.
	initialCheckInterval = 50 * time.Millisecond
	// pollInterval is how often a node that polls reads the contracts; pollTimeout bounds one read.
	// pollCheckInterval is how often a node checks whether it must poll.
	pollInterval      = 700 * time.Millisecond
	pollCheckInterval = 200 * time.Millisecond
	pollTimeout       = 600 * time.Millisecond
	// maxWatcherSilence is the time without a message from the watchers of its zone after which a node polls for itself.
	maxWatcherSilence = time.Second
	// watchersPerZone is the number of nodes in each zone that watch the contracts, and rankInterval how often a node checks
	// whether it is one of them. discoveryDelay is the time in which nodes hear of each other once they have found the first ones.
	// A node that has heard of further ones within the last discoverySettleTime waits longer, up to maxDiscoveryWait.
	watchersPerZone     = 2
	rankInterval        = 500 * time.Millisecond
	discoveryDelay      = 100 * time.Millisecond
	discoverySettleTime = 50 * time.Millisecond
	maxDiscoveryWait    = time.Second
)

var errDecoderPanicked = errors.New("the decoder panicked")

var (
	adoptedTotal = metrics.Counter("magnoliawharf_sidecar_contracts_adopted_total")
	refusedTotal = metrics.Counter("magnoliawharf_sidecar_contracts_refused_total")
)

// startStoreSync starts the goroutines that keep the contracts and the known nodes in step with the store until ctx ends.
func (s *Sidecar) startStoreSync(ctx context.Context) {
	client := s.storeClient
	s.storeReachable.Store(true) // until a call fails
	go s.reportEras(ctx, client)
	go s.checkReportedEras(ctx, client)
	go s.watchContracts(ctx, client)
	session := store.NewSession(client, nodeKeyTTL)
	session.MaxRetryDelay, session.Wake, session.OnReachable = maxSessionRetryDelay, s.retryStore, s.setStoreReachable
	session.EraDelay = s.eraDelay
	session.KeysKept = func(ctx context.Context, id store.LeaseID) bool { return s.isRegistered(ctx, client, id) }
	go func() {
		_ = session.Run(ctx, s.registerNode) // returns when ctx ends
	}()
	go s.runDiscovery(ctx, client)
	go s.pollContracts(ctx, client)
	go s.renewProof(ctx)
	go s.departures.Run(ctx)
}

func (s *Sidecar) newStoreClient() *store.Client {
	client := store.NewClient(s.Platform.Store, 0, 0)
	client.MaxRetryDelay, client.Log, client.OnReachable = maxWatchRetryDelay, s.Log, s.setStoreReachable
	return client
}

// watchContracts watches the contracts, while this node is one of the watchers of its zone, until ctx ends. The other nodes
// learn of a newer version from the watchers: a watch at each node would cost the store a call for each node and change.
func (s *Sidecar) watchContracts(ctx context.Context, client *store.Client) {
	s.awaitDiscovery(ctx)
	initial := initialRead{since: time.Now()}
	for ctx.Err() == nil {
		if rank := s.roster.RankInZone(); rank >= watchersPerZone {
			s.followWatchers(ctx, rank-watchersPerZone, &initial)
			continue
		}
		s.Log.Info("watching contracts", "in_force", s.contracts.Version(), "heard", s.roster.HeardPeers())
		watching, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			for wait.For(watching, rankInterval) && s.roster.RankInZone() < watchersPerZone {
			}
		}()
		_ = client.FollowSnapshots(watching, s.Platform.ContractsPrefix, s.applyWatchUpdate) // returns when watching ends
		cancel()
	}
}

// awaitDiscovery waits until this node knows the others of its zone, as far as they can be found. Before that, each node would
// take itself for a watcher.
func (s *Sidecar) awaitDiscovery(ctx context.Context) {
	start := time.Now()
	timer := time.NewTimer(maxDiscoveryWait)
	defer timer.Stop()
	select {
	case <-s.nodesFound:
	case <-timer.C:
	case <-ctx.Done():
	}
	wait.For(ctx, discoveryDelay-discoverySettleTime)
	for known, heard := -1, s.roster.HeardPeers(); heard > known; heard = s.roster.HeardPeers() {
		known = heard
		if !wait.For(ctx, discoverySettleTime) || time.Since(start) > maxDiscoveryWait {
			return
		}
	}
}

// initialRead is when a node that has no contracts reads them from the store without watching them.
type initialRead struct {
	since time.Time // when the node began to wait for its watchers
	last  time.Time // zero before the first read
}

// due reports whether the node reads the contracts now, when ahead other nodes of its zone would read before it.
func (i initialRead) due(now time.Time, ahead int) bool {
	if !i.last.IsZero() {
		return now.Sub(i.last) >= initialReadInterval
	}
	return now.Sub(i.since) >= min(initialReadDelay+time.Duration(ahead)*initialReadStep, maxInitialReadDelay)
}

// followWatchers waits until this node checks its rank again. Without contracts it reads them when it is due, after ahead other
// nodes of its zone, and tells the others.
func (s *Sidecar) followWatchers(ctx context.Context, ahead int, initial *initialRead) {
	if s.contracts.Load() != nil {
		wait.For(ctx, rankInterval)
		return
	}
	if now := time.Now(); initial.due(now, ahead) {
		initial.last = now
		if err := s.readContracts(ctx); err != nil {
			s.Log.Warn("cannot read contracts", "cause", err.Error())
		}
		if s.contracts.Load() != nil {
			s.roster.BroadcastStatus()
		}
	}
	wait.For(ctx, initialCheckInterval)
}

// applyWatchUpdate applies a watch update and notifies the other nodes of a new version.
func (s *Sidecar) applyWatchUpdate(found store.Snapshot) {
	before := s.contracts.Version()
	s.applyEntries(found)
	if s.contracts.Version() != before {
		s.roster.BroadcastStatus()
	}
}

// readContracts reads the contracts from the store once, for a node that has no other source of them.
func (s *Sidecar) readContracts(ctx context.Context) error {
	reading := s.beginRead()
	found, err := s.storeClient.Read(ctx, s.Platform.ContractsPrefix)
	if err != nil {
		return err
	}
	s.endRead(reading, s.applyEntries(found))
	return nil
}

// peerReachedStore ends the session's back-off early, because another node has reached the store again.
func (s *Sidecar) peerReachedStore() {
	if s.storeReachable.Load() {
		return
	}
	select {
	case s.retryStore <- struct{}{}:
	default:
	}
}

// setStoreReachable records whether this node reaches the store and notifies the other nodes of a change, so that a node
// that reaches it reads for all.
func (s *Sidecar) setStoreReachable(reachable bool) {
	if s.storeReachable.Swap(reachable) != reachable {
		s.roster.UpdateOwnStatus()
	}
}

// mustPoll reports whether this node polls the contracts: it does so for all nodes, it hears from no watcher of its zone, or it
// is a watcher that has lost the store and finds out when it is back.
func (s *Sidecar) mustPoll() bool {
	silence, watcher := s.roster.CheckFirstInZone(watchersPerZone)
	if !watcher {
		return silence > maxWatcherSilence
	}
	return !s.storeReachable.Load() || s.roster.IsStoreReader()
}

// pollContracts reads the contracts every pollInterval, while mustPoll holds, until ctx ends. A watch can miss a change
// without an error, and a node can be cut off from all other nodes. Else nodes learn of a newer version from datagrams.
func (s *Sidecar) pollContracts(ctx context.Context, client *store.Client) {
	lastPoll := time.Now() // at the start, a watch reads the contracts
	for wait.For(ctx, pollCheckInterval) {
		if s.mustPoll() && time.Since(lastPoll) >= pollInterval {
			lastPoll = time.Now()
			s.pollOnce(ctx, client)
		}
	}
}

// pollOnce reads the contracts from the store and notifies the other nodes of a new version.
func (s *Sidecar) pollOnce(ctx context.Context, client *store.Client) {
	before := s.contracts.Version()
	reading, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	begun := s.beginRead()
	found, err := client.Read(reading, s.Platform.ContractsPrefix)
	if err != nil {
		s.Log.Warn("cannot poll contracts", "cause", err.Error())
		if !store.Is(err, store.ErrRateLimited) {
			s.setStoreReachable(false)
		}
		return
	}
	s.setStoreReachable(true)
	s.endRead(begun, s.applyEntries(found))
	if s.contracts.Version() != before {
		s.Log.Warn("poll found a change of the contracts", "version", s.contracts.Version(), "before", before)
		s.roster.BroadcastStatus()
	}
}

// applyEntries adopts the contracts and the evacuations among the entries of the watched prefix, and returns the document of the contracts.
func (s *Sidecar) applyEntries(found store.Snapshot) storedDocument {
	s.applyEvacuations(found)
	return s.applyContracts(found.Entries)
}

// applyContracts adopts the contracts among the entries, and returns their document.
func (s *Sidecar) applyContracts(entries []store.Entry) (document storedDocument) {
	for _, e := range entries {
		if e.Key == s.Platform.ContractsKey {
			document = storedDocument{revision: e.Revision}
			document.version, document.valid = s.adopt(e.Value, storeSource, fmt.Sprint(e.Revision))
		}
	}
	return document
}

// adopt replaces the current contracts by those of the document if it is valid and newer. It returns the version of the document, and
// whether it is valid.
func (s *Sidecar) adopt(document []byte, from, revision string) (version uint64, valid bool) {
	decoded, err := s.decodeContracts(document)
	if err != nil {
		refusedTotal.Inc()
		s.Log.Error("contracts rejected", "from", from, "revision", revision, "in_force", s.contracts.Version(), "cause", err.Error())
		return 0, false
	}
	before := s.contracts.Version()
	if s.contracts.Adopt(decoded) {
		adoptedTotal.Inc()
		s.Log.Info("contracts adopted", "version", decoded.Version, "before", before, "routes", len(decoded.Routes),
			"services", len(decoded.Services), "from", from, "revision", revision,
			"reported_ms", s.reports.age().Milliseconds())
		s.proofs.contractsAdopted()
	}
	return decoded.Version, true
}

// decodeContracts decodes a document of another writer. One at which the decoder panics is invalid, since each node gets it.
func (s *Sidecar) decodeContracts(document []byte) (decoded *contract.Contracts, err error) {
	defer func() {
		if failure := recover(); failure != nil {
			s.Log.Error("the decoding of contracts panicked", "bytes", len(document), "cause", fmt.Sprint(failure), "stack", string(debug.Stack()))
			decoded, err = nil, errDecoderPanicked
		}
	}()
	return s.Platform.DecodeContracts(document)
}
