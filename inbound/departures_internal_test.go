package inbound

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// Guards against a node whose memory grows without a limit, because another writer removes ever new upstreams that the node does
// not know.
func TestDeparturesAreBounded(t *testing.T) {
	p := New(Options{Suspects: quarantine.NewList(nil), OnStatusChange: func() {}, Log: slog.New(slog.DiscardHandler)})
	now := time.Now()
	const removals = 5000
	for n := range removals {
		p.Deregister(now.Add(time.Duration(n)*time.Millisecond), fmt.Sprint("unknown-", n))
	}
	assert.Assert(t, len(p.departed) <= 1024, "%d departures", len(p.departed))
	_, known := p.departed[fmt.Sprint("unknown-", removals-1)]
	assert.Assert(t, known, "the last departure was forgotten")
}
