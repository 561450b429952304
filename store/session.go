package store

import (
	"context"
	"sync"
	"time"
)

const (
	// renewalsPerTTL lets a lease survive two lost renewals.
	renewalsPerTTL = 3
	// clockGap is the difference between the monotonic and the wall clock over the life of a lease
	// that counts as a lapse: one of them stood still or was set, so neither proves that the lease
	// is still held.
	clockGap = 500 * time.Millisecond
	// revokeTimeout bounds the revocation when a session ends.
	revokeTimeout = time.Second
)

// Session holds a lease and renews it. It knows by its own clocks when the lease may have lapsed, so
// that a holder that was paused does not act under a lease that it lost meanwhile. It is safe for
// concurrent use.
type Session struct {
	// LongestWait bounds the waits between two tries. 0 stands for 8 s. It is set before Run.
	LongestWait time.Duration
	// Wake ends a wait between two tries, when another process has reached the store. It is set before Run; nil never does.
	Wake <-chan struct{}
	// Reached is told after each grant and renewal whether the store was reached. It is set before Run and must not block.
	Reached func(reached bool)

	store Store
	ttl   time.Duration
	clock func() reading

	mu      sync.Mutex
	id      LeaseID
	renewed reading // before the last confirmed grant or renewal was sent
}

// reading is the time by the monotonic and by the wall clock.
type reading struct {
	mono time.Duration
	wall time.Time
}

func systemClock() func() reading {
	start := time.Now()
	return func() reading {
		now := time.Now()
		return reading{mono: now.Sub(start), wall: now.Round(0)}
	}
}

// NewSession returns a session without a lease.
func NewSession(s Store, ttl time.Duration) *Session {
	return &Session{Reached: func(bool) {}, store: s, ttl: ttl, clock: systemClock()}
}

// Lease returns the lease while it is certain to be held. A tenth of its time to live is left out
// for the difference between the rates of two clocks.
func (s *Session) Lease() (LeaseID, bool) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == 0 {
		return 0, false
	}
	mono := now.mono - s.renewed.mono
	gap := now.wall.Sub(s.renewed.wall) - mono
	if mono >= s.ttl-s.ttl/10 || gap.Abs() > clockGap {
		return 0, false
	}
	return s.id, true
}

// Run holds a lease until ctx ends and then revokes it. After each grant it calls granted, which
// writes the keys of the session under the lease; when that fails the lease is given up. A lease
// that lapsed is replaced.
func (s *Session) Run(ctx context.Context, granted func(ctx context.Context, id LeaseID) error) error {
	backoff := Backoff{Longest: s.LongestWait, Wake: s.Wake}
	for {
		if id, err := s.grant(ctx); err == nil {
			if err := granted(ctx, id); err == nil {
				backoff.Reset()
				s.renew(ctx, id)
			}
			s.giveUp(ctx, id)
		}
		if err := backoff.Wait(ctx); err != nil {
			return err
		}
	}
}

func (s *Session) grant(ctx context.Context) (LeaseID, error) {
	sent := s.clock()
	id, err := s.store.GrantLease(ctx, s.ttl)
	s.Reached(err == nil)
	if err != nil {
		return 0, err
	}
	s.confirm(id, sent)
	return id, nil
}

// renew keeps the lease until it may have lapsed or ctx ends.
func (s *Session) renew(ctx context.Context, id LeaseID) {
	backoff := Backoff{Longest: min(s.ttl/renewalsPerTTL, s.LongestWait), Wake: s.Wake}
	timer := time.NewTimer(s.ttl / renewalsPerTTL)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		sent := s.clock()
		err := s.store.RenewLease(ctx, id)
		s.Reached(err == nil || Is(err, ErrLeaseLapsed))
		if err == nil {
			s.confirm(id, sent)
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

// giveUp forgets the lease and revokes it, so that keys written under it do not linger.
func (s *Session) giveUp(ctx context.Context, id LeaseID) {
	s.confirm(0, reading{})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = s.store.RevokeLease(ctx, id) // it lapses by itself when the store cannot be reached
}

func (s *Session) confirm(id LeaseID, sent reading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id, s.renewed = id, sent
}
