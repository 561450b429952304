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
					handled := countHandled(receiver)
					assert.NilError(t, sender.Broadcast("release", "1", make([]byte, largePayload)))
					time.Sleep(propagationLimit)
					assert.Equal(t, handled.Load(), int32(1))
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
		handled := countHandled(receiver)
		assert.NilError(t, sender.Broadcast("release", "1", make([]byte, largePayload)))
		time.Sleep(propagationLimit)
		assert.Equal(t, handled.Load(), int32(1))
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
				handled := countHandled(receiver)
				assert.NilError(t, sender.Broadcast("release", "1", make([]byte, largePayload)))
				time.Sleep(propagationLimit)
				assert.Equal(t, handled.Load(), int32(1))
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

// Guards against offers that are repeated without end: to a member that never requests the payload, that has left, or
// that holds the payload.
func TestRepeatedOffersEnd(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		// receive processes the push with an offer, of which it is the one with the number, counted from 1.
		receive func(ctx context.Context, to *member, req PushRequest, number int) (PushResponse, error)
		offers  int
		handled int32
	}{
		"never requested": {
			func(_ context.Context, to *member, _ PushRequest, _ int) (PushResponse, error) {
				return PushResponse{Sender: to.sender(), Pending: []int{0}}, nil
			}, 1 + maxOfferRepeats, 0,
		},
		"never answered after the first": {
			func(ctx context.Context, to *member, _ PushRequest, number int) (PushResponse, error) {
				if number > 1 {
					<-ctx.Done()
				}
				return PushResponse{Sender: to.sender(), Pending: []int{0}}, ctx.Err()
			}, 1 + maxOfferRepeats, 0,
		},
		"left": {
			func(ctx context.Context, to *member, _ PushRequest, number int) (PushResponse, error) {
				if number == 2 {
					to.Leave(ctx)
				}
				return PushResponse{Sender: to.sender(), Pending: []int{0}}, nil
			}, 2, 0,
		},
		"requested later": {
			func(ctx context.Context, to *member, req PushRequest, number int) (PushResponse, error) {
				if number < 3 {
					return PushResponse{Sender: to.sender(), Pending: []int{0}}, nil
				}
				return to.ReceivePush(ctx, req)
			}, 3, 1,
		},
		"received from another holder": {
			func(ctx context.Context, to *member, req PushRequest, number int) (PushResponse, error) {
				if number == 1 {
					to.broadcasts.markSeen(Broadcast{Topic: "release", ID: "1"}, "dc0-node-9")
					return PushResponse{Sender: to.sender(), Pending: []int{0}}, nil
				}
				return to.ReceivePush(ctx, req)
			}, 2, 0,
		},
		"passed on to the sender": {
			func(_ context.Context, to *member, req PushRequest, _ int) (PushResponse, error) {
				to.receiveBroadcast(Broadcast{Topic: "release", ID: "1", From: req.Sender.ID, DataCentre: "dc0"}, "dc0-node-9")
				return PushResponse{Sender: to.sender(), Pending: []int{0}}, nil
			}, 1, 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(n *network) {
				members := n.fill(2, dataCentreNames(1, 1)...)
				sender, receiver := members[0], members[1]
				var offers atomic.Int32
				n.setReceivePush(func(ctx context.Context, _, to *member, req PushRequest) (PushResponse, error) {
					if to != receiver || len(req.Offers) == 0 {
						return to.ReceivePush(ctx, req)
					}
					return c.receive(ctx, to, req, int(offers.Add(1)))
				})
				handled := countHandled(receiver)
				assert.NilError(t, sender.Broadcast("release", "1", make([]byte, largePayload)))
				time.Sleep(time.Minute)
				assert.Equal(t, offers.Load(), int32(c.offers))
				assert.Equal(t, handled.Load(), c.handled)
			})
		})
	}
}

// Guards against an offer whose answer waits longer than offerRequestTimeout for a payload that does not arrive, or that
// stays open after its sender has given up.
func TestAnswerToOfferIsBounded(t *testing.T) {
	t.Parallel()
	runInVirtualTime(t, func(n *network) {
		receiver := n.fill(1, dataCentreNames(1, 1)...)[0]
		offer := func(ctx context.Context, id instance.ID) (PushResponse, time.Duration) {
			start := time.Now()
			response, err := receiver.ReceivePush(ctx, PushRequest{
				Sender: Sender{ID: id, Incarnation: 1}, Offers: []Offer{{"release", "1"}},
			})
			assert.NilError(t, err)
			return response, time.Since(start)
		}
		first, taken := offer(context.Background(), "a")
		assert.DeepEqual(t, first.Wanted, []int{0})
		assert.Equal(t, taken, time.Duration(0))

		ctx, cancel := context.WithTimeout(context.Background(), offerRequestTimeout/3)
		defer cancel()
		abandoned, taken := offer(ctx, "b")
		assert.DeepEqual(t, abandoned.Pending, []int{0})
		assert.Equal(t, taken, offerRequestTimeout/3)

		second, taken := offer(context.Background(), "c")
		assert.DeepEqual(t, second.Wanted, []int{0}) // the request to the first holder has expired
		assert.Equal(t, taken, offerRequestTimeout-offerRequestTimeout/3)

		var waiting sync.WaitGroup
		for _, id := range []instance.ID{"d", "e", "f"} {
			waiting.Go(func() {
				_, taken := offer(context.Background(), id)
				assert.Check(t, taken <= offerRequestTimeout)
			})
		}
		waiting.Wait()
	})
}

// Guards against a response that makes the sender select an offer that it did not send, or repeat a push without end.
func TestPushResponseIsValidated(t *testing.T) {
	t.Parallel()
	sender := Sender{ID: "a", Incarnation: 1}
	for name, c := range map[string]struct {
		wanted, pending []int
		valid           bool
	}{
		"each once":           {[]int{0, 2}, []int{1}, true},
		"more than offered":   {[]int{0, 1, 2}, []int{1}, false},
		"wanted beyond":       {[]int{3}, nil, false},
		"pending beyond":      {nil, []int{3}, false},
		"pending is negative": {nil, []int{-1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			err := PushResponse{Sender: sender, Wanted: c.wanted, Pending: c.pending}.validate(3)
			assert.Equal(t, err == nil, c.valid, "%v", err)
		})
	}
}
