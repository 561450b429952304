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
	declaredFailed = metrics.Counter("magnoliawharf_membership_declared_failed_total")
	refuted        = metrics.Counter("magnoliawharf_membership_refuted_total")
	repaired       = metrics.Counter("magnoliawharf_membership_repaired_records_total")
	invalid        = metrics.Counter("magnoliawharf_membership_invalid_messages_total")
	pauses         = metrics.Counter("magnoliawharf_membership_pauses_total")
	storeFailures  = metrics.Counter("magnoliawharf_membership_contact_store_failures_total")
	castsDropped   = metrics.Counter("magnoliawharf_membership_broadcasts_dropped_total")
)

// Config is what a Membership needs. Store, BundleVersion, OnVersion and OnSuperseded may be nil.
type Config struct {
	Self      instance.Record // ID, incarnation, data centre, region and addresses
	Fleet     *instance.Fleet
	Messenger Messenger
	Store     store.Store
	Seeds     []string // peer addresses that are tried beside the contacts in the store

	// BundleVersion returns the version in force. It is part of each message.
	BundleVersion func() uint64
	// OnVersion is called for each message of a peer that holds a higher version than this node. It
	// must not block.
	OnVersion func(version uint64, peer instance.ID)
	// OnSuperseded is called once when a later incarnation of this node's ID is known. The node then
	// no longer belongs to the fleet and should stop.
	OnSuperseded func(successor instance.Record)
}

// Membership is the part of one node in the fleet. It is safe for concurrent use.
type Membership struct {
	config     Config
	fleet      *instance.Fleet
	home       *DataCentre
	centres    *shard.Map[string, *DataCentre]
	suspicions *shard.Map[instance.ID, suspicion]
	heard      *shard.Map[instance.ID, sighting]
	outbox     *outbox
	casts      *castTable
	recent     *recentChanges
	workers    workers

	settled atomic.Bool // the table may be compared and members judged
	joining atomic.Bool
	// wasBorder is the role at the last look.
	wasBorder atomic.Bool

	mu         sync.Mutex
	self       instance.Record
	superseded bool
}

// sighting is the last message of a member.
type sighting struct {
	incarnation uint64
	at          time.Time
}

// New returns the membership of one node. It takes messages at once and sends none before Run.
func New(config Config) *Membership {
	m := &Membership{
		config: config, fleet: config.Fleet, self: config.Self,
		centres:    shard.NewString[string, *DataCentre](memberShards),
		suspicions: shard.NewString[instance.ID, suspicion](memberShards),
		heard:      shard.NewString[instance.ID, sighting](memberShards),
		casts:      newCastTable(),
		recent:     &recentChanges{},
	}
	m.outbox = newOutbox(m)
	m.home = m.centre(config.Self.DataCentre)
	m.fleet.Merge(m.self)
	return m
}

// Run joins the fleet and takes part in it until ctx ends. It returns nil after its goroutines
// ended. It is called once.
func (m *Membership) Run(ctx context.Context) error {
	m.workers.open(ctx)
	defer m.workers.close()
	m.join(ctx)
	m.workers.start(m.runBorder)
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

// IsBorder reports whether this node is one of the border nodes of its data centre.
func (m *Membership) IsBorder() bool {
	_, border := m.home.BorderRank(m.config.Self.ID)
	return border
}

// DataCentre returns the data centre with the name.
func (m *Membership) DataCentre(name string) *DataCentre { return m.centre(name) }

// Joined reports whether the node has compared its table with a peer, or knows that it has none.
func (m *Membership) Joined() bool { return m.settled.Load() }

func (m *Membership) centre(name string) *DataCentre {
	return m.centres.GetOrCreate(name, func() *DataCentre { return newDataCentre(name, m.fleet, time.Now()) })
}

// Announce publishes the state of the upstream beside this node. A call that changes nothing, or
// that comes after Leave, has no effect.
func (m *Membership) Announce(service string, state instance.State, slots int) {
	m.change(func(self *instance.Record) {
		self.Service, self.State, self.Slots = service, state, slots
	})
}

// Leave tells the peers that this node leaves, and waits until each of them has answered or ctx has
// ended. Callers cancel the context of Run afterwards.
func (m *Membership) Leave(ctx context.Context) {
	m.change(func(self *instance.Record) { self.State = instance.Left })
	var pushes sync.WaitGroup
	request := PushRequest{Sender: m.sender(), Records: []instance.Record{m.Self()}}
	for _, peer := range m.targets() {
		pushes.Go(func() { _, _ = m.push(ctx, peer, request) })
	}
	pushes.Wait()
}

// change applies a change to the node's own record and publishes it.
func (m *Membership) change(apply func(*instance.Record)) {
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

// publish takes a record that is new to this node and passes it on.
func (m *Membership) publish(r instance.Record, from instance.ID) bool {
	if !m.fleet.Merge(r) {
		return false
	}
	m.recent.add(r, time.Now())
	m.outbox.addRecord(r, from)
	return true
}

// merge takes a record received from a peer and reports whether it was new.
func (m *Membership) merge(r instance.Record, from instance.ID) bool {
	if r.ID == m.config.Self.ID {
		m.mergeSelf(r)
		return false
	}
	held, found := m.fleet.Get(r.ID)
	if !m.acceptsCentre(r.DataCentre) || !m.hasRoom(found) || !m.publish(r, from) {
		return false
	}
	if found && held.State == instance.Failed && held.Incarnation == r.Incarnation && !r.State.Gone() {
		m.noteRefutation(r)
	}
	return true
}

// acceptsCentre reports whether records of the data centre may be taken: it is not forgotten, and
// there is room when it is new.
func (m *Membership) acceptsCentre(name string) bool {
	if d, ok := m.centres.Get(name); ok {
		return !d.isForgotten()
	}
	return m.centres.Len() < maxDataCentres
}

// hasRoom reports whether a record may be taken, given whether its instance is known.
func (m *Membership) hasRoom(known bool) bool { return known || m.fleet.Len() < maxInstances }

// mergeSelf answers a record of this node that others hold. It refutes a declared failure, and
// stops when a later incarnation exists.
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
	refuted.Inc()
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

// takeSender notes that a peer sent a message.
func (m *Membership) takeSender(s Sender) {
	now := time.Now()
	if r, ok := m.fleet.Get(s.ID); ok {
		m.centre(r.DataCentre).contact(now)
		m.heard.Update(s.ID, func(held sighting, found bool) (sighting, bool) {
			if found && held.incarnation > s.Incarnation {
				return held, true
			}
			return sighting{s.Incarnation, now}, true
		})
	}
	if m.config.OnVersion == nil || m.config.BundleVersion == nil {
		return
	}
	if s.BundleVersion > m.config.BundleVersion() {
		m.config.OnVersion(s.BundleVersion, s.ID)
	}
}

// heardSince reports whether a message of this incarnation or a later one came after the time.
func (m *Membership) heardSince(id instance.ID, incarnation uint64, since time.Time) bool {
	last, ok := m.heard.Get(id)
	return ok && last.incarnation >= incarnation && last.at.After(since)
}
