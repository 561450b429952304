package node

import (
	"log/slog"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

// Publisher tells the fleet what the upstream beside this node announces. It must not block.
type Publisher interface {
	Announce(service string, state instance.State, slots int)
}

// Self is this node's own instance: it takes what the upstream beside it announces, watches over the
// time to live and publishes each change.
type Self struct {
	upstream  *upstream.Upstream
	publisher Publisher
	log       *slog.Logger

	mu       sync.Mutex
	shown    shown
	process  ProcessWatch
	expiry   *time.Timer
	stopping bool
}

// shown is what was last published.
type shown struct {
	service string
	state   instance.State
	slots   int
}

// NewSelf returns the instance before its upstream has announced itself.
func NewSelf(beside *upstream.Upstream, log *slog.Logger, publisher Publisher) *Self {
	return &Self{upstream: beside, publisher: publisher, log: log}
}

// ProcessWatch learns when the process of the upstream was replaced or ended.
type ProcessWatch interface {
	Announced(now time.Time, s quarantine.Sign)
	Ended(now time.Time)
}

// WatchProcess sets who learns of the upstream's process. It is called once, before announcements.
func (s *Self) WatchProcess(w ProcessWatch) { s.process = w }

// Announce implements upstreamhttp.Announcer.
func (s *Self) Announce(now time.Time, a upstream.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		a.State = instance.Draining
	}
	s.upstream.Announce(now, a)
	s.change(shown{a.Service, a.State, a.Slots})
	if s.process != nil {
		s.process.Announced(now, quarantine.Sign{Process: a.Process, Addr: a.Addr, Cold: a.State == instance.Cold})
	}
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
	now := time.Now()
	if _, counts := s.upstream.Announced(now); !counts {
		if s.process != nil {
			s.process.Ended(now)
		}
		s.change(shown{s.shown.service, instance.Unannounced, s.shown.slots})
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
	s.change(shown{s.shown.service, state, s.shown.slots})
}

func (s *Self) change(next shown) {
	if s.shown == next {
		return
	}
	s.log.Info("upstream changed state", "service", next.service, "state", next.state.String(), "slots", next.slots)
	s.shown = next
	s.publisher.Announce(next.service, next.state, next.slots)
}
