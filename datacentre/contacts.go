package datacentre

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	contactPrefix = "/contact/"
	contactTTL    = 30 * time.Second
	contactRenew  = 10 * time.Second
	// contactCheck is the time between looks at the contacts for nodes that this one does not know,
	// such as a group that formed apart. 34 border nodes make 1.1 reads/s.
	contactCheck = 30 * time.Second
	// contactStart is the time after the start in which contacts are renewed and looked at more often,
	// every startRenew: nodes that start together may form groups apart, which meet this way. The first
	// look is spread over firstContact, in which 3,200 nodes that start at once make 1,100 reads/s.
	contactStart = 30 * time.Second
	startRenew   = 2 * time.Second
	firstContact = 3 * time.Second
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
	next := rand.N(firstContact)
	started, lastCheck := time.Now(), time.Time{}
	for wait.For(ctx, next) {
		if !entry.held && m.isAlone() {
			m.join(ctx) // with a node that started earlier this one need not be a contact
		}
		err := m.keepContact(ctx, &entry)
		starting := time.Since(started) < contactStart
		due := time.Since(lastCheck) >= contactCheck || starting
		if err == nil && due && m.IsBorder() {
			lastCheck = time.Now()
			m.syncUnknownContacts(ctx)
		}
		if err == nil {
			next = contactRenew - rand.N(contactRenew/10)
			if starting {
				next = startRenew + rand.N(startRenew/2)
			}
			continue
		}
		storeFailures.Inc()
		next = min(next*2, storeMaxWait)/2 + rand.N(contactRenew)
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

// contacts reads the peer addresses in the store and the data centre of each.
func (m *Membership) contacts(ctx context.Context) map[string]string {
	if m.config.Store == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, err := m.config.Store.List(ctx, contactPrefix)
	if err != nil {
		storeFailures.Inc()
		return nil
	}
	found := make(map[string]string)
	for _, entry := range entries {
		addr := string(entry.Value)
		name, _, _ := strings.Cut(strings.TrimPrefix(entry.Key, contactPrefix), "/")
		if _, _, err := net.SplitHostPort(addr); err != nil || !validName(addr) || !validName(name) {
			invalid.Inc()
			continue
		}
		found[addr] = name
	}
	return found
}

// syncUnknownContacts compares tables with contacts and seeds that are not in the table.
func (m *Membership) syncUnknownContacts(ctx context.Context) {
	known := make(map[string]bool)
	for _, r := range m.fleet.Select(func(r instance.Record) bool { return !r.State.Gone() }) {
		known[r.PeerAddr] = true
	}
	unknown := make(map[string]string) // address to data centre
	for _, addr := range m.config.Seeds {
		unknown[addr] = ""
	}
	maps.Copy(unknown, m.contacts(ctx))
	tried := 0
	for addr, name := range unknown {
		if known[addr] || addr == m.config.Self.PeerAddr || tried == joinAttempts {
			continue
		}
		tried++
		m.syncContact(ctx, addr, name)
	}
}

// syncContact takes the records of a node that is not in the table.
func (m *Membership) syncContact(ctx context.Context, addr, centre string) {
	response, err := m.syncWith(ctx, addr, joinTimeout)
	if err != nil {
		return
	}
	if d, ok := m.centres.Get(centre); ok {
		d.contact(time.Now())
	}
	for name := range m.differing(response) {
		_ = m.pull(ctx, addr, name)
	}
}
