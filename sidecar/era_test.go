package sidecar_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// Guards against a return of the store to an older copy that the operator cannot see in the log of a node.
func TestReturnOfTheStoreIsLogged(t *testing.T) {
	memory := kvstore.NewMemory()
	publish(t, memory, document{Version: 1, Service: "s"})
	m := startMachine(t, "n1", memory)
	eventually(t, "version 1", 5*time.Second, func() bool { return m.log.contains("version=1") })
	memory.Restore(memory.Copy())
	eventually(t, "the era in the log", 2*time.Second, func() bool {
		return m.log.contains("store returned from an older copy") && m.log.contains("era=2 before=1 in_force=1")
	})
	assert.Equal(t, m.log.count("store returned from an older copy"), 1)
}

// Guards against nodes that others cannot find, because the store has returned from an older copy without their keys, and
// against a return at which each node writes although its key is still there.
func TestNodeKeyIsWrittenAgain(t *testing.T) {
	for name, written := range map[string]bool{"key lost": false, "key kept": true} {
		t.Run(name, func(t *testing.T) {
			memory := kvstore.NewMemory()
			publish(t, memory, document{Version: 1, Service: "s"})
			older := memory.Copy()
			m := startMachine(t, "n1", memory)
			eventually(t, "registration", 5*time.Second, func() bool { return m.log.contains("node registered in store") })
			if written {
				older = memory.Copy()
			}
			memory.Restore(older)
			checked := fmt.Sprintf("kept=%t", written)
			eventually(t, "check of the key", 2*time.Second, func() bool { return m.log.contains(checked) })
			eventually(t, "registration after the check", 2*time.Second, func() bool { return written || m.log.count("node registered in store") == 2 })
			keys, err := memory.List(t.Context(), "nodes/")
			assert.NilError(t, err)
			assert.Equal(t, len(keys), 1)
			assert.Equal(t, string(keys[0].Value), m.DatagramAddr().String())
			assert.Assert(t, !m.log.contains("cannot register node"))
			assert.Equal(t, m.log.count("node registered in store") == 1, written)
		})
	}
}

// Guards against nodes that go back to older contracts, or miss the next change, when the store returns from an older copy
// and gives out their revisions again.
func TestContractsAfterAReturnOfTheStore(t *testing.T) {
	memory := kvstore.NewMemory()
	publish(t, memory, document{Version: 1, Service: "s"})
	older := memory.Copy()
	machines := []*machine{startMachine(t, "n1", memory), startMachine(t, "n2", memory), startMachine(t, "n3", memory)}
	publish(t, memory, document{Version: 2, Service: "s"})
	for _, m := range machines {
		eventually(t, "version 2 at "+m.Settings.Node, 5*time.Second, func() bool { return m.log.contains("version=2") })
	}
	memory.Restore(older)
	machines = append(machines, startMachine(t, "n4", memory))
	publish(t, memory, document{Version: 3, Service: "s"})
	for _, m := range machines {
		eventually(t, "version 3 at "+m.Settings.Node, 2*time.Second, func() bool { return m.log.contains("version=3") })
		assert.Assert(t, !m.log.contains("before=3"), "contracts were replaced by older ones")
		assert.Assert(t, !m.log.contains("poll found a change"), "%s", m.Settings.Node)
	}
}
