package datacentre

import (
	"context"
	"slices"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// minOfferSize is the payload size from which a broadcast is offered before it is sent. Each node has up
	// to 8 fingers and needs the payload once.
	minOfferSize = 256
	// offerRequestTimeout is how long after a broadcast was requested from one holder it is not requested from
	// another one. A response to an offer waits at most as long, so that it arrives within pushTimeout.
	offerRequestTimeout = 300 * time.Millisecond
	// maxOfferRepeats limits the repeats of one offer to a peer. Each takes offerRequestTimeout and up to as long
	// for the response, so that they last longer than the pushAttempts of a holder that the peer cannot answer.
	maxOfferRepeats = 5
)

// payloadRequest is the request for the payload of an offered broadcast that has not arrived yet. The lock of the
// broadcastTable guards it.
type payloadRequest struct {
	holder  instance.ID
	at      time.Time
	asked   map[instance.ID]struct{} // holders asked so far, among them holder
	waiting int                      // answers to holders that were not asked, which wait for the payload
	arrived chan struct{}            // closed when the payload arrives from any holder
}

func newPayloadRequest() *payloadRequest {
	return &payloadRequest{asked: make(map[instance.ID]struct{}), arrived: make(chan struct{})}
}

// expires returns the time from which the payload may be requested from another holder.
func (r *payloadRequest) expires() time.Time { return r.at.Add(offerRequestTimeout) }

// mayAsk reports whether the payload may be requested from the holder. A holder that was asked before, and repeats its
// offer, may not be able to receive the answer; one that was not asked and waits is preferred to it.
func (r *payloadRequest) mayAsk(holder instance.ID, now time.Time) bool {
	if now.Before(r.expires()) {
		return r.holder == holder
	}
	return r.waiting == 0 || !r.wasAsked(holder)
}

func (r *payloadRequest) wasAsked(holder instance.ID) bool {
	_, ok := r.asked[holder]
	return ok
}

// ask records that the payload is requested from the holder. Repeated offers of one holder do not postpone the
// request to another one.
func (r *payloadRequest) ask(holder instance.ID, now time.Time) {
	if !now.Before(r.expires()) {
		r.at = now
	}
	r.holder = holder
	r.asked[holder] = struct{}{}
}

// answerOffers returns the indexes of the offers whose payload is requested from the holder, and of those whose
// payload was requested from another holder. With none to request it waits until the others have arrived or may be
// requested from this holder. Holders that offer a broadcast at the same time then learn that it has arrived, and
// need not offer it again.
func (t *broadcastTable) answerOffers(ctx context.Context, offers []Offer, holder instance.ID) (wanted, pending []int) {
	deadline := time.Now().Add(offerRequestTimeout)
	t.mu.Lock()
	defer t.mu.Unlock()
	for {
		now := time.Now()
		wanted, pending = t.selectWanted(offers, holder, now)
		if len(wanted) > 0 || len(pending) == 0 || !now.Before(deadline) {
			return wanted, pending
		}
		first := offers[pending[0]]
		if !t.awaitPayload(ctx, t.requested[broadcastKey{first.Topic, first.ID}], holder, deadline) {
			return nil, pending
		}
	}
}

// selectWanted returns the indexes of the offers whose broadcast is new: as wanted those that it marks as requested
// from the holder, as pending those that were requested from another holder. It must be called with the lock held.
func (t *broadcastTable) selectWanted(offers []Offer, holder instance.ID, now time.Time) (wanted, pending []int) {
	for i, o := range offers {
		key := broadcastKey{o.Topic, o.ID}
		if holders, ok := t.seen[key]; ok {
			holders[holder] = struct{}{}
			continue
		}
		request := t.payloadRequest(key)
		if !request.mayAsk(holder, now) {
			pending = append(pending, i)
			continue
		}
		request.ask(holder, now)
		wanted = append(wanted, i)
	}
	return wanted, pending
}

