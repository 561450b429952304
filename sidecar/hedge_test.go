package sidecar_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/sidecar"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// Guards against a share of hedges in the settings that has no effect.
func TestHedgesFollowTheSettings(t *testing.T) {
	for name, ratio := range map[string]float64{"on": 1, "off": 0} {
		t.Run(name, func(t *testing.T) {
			memory := kvstore.NewMemory()
			publish(t, memory, document{Version: 1, Service: "s"})
			var nodes []*machine
			for _, name := range []string{"n1", "n2"} {
				m := startConfiguredMachine(t, name, memory, func(s *sidecar.Settings) {
					s.Retries, s.Hedging = sidecar.Retries{Ratio: 1, Allowance: 50}, sidecar.Hedging{Ratio: ratio, Delay: "measured"}
				})
				m.announce(t)
				nodes = append(nodes, m)
			}
			eventually(t, "both upstreams used", 10*time.Second, func() bool {
				var done sync.WaitGroup
				for range 6 { // more than one upstream admits
					done.Go(func() { _, _, _ = nodes[0].get("/late/?work=20ms") })
				}
				done.Wait()
				return nodes[1].runs.Load() > 1
			})
			status, _, err := nodes[0].get("/late/?work=2s")
			assert.NilError(t, err)
			assert.Equal(t, status, 200)
			assert.Equal(t, nodes[0].log.contains("hedge_peer="), ratio > 0)
		})
	}
}
