// Package upstream describes the upstream beside a node: what it announced, its slots and the
// requests that wait for one. The node beside an upstream is the only way to it, so what this
// package refuses certainly did not run.
package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// MaxTimeToLive is the longest time for which an announcement counts.
const MaxTimeToLive = 2 * time.Second

const admitStep = "admit"

// Announcement is what an upstream says of itself to the node beside it.
type Announcement struct {
	Service    string
	Addr       string // host:port at which the upstream serves HTTP
	State      instance.State
	Slots      int
	TimeToLive time.Duration
}

// Ticket is what admission needs to know of a request.
type Ticket struct {
	ID          string
	Class       bundle.Class
	Deadline    time.Time
	Fingerprint uint64
}

// Upstream is the upstream beside this node. It is safe for concurrent use.
type Upstream struct {
	mu        sync.Mutex
	announced Announcement
	expires   time.Time
	inUse     int
	queued    int
	freed     chan struct{}
}

// New returns an upstream that has not announced itself.
func New() *Upstream { return &Upstream{freed: make(chan struct{})} }

// Announce takes what the upstream says of itself.
func (u *Upstream) Announce(now time.Time, a Announcement) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.announced = a
	u.expires = now.Add(min(a.TimeToLive, MaxTimeToLive))
	u.wake()
}

// Announced returns the last announcement and whether it still counts.
func (u *Upstream) Announced(now time.Time) (Announcement, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.announced, now.Before(u.expires)
}

// Report returns the state of the upstream for callers' nodes.
func (u *Upstream) Report() link.Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	return link.Report{State: u.announced.State, Slots: u.announced.Slots, InUse: u.inUse, Queued: u.queued}
}

// Admit waits for a slot and returns the function that gives it back. The error is a
// *caller.Refusal that says not-run.
func (u *Upstream) Admit(ctx context.Context, t Ticket) (func(), error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for {
		if refusal := u.check(t); refusal != nil {
			return nil, refusal
		}
		if u.inUse < u.announced.Slots {
			u.inUse++
			return u.release, nil
		}
		if refusal := u.wait(ctx); refusal != nil {
			return nil, refusal
		}
	}
}

func (u *Upstream) check(t Ticket) *caller.Refusal {
	now := time.Now()
	switch {
	case !now.Before(t.Deadline):
		return caller.Refuse(caller.DeadlinePassed, admitStep, "")
	case !now.Before(u.expires):
		return caller.Refuse(caller.NotReady, admitStep, "")
	case u.announced.State == instance.Draining:
		return caller.Refuse(caller.Draining, admitStep, "")
	case !u.announced.State.Serves():
		return caller.Refuse(caller.NotReady, admitStep, "")
	}
	return nil
}

// wait blocks without the lock until a slot may be free.
func (u *Upstream) wait(ctx context.Context) *caller.Refusal {
	freed := u.freed
	u.queued++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.queued--
	}()
	select {
	case <-freed:
		return nil
	case <-ctx.Done():
		return caller.Refuse(caller.Cancelled, admitStep, "")
	}
}

func (u *Upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inUse--
	u.wake()
}

func (u *Upstream) wake() {
	close(u.freed)
	u.freed = make(chan struct{})
}
