package sidecar_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/settings"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// Guards against a planned stop that waits until the end of the grace period, and then fails, for a connection on which no
// request has been sent, such as one that a client opened for a request that another connection has taken.
func TestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	for name, address := range map[string]func(*machine) string{
		"callers": func(m *machine) string { return m.CallerAddr() },
		"peers":   func(m *machine) string { return m.PeerAddr() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			memory := kvstore.NewMemory()
			publish(t, memory, document{Version: 1, Service: "s"})
			m := startMachine(t, "n1", memory)
			m.announce(t)
			eventually(t, "served", 5*time.Second, m.serves)
			m.Settings.Runtime.Grace = settings.Duration(4 * time.Second)
			m.cancel()
			time.Sleep(2 * time.Second) // less than 5 s before the listeners close
			conn, err := net.Dial("tcp", address(m))
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, <-m.ended)
		})
	}
}
