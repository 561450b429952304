package datacentre

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

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
