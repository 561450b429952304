package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/store"
)

// eraDelayPerNode spreads the reads with which all nodes check their keys in a new era of the store, and the two writes of
// those whose keys are lost: 3,200 nodes make at most 400 writes a second.
const eraDelayPerNode = 5 * time.Millisecond

var storeErasTotal = metrics.Counter("magnoliawharf_sidecar_store_eras_total")

// reportEras counts and logs each change of the store's era until ctx ends.
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
	}
}

// eraDelay returns a random delay before this node checks its key in a new era of the store.
func (s *Sidecar) eraDelay() time.Duration {
	return rand.N(time.Duration(max(1, s.roster.Len())) * eraDelayPerNode)
}

// isRegistered reports whether the store still has the key of this node under the lease.
func (s *Sidecar) isRegistered(ctx context.Context, client *store.Client, id store.LeaseID) bool {
	key, address := s.nodeKey()
	kept := store.IsKept(ctx, client, key, address, id)
	s.Log.Info("node checked in store", "key", key, "lease", int64(id), "kept", kept)
	return kept
}
