// Package upstream describes the upstream beside a node: what it announced, its slots and the
// requests that wait for one. The node beside an upstream is the only way to it, so what this
// package refuses certainly did not run.
package upstream

import (
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// MaxTimeToLive is the longest time for which an announcement counts by default.
const MaxTimeToLive = 2 * time.Second

const admitStep = "admit"

// Announcement is what an upstream says of itself to the node beside it.
type Announcement struct {
	Service    string
	Addr       string // host:port at which the upstream serves HTTP
	State      instance.State
	Slots      int           // requests that the upstream runs at the same time
	TimeToLive time.Duration // more than MaxTimeToLive counts as MaxTimeToLive
	Process    string        // names the process of the upstream, "" when it does not say
}

// Upstream is the upstream beside this node. It is safe for concurrent use.
type Upstream struct {
	mu        sync.Mutex // guards all fields below, and the queues and slots they lead to
	announced Announcement
	expires   time.Time
	expiry    *time.Timer // refuses the waiting requests when the announcement expires
	coldSince time.Time   // start of the cold phase, zero when the upstream is not cold
	rules     Rules
	slots     slots
	queues    queueSet
	limit     adaptiveLimit
	service   estimate // service times of all classes that are not long
	options   Options
}

// Options change how an upstream is treated. Zero values stand for the defaults.
type Options struct {
	// TimeToLive is the longest time for which an announcement counts. Default MaxTimeToLive.
	TimeToLive time.Duration
	// SlotShare is the share of the announced slots that are used. By default the number of slots in use adapts to how
	// service times grow with it.
	SlotShare float64
}

// New returns an upstream that has not announced itself.
func New() *Upstream { return NewWith(Options{}) }

// NewWith returns an upstream with options that has not announced itself.
func NewWith(o Options) *Upstream {
	if o.TimeToLive <= 0 {
		o.TimeToLive = MaxTimeToLive
	}
	return &Upstream{rules: Rules{}.withDefaults(), options: o}
}

// Announce takes what the upstream says of itself. Waiting requests are refused when it no longer
// serves.
func (u *Upstream) Announce(now time.Time, a Announcement) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.trackCold(now, a.State)
	u.announced = a
	timeToLive := min(a.TimeToLive, u.options.TimeToLive)
	u.expires = now.Add(timeToLive)
	if u.expiry == nil {
		u.expiry = time.AfterFunc(timeToLive, u.expire)
	} else {
		u.expiry.Reset(timeToLive)
	}
	u.settle(now)
}

func (u *Upstream) trackCold(now time.Time, next instance.State) {
	switch {
	case next != instance.Cold:
		u.coldSince = time.Time{}
	case u.coldSince.IsZero():
		u.coldSince = now
	}
}

func (u *Upstream) expire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(time.Now())
}

// settle grants what fits, or refuses all waiting requests when the upstream does not serve.
func (u *Upstream) settle(now time.Time) {
	reason, closed := u.closed(now)
	if !closed {
		u.grant(now)
		return
	}
	for w := u.queues.any(); w != nil; w = u.queues.any() {
		u.queues.remove(w)
		w.finish(caller.Refuse(reason, admitStep, ""))
	}
}

// closed returns the reason for which the upstream takes no work.
func (u *Upstream) closed(now time.Time) (caller.Reason, bool) {
	switch {
	case !now.Before(u.expires):
		return caller.NotReady, true
	case u.announced.State == instance.Draining:
		return caller.Draining, true
	case !u.announced.State.Serves():
		return caller.NotReady, true
	}
	return "", false
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
	now := time.Now()
	short, long := u.queues.counts()
	report := link.Report{
		State: u.announced.State, Slots: u.limitAt(now), InUse: u.slots.inUse, Queued: short,
		Long: u.slots.long, QueuedLong: long, Service: u.service.typical(),
	}
	if _, closed := u.closed(now); closed && report.State.Serves() {
		report.State = instance.Draining
	}
	return report
}
