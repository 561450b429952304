package sidecar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/sidecar"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// Guards against an upstream that has left and gets requests again after all nodes have ended: its health check passes, and an earlier
// announcement arrives late. Nobody but the store knows of its departure.
func TestDepartureOutlastsAllNodes(t *testing.T) {
	for name, test := range map[string]struct {
		faults  kvstore.Faults // while the departure is acknowledged
		depart  func(t *testing.T, m *machine)
		serving bool // the upstream of the next run serves
	}{
		"withdrawn": {depart: func(_ *testing.T, m *machine) { m.registrar.Deregister(time.Now(), "u-n1") }},
		"draining": {depart: func(t *testing.T, m *machine) {
			a := m.announcement()
			a.Sequence, a.Draining = 2, true
			assert.NilError(t, m.registrar.Announce(time.Now(), a))
		}},
		"the store is slow": {faults: kvstore.Faults{Delay: 100 * time.Millisecond}, depart: func(_ *testing.T, m *machine) { m.registrar.Deregister(time.Now(), "u-n1") }},
		"the answers of the store are lost": {faults: kvstore.Faults{DropResponses: true}, depart: func(_ *testing.T, m *machine) {
			m.registrar.Deregister(time.Now(), "u-n1")
			time.Sleep(time.Second)
		}},
		"it goes on": {depart: func(*testing.T, *machine) {}, serving: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			memory := kvstore.NewMemory()
			publish(t, memory, document{Version: 1, Service: "s"})
			before := startMachine(t, "n1", memory)
			before.announce(t)
			eventually(t, "served", 10*time.Second, before.serves)
			memory.SetFaults(test.faults)
			test.depart(t, before)
			memory.SetFaults(kvstore.Faults{})
			before.cancel()
			assert.NilError(t, <-before.ended)
			after := startConfiguredMachine(t, "n1", memory, func(*sidecar.Settings) {})
			after.announce(t)
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				assert.Assert(t, test.serving || !after.serves(), "the upstream that has left gets requests")
			}
			assert.Equal(t, after.serves(), test.serving)
		})
	}
}

// Guards against an acknowledgement of a departure that comes too late because the store is down.
func TestDepartureIsAcknowledgedWhileTheStoreIsDown(t *testing.T) {
	memory := kvstore.NewMemory()
	publish(t, memory, document{Version: 1, Service: "s"})
	m := startMachine(t, "n1", memory)
	m.announce(t)
	eventually(t, "served", 10*time.Second, m.serves)
	memory.SetFaults(kvstore.Faults{Down: true})
	began := time.Now()
	m.registrar.Deregister(began, "u-n1")
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Assert(t, !m.serves())
}
