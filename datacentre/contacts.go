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
	contactPrefix        = "/contact/"
	contactTTL           = 30 * time.Second
	contactRenewInterval = 10 * time.Second
	// contactCheckInterval is the time between checks of the contacts for nodes that this one does not know,
	// such as members of a separate group. 34 border nodes make 1.1 reads/s.
	contactCheckInterval = 30 * time.Second
	// startupPeriod is the time after the start in which contacts are renewed and checked more often, every
	// startupRenewInterval: nodes that start together may form separate groups, which find each other this
	// way. The first check is spread over firstCheckJitter, in which 3,200 nodes that start at once make
	// 1,100 reads/s.
	startupPeriod        = 30 * time.Second
	startupRenewInterval = 2 * time.Second
	firstCheckJitter     = 3 * time.Second
	storeTimeout         = 2 * time.Second
	// contactEraJitter spreads the calls with which the border nodes write their contacts in a new era of the store.
	contactEraJitter = time.Second
	// maxStoreBackoff bounds the jittered delay after failures, so that the border nodes do not all call a
	// recovered store at once.
	maxStoreBackoff = 40 * time.Second
)

// contactEntry is the state of this node's contact: the entry in the store, under contactPrefix, with its
// peer address, by which other nodes find it.
type contactEntry struct {
	lease store.LeaseID
	held  bool
	era   store.EraStatus // in which the lease was obtained
}

// wait returns after d. When the era of the contact ends first, it returns up to contactEraJitter later. It reports false when
// ctx was done first.
func (e *contactEntry) wait(ctx context.Context, d time.Duration) bool {
	if !e.held {
		return wait.For(ctx, d)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.era.Changed:
		return wait.For(ctx, rand.N(contactEraJitter))
	case <-ctx.Done():
		return false
	}
}

// runContacts maintains the node's contact in the store while it is a border node, and compares tables
// with contacts that it does not know. A failing store has no other effect.
func (m *Membership) runContacts(ctx context.Context) {
	var entry contactEntry
	next := rand.N(firstCheckJitter)
	started, lastCheck := time.Now(), time.Time{}
	for entry.wait(ctx, next) {
		if !entry.held && m.isAlone() {
			m.join(ctx) // after joining an earlier node this one may not need a contact
		}
		err := m.maintainContact(ctx, &entry)
		starting := time.Since(started) < startupPeriod
		due := time.Since(lastCheck) >= contactCheckInterval || starting
		if err == nil && due && m.IsBorderNode() {
			lastCheck = time.Now()
			m.syncUnknownContacts(ctx)
		}
		if err == nil {
			next = contactRenewInterval - rand.N(contactRenewInterval/10)
			if starting {
				next = startupRenewInterval + rand.N(startupRenewInterval/2)
			}
			continue
		}
		storeFailures.Inc()
		next = min(next*2, maxStoreBackoff)/2 + rand.N(contactRenewInterval)
	}
	m.removeContact(&entry)
}

// maintainContact creates, renews or removes the contact of this node.
func (m *Membership) maintainContact(ctx context.Context, entry *contactEntry) error {
	if m.config.Store == nil {
		return nil
	}
	if !m.IsBorderNode() || m.Self().State == instance.Left {
		m.removeContact(entry)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if entry.held {
		err := store.Within(m.config.Store, entry.era).RenewLease(ctx, entry.lease)
		if !entry.era.Ended() && !errorx.IsOfType(err, store.ErrLeaseLapsed) {
			return err
		}
		entry.held = false
	}
	return m.createContact(ctx, entry)
}

func (m *Membership) createContact(ctx context.Context, entry *contactEntry) error {
	self, era := m.config.Self, m.config.Store.Era()
	lease, err := m.config.Store.GrantLease(ctx, contactTTL)
	if err != nil {
		return err
	}
	key := contactPrefix + self.DataCentre + "/" + string(self.ID)
	// The key may exist already, from an earlier incarnation or from a write whose response was lost.
	if err := store.Put(ctx, store.Within(m.config.Store, era), key, []byte(self.PeerAddr), lease); err != nil {
		return err // the unused lease lapses
	}
	entry.lease, entry.held, entry.era = lease, true, era
	return nil
}

// removeContact removes the contact by revoking its lease. When the store does not answer, the lease
// lapses. A lease of an earlier era is left alone, since its ID may belong to another process.
func (m *Membership) removeContact(entry *contactEntry) {
	if !entry.held {
		return
	}
	entry.held = false
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := store.Within(m.config.Store, entry.era).RevokeLease(ctx, entry.lease); err != nil && !store.Is(err, store.ErrEraEnded) {
		storeFailures.Inc()
	}
}

// listContacts reads the contacts from the store and returns the data centre of each peer address.
func (m *Membership) listContacts(ctx context.Context) map[string]string {
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
			invalidMessages.Inc()
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
	maps.Copy(unknown, m.listContacts(ctx))
	tried := 0
	for addr, name := range unknown {
		if known[addr] || addr == m.config.Self.PeerAddr || tried == maxJoinPeers {
			continue
		}
		tried++
		m.syncContact(ctx, addr, name)
	}
}

// syncContact pulls the differing records from a node that is not in the table.
func (m *Membership) syncContact(ctx context.Context, addr, dataCentre string) {
	response, err := m.syncWith(ctx, addr, joinTimeout)
	if err != nil {
		return
	}
	if d, ok := m.dataCentres.Get(dataCentre); ok {
		d.recordContact(time.Now())
	}
	for name := range m.differing(response) {
		_ = m.pull(ctx, addr, name)
	}
}
