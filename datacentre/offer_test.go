package datacentre

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

const largePayload = 1 << 10 // bytes, so that the broadcast is offered first

// countHandled returns the number of times that the member has handled a release.
func countHandled(m *member) *atomic.Int32 {
	var handled atomic.Int32
	m.Handle("release", func(instance.ID, []byte) { handled.Add(1) })
	return &handled
}

// assertDelivered broadcasts a release at the sender and fails the test unless the receiver handles it once.
func assertDelivered(t *testing.T, sender, receiver *member) {
	t.Helper()
	handled := countHandled(receiver)
	assert.NilError(t, sender.Broadcast("release", "1", make([]byte, largePayload)))
	time.Sleep(propagationLimit)
	assert.Equal(t, handled.Load(), int32(1))
}

func (n *network) setBlocked(blocked func(from, to *member) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
}

func (n *network) setReceivePush(receive pushReceiver) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.receivePush = receive
}

// receiveWithoutPending processes a push as a version without PushResponse.Pending does: it neither waits for payloads
// that it has requested elsewhere nor says that it lacks them.
func receiveWithoutPending(ctx context.Context, to *member, req PushRequest) (PushResponse, error) {
	ended, cancel := context.WithCancel(ctx)
	cancel()
	response, err := to.ReceivePush(ended, req)
	response.Pending = nil
	return response, err
}

// offerCounter counts the offers and the payloads that each member gets from each other one.
type offerCounter struct {
	mu               sync.Mutex
	offers, payloads map[string]int
}

func newOfferCounter() *offerCounter {
	return &offerCounter{offers: make(map[string]int), payloads: make(map[string]int)}
}

func (c *offerCounter) add(from, to *member, req PushRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range req.Offers {
		c.offers[fmt.Sprintf("%s from %s to %s", o.ID, from.config.Self.ID, to.config.Self.ID)]++
	}
	for _, b := range req.Broadcasts {
		c.payloads[fmt.Sprintf("%s to %s", b.ID, to.config.Self.ID)]++
	}
}

// assertNoneRepeated fails the test when a member got an offer twice from the same member, or a payload twice.
func (c *offerCounter) assertNoneRepeated(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Assert(t, len(c.offers) > 0)
	for offer, count := range c.offers {
		assert.Check(t, count == 1, "offer %s was sent %d times", offer, count)
	}
	for payload, count := range c.payloads {
		assert.Check(t, count == 1, "payload %s was sent %d times", payload, count)
	}
}

// Guards against a broadcast that a member never receives, because its answer to the first offer is lost on a link
// that is cut in one direction, and it declines the offers of the other holders meanwhile.
func TestBroadcastReachesMemberDespiteLostAnswers(t *testing.T) {
	t.Parallel()
	const size = 16
	for distance := 1; distance < size; distance *= 2 {
		t.Run(fmt.Sprintf("sender at distance %d", distance), func(t *testing.T) {
			runInVirtualTime(t, func(n *network) {
				members := n.fill(size, dataCentreNames(1, 1)...)
				ring := members[0].local.Ring()
				sender, receiver := n.members[ring[0].PeerAddr], n.members[ring[distance].PeerAddr]
				n.mu.Lock()
				n.blocked = func(a, b *member) bool { return a == receiver && b == sender }
				n.mu.Unlock()
				var handled atomic.Int32
				receiver.Handle("release", func(instance.ID, []byte) { handled.Add(1) })
				assert.NilError(t, sender.Broadcast("release", "1", make([]byte, minOfferSize)))
				time.Sleep(propagationLimit)
				assert.Equal(t, handled.Load(), int32(1))
			})
		})
	}
}

// Guards against a broadcast that a member never receives, because its answers to all holders but one are lost: it
// requests the payload from one holder after the other, and those that it did not ask need to offer it again.
func TestBroadcastReachesMemberThatAnswersOneHolder(t *testing.T) {
	t.Parallel()
	const size = 16
	for answered := 1; answered < size; answered *= 2 {
		for distance := 1; distance < size; distance *= 2 {
			t.Run(fmt.Sprintf("holder at distance %d and sender at distance %d", answered, distance), func(t *testing.T) {
				runInVirtualTime(t, func(n *network) {
					members := n.fill(size, dataCentreNames(1, 1)...)
					ring := members[0].local.Ring()
					receiver := n.members[ring[size-1].PeerAddr]
					holder, sender := n.members[ring[size-1-answered].PeerAddr], n.members[ring[size-1-distance].PeerAddr]
					n.setBlocked(func(a, b *member) bool { return a == receiver && b != holder })
					assertDelivered(t, sender, receiver)
				})
			})
		}
	}
}

// Guards against a broadcast that a member never receives, because the payload that it requested is lost and its
// holder crashes, and the offers of the others are declined meanwhile.
func TestBroadcastReachesMemberDespiteCrashOfHolder(t *testing.T) {
	t.Parallel()
	runInVirtualTime(t, func(n *network) {
		members := n.fill(16, dataCentreNames(1, 1)...)
		ring := members[0].local.Ring()
		sender, receiver := n.members[ring[0].PeerAddr], n.members[ring[8].PeerAddr]
		n.setReceivePush(func(ctx context.Context, from, to *member, req PushRequest) (PushResponse, error) {
			response, err := to.ReceivePush(ctx, req)
			if from == sender && to == receiver && len(response.Wanted) > 0 {
				n.setBlocked(func(a, b *member) bool { return a == sender && b == receiver })
				time.AfterFunc(100*time.Millisecond, func() { n.kill(sender, true) })
			}
			return response, err
		})
		assertDelivered(t, sender, receiver)
		assert.Assert(t, sender.down)
	})
}

