package sidecar_test

import (
	"testing"
	"time"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// contact is the time for which a node must have reached the store before convergence binds it.
const contact = 3 * time.Second

// Guards against a version that is late because no node reads the store any more: each has had a poll that failed while the
// store was silent, and their watches deliver nothing.
func TestPollsGoOnAfterTheStoreWasSilent(t *testing.T) {
	s := &faultyStore{Store: kvstore.NewMemory()}
	s.silentWatches.Store(true)
	publish(t, s, document{Version: 1, Service: "s"})
	machines := []*machine{startMachine(t, "n1", s), startMachine(t, "n2", s)}
	for _, m := range machines {
		eventually(t, "version 1 at "+m.Settings.Node, 5*time.Second, func() bool { return m.log.contains(versionText(1)) })
	}
	time.Sleep(time.Second) // until the nodes have discovered each other
	s.silent.Store(true)
	for _, m := range machines {
		eventually(t, "failed poll at "+m.Settings.Node, 5*time.Second, func() bool { return m.log.contains("cannot poll contracts") })
	}
	s.silent.Store(false)
	publish(t, s, document{Version: 2, Service: "s"})
	deadline := time.Now().Add(contact)
	for _, m := range machines {
		eventually(t, "version 2 at "+m.Settings.Node, time.Until(deadline), func() bool { return m.log.contains(versionText(2)) })
	}
}
