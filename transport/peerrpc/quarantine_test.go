package peerrpc

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// loopbackBroadcaster passes each broadcast to its own handler, as if another node had received it.
type loopbackBroadcaster struct {
	handler func(instance.ID, []byte)
	ids     map[string]bool
	size    int
}

func (b *loopbackBroadcaster) Broadcast(_, id string, payload []byte) error {
	b.ids[id], b.size = true, len(payload)
	b.handler("n", payload)
	return nil
}

func (b *loopbackBroadcaster) Handle(_ string, handler func(instance.ID, []byte)) {
	b.handler = handler
}

// Guards against a notice that is lost or altered in transit, and against two notices under one broadcast ID, the second of
// which receivers would drop.
func TestQuarantineNoticesReachOtherNodes(t *testing.T) {
	wire := &loopbackBroadcaster{ids: map[string]bool{}}
	notifier := NewQuarantineNotifier(wire, "n1-1")
	remote := quarantine.NewList(nil)
	notifier.Subscribe(remote)
	local := quarantine.NewList(notifier)
	now := time.Now()
	local.Report(now, 1, []quarantine.Fingerprint{7, 8})
	local.Succeeded(now, 8)
	local.Report(now, 2, []quarantine.Fingerprint{7, 8})
	assert.Assert(t, remote.Quarantined(now, 7))
	assert.Assert(t, !remote.Quarantined(now, 8))
	assert.Equal(t, len(wire.ids), 3)
	assert.Equal(t, wire.size, 5+8*3)
}

// Guards against a malformed notice that is accepted or makes the decoder panic.
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
