package datacentre

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	contactPrefix = "/contact/"
	contactTTL    = 30 * time.Second
	contactRenew  = 10 * time.Second
	// contactCheck is the time between looks at the contacts for nodes that this one does not know,
	// such as a group that formed apart. 34 border nodes make 1.1 reads/s.
	contactCheck = 30 * time.Second
	storeTimeout = 2 * time.Second
	// storeMaxWait bounds the jittered wait after failures, so that a store that returns is not met
	// by all border nodes at once.
	storeMaxWait = 40 * time.Second
)

// contact is this node's entry in the store.
type contactEntry struct {
	lease store.LeaseID
	held  bool
}

// runContacts keeps the node's contact in the store while it is a border node, and looks for nodes
// that it does not know. A failing store has no other effect.
func (m *Membership) runContacts(ctx context.Context) {
	var entry contactEntry
	wait := rand.N(contactRenew)
	lastCheck := time.Now()
	for sleep(ctx, wait) {
		err := m.keepContact(ctx, &entry)
		if err == nil && m.IsBorder() && time.Since(lastCheck) >= contactCheck {
			lastCheck = time.Now()
			m.meetStrangers(ctx)
		}
		if err == nil {
			wait = contactRenew - rand.N(contactRenew/10)
			continue
		}
		storeFailures.Inc()
		wait = min(wait*2, storeMaxWait)/2 + rand.N(contactRenew)
	}
	m.dropContact(&entry)
}

// keepContact creates, renews or removes the contact of this node.
func (m *Membership) keepContact(ctx context.Context, entry *contactEntry) error {
	if m.config.Store == nil {
		return nil
	}
	if !m.IsBorder() || m.Self().State == instance.Left {
		m.dropContact(entry)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if entry.held {
		err := m.config.Store.RenewLease(ctx, entry.lease)
		if !errorx.IsOfType(err, store.ErrLeaseLapsed) {
			return err
		}
		entry.held = false
	}
	return m.createContact(ctx, entry)
}

func (m *Membership) createContact(ctx context.Context, entry *contactEntry) error {
	self := m.config.Self
	lease, err := m.config.Store.GrantLease(ctx, contactTTL)
	if err != nil {
		return err
	}
	key := contactPrefix + self.DataCentre + "/" + string(self.ID)
	revision := int64(0)
	if earlier, err := m.config.Store.Get(ctx, key); err == nil {
		revision = earlier.Revision // of an earlier life, or of a write whose answer was lost
	}
	if _, err = m.config.Store.Swap(ctx, key, []byte(self.PeerAddr), revision, lease); err != nil {
		return err // the unused lease lapses
	}
	entry.lease, entry.held = lease, true
	return nil
}

// dropContact removes the contact. When the store does not answer, the lease lapses.
func (m *Membership) dropContact(entry *contactEntry) {
	if !entry.held {
		return
	}
	entry.held = false
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := m.config.Store.RevokeLease(ctx, entry.lease); err != nil {
		storeFailures.Inc()
	}
}

// contacts reads the peer addresses in the store: those of the own data centre and the others.
func (m *Membership) contacts(ctx context.Context) (near, far []string) {
	if m.config.Store == nil {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, err := m.config.Store.List(ctx, contactPrefix)
	if err != nil {
		storeFailures.Inc()
		return nil, nil
	}
	for _, entry := range entries {
		addr := string(entry.Value)
		if _, _, err := net.SplitHostPort(addr); err != nil || !validName(addr) {
			invalid.Inc()
			continue
		}
		if strings.HasPrefix(entry.Key, contactPrefix+m.home.Name+"/") {
			near = append(near, addr)
			continue
		}
		far = append(far, addr)
	}
	return near, far
}

// meetStrangers compares tables with a contact or seed that is not in the table.
func (m *Membership) meetStrangers(ctx context.Context) {
	known := make(map[string]bool)
	for _, r := range m.fleet.Select(func(r instance.Record) bool { return !r.State.Gone() }) {
		known[r.PeerAddr] = true
	}
	for _, addr := range m.entryPoints(ctx) {
		if known[addr] {
			continue
		}
		if response, err := m.syncWith(ctx, addr, joinTimeout); err == nil {
			m.meet(ctx, addr, response)
			return
		}
	}
}

// meet takes the records of a node that is not in the table.
func (m *Membership) meet(ctx context.Context, addr string, response SyncResponse) {
	for name := range m.differing(response) {
		_ = m.pull(ctx, addr, name)
	}
}
