package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/wait"
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
	// Wake ends the delay before the next attempt or renewal early, because another process has reached the store. It is set
	// before Run and may be nil.
	Wake <-chan struct{}
	// OnReachable is called after each grant and renewal with whether the store was reached. It is set before Run and must
	// not block.
	OnReachable func(reached bool)
	// KeysKept reports whether the store still has, in a new era, the keys that the session has written under the lease. The
	// session then keeps the lease. The default is false. It is set before Run.
	KeysKept func(ctx context.Context, id LeaseID) bool
	// EraDelay returns the delay after which the session acts on a new era, so that the processes that hold sessions do
	// not all write to the store at once. The default is up to 300 ms. It is set before Run.
	EraDelay func() time.Duration

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
	return &Session{
		OnReachable: func(bool) {}, KeysKept: func(context.Context, LeaseID) bool { return false },
		EraDelay: func() time.Duration { return rand.N(wakeJitter) },
		store:    s, ttl: ttl, clock: systemClock(),
	}
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
// writes the keys of the session under the lease to granted, a view of the store that is bound to the era of the grant; when
// onGrant fails the lease is revoked. A lease
// that lapsed is replaced by a new one. So is the lease when the era of the store changes, unless KeysKept shows that the store
// still has it: the store may have lost it or its keys, and may have given its ID to another process.
func (s *Session) Run(ctx context.Context, onGrant func(ctx context.Context, granted Store, id LeaseID) error) error {
	backoff := Backoff{MaxDelay: s.MaxRetryDelay, Wake: s.Wake}
	for {
		era := s.store.Era() // before the first call, so that no change during the calls is missed
		backoff.Changed = era.Changed
		if id, err := s.grant(ctx); err == nil {
			if err := onGrant(ctx, Within(s.store, era), id); err == nil {
				backoff.Reset()
				era = s.renew(ctx, id, era)
			}
			s.releaseLease(ctx, id, era)
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

// renew renews the lease until it may have lapsed, a new era has begun without it or ctx ends. It returns the last era in
// which the store had the lease.
func (s *Session) renew(ctx context.Context, id LeaseID, era EraStatus) EraStatus {
	backoff := Backoff{MaxDelay: min(s.ttl/renewalsPerTTL, s.MaxRetryDelay), Wake: s.Wake, Changed: era.Changed}
	timer := time.NewTimer(s.ttl / renewalsPerTTL)
	defer timer.Stop()
	var keptAt time.Time // when a check in a new era began that found the lease, zero once the lease has been renewed since
	for {
		select {
		case <-ctx.Done():
			return era
		case <-era.Changed:
		case <-s.Wake:
			wait.For(ctx, rand.N(wakeJitter))
		case <-timer.C:
		}
		if era.Ended() {
			next, checkedAt, kept := s.recheck(ctx, id)
			if !kept {
				return era
			}
			era, keptAt, backoff.Changed = next, checkedAt, next.Changed
		}
		sentAt := s.clock()
		err := Within(s.store, era).RenewLease(ctx, id)
		s.OnReachable(err == nil || Is(err, ErrLeaseLapsed) || Is(err, ErrEraEnded))
		if err == nil {
			s.setLease(id, sentAt)
			keptAt = time.Time{}
			backoff.Reset()
		}
		_, held := s.Lease()
		if lapsed := !held && time.Since(keptAt) >= s.ttl; lapsed || Is(err, ErrLeaseLapsed) {
			return era
		}
		if err != nil && backoff.Wait(ctx) != nil {
			return era
		}
		if err != nil {
			timer.Reset(0)
			continue
		}
		timer.Reset(s.ttl / renewalsPerTTL)
	}
}

// recheck reports whether the store still has the lease in the present era, and returns that era and the start of the check.
// The lease does not count as held until it has been renewed.
func (s *Session) recheck(ctx context.Context, id LeaseID) (era EraStatus, checkedAt time.Time, kept bool) {
	s.setLease(0, clockReading{})
	if !wait.For(ctx, s.EraDelay()) {
		return EraStatus{}, time.Time{}, false
	}
	era, checkedAt = s.store.Era(), time.Now() // before the call, so that no change during it is missed
	return era, checkedAt, s.KeysKept(ctx, id)
}

// releaseLease clears the lease and revokes it, so that the keys written under it are removed at once. It does not revoke a
// lease of an earlier era.
func (s *Session) releaseLease(ctx context.Context, id LeaseID, era EraStatus) {
	s.setLease(0, clockReading{})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = Within(s.store, era).RevokeLease(ctx, id) // it lapses by itself when the store cannot be reached
}

// setLease records the lease and when its last confirmed grant or renewal was sent, from which its time to live is counted.
func (s *Session) setLease(id LeaseID, sentAt clockReading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id, s.renewedAt = id, sentAt
}
