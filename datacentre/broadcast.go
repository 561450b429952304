package datacentre

import (
	"sync"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

const (
	// maxSeenBroadcasts is the number of broadcasts that are remembered, so that none is handled twice.
	// 8,300 releases a day are 6 a minute; the rest is room for crash fingerprints.
	maxSeenBroadcasts = 4096
)

// Handler processes the payload of a broadcast. It must not block.
type Handler func(from instance.ID, payload []byte)

type broadcastKey struct{ topic, id string }

// broadcastTable holds the topic handlers and the broadcasts seen.
type broadcastTable struct {
	mu        sync.Mutex
	handlers  map[string]Handler
	seen      map[broadcastKey]map[instance.ID]struct{} // peers known to hold the broadcast
	order     []broadcastKey                            // keys of seen, oldest first
	requested map[broadcastKey]*payloadRequest
}

func newBroadcastTable() *broadcastTable {
	return &broadcastTable{
		handlers:  make(map[string]Handler),
		seen:      make(map[broadcastKey]map[instance.ID]struct{}),
		requested: make(map[broadcastKey]*payloadRequest),
	}
}

// Handle sets the handler of a topic. Broadcasts of topics without a handler are only passed on.
func (m *Membership) Handle(topic string, handler func(from instance.ID, payload []byte)) {
	m.broadcasts.mu.Lock()
	defer m.broadcasts.mu.Unlock()
	m.broadcasts.handlers[topic] = handler
}

// Broadcast sends the payload to all nodes. Each node handles a pair of topic and id once. The sender's
// own handler is not called, unless another node sent the same pair before. Delivery is best effort: a
// node that is unreachable for more than a second misses the broadcast. The error is ErrTooLarge, or
// ErrInvalid for an empty or too long topic or id; nothing is sent then.
func (m *Membership) Broadcast(topic, id string, payload []byte) error {
	if len(payload) > MaxPayload {
		return ErrTooLarge.New("payload of broadcast %s is too large: %d bytes", topic, len(payload))
	}
	if !validName(topic) || !validName(id) {
		return ErrInvalid.New("broadcast has an empty or too long topic %q or id %q", topic, id)
	}
	self := m.config.Self
	b := Broadcast{Topic: topic, ID: id, From: self.ID, DataCentre: self.DataCentre, Payload: payload}
	if m.broadcasts.markSeen(b, self.ID) {
		m.outbox.addBroadcast(b, self.ID)
	}
	return nil
}

func (m *Membership) receiveBroadcast(b Broadcast, from instance.ID) {
	if !m.broadcasts.markSeen(b, from) {
		return
	}
	m.outbox.addBroadcast(b, from)
	m.broadcasts.mu.Lock()
	handler := m.broadcasts.handlers[b.Topic]
	m.broadcasts.mu.Unlock()
	if handler != nil {
		handler(b.From, b.Payload)
	}
}

// markSeen records the broadcast and its holder and reports whether the broadcast was new.
func (t *broadcastTable) markSeen(b Broadcast, holder instance.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := broadcastKey{b.Topic, b.ID}
	if holders, ok := t.seen[key]; ok {
		holders[holder] = struct{}{}
		return false
	}
	t.seen[key] = map[instance.ID]struct{}{holder: {}}
	t.endRequest(key)
	if t.order = append(t.order, key); len(t.order) > maxSeenBroadcasts {
		delete(t.seen, t.order[0])
		t.order = t.order[1:]
	}
	return true
}

// peerHolds reports whether the peer is known to hold the broadcast.
func (t *broadcastTable) peerHolds(b Broadcast, peer instance.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.seen[broadcastKey{b.Topic, b.ID}][peer]
	return ok
}
