package node

import (
	"log/slog"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

// Publisher publishes the state of the upstream beside this node to the fleet. It must not block.
type Publisher interface {
	Announce(service string, state instance.State, slots int)
}

// LocalInstance is the instance of this node. It receives the announcements of the upstream beside it, expires
// them after their time to live, and publishes each change of state.
type LocalInstance struct {
	upstream  *upstream.Upstream
	publisher Publisher
	log       *slog.Logger

	mu              sync.Mutex
	published       publishedState
	processObserver ProcessObserver
	expiry          *time.Timer // runs expire at the end of the time to live
	stopping        bool
}

// publishedState is the state that was last published.
type publishedState struct {
	service string
	state   instance.State
	slots   int
}

// NewLocalInstance returns the instance of a node whose upstream has not announced itself.
func NewLocalInstance(up *upstream.Upstream, log *slog.Logger, publisher Publisher) *LocalInstance {
	return &LocalInstance{upstream: up, publisher: publisher, log: log}
}

// ProcessObserver is notified of announcements and of the end of the upstream's process.
type ProcessObserver interface {
	ProcessSeen(now time.Time, s quarantine.ProcessInfo)
	ProcessEnded(now time.Time)
}

// SetProcessObserver sets the observer of the upstream's process. It is called at most once, before the first
// announcement.
func (s *LocalInstance) SetProcessObserver(w ProcessObserver) { s.processObserver = w }

// Announce implements upstreamhttp.Announcer.
func (s *LocalInstance) Announce(now time.Time, a upstream.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		a.State = instance.Draining
	}
	s.upstream.Announce(now, a)
	s.publish(publishedState{a.Service, a.State, a.Slots})
	if s.processObserver != nil {
		s.processObserver.ProcessSeen(now, quarantine.ProcessInfo{Process: a.Process, Addr: a.Addr, Cold: a.State == instance.Cold})
	}
	if s.expiry != nil {
		s.expiry.Stop()
	}
	s.expiry = time.AfterFunc(min(a.TimeToLive, upstream.MaxTimeToLive), s.expire)
}

// Deregister implements upstreamhttp.Announcer: the upstream receives no new requests.
func (s *LocalInstance) Deregister(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdraw(now, instance.Unannounced)
}

// Stop makes the instance draining permanently. Later announcements do not change that.
func (s *LocalInstance) Stop(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	s.withdraw(now, instance.Draining)
}

// expire is called when an announcement has not been renewed within its time to live.
func (s *LocalInstance) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if _, valid := s.upstream.Announced(now); !valid {
		if s.processObserver != nil {
			s.processObserver.ProcessEnded(now)
		}
		s.publish(publishedState{s.published.service, instance.Unannounced, s.published.slots})
	}
}

// withdraw drains the upstream and publishes the state. The caller holds the lock.
func (s *LocalInstance) withdraw(now time.Time, state instance.State) {
	if s.expiry != nil {
		s.expiry.Stop()
	}
	if announced, valid := s.upstream.Announced(now); valid {
		announced.State = instance.Draining
		s.upstream.Announce(now, announced)
	}
	s.publish(publishedState{s.published.service, state, s.published.slots})
}

// publish logs and publishes a state that differs from the last one.
func (s *LocalInstance) publish(next publishedState) {
	if s.published == next {
		return
	}
	s.log.Info("upstream changed state", "service", next.service, "state", next.state.String(), "slots", next.slots)
	s.published = next
	s.publisher.Announce(next.service, next.state, next.slots)
}