// Guards against a holder of an older version, which counts an offer as delivered when its payload is not requested,
// that does not deliver a broadcast whose request to another holder was lost.
func TestBroadcastReachesMemberFromHoldersWithoutPending(t *testing.T) {
	t.Parallel()
	const size = 16
	for distance := 1; distance < size; distance *= 2 {
		t.Run(fmt.Sprintf("sender at distance %d", distance), func(t *testing.T) {
			runInVirtualTime(t, func(n *network) {
				members := n.fill(size, dataCentreNames(1, 1)...)
				ring := members[0].local.Ring()
				sender, receiver := n.members[ring[0].PeerAddr], n.members[ring[distance].PeerAddr]
				n.setReceivePush(func(ctx context.Context, _, to *member, req PushRequest) (PushResponse, error) {
					if to != receiver {
						return receiveWithoutPending(ctx, to, req)
					}
					response, err := to.ReceivePush(ctx, req)
					response.Pending = nil // the holders don't know the field
					return response, err
				})
				n.setBlocked(func(a, b *member) bool { return a == receiver && b == sender })
				assertDelivered(t, sender, receiver)
			})
		})
	}
}

// Guards against members of an older version, which do not set PushResponse.Pending, that miss a broadcast or are
// offered one again, in a fleet in which some members know the field.
func TestBroadcastReachesMembersWithoutPending(t *testing.T) {
	t.Parallel()
	runInVirtualTime(t, func(n *network) {
		members := n.fill(30, dataCentreNames(3, 2)...)
		older := make(map[*member]bool)
		handled := make([]*atomic.Int32, len(members))
		for i, m := range members {
			older[m] = i%2 == 0
			handled[i] = countHandled(m)
		}
		counter := newOfferCounter()
		n.setReceivePush(func(ctx context.Context, from, to *member, req PushRequest) (PushResponse, error) {
			counter.add(from, to, req)
			if older[to] {
				return receiveWithoutPending(ctx, to, req)
			}
			response, err := to.ReceivePush(ctx, req)
			if older[from] {
				response.Pending = nil
			}
			return response, err
		})
		assert.NilError(t, members[0].Broadcast("release", "1", make([]byte, largePayload)))
		time.Sleep(propagationLimit)
		for i := range members[1:] {
			assert.Equal(t, handled[i+1].Load(), int32(1), "member %d", i+1)
		}
		counter.assertNoneRepeated(t)
	})
}

// Guards against offers that are repeated, and payloads that are sent twice, although no message is lost: a member that
// has just requested a release from one holder does not hold it yet when the others offer it.
func TestReleaseIsOfferedOnceWithoutLoss(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		size, dataCentres int
		jitter            time.Duration
	}{
		"188 members":                      {188, 1, 0},
		"188 members with delays of 2 ms":  {188, 1, 2 * time.Millisecond},
		"188 members with delays of 20 ms": {188, 1, 20 * time.Millisecond},
		"17 data centres of 12 members":    {12, 17, 0},
		"17 data centres, delays of 2 ms":  {12, 17, 2 * time.Millisecond},
		"17 data centres, delays of 20 ms": {12, 17, 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(n *network) {
				n.jitter = c.jitter
				members := n.fill(c.size, dataCentreNames(c.dataCentres, 3)...)
				counter := newOfferCounter()
				n.setReceivePush(func(ctx context.Context, from, to *member, req PushRequest) (PushResponse, error) {
					counter.add(from, to, req)
					return to.ReceivePush(ctx, req)
				})
				for _, m := range members {
					if m.IsBorderNode() {
						assert.NilError(t, m.Broadcast("release", "1", make([]byte, largePayload)))
					}
				}
				time.Sleep(2 * propagationLimit)
				counter.assertNoneRepeated(t)
			})
		})
	}
}

// Guards against a broadcast that is lost or costs messages of its own when the peer requests another one of the same
// push, and lacks this one.
func TestPendingOfferIsSentAgainWithPayload(t *testing.T) {
	t.Parallel()
	runInVirtualTime(t, func(n *network) {
		members := n.fill(2, dataCentreNames(1, 1)...)
		sender, receiver := members[0], members[1]
		var mu sync.Mutex
		var pushes []PushRequest
		n.setReceivePush(func(ctx context.Context, _, to *member, req PushRequest) (PushResponse, error) {
			if to != receiver || len(req.Offers)+len(req.Broadcasts) == 0 {
				return to.ReceivePush(ctx, req)
			}
			mu.Lock()
			pushes = append(pushes, req)
			first := len(pushes) == 1
			mu.Unlock()
			if first {
				return PushResponse{Sender: to.sender(), Wanted: []int{0}, Pending: []int{1}}, nil
			}
			return to.ReceivePush(ctx, req)
		})
		handled := countHandled(receiver)
		assert.NilError(t, sender.Broadcast("release", "1", make([]byte, largePayload)))
		assert.NilError(t, sender.Broadcast("release", "2", make([]byte, largePayload)))
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		assert.Equal(t, handled.Load(), int32(2))
		assert.Equal(t, len(pushes), 3, "offers, first payload, second payload")
		assert.Equal(t, len(pushes[1].Broadcasts), 1)
		assert.DeepEqual(t, pushes[1].Offers, []Offer{{"release", "2"}})
	})
}
