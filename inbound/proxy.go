// Package inbound controls access to the upstream beside a node: every request to the upstream passes through it. It
// tracks the current incarnation of the upstream and its state, admits requests by slots and priorities, and polls the
// load. It refuses new requests to an upstream that is draining, and requests that were placed for another incarnation.
//
// Layout: a Proxy represents the upstream of one machine. Concurrency: one lock guards what is known of the upstream;
// its slots and queues have their own lock in package upstream. No lock is held during a request or health check.
package inbound

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/inflight"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

// Client sends requests and health checks to the upstream.
type Client interface {
	// Send sends an admitted request. The error is a *caller.Refusal.
	Send(ctx context.Context, req *caller.Request, addr string) (*caller.Answer, error)
	// CheckHealth requests the health path and returns the report, which may include the load. The error wraps ErrRefused when
	// nothing listens at the address.
	CheckHealth(ctx context.Context, addr, path string) (HealthReport, error)
	// LoadOf returns the load that the upstream reported in the header of an answer, and whether there was one.
	LoadOf(header map[string][]string) (caller.UpstreamLoad, bool)
	// KeepOnly closes the idle connections to all other addresses.
	KeepOnly(addr string)
}

// ErrRefused is the error of a health check whose connection was refused: no process listens at the address.
var ErrRefused = errors.New("the connection was refused")

// HealthReport is the report that an upstream returns for its health path.
type HealthReport struct {
	Healthy    bool
	UpstreamID string // "" when not reported
	Load       caller.UpstreamLoad
	HasLoad    bool
	Notice     caller.Notice
	Cold       caller.ColdTime
}

// DepartureRecords keep the departures of upstreams where they outlast the nodes.
type DepartureRecords interface {
	// Add records a departure. It does not block.
	Add(d peer.Departure)
	// Find returns the recorded departure of the upstream. found is false for none. The error says that the record could not be read.
	Find(ctx context.Context, upstream string) (d peer.Departure, found bool, err error)
}

// Rejection is the cause of the refusal of a request that the upstream answered without running it.
type Rejection struct {
	Status int // of the answer
	Notice caller.Notice
}

// Error implements error.
func (r *Rejection) Error() string { return fmt.Sprintf("status %d", r.Status) }

// Options configure a Proxy.
type Options struct {
	Node       string
	Boot       uint64 // identifies this run of the node process
	Address    string // host:port at which this node accepts forwarded requests
	Zone       string
	Service    string                      // service of the upstream in the settings
	Upstream   string                      // host:port of the upstream in the settings
	HealthPath func(service string) string // "" while no contracts are known
	// ColdRate returns the requests a second that a cold upstream of the service tolerates, 0 for no limit; known is false while no
	// contracts are known. nil: no service has such a limit.
	ColdRate        func(service string) (perSecond float64, known bool)
	FreshFor        time.Duration // age up to which a known load is used without a new health check
	AnnounceEvery   time.Duration // interval at which an upstream announces itself
	LivenessTimeout time.Duration // silence after which an upstream is taken for gone
	// ConfirmPeriod bounds the delay of announcements. An incarnation that this process has found without knowing one before it may
	// have left already, see confirmation. It is also the time after the start of the process in which such an incarnation may have
	// named a rate limit before. 0: no incarnation has to be confirmed.
	ConfirmPeriod  time.Duration
	Departures     DepartureRecords // nil for none
	SlotShare      float64          // share of the slots that may be in use
	Client         Client
	Suspects       *quarantine.List
	OnStatusChange func() // called without a lock after each change of Status
	Log            *slog.Logger
}

// Proxy controls access to the upstream beside this node. It implements peer.Self and peerhttp.UpstreamProxy, and is safe
// for concurrent use.
type Proxy struct {
	options  Options
	started  time.Time
	upstream *upstream.Upstream
	crashes  *quarantine.CrashMonitor
	inFlight inflight.Counter

	mu               sync.Mutex
	current          Announcement
	state            state
	confirmation     confirmation      // of the current incarnation
	recordSearch     chan Announcement // incarnations whose departure may be recorded; capacity 1
	recordAnswered   chan struct{}     // signals that the records have no departure of an unconfirmed incarnation; capacity 1
	lastSeen         time.Time         // last contact with the current incarnation
	announcedAt      time.Time         // last announcement of the current incarnation
	superseded       Announcement      // incarnation that one with the same ID and an earlier start has replaced, if any
	departed         map[string]int64  // by ID, latest Born departed, in ms since the Unix epoch; clock: see Deregister
	lastDeparture    peer.Departure    // of the current incarnation, or of an earlier one
	recalledServices map[string]string // services of upstreams that this node had before its restart, by ID
	revision         uint32            // increases with each call of setState
	stopping         bool
	finishBy         time.Time           // a request with a later deadline is refused; zero for none
	limit            namedLimit          // of the current incarnation
	limitToldAt      time.Time           // when the other nodes were last told a change of it at once
	unreadableLimit  string              // value of the limit in the last answer, when it could not be read
	recalledLimit    peer.RateLimit      // that another node knows from before a restart of this one
	load             caller.UpstreamLoad // last one that the current incarnation reported
	loadCheckedAt    time.Time           // last load report or health check, zero before the first of the incarnation
	pendingCheck     chan struct{}       // closed when the health check in progress has ended, nil without one
	cold             coldState           // of the current incarnation
	coldLimit        upstream.ColdLimit  // in force
	everColdLimited  bool                // coldLimit has been in force
	unreadableCold   rate.Sometimes      // limits the log lines on cold times that cannot be read
	checkStartedAt   time.Time           // start of the last health check of a serving upstream
	startsUnchecked  int                 // requests that started since
	evacuated        bool                // the zone is evacuated
}

