package store

import (
	"context"
	"sync"
	"time"
)

const (
	// renewalsPerTTL lets a lease survive two failed renewals.
	renewalsPerTTL = 3
	// maxClockDivergence is how far the monotonic and the wall clock may diverge after a renewal. Beyond it one
	// of them has stopped or was set, and neither proves that the lease is still held.
	maxClockDivergence = 500 * time.Millisecond
	// revokeTimeout bounds the revocation when a session ends.
	revokeTimeout = time.Second
)

// Session holds a lease and renews it. It decides by the local clocks whether the lease may have lapsed, so
// that a process that was suspended does not act under a lease that it has lost in the meantime. It is safe
// for concurrent use.
type Session struct {
	// MaxRetryDelay is the maximum delay between two attempts. 0 means 8 s. It is set before Run.
	MaxRetryDelay time.Duration
	// Wake ends the delay between two attempts early, because another process has reached the store. It is set before
	// Run and may be nil.
	Wake <-chan struct{}
	// OnReachable is called after each grant and renewal with whether the store was reached. It is set before Run and must
	// not block.
	OnReachable func(reached bool)

	store Store
	ttl   time.Duration
	clock func() clockReading

	mu        sync.Mutex
	id        LeaseID
	renewedAt clockReading // when the last confirmed grant or renewal was sent
}

// clockReading is one reading of the monotonic and the wall clock.
type clockReading struct {
	mono time.Duration
	wall time.Time
}

func systemClock() func() clockReading {
	start := time.Now()
	return func() clockReading {
		now := time.Now()
		return clockReading{mono: now.Sub(start), wall: now.Round(0)}
	}
}

// NewSession returns a session that holds no lease until Run obtains one.
func NewSession(s Store, ttl time.Duration) *Session {
	return &Session{OnReachable: func(bool) {}, store: s, ttl: ttl, clock: systemClock()}
}

// Lease returns the lease while it is certain to be held. The last tenth of its time to live is a margin for
// clocks that run at different rates here and at the store.
func (s *Session) Lease() (LeaseID, bool) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == 0 {
		return 0, false
	}
	mono := now.mono - s.renewedAt.mono
	divergence := now.wall.Sub(s.renewedAt.wall) - mono
	if mono >= s.ttl-s.ttl/10 || divergence.Abs() > maxClockDivergence {
		return 0, false
	}
	return s.id, true
}

// Run holds a lease until ctx ends and then revokes it. After each grant it calls onGrant, which
// writes the keys of the session under the lease; when onGrant fails the lease is revoked. A lease
// that lapsed is replaced by a new one.
func (s *Session) Run(ctx context.Context, onGrant func(ctx context.Context, id LeaseID) error) error {
	backoff := Backoff{MaxDelay: s.MaxRetryDelay, Wake: s.Wake}
	for {
		if id, err := s.grant(ctx); err == nil {
			if err := onGrant(ctx, id); err == nil {
				backoff.Reset()
				s.renew(ctx, id)
			}
			s.releaseLease(ctx, id)
		}
		if err := backoff.Wait(ctx); err != nil {
			return err
		}
	}
}

func (s *Session) grant(ctx context.Context) (LeaseID, error) {
	sentAt := s.clock()
	id, err := s.store.GrantLease(ctx, s.ttl)
	s.OnReachable(err == nil)
	if err != nil {
		return 0, err
	}
	s.setLease(id, sentAt)
	return id, nil
}

// renew renews the lease until it may have lapsed or ctx ends.
func (s *Session) renew(ctx context.Context, id LeaseID) {
	backoff := Backoff{MaxDelay: min(s.ttl/renewalsPerTTL, s.MaxRetryDelay), Wake: s.Wake}
	timer := time.NewTimer(s.ttl / renewalsPerTTL)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		sentAt := s.clock()
		err := s.store.RenewLease(ctx, id)
		s.OnReachable(err == nil || Is(err, ErrLeaseLapsed))
		if err == nil {
			s.setLease(id, sentAt)
			backoff.Reset()
		}
		if _, held := s.Lease(); !held || Is(err, ErrLeaseLapsed) {
			return
		}
		if err != nil && backoff.Wait(ctx) != nil {
			return
		}
		if err != nil {
			timer.Reset(0)
			continue
		}
		timer.Reset(s.ttl / renewalsPerTTL)
	}
}

// releaseLease clears the lease and revokes it, so that the keys written under it are removed at once.
func (s *Session) releaseLease(ctx context.Context, id LeaseID) {
	s.setLease(0, clockReading{})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = s.store.RevokeLease(ctx, id) // it lapses by itself when the store cannot be reached
}

// setLease records the lease and when its last confirmed grant or renewal was sent, from which its time to live is counted.
func (s *Session) setLease(id LeaseID, sentAt clockReading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id, s.renewedAt = id, sentAt
}
