package sidecar_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/sidecar"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

const (
	coldPerSecond = 14
	coldBound     = coldPerSecond*3/2 + 8
)

// startZones starts a node in each of the zones, whose upstreams state in health reports that they are warm.
func startZones(t *testing.T, memory *kvstore.Memory, zones map[string]string) map[string]*machine {
	t.Helper()
	publish(t, memory, document{Version: 1, Service: "s", Cold: coldPerSecond})
	machines := make(map[string]*machine)
	for name, zone := range zones {
		m := startConfiguredMachine(t, name, memory, func(s *sidecar.Settings) { s.Zone = zone })
		m.coldUntil.Store(new(time.Now()))
		machines[name] = m
	}
	for _, m := range machines {
		m.announce(t)
	}
	for _, m := range machines {
		eventually(t, "served", 5*time.Second, m.serves)
	}
	time.Sleep(time.Second) // until the nodes know each other
	return machines
}

// forgetRuns forgets the requests that the upstream got.
func (m *machine) forgetRuns() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ranAt = nil
}

func all(machines map[string]*machine) (list []*machine) {
	for _, m := range machines {
		list = append(list, m)
	}
	return list
}

// Guards against an upstream that becomes cold and gets more from all nodes together than it tolerates, while others have room, and
// against one that gets no more after the end of its cold time.
func TestColdUpstreamGetsItsColdRateFromAllNodes(t *testing.T) {
	machines := startZones(t, kvstore.NewMemory(), map[string]string{"n1": "z", "n2": "z", "n3": "z"})
	cold := machines["n1"]
	flood(all(machines), 10*time.Millisecond, time.Second)
	cold.forgetRuns()
	cold.coldUntil.Store(new(time.Now().Add(5 * time.Second)))
	failed := flood(all(machines), 10*time.Millisecond, 5*time.Second)
	most := cold.mostWithin(time.Second)
	assert.Check(t, most <= coldBound, "%d requests in a second, %d allowed", most, coldBound)
	assert.Check(t, most >= coldPerSecond/2, "only %d requests in a second", most)
	assert.Check(t, failed == 0, "%d requests failed although the others have room", failed)
	assert.Check(t, cold.log.contains("cold rate changed") && strings.Contains(cold.metrics(t), "\nmagnoliawharf_inbound_cold_changes_total "))
	eventually(t, "the end of the cold time", 2*time.Second, func() bool { return !strings.Contains(cold.metrics(t), "\nmagnoliawharf_sidecar_cold_rate ") })
	cold.forgetRuns()
	flood(all(machines), 5*time.Millisecond, time.Second)
	most = cold.mostWithin(time.Second)
	assert.Check(t, most > coldBound, "%d requests in a second after the end", most)
}
