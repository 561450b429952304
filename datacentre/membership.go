package datacentre

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/shard"
	"github.com/magnoliawharf/magnoliawharf/store"
)

const memberShards = 16

// Counters of this package.
var (
	declaredFailed    = metrics.Counter("magnoliawharf_membership_declared_failed_total")
	refutedFailures   = metrics.Counter("magnoliawharf_membership_refuted_total")
	repairedRecords   = metrics.Counter("magnoliawharf_membership_repaired_records_total")
	invalidMessages   = metrics.Counter("magnoliawharf_membership_invalid_messages_total")
	pauses            = metrics.Counter("magnoliawharf_membership_pauses_total")
	storeFailures     = metrics.Counter("magnoliawharf_membership_contact_store_failures_total")
	broadcastsDropped = metrics.Counter("magnoliawharf_membership_broadcasts_dropped_total")
)

// Config configures a Membership. Store, BundleVersion, OnNewerBundle and OnSuperseded may be nil.
type Config struct {
	Self      instance.Record // ID, incarnation, data centre, region and addresses
	Fleet     *instance.Fleet
	Messenger Messenger
	Store     store.Store
	Seeds     []string // peer addresses that are tried in addition to the contacts in the store

	// BundleVersion returns the version of the current bundle. It is part of each message.
	BundleVersion func() uint64
	// OnNewerBundle is called for each message of a peer that holds a higher bundle version than this node. It
	// must not block.
	OnNewerBundle func(version uint64, peer instance.ID)
	// OnSuperseded is called once when a later incarnation of this node's ID is known. The node then no
	// longer belongs to the fleet and should stop.
	OnSuperseded func(successor instance.Record)
}

// Membership is the local node's side of the membership protocol. It is safe for concurrent use.
type Membership struct {
	config       Config
	fleet        *instance.Fleet
	local        *DataCentre
	dataCentres  *shard.Map[string, *DataCentre]
	suspicions   *shard.Map[instance.ID, suspicion]
	lastMessages *shard.Map[instance.ID, lastMessage]
	outbox       *outbox
	broadcasts   *broadcastTable
	recent       *recentChanges
	workers      workers

	synced  atomic.Bool // the table may be compared with others and members declared failed
	joining atomic.Bool
	// wasBorder holds whether the node was a border node at the last check.
	wasBorder atomic.Bool

	mu         sync.Mutex
	self       instance.Record
	superseded bool
}

// lastMessage is the incarnation and arrival time of a member's latest message.
type lastMessage struct {
	incarnation uint64
	at          time.Time
}

// New returns the membership of one node. It accepts messages at once and sends none before Run.
func New(config Config) *Membership {
	m := &Membership{
		config: config, fleet: config.Fleet, self: config.Self,
		dataCentres:  shard.NewString[string, *DataCentre](memberShards),
		suspicions:   shard.NewString[instance.ID, suspicion](memberShards),
		lastMessages: shard.NewString[instance.ID, lastMessage](memberShards),
		broadcasts:   newBroadcastTable(),
		recent:       &recentChanges{},
	}
	m.outbox = newOutbox(m)
	m.local = m.dataCentre(config.Self.DataCentre)
	m.fleet.Merge(m.self)
	return m
}

// Run joins the fleet and takes part in it until ctx ends. It returns nil after its goroutines have
// ended. It is called once.
func (m *Membership) Run(ctx context.Context) error {
	m.workers.open(ctx)
	defer m.workers.close()
	m.join(ctx)
	m.workers.start(m.runRemoteSync)
	m.workers.start(m.runContacts)
	m.runTicks(ctx)
	return nil
}

// Self returns the record of this node.
func (m *Membership) Self() instance.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// IsBorderNode reports whether this node is one of the border nodes of its data centre.
func (m *Membership) IsBorderNode() bool {
	_, border := m.local.BorderRank(m.config.Self.ID)
	return border
}

// DataCentre returns the data centre with the name.
func (m *Membership) DataCentre(name string) *DataCentre { return m.dataCentre(name) }

// Joined reports whether the node has compared its table with a peer, or has no peers.
func (m *Membership) Joined() bool { return m.synced.Load() }

func (m *Membership) dataCentre(name string) *DataCentre {
	return m.dataCentres.GetOrCreate(name, func() *DataCentre { return newDataCentre(name, m.fleet, time.Now()) })
}

// Announce publishes the state of the upstream beside this node. A call that changes nothing, or that
// follows Leave, has no effect.
func (m *Membership) Announce(service string, state instance.State, slots int) {
	m.updateSelf(func(self *instance.Record) {
		self.Service, self.State, self.Slots = service, state, slots
	})
}

