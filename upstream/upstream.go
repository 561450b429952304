// Package upstream implements admission control for the upstream beside a node: the state that the
// upstream announced, its concurrency slots and the queues of requests that wait for one. All requests
// to the upstream pass through its node, so a request that this package refuses has certainly not run.
package upstream

import (
	"cmp"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// MaxTimeToLive is the default upper bound of the time for which an announcement is valid.
const MaxTimeToLive = 2 * time.Second

const admitStep = "admit"

// Announcement is the state that an upstream reports to the node beside it.
type Announcement struct {
	Service    string
	Addr       string // host:port at which the upstream serves HTTP
	State      instance.State
	Slots      int           // largest number of concurrent requests
	TimeToLive time.Duration // validity of the announcement; Options.TimeToLive bounds it
	Process    string        // identifies the process of the upstream, "" when not reported
	// Refusal is the reason for which requests are refused in the state Draining; "" for Draining.
	Refusal caller.Reason
}

// Upstream holds the announced state, the slots and the queues of the upstream beside this node. It is safe for
// concurrent use.
type Upstream struct {
	mu          sync.Mutex // guards all fields below, and the queues and waiters that they refer to
	announced   Announcement
	expires     time.Time
	expiry      *time.Timer // refuses all waiting requests when the announcement expires
	coldSince   time.Time   // start of the cold phase, zero when the upstream is warm
	rules       Rules
	slots       slots
	queues      queueSet
	limit       adaptiveLimit
	rate        rateLimit
	rateUnknown bool // see RateUnknown
	starts      recentStarts
	serviceTime serviceTimeEstimate // over all classes that are not long
	options     Options
}

// Options configure an Upstream. Zero values select the defaults.
type Options struct {
	// TimeToLive is the upper bound of the time for which an announcement is valid. Default MaxTimeToLive.
	TimeToLive time.Duration
	// SlotShare is the fixed share of the announced slots that may be in use. By default the limit adapts to the growth
	// of service times with concurrency.
	SlotShare float64
}

// New returns an upstream with default options that has not announced itself.
func New() *Upstream { return NewWithOptions(Options{}) }

// NewWithOptions returns an upstream with options that has not announced itself.
func NewWithOptions(o Options) *Upstream {
	if o.TimeToLive <= 0 {
		o.TimeToLive = MaxTimeToLive
	}
	return &Upstream{rules: Rules{}.withDefaults(), options: o}
}

// Announce applies an announcement of the upstream. All waiting requests are refused when the upstream
// no longer serves.
func (u *Upstream) Announce(now time.Time, a Announcement) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.trackColdStart(now, a.State)
	u.announced = a
	timeToLive := min(a.TimeToLive, u.options.TimeToLive)
	u.expires = now.Add(timeToLive)
	if u.expiry == nil {
		u.expiry = time.AfterFunc(timeToLive, u.expire)
	} else {
		u.expiry.Reset(timeToLive)
	}
	u.processWaiting(now)
}

func (u *Upstream) trackColdStart(now time.Time, next instance.State) {
	switch {
	case next != instance.Cold:
		u.coldSince = time.Time{}
	case u.coldSince.IsZero():
		u.coldSince = now
	}
}

// expire processes the waiting requests after a timer.
func (u *Upstream) expire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.processWaiting(time.Now())
}

// processWaiting grants slots to waiting requests, or refuses all of them when the upstream takes no work.
func (u *Upstream) processWaiting(now time.Time) {
	reason, refused := u.unavailable(now)
	if !refused {
		u.grantWaiting(now)
		return
	}
	for w := u.queues.anyWaiting(); w != nil; w = u.queues.anyWaiting() {
		u.queues.remove(w)
		w.finish(caller.Refuse(reason, admitStep, ""))
	}
}

// unavailable reports whether the upstream takes no work, and the reason for refusing requests.
func (u *Upstream) unavailable(now time.Time) (caller.Reason, bool) {
	switch {
	case !now.Before(u.expires):
		return caller.NotReady, true
	case u.announced.State == instance.Draining:
		return cmp.Or(u.announced.Refusal, caller.Draining), true
	case !u.announced.State.Serves():
		return caller.NotReady, true
	}
	return "", false
}

// Announced returns the last announcement and whether it is still valid.
func (u *Upstream) Announced(now time.Time) (Announcement, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.announced, now.Before(u.expires)
}

// Report returns the state and load of the upstream, as sent to the nodes that route requests to it.
func (u *Upstream) Report() link.Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	short, long := u.queues.counts()
	report := link.Report{
		State: u.announced.State, Slots: u.slotsInForce(now), InUse: u.slots.inUse, Queued: short,
		LongInUse: u.slots.long, QueuedLong: long, ServiceTime: u.serviceTime.medianTime(),
	}
	if _, refused := u.unavailable(now); refused && report.State.Serves() {
		report.State = instance.Draining
	}
	return report
}
