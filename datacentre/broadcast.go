package datacentre

import (
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

const (
	// castMemory is the number of broadcasts that are remembered, so that none is handled twice.
	// 8,300 releases a day are 6 a minute; the rest is room for crash fingerprints.
	castMemory = 4096
	// offerWait is how long an offered broadcast that one holder was asked for is not asked for from
	// another one.
	offerWait = 300 * time.Millisecond
)

// Handler takes the payload of a broadcast. It must not block.
type Handler func(from instance.ID, payload []byte)

type castKey struct{ topic, id string }

// castTable holds the handlers and the broadcasts seen, oldest first.
type castTable struct {
	mu       sync.Mutex
	handlers map[string]Handler
	seen     map[castKey]map[instance.ID]struct{} // peers known to hold the broadcast
	order    []castKey
	asked    map[castKey]askedOffer
}

// askedOffer is an offer that was accepted and whose payload has not come yet.
type askedOffer struct {
	holder instance.ID
	at     time.Time
}

func newCastTable() *castTable {
	return &castTable{
		handlers: make(map[string]Handler),
		seen:     make(map[castKey]map[instance.ID]struct{}),
		asked:    make(map[castKey]askedOffer),
	}
}

// Handle sets the handler of a topic. Broadcasts of topics without a handler are passed on only.
func (m *Membership) Handle(topic string, handler func(from instance.ID, payload []byte)) {
	m.casts.mu.Lock()
	defer m.casts.mu.Unlock()
	m.casts.handlers[topic] = handler
}

// Broadcast sends the payload to all nodes. Each node handles one (topic, id) once, including this
// one if another node sent it before; the sender's own handler is not called. Delivery is not
// certain: a node that cannot be reached for more than a second misses it. The error is ErrTooLarge,
// or ErrInvalid for an empty or too long topic or id; nothing is sent then.
func (m *Membership) Broadcast(topic, id string, payload []byte) error {
	if len(payload) > MaxPayload {
		return ErrTooLarge.New("broadcast %s of %d bytes", topic, len(payload))
	}
	if !validName(topic) || !validName(id) {
		return ErrInvalid.New("broadcast of topic %q, id %q", topic, id)
	}
	self := m.config.Self
	b := Broadcast{Topic: topic, ID: id, From: self.ID, DataCentre: self.DataCentre, Payload: payload}
	if m.casts.first(b, self.ID) {
		m.outbox.addCast(b, self.ID)
	}
	return nil
}

func (m *Membership) takeBroadcast(b Broadcast, from instance.ID) {
	if !m.casts.first(b, from) {
		return
	}
	m.outbox.addCast(b, from)
	m.casts.mu.Lock()
	handler := m.casts.handlers[b.Topic]
	m.casts.mu.Unlock()
	if handler != nil {
		handler(b.From, b.Payload)
	}
}

// first remembers the broadcast and its holder and reports whether it was not known.
func (t *castTable) first(b Broadcast, holder instance.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := castKey{b.Topic, b.ID}
	if holders, ok := t.seen[key]; ok {
		holders[holder] = struct{}{}
		return false
	}
	t.seen[key] = map[instance.ID]struct{}{holder: {}}
	delete(t.asked, key)
	if t.order = append(t.order, key); len(t.order) > castMemory {
		delete(t.seen, t.order[0])
		t.order = t.order[1:]
	}
	return true
}

// holds reports whether the peer is known to hold the broadcast.
func (t *castTable) holds(b Broadcast, peer instance.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.seen[castKey{b.Topic, b.ID}][peer]
	return ok
}

// wanted returns the indexes of the offers that are not known and not just being fetched from another
// holder. A holder that offers again has not got its payload through.
func (t *castTable) wanted(offers []Offer, holder instance.ID, now time.Time) []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var indexes []int
	for i, o := range offers {
		key := castKey{o.Topic, o.ID}
		if holders, ok := t.seen[key]; ok {
			holders[holder] = struct{}{}
			continue
		}
		if asked := t.asked[key]; asked.holder != holder && now.Sub(asked.at) < offerWait {
			continue
		}
		if len(t.asked) >= castMemory {
			clear(t.asked)
		}
		t.asked[key] = askedOffer{holder, now}
		indexes = append(indexes, i)
	}
	return indexes
}
