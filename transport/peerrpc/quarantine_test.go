package peerrpc

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// loopBroadcast gives each broadcast to its own handler, as another node would.
type loopBroadcast struct {
	handler func(instance.ID, []byte)
	ids     map[string]bool
	size    int
}

func (l *loopBroadcast) Broadcast(_, id string, payload []byte) error {
	l.ids[id], l.size = true, len(payload)
	l.handler("n", payload)
	return nil
}

func (l *loopBroadcast) Handle(_ string, handler func(instance.ID, []byte)) { l.handler = handler }

// Guards against a notice that is lost or altered on its way, and two notices under one ID, of
// which the second would not be delivered.
func TestQuarantineNoticesReachOtherNodes(t *testing.T) {
	wire := &loopBroadcast{ids: map[string]bool{}}
	spread := NewQuarantineSpread(wire, "n1-1")
	there := quarantine.NewList(nil)
	spread.Feed(there)
	here := quarantine.NewList(spread)
	now := time.Now()
	here.Report(now, 1, []quarantine.Fingerprint{7, 8})
	here.Succeeded(now, 8)
	here.Report(now, 2, []quarantine.Fingerprint{7, 8})
	assert.Assert(t, there.Quarantined(now, 7))
	assert.Assert(t, !there.Quarantined(now, 8))
	assert.Equal(t, len(wire.ids), 3)
	assert.Equal(t, wire.size, 5+8*3)
}

// Guards against a malformed notice that reaches the list or stops the node.
func TestQuarantineNoticesOutOfBoundsAreRefused(t *testing.T) {
	good := encodeQuarantineNotice(quarantine.Notice{
		Kind: quarantine.Crashed, Crashes: []quarantine.Crash{1}, Fingerprints: []quarantine.Fingerprint{2},
	})
	_, err := decodeQuarantineNotice(good)
	assert.NilError(t, err)
	for name, raw := range map[string][]byte{
		"empty": nil, "version": append([]byte{9}, good[1:]...), "kind": append([]byte{1, 7}, good[2:]...),
		"short": good[:len(good)-1], "long": append(good, 0), "counts": append([]byte{1, 1, 200}, good[3:]...),
		"no crash": {1, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2},
	} {
		_, err := decodeQuarantineNotice(raw)
		assert.Assert(t, err != nil, name)
	}
}
