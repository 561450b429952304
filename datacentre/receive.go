package datacentre

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

var _ Receiver = (*Membership)(nil)

// accept counts an invalid message and records the sender of a valid one.
func (m *Membership) accept(s Sender, err error) error {
	if err != nil {
		invalidMessages.Inc()
		return err
	}
	m.recordSender(s)
	return nil
}

// ReceiveSync implements Receiver.
func (m *Membership) ReceiveSync(_ context.Context, req SyncRequest) (SyncResponse, error) {
	if err := m.accept(req.Sender, req.validate()); err != nil {
		return SyncResponse{}, err
	}
	response := SyncResponse{Sender: m.sender()}
	if !m.synced.Load() {
		// The table may be out of date, so a peer must not pull records from it.
		return response, nil
	}
	sums := m.digests()
	response.Root, response.Contacts = combineDigests(sums), m.fresherContacts(req.Stale)
	if response.Root != req.Root {
		for name, sum := range sums {
			response.Digests = append(response.Digests, Digest{DataCentre: name, Digest: sum})
		}
		slices.SortFunc(response.Digests, func(a, b Digest) int { return strings.Compare(a.DataCentre, b.DataCentre) })
		response.Digests = response.Digests[:min(len(response.Digests), maxDataCentres)]
	}
	held, found := m.fleet.Get(req.Sender.ID)
	claimed := instance.Record{Incarnation: req.Sender.Incarnation, StateVersion: req.Sender.StateVersion, State: held.State}
	switch {
	case !found || claimed.Newer(held):
		response.Behind = true
	case held.Newer(claimed) || held.State == instance.Failed:
		response.Newer = &held
	}
	return response, nil
}

// ReceivePush implements Receiver. It waits for at most offerRequestTimeout when it lacks the payload of an offer
// and has requested it from another holder.
func (m *Membership) ReceivePush(ctx context.Context, req PushRequest) (PushResponse, error) {
	if err := m.accept(req.Sender, req.validate()); err != nil {
		return PushResponse{}, err
	}
	for _, r := range req.Records {
		m.merge(r, req.Sender.ID)
	}
	for _, b := range req.Broadcasts {
		m.receiveBroadcast(b, req.Sender.ID)
	}
	wanted, pending := m.broadcasts.answerOffers(ctx, req.Offers, req.Sender.ID)
	return PushResponse{Sender: m.sender(), Wanted: wanted, Pending: pending}, nil
}

// ReceivePull implements Receiver.
func (m *Membership) ReceivePull(_ context.Context, req PullRequest) (PullResponse, error) {
	if err := m.accept(req.Sender, req.validate()); err != nil {
		return PullResponse{}, err
	}
	if !m.synced.Load() {
		return PullResponse{}, ErrUnreachable.New("this node has not joined the fleet yet")
	}
	wanted := func(int) bool { return true }
	var gone []instance.Record
	if len(req.Buckets) > 0 {
		mine := m.dataCentre(req.DataCentre).BucketDigests()
		wanted = func(bucket int) bool { return mine[bucket] != req.Buckets[bucket] }
		gone = m.fleet.GoneRecords(req.DataCentre, instance.GoneRetention)
	} else {
		gone = m.fleet.GoneRecords(req.DataCentre, maxJoinGoneAge)
	}
	response := PullResponse{Sender: m.sender()}
	for _, r := range slices.Concat(m.fleet.DataCentre(req.DataCentre), gone) {
		if wanted(bucketOf(r.ID)) && len(response.Records) < maxRecords {
			response.Records = append(response.Records, r)
		}
	}
	return response, nil
}

// ReceivePing implements Receiver.
func (m *Membership) ReceivePing(_ context.Context, req PingRequest) (PingResponse, error) {
	if err := m.accept(req.Sender, req.Sender.validate()); err != nil {
		return PingResponse{}, err
	}
	return PingResponse{Sender: m.sender()}, nil
}

// ReceivePingVia implements Receiver.
func (m *Membership) ReceivePingVia(ctx context.Context, req PingViaRequest) (PingViaResponse, error) {
	if err := m.accept(req.Sender, req.validate()); err != nil {
		return PingViaResponse{}, err
	}
	target, ok := m.fleet.Get(req.Target)
	if !ok || target.Incarnation != req.Incarnation {
		return PingViaResponse{}, ErrUnreachable.New("instance %s with incarnation %d is not known", req.Target, req.Incarnation)
	}
	start := time.Now()
	incarnation := m.ping(ctx, target, req.Timeout)
	if incarnation == 0 && m.heardSince(req.Target, req.Incarnation, start) {
		incarnation = req.Incarnation
	}
	return PingViaResponse{Sender: m.sender(), Incarnation: incarnation}, nil
}