// Leave tells the peers that this node leaves, and waits until each of them has answered or ctx has
// ended. Callers cancel the context of Run afterwards.
func (m *Membership) Leave(ctx context.Context) {
	m.updateSelf(func(self *instance.Record) { self.State = instance.Left })
	var pushes sync.WaitGroup
	request := PushRequest{Sender: m.sender(), Records: []instance.Record{m.Self()}}
	for _, peer := range m.targets() {
		pushes.Go(func() { _, _ = m.push(ctx, peer, request) })
	}
	pushes.Wait()
}

// updateSelf applies a change to the node's own record and publishes it.
func (m *Membership) updateSelf(apply func(*instance.Record)) {
	m.mu.Lock()
	next := m.self
	apply(&next)
	if next == m.self || m.self.State == instance.Left {
		m.mu.Unlock()
		return
	}
	next.StateVersion++
	m.self = next
	m.mu.Unlock()
	m.publish(next, m.config.Self.ID)
}

// publish stores a record and passes it on when it is newer than the stored one. It reports whether it
// was.
func (m *Membership) publish(r instance.Record, from instance.ID) bool {
	if !m.fleet.Merge(r) {
		return false
	}
	m.recent.add(r, time.Now())
	m.outbox.addRecord(r, from)
	return true
}

// merge processes a record received from a peer and reports whether it was new.
func (m *Membership) merge(r instance.Record, from instance.ID) bool {
	if r.ID == m.config.Self.ID {
		m.mergeSelf(r)
		return false
	}
	held, found := m.fleet.Get(r.ID)
	if !m.acceptsDataCentre(r.DataCentre) || !m.hasRoom(found) || !m.publish(r, from) {
		return false
	}
	if found && held.State == instance.Failed && held.Incarnation == r.Incarnation && !r.State.Gone() {
		m.recordRefutation(r)
	}
	return true
}

// acceptsDataCentre reports whether records of the data centre may be stored: it is not evicted, and a
// new one fits within maxDataCentres.
func (m *Membership) acceptsDataCentre(name string) bool {
	if d, ok := m.dataCentres.Get(name); ok {
		return !d.isEvicted()
	}
	return m.dataCentres.Len() < maxDataCentres
}

// hasRoom reports whether a record may be stored, given whether its instance is known.
func (m *Membership) hasRoom(known bool) bool { return known || m.fleet.Len() < maxInstances }

// mergeSelf handles a record of this node that a peer holds. It refutes a declared failure, and calls
// OnSuperseded when a later incarnation exists.
func (m *Membership) mergeSelf(r instance.Record) {
	m.mu.Lock()
	if !r.Newer(m.self) || m.superseded {
		m.mu.Unlock()
		return
	}
	if r.Incarnation > m.self.Incarnation {
		m.superseded = true
		m.mu.Unlock()
		m.fleet.Merge(r)
		if m.config.OnSuperseded != nil {
			m.config.OnSuperseded(r)
		}
		return
	}
	m.self.StateVersion = r.StateVersion + 1
	next := m.self
	m.mu.Unlock()
	refutedFailures.Inc()
	m.publish(next, m.config.Self.ID)
}

func (m *Membership) sender() Sender {
	self := m.Self()
	s := Sender{ID: self.ID, Incarnation: self.Incarnation, StateVersion: self.StateVersion}
	if m.config.BundleVersion != nil {
		s.BundleVersion = m.config.BundleVersion()
	}
	return s
}

// recordSender records that a peer sent a message, and reports a higher bundle version to OnNewerBundle.
func (m *Membership) recordSender(s Sender) {
	now := time.Now()
	if r, ok := m.fleet.Get(s.ID); ok {
		m.dataCentre(r.DataCentre).recordContact(now)
		m.lastMessages.Update(s.ID, func(held lastMessage, found bool) (lastMessage, bool) {
			if found && held.incarnation > s.Incarnation {
				return held, true
			}
			return lastMessage{s.Incarnation, now}, true
		})
	}
	if m.config.OnNewerBundle == nil || m.config.BundleVersion == nil {
		return
	}
	if s.BundleVersion > m.config.BundleVersion() {
		m.config.OnNewerBundle(s.BundleVersion, s.ID)
	}
}

// heardSince reports whether a message of this incarnation or a later one arrived after the time.
func (m *Membership) heardSince(id instance.ID, incarnation uint64, since time.Time) bool {
	last, ok := m.lastMessages.Get(id)
	return ok && last.incarnation >= incarnation && last.at.After(since)
}
