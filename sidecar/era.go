package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// eraDelayPerNode spreads the reads with which all nodes check a reported era and their keys in a new era of the store,
	// and the two writes of those whose keys are lost: 3,200 nodes make at most 400 writes a second.
	eraDelayPerNode = 5 * time.Millisecond
	// maxEraRecipients bounds the nodes that are told of a new era at once.
	maxEraRecipients = 64
	// eraRepeatDelay is the time after which a new era is sent to other nodes a second time, for datagrams that were lost.
	eraRepeatDelay = 150 * time.Millisecond
)

var storeErasTotal = metrics.Counter("magnoliawharf_sidecar_store_eras_total")

// reportEras counts and logs each change of the store's era and reports it to other nodes, until ctx ends.
func (s *Sidecar) reportEras(ctx context.Context, client *store.Client) {
	for status := client.Era(); ; {
		select {
		case <-ctx.Done():
			return
		case <-status.Changed:
		}
		status = client.Era()
		storeErasTotal.Inc()
		s.Log.Warn("store returned from an older copy", "era", int64(status.Current), "before", int64(status.Previous), "in_force", s.contracts.Version())
		s.broadcastEra(status.Current)
		if wait.For(ctx, eraRepeatDelay) && !status.Ended() {
			s.broadcastEra(status.Current)
		}
	}
}

// broadcastEra sends the era to other nodes, chosen at random, which check it and pass it on.
func (s *Sidecar) broadcastEra(era store.Era) {
	s.socket.SendStoreEra(s.roster.Addresses(maxEraRecipients), era)
}

// eraSchedule draws, once for each era, the time at which this node calls the store for it. It is safe for concurrent use.
type eraSchedule struct {
	mu  sync.Mutex
	era store.Era
	at  time.Time
}

// untilCall returns the time until this node calls the store for the era. The first call for an era draws it at random, up to
// spread.
func (e *eraSchedule) untilCall(era store.Era, spread time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era != e.era {
		e.era, e.at = era, time.Now().Add(rand.N(spread))
	}
	return time.Until(e.at)
}

// eraSpread returns the time over which the nodes spread their calls in a new era of the store.
func (s *Sidecar) eraSpread() time.Duration {
	return time.Duration(max(1, s.roster.Len())) * eraDelayPerNode
}

// eraDelay returns the delay before this node checks its key in the present era of the store.
func (s *Sidecar) eraDelay() time.Duration {
	return s.eraSchedule.untilCall(s.storeClient.Era().Current, s.eraSpread())
}

// isRegistered reports whether the store still has the key of this node under the lease.
func (s *Sidecar) isRegistered(ctx context.Context, client *store.Client, id store.LeaseID) bool {
	key, address := s.nodeKey()
	kept := store.IsKept(ctx, client, key, address, id)
	s.Log.Info("node checked in store", "key", key, "lease", int64(id), "kept", kept)
	return kept
}
