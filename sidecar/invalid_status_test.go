package sidecar_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/sidecar"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// Guards against an answer without a valid status line, or with an invalid field name, that reaches a caller over one or two nodes, and against a request that is lost by
// it although another upstream could have run it.
func TestInvalidHeadsReachNoCaller(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 +20 X", "HTTP/1.1 100 Continue", "HTTP/1.1 600 X", "HTTP/2.0 200 OK",
		"HTTP/1.1 200 OK\r\nX Odd: 1", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked", "HTTP/1.1 200 OK\r\nX\x01Odd: 1",
	} {
		t.Run(line, func(t *testing.T) {
			memory := kvstore.NewMemory()
			publish(t, memory, document{Version: 1, Service: "s"})
			u := startPartialUpstream(t)
			u.length.Store(1 << 10) // all of each answer
			valid := "HTTP/1.1 200 OK\r\nX-Id: ID\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
			u.answer.Store(&valid)
			faulty := startConfiguredMachine(t, "n1", memory, func(s *sidecar.Settings) { s.Upstream.Address = u.listener.Addr().String() })
			good := startMachine(t, "n2", memory)
			good.announce(t)
			assert.NilError(t, faulty.registrar.Announce(time.Now(), inbound.Announcement{
				ID: "u-n1", Born: 1, Sequence: 1, Address: u.listener.Addr().String(), Service: "s", Slots: 64,
			}))
			machines := []*machine{faulty, good}
			for _, m := range machines {
				eventually(t, "served by both", 5*time.Second, func() bool { return m.serves() && m.log.contains("upstream=u-n1") && m.log.contains("upstream=u-n2") })
				for range 50 { // they earn retries
					assert.Assert(t, m.serves())
				}
			}
			const hidden = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 6\r\n\r\nhidden"
			length := len(strings.ReplaceAll(hidden, "ID", "0123456789012345678")) // the IDs have 19 digits
			invalid := fmt.Sprintf("%s\r\nX-Id: ID\r\nContent-Length: %d\r\n\r\n%s", line, length, hidden)
			u.answer.Store(&invalid)
			before := u.served.Load()
			for i := range 40 { // the faulty upstream is left out after a few
				path := []string{"/any/", "/once/"}[i/2%2]
				status, body, err := machines[i%2].get(fmt.Sprintf("%s?number=%d", path, i))
				assert.NilError(t, err)
				assert.Assert(t, (status == 502 && path == "/once/") || (status == 200 && body == "n2 for s"), "%s: status %d with body %q", path, status, body)
			}
			assert.Assert(t, u.served.Load() > before, "no request reached the faulty upstream")
		})
	}
}
