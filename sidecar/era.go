package sidecar

import (
	"context"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/store"
)

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
