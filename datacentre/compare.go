package datacentre

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// repairDelay is how long two tables must differ before records are pulled. A change that is still being
	// propagated reaches all members of a data centre within 0.3 s.
	repairDelay = 1500 * time.Millisecond
	// pullTimeout allows for a large response between distant regions.
	pullTimeout = 2 * time.Second
	// maxJoinGoneAge bounds the age of the records of gone instances that a joining node receives. Without
	// it old records would be passed from one joining node to the next for ever.
	maxJoinGoneAge = 30 * time.Minute
)

// digests returns the digest of each data centre with live members.
func (m *Membership) digests() map[string]uint64 {
	sums := make(map[string]uint64)
	for _, name := range m.fleet.DataCentres() {
		if sum, count := m.fleet.Digest(name); count > 0 {
			sums[name] = sum
		}
	}
	return sums
}

// rootDigest returns one digest over all data centres, or 0 while the table has not been synchronised.
func (m *Membership) rootDigest() uint64 {
	if !m.synced.Load() {
		return 0
	}
	return combineDigests(m.digests())
}

func combineDigests(sums map[string]uint64) uint64 {
	var root uint64
	for name, sum := range sums {
		// The odd factor keeps equal digests of two data centres from cancelling each other out.
		root ^= sum * (xxhash.Sum64String(name) | 1)
	}
	return root
}

// syncWith sends a Sync to the node at addr and processes the parts of the response about the two nodes
// themselves and the contacts. The caller compares the digests.
func (m *Membership) syncWith(ctx context.Context, addr string, timeout time.Duration) (SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := m.config.Messenger.Sync(ctx, addr, SyncRequest{Sender: m.sender(), Root: m.rootDigest(), Stale: m.staleContacts()})
	if err != nil {
		return SyncResponse{}, err
	}
	if err := response.validate(); err != nil {
		invalidMessages.Inc()
		return SyncResponse{}, err
	}
	m.recordSender(response.Sender)
	m.mergeContacts(response.Contacts)
	if response.Newer != nil && response.Newer.ID == m.config.Self.ID {
		m.mergeSelf(*response.Newer)
	}
	if response.Behind && m.synced.Load() {
		m.outbox.sendTo(instance.Record{ID: response.Sender.ID, PeerAddr: addr}, []instance.Record{m.Self()}, nil)
	}
	return response, nil
}

// differing returns the data centres whose digest at the peer differs from that of this node.
func (m *Membership) differing(response SyncResponse) map[string]bool {
	mine := m.digests()
	names := make(map[string]bool)
	for _, d := range response.Digests {
		if mine[d.DataCentre] != d.Digest && m.acceptsDataCentre(d.DataCentre) {
			names[d.DataCentre] = true
		}
	}
	return names
}

// reconcile pulls the records of the data centres that differ now and still differ after
// repairDelay.
func (m *Membership) reconcile(addr string, first SyncResponse) {
	var names []string
	for name := range m.differing(first) {
		if m.dataCentre(name).beginRepair() {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	m.workers.start(func(ctx context.Context) {
		defer func() {
			for _, name := range names {
				m.dataCentre(name).endRepair()
			}
		}()
		if !wait.For(ctx, repairDelay) {
			return
		}
		second, err := m.syncWith(ctx, addr, remoteSyncTimeout)
		if err != nil {
			return
		}
		still := m.differing(second)
		for _, name := range names {
			if still[name] {
				_ = m.pull(ctx, addr, name)
			}
		}
	})
}

// pull merges the records of a data centre that the node at addr returns: those of the differing buckets,
// or all of them while this node joins.
func (m *Membership) pull(ctx context.Context, addr, name string) error {
	request := PullRequest{Sender: m.sender(), DataCentre: name}
	joining := !m.synced.Load()
	if !joining {
		request.Buckets = m.dataCentre(name).BucketDigests()
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	response, err := m.config.Messenger.Pull(ctx, addr, request)
	if err != nil {
		return err
	}
	if err := response.validate(); err != nil {
		invalidMessages.Inc()
		return err
	}
	m.recordSender(response.Sender)
	for _, r := range response.Records {
		m.mergePulled(r, response.Sender.ID, joining)
	}
	return nil
}

// mergePulled merges one pulled record. A joining node passes nothing on, since the others know it.
func (m *Membership) mergePulled(r instance.Record, from instance.ID, joining bool) {
	_, known := m.fleet.Get(r.ID)
	switch {
	case r.ID == m.config.Self.ID:
		m.mergeSelf(r)
	case joining:
		if m.acceptsDataCentre(r.DataCentre) && m.hasRoom(known) {
			m.fleet.Merge(r)
		}
	case r.State.Gone() && !known:
		// There is no record to update, and taking this one would extend its retention.
	default:
		if m.merge(r, from) {
			repairedRecords.Inc()
		}
	}
}