// payloadRequest returns the request for the payload of a broadcast, which is new when none was asked for it. It must
// be called with the lock held.
func (t *broadcastTable) payloadRequest(key broadcastKey) *payloadRequest {
	if request, ok := t.requested[key]; ok {
		return request
	}
	if len(t.requested) >= maxSeenBroadcasts {
		clear(t.requested)
	}
	request := newPayloadRequest()
	t.requested[key] = request
	return request
}

// endRequest records that the payload has arrived. It must be called with the lock held.
func (t *broadcastTable) endRequest(key broadcastKey) {
	if request, ok := t.requested[key]; ok {
		close(request.arrived)
		delete(t.requested, key)
	}
}

// awaitPayload waits until the payload has arrived, its request has expired or the deadline has passed. It reports
// false when ctx ended first. It must be called with the lock held, which it releases while it waits.
func (t *broadcastTable) awaitPayload(ctx context.Context, request *payloadRequest, holder instance.ID, deadline time.Time) bool {
	until := deadline
	if expires := request.expires(); time.Now().Before(expires) && expires.Before(deadline) {
		until = expires
	}
	if !request.wasAsked(holder) {
		request.waiting++
		defer func() { request.waiting-- }()
	}
	t.mu.Unlock()
	defer t.mu.Lock()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-request.arrived:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// pushUpdates pushes records and broadcasts. Large broadcasts are offered, and sent when requested. It returns the
// broadcasts that the peer has requested from another holder.
func (m *Membership) pushUpdates(
	ctx context.Context, peer instance.Record, records []instance.Record, broadcasts []Broadcast,
) (pending []Broadcast, err error) {
	request := PushRequest{Sender: m.sender(), Records: records}
	var offered []Broadcast
	for _, b := range broadcasts {
		if len(b.Payload) < minOfferSize {
			request.Broadcasts = append(request.Broadcasts, b)
			continue
		}
		offered = append(offered, b)
	}
	request.Offers = offersOf(offered)
	response, err := m.push(ctx, peer, request)
	for err == nil && len(response.Wanted) > 0 {
		follow := PushRequest{Sender: request.Sender, Broadcasts: selectIndexes(offered, response.Wanted)}
		offered = selectIndexes(offered, response.Pending)
		follow.Offers = offersOf(offered)
		response, err = m.pushWithRetry(ctx, peer, follow)
	}
	return selectIndexes(offered, response.Pending), err
}

func offersOf(broadcasts []Broadcast) []Offer {
	var offers []Offer
	for _, b := range broadcasts {
		offers = append(offers, Offer{b.Topic, b.ID})
	}
	return offers
}

func selectIndexes(broadcasts []Broadcast, indexes []int) []Broadcast {
	var selected []Broadcast
	for _, index := range indexes {
		selected = append(selected, broadcasts[index])
	}
	return selected
}

// pushWithRetry repeats a push until it is answered, up to pushAttempts times. The peer has requested the
// payloads and does not request them from others meanwhile.
func (m *Membership) pushWithRetry(ctx context.Context, peer instance.Record, request PushRequest) (response PushResponse, err error) {
	for range pushAttempts {
		if response, err = m.push(ctx, peer, request); err == nil || !m.isLive(peer) {
			return response, err
		}
	}
	return response, err
}

// startRepeats repeats the offers of broadcasts that the peer has requested from another holder: that holder may have
// failed since, or the request may have been lost.
func (o *outbox) startRepeats(peer instance.Record, pending []Broadcast) {
	if len(pending) > 0 {
		o.m.workers.start(func(ctx context.Context) { o.repeatOffers(ctx, peer, pending) })
	}
}

// repeatOffers offers the broadcasts again until the peer holds them or is no longer live, up to maxOfferRepeats times.
func (o *outbox) repeatOffers(ctx context.Context, peer instance.Record, pending []Broadcast) {
	for range maxOfferRepeats {
		if !wait.For(ctx, offerRequestTimeout) || !o.m.isLive(peer) {
			return
		}
		pending = slices.DeleteFunc(pending, func(b Broadcast) bool { return o.m.broadcasts.peerHolds(b, peer.ID) })
		if len(pending) == 0 {
			return
		}
		if rest, err := o.m.pushUpdates(ctx, peer, nil, pending); err == nil {
			pending = rest
		}
	}
}
