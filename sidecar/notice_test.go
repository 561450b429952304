package sidecar_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// flood sends requests to all machines, each machine one in the given interval, and returns the number of those not answered with 200.
func flood(machines []*machine, every, length time.Duration) (failed int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(every) {
		for _, m := range machines {
			callers.Go(func() {
				status, _, err := m.get("/any/")
				mu.Lock()
				defer mu.Unlock()
				if err != nil || status != http.StatusOK {
					failed++
				}
			})
		}
	}
	callers.Wait()
	return failed
}

// mostWithin returns the largest number of requests that the upstream got in any window.
func (m *machine) mostWithin(window time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	most := 0
	for i, first := range m.ranAt {
		n := 0
		for _, at := range m.ranAt[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// metrics returns what the node writes on its metrics address.
func (m *machine) metrics(t *testing.T) string {
	t.Helper()
	response, err := http.Get("http://" + m.MetricsAddr() + "/metrics")
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return "\n" + string(text)
}

// startFleet starts three nodes whose upstreams all serve.
func startFleet(t *testing.T) []*machine {
	t.Helper()
	memory := kvstore.NewMemory()
	publish(t, memory, document{Version: 1, Service: "s"})
	machines := []*machine{startMachine(t, "n1", memory), startMachine(t, "n2", memory), startMachine(t, "n3", memory)}
	for _, m := range machines {
		m.announce(t)
	}
	for _, m := range machines {
		eventually(t, "served", 5*time.Second, m.serves)
	}
	time.Sleep(time.Second) // until the nodes know each other
	return machines
}

// Guards against an upstream that names a limit in its answers and gets far more from all nodes together, while others have room.
func TestLimitInAnswersBindsAllNodes(t *testing.T) {
	const (
		perSecond = 3
		window    = 4 * time.Second
		allowed   = 1.5*perSecond*4 + 5
	)
	machines := startFleet(t)
	machines[0].states.Store(&http.Header{"X-Limit": {"3.0"}})
	flood(machines, 50*time.Millisecond, time.Second)
	limited := machines[0]
	limited.mu.Lock()
	limited.ranAt = nil
	limited.mu.Unlock()
	failed := flood(machines, 50*time.Millisecond, 6*time.Second)
	most := limited.mostWithin(window)
	assert.Check(t, most <= allowed, "%d requests in %v, %v allowed", most, window, allowed)
	assert.Check(t, most >= perSecond*4/2, "only %d requests in %v", most, window)
	assert.Check(t, failed == 0, "%d requests failed although the others have room", failed)
	assert.Check(t, strings.Contains(limited.metrics(t), "\nmagnoliawharf_sidecar_rate_limit 3\n"), "the limit is not among the metrics")
	limited.states.Store(nil)
	flood(machines, 50*time.Millisecond, time.Second)
	before := limited.runs.Load()
	flood(machines, 20*time.Millisecond, time.Second)
	assert.Check(t, limited.runs.Load()-before > 4*perSecond, "the limit goes on for %d requests", limited.runs.Load()-before)
}

// Guards against an upstream that says in its answers that it leaves, while its reports say that it is ready, and gets new requests.
func TestLeavingInAnswersEndsNewRequests(t *testing.T) {
	machines := startFleet(t)
	leaving := machines[0]
	leaving.states.Store(&http.Header{"X-Leaving": {"1"}})
	flood(machines, 20*time.Millisecond, time.Second)
	assert.Assert(t, leaving.runs.Load() > 0)
	before := leaving.runs.Load()
	assert.NilError(t, leaving.registrar.Announce(time.Now(), inbound.Announcement{
		ID: "u-n1", Born: 1, Sequence: 2, Address: leaving.Settings.Upstream.Address, Service: "s", Slots: 4,
	}))
	failed := flood(machines, 20*time.Millisecond, 2*time.Second)
	assert.Equal(t, leaving.runs.Load(), before, "it got requests after it had said that it leaves")
	assert.Equal(t, failed, 0)
}