// state is the state of the current incarnation.
type state uint8

const (
	unknown  state = iota // none has announced itself, or the last one is gone
	serving               // accepts new requests
	draining              // completes its requests in flight and accepts no new ones
	down                  // refuses connections; may recover
)

var stateNames = [...]string{"unknown", "serving", "draining", "down"}

// String returns the name of the state.
func (s state) String() string { return stateNames[s] }

// New returns a Proxy whose upstream has not announced itself.
func New(o Options) *Proxy {
	run := o.Node + "-" + time.Now().Format(time.RFC3339Nano)
	return &Proxy{
		options:          o,
		started:          time.Now(),
		upstream:         upstream.NewWithOptions(upstream.Options{TimeToLive: o.LivenessTimeout, SlotShare: o.SlotShare}),
		crashes:          &quarantine.CrashMonitor{Suspects: o.Suspects, Detector: quarantine.NewCrashDetector(o.Suspects, run)},
		recordSearch:     make(chan Announcement, 1),
		recordAnswered:   make(chan struct{}, 1),
		departed:         make(map[string]int64),
		recalledServices: make(map[string]string),
		unreadableCold:   rate.Sometimes{Interval: unreadableLogInterval},
	}
}

// Status implements peer.Self. It leaves out an incarnation that is not confirmed: what the other nodes know of an upstream confirms it
// after a restart of this one.
func (p *Proxy) Status() peer.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	status := peer.Status{
		Node: p.options.Node, Boot: p.options.Boot, Revision: p.revision, Address: p.options.Address, Zone: p.options.Zone,
	}
	if !p.confirmation.pending {
		status.Service, status.Upstream, status.Slots, status.Serving = p.current.Service, p.current.ID, p.current.Slots, p.acceptsWork()
	}
	return status
}

// acceptsWork reports whether new requests are admitted. It is called with the lock held.
func (p *Proxy) acceptsWork() bool { return p.state == serving && !p.stopping && !p.evacuated }

// setState changes the state and announces it to the admission control, which has no state down or unknown: there, an
// upstream that accepts no work is draining. It is called with the lock held; the caller must call notify after
// releasing it.
func (p *Proxy) setState(now time.Time, next state, cause string) (notify func()) {
	previous := p.state
	p.state = next
	if next != unknown {
		p.confirmation = confirmation{}
	}
	p.revision++
	notifyCold := func() {}
	if previous == serving && (next == down || next == unknown) {
		p.cold.reset(now) // it may have been started again
		notifyCold = p.updateColdLimit(now, "the upstream is "+next.String())
	}
	announced := upstream.Announcement{
		Service: p.current.Service, Addr: p.current.Address, State: instance.Draining, Slots: p.current.Slots,
		TimeToLive: p.options.LivenessTimeout, Process: p.current.ID,
	}
	switch {
	case p.acceptsWork():
		announced.State = instance.Ready
	case p.evacuated:
		announced.Refusal = caller.Evacuated
	}
	// Announced under the lock, so that the admission control never ends up with an older state than the proxy.
	p.upstream.Announce(now, announced)
	p.startColdCheck(now)
	current := p.current
	return func() {
		notifyCold()
		p.options.Log.Info("upstream updated", "upstream", current.ID, "service", current.Service, "address", current.Address,
			"born", current.Born, "sequence", current.Sequence, "slots", current.Slots, "from", previous.String(), "to", next.String(), "cause", cause)
		p.options.OnStatusChange()
	}
}

// StopBy refuses, from now on, requests that may not be finished at the given time: those with a later deadline.
func (p *Proxy) StopBy(end time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishBy = end
}

// Stop refuses new requests from now on, whatever the upstream announces.
func (p *Proxy) Stop() {
	p.mu.Lock()
	p.stopping = true
	notify := p.setState(time.Now(), p.state, "node stops")
	p.mu.Unlock()
	notify()
}

// InFlight returns the counter of requests in flight at the upstream.
func (p *Proxy) InFlight() *inflight.Counter { return &p.inFlight }
