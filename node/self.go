package node

import (
	"log/slog"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

// Self is this node's own instance as the fleet sees it: its record follows what the upstream
// beside it announces. Each change raises the state version and is published.
type Self struct {
	upstream *upstream.Upstream
	publish  func(instance.Record)
	log      *slog.Logger

	mu       sync.Mutex
	record   instance.Record
	expiry   *time.Timer
	stopping bool
}

// NewSelf returns the instance with a record without an upstream. publish is called with every
// change, one at a time and in order; it must not block.
func NewSelf(record instance.Record, beside *upstream.Upstream, log *slog.Logger, publish func(instance.Record)) *Self {
	return &Self{upstream: beside, publish: publish, log: log, record: record}
}

// Record returns the current record.
func (s *Self) Record() instance.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

// Announce implements upstreamhttp.Announcer.
func (s *Self) Announce(now time.Time, a upstream.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		a.State = instance.Draining
	}
	s.upstream.Announce(now, a)
	s.change(a.Service, a.State, a.Slots)
	if s.expiry != nil {
		s.expiry.Stop()
	}
	s.expiry = time.AfterFunc(min(a.TimeToLive, upstream.MaxTimeToLive), s.expire)
}

// Leave implements upstreamhttp.Announcer: the upstream receives no new work from here on.
func (s *Self) Leave(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdraw(now, instance.Unannounced)
}

// Stop makes the instance draining for good; what the upstream announces later no longer counts.
func (s *Self) Stop(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	s.withdraw(now, instance.Draining)
}

// expire runs when an announcement was not renewed in time.
func (s *Self) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, counts := s.upstream.Announced(time.Now()); !counts {
		s.change(s.record.Service, instance.Unannounced, s.record.Slots)
	}
}

func (s *Self) withdraw(now time.Time, state instance.State) {
	if s.expiry != nil {
		s.expiry.Stop()
	}
	if held, counts := s.upstream.Announced(now); counts {
		held.State = instance.Draining
		s.upstream.Announce(now, held)
	}
	s.change(s.record.Service, state, s.record.Slots)
}

func (s *Self) change(service string, state instance.State, slots int) {
	if s.record.Service == service && s.record.State == state && s.record.Slots == slots {
		return
	}
	s.log.Info("upstream changed state", "service", service, "state", state.String(), "slots", slots)
	s.record.Service, s.record.State, s.record.Slots = service, state, slots
	s.record.StateVersion++
	s.publish(s.record)
}
