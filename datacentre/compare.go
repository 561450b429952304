package datacentre

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// settleTime is how long two tables must differ before records are pulled. A change that is just
	// being spread reaches all members of a data centre within 0.3 s.
	settleTime = 1500 * time.Millisecond
	// pullTimeout covers a large response between distant regions.
	pullTimeout = 2 * time.Second
	// joinGoneAge bounds the age of the records of gone instances that a joining node receives. Old
	// ones would otherwise be handed on from joiner to joiner for ever.
	joinGoneAge = 30 * time.Minute
)

// digests returns the digests of all data centres with live members.
func (m *Membership) digests() map[string]uint64 {
	sums := make(map[string]uint64)
	for _, name := range m.fleet.DataCentres() {
		if sum, count := m.fleet.Digest(name); count > 0 {
			sums[name] = sum
		}
	}
	return sums
}

// root returns one digest of all data centres. A node that has not settled has none.
func (m *Membership) root() uint64 {
	if !m.settled.Load() {
		return 0
	}
	return rootOf(m.digests())
}

func rootOf(sums map[string]uint64) uint64 {
	var root uint64
	for name, sum := range sums {
		// The product keeps equal digests of two data centres from cancelling each other out.
		root ^= sum * (xxhash.Sum64String(name) | 1)
	}
	return root
}

// syncWith compares tables with the node at addr and settles what concerns the two nodes
// themselves. The caller handles the digests.
func (m *Membership) syncWith(ctx context.Context, addr string, timeout time.Duration) (SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := m.config.Messenger.Sync(ctx, addr, SyncRequest{Sender: m.sender(), Root: m.root(), Stale: m.staleContacts()})
	if err != nil {
		return SyncResponse{}, err
	}
	if err := response.validate(); err != nil {
		invalid.Inc()
		return SyncResponse{}, err
	}
	m.takeSender(response.Sender)
	m.takeContacts(response.Contacts)
	if response.Newer != nil && response.Newer.ID == m.config.Self.ID {
		m.mergeSelf(*response.Newer)
	}
	if response.Behind && m.settled.Load() {
		m.outbox.sendTo(instance.Record{ID: response.Sender.ID, PeerAddr: addr}, []instance.Record{m.Self()}, nil)
	}
	return response, nil
}

// differing returns the data centres of which the peer holds other records than this node.
func (m *Membership) differing(response SyncResponse) map[string]bool {
	mine := m.digests()
	names := make(map[string]bool)
	for _, d := range response.Digests {
		if mine[d.DataCentre] != d.Digest && m.acceptsCentre(d.DataCentre) {
			names[d.DataCentre] = true
		}
	}
	return names
}

// reconcile pulls the records of the data centres that differ now and still differ after
// settleTime.
func (m *Membership) reconcile(addr string, first SyncResponse) {
	var names []string
	for name := range m.differing(first) {
		if m.centre(name).beginRepair() {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	m.workers.start(func(ctx context.Context) {
		defer func() {
			for _, name := range names {
				m.centre(name).endRepair()
			}
		}()
		if !wait.For(ctx, settleTime) {
			return
		}
		second, err := m.syncWith(ctx, addr, exchangeTimeout)
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

// pull takes the records of the parts of a data centre that differ at the node at addr.
func (m *Membership) pull(ctx context.Context, addr, name string) error {
	request := PullRequest{Sender: m.sender(), DataCentre: name}
	joining := !m.settled.Load()
	if !joining {
		request.Buckets = m.centre(name).Buckets()
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	response, err := m.config.Messenger.Pull(ctx, addr, request)
	if err != nil {
		return err
	}
	if err := response.validate(); err != nil {
		invalid.Inc()
		return err
	}
	m.takeSender(response.Sender)
	for _, r := range response.Records {
		m.absorb(r, response.Sender.ID, joining)
	}
	return nil
}

// absorb merges one pulled record. A joining node passes nothing on, since the others know it.
func (m *Membership) absorb(r instance.Record, from instance.ID, joining bool) {
	_, known := m.fleet.Get(r.ID)
	switch {
	case r.ID == m.config.Self.ID:
		m.mergeSelf(r)
	case joining:
		if m.acceptsCentre(r.DataCentre) && m.hasRoom(known) {
			m.fleet.Merge(r)
		}
	case r.State.Gone() && !known:
		// Nothing to correct; taking it would keep the record alive beyond its retention.
	default:
		if m.merge(r, from) {
			repaired.Inc()
		}
	}
}
