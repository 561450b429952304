package bundle_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// propagationBound is the time within which a rolled-out version must be current on every node.
const propagationBound = 3 * time.Second

// Guards against slow propagation of a version: a first version whose parts must be fetched, a small change that is
// included in the release, and a change of every service, which exceeds the list of changes in a release.
func TestVersionInForceWithinBound(t *testing.T) {
	for _, c := range []struct{ nodes, size int }{{12, 3}, {188, 37}, {12, 370}} {
		t.Run(fmt.Sprintf("%d nodes %d services", c.nodes, c.size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				key := newKey(t)
				f := newFleet(ctx, c.nodes, bundle.TrustedKeys{key.Public}, 1)
				time.Sleep(10 * time.Second)
				for version := range uint64(3) {
					contracts := services(t, c.size, int(version))
					if version == 2 {
						for _, contract := range contracts {
							contract.RetryRatio = 0.2
						}
					}
					_, _, err := newPublisher(f.memory).RollOut(ctx, approve(t, contracts, version+1, key))
					assert.NilError(t, err)
					time.Sleep(propagationBound)
					for _, m := range f.nodes {
						assert.Equal(t, m.Snapshot().Release.Version, version+1, "node %s", m.id)
					}
				}
				for _, m := range f.nodes {
					assert.Equal(t, len(m.Current.Load().Contracts), c.size)
				}
			})
		})
	}
}

// Guards against a node that gets no bundle, or one older than its peers have, when it starts while the store is
// unavailable.
func TestStartWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		key := newKey(t)
		f := newFleet(ctx, 5, bundle.TrustedKeys{key.Public}, 1)
		for version := range uint64(4) {
			_, _, err := newPublisher(f.memory).RollOut(ctx, approve(t, services(t, 3, int(version)), version+1, key))
			assert.NilError(t, err)
			time.Sleep(time.Minute)
		}
		f.memory.SetFaults(kvstore.Faults{Down: true})
		f.memory.CloseWatches()
		f.restart(0, true)
		time.Sleep(propagationBound)
		assert.Equal(t, f.nodes[0].Snapshot().Release.Version, uint64(4))
		time.Sleep(time.Hour)
		assert.Equal(t, f.nodes[0].Snapshot().Release.Version, uint64(4))
	})
}

// Guards against a refusal that is not counted under its reason, and against a refused release that replaces the
// current one.
func TestRefusalsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		key, untrusted := newKey(t), newKey(t)
		f := newFleet(ctx, 1, bundle.TrustedKeys{key.Public}, 1)
		f.nodes[0].watchRole.Set(false)
		node := f.nodes[0]
		deliver := func(version uint64, variant int, signer *bundle.SigningKey, change func(*bundle.Release)) {
			release := approve(t, services(t, 3, variant), version, signer).Release(nil)
			if change != nil {
				change(release)
			}
			raw, err := release.Encode()
			assert.NilError(t, err)
			node.HandleBroadcast(raw)
		}
		deliver(5, 0, key, nil)
		cases := []struct {
			reason  string
			deliver func()
		}{
			{"malformed", func() { node.HandleBroadcast([]byte("{}")) }},
			{"too-large", func() { node.HandleBroadcast([]byte(strings.Repeat(" ", bundle.MaxReleaseBytes+1))) }},
			{"unsigned", func() { deliver(6, 1, key, func(r *bundle.Release) { r.Signature = nil }) }},
			{"untrusted-key", func() { deliver(6, 1, untrusted, nil) }},
			{"bad-signature", func() { deliver(6, 1, key, func(r *bundle.Release) { r.Version = 9 }) }},
			{"older", func() { deliver(4, 1, key, nil) }},
			{"equivocation", func() { deliver(5, 1, key, nil) }},
		}
		for _, c := range cases {
			counter := metrics.Counter(fmt.Sprintf(`magnoliawharf_bundle_refusals_total{reason=%q}`, c.reason))
			before := counter.Get()
			c.deliver()
			assert.Equal(t, counter.Get(), before+1, c.reason)
			assert.Equal(t, node.Current.Load().Version, uint64(5), c.reason)
		}
		deliver(6, 1, key, nil)
		assert.Equal(t, node.Current.Load().Version, uint64(6))
	})
}
