// Package gate is the one way to the upstream beside a node. It knows which incarnation of the upstream runs, admits
// requests to it by slots and priorities, reads its load, and refuses whatever it must not get: the upstream that has
// said that it leaves receives nothing new, and a request placed for one incarnation does not reach the next.
//
// Layout: a Gate mirrors the upstream of one machine. Concurrency: one lock for what is known of the upstream; its slots
// and queues have their own in package upstream. No lock is held across a call.
package gate

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/inflight"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

// Client speaks with the upstream.
type Client interface {
	// Send sends an admitted request. The error is a *caller.Refusal.
	Send(ctx context.Context, req *caller.Request, addr string) (*caller.Answer, error)
	// Read asks the health path for the load.
	Read(ctx context.Context, addr, path string) (Reading, error)
	// LoadOf reads the load that the upstream added to an answer.
	LoadOf(header map[string][]string) (caller.UpstreamLoad, bool)
	// KeepOnly closes idle connections to other addresses.
	KeepOnly(addr string)
}

// Reading is what the health path of an upstream says.
type Reading struct {
	Healthy    bool
	UpstreamID string // "" when the upstream does not say
	Load       caller.UpstreamLoad
	HasLoad    bool
}

// Options of a gate.
type Options struct {
	Node       string
	Boot       uint64
	Address    string // host:port at which this node takes forwarded requests
	Zone       string
	Service    string                      // service of the upstream by the settings
	Upstream   string                      // host:port of the upstream by the settings
	HealthPath func(service string) string // "" while no contracts are known
	FreshFor   time.Duration               // age up to which a load is used without reading it again
	LapseAfter time.Duration               // silence after which an upstream counts as gone
	SlotShare  float64                     // share of the slots that are used
	Client     Client
	Suspects   *quarantine.List
	Changed    func() // called after each change of Status, without a lock
	Log        *slog.Logger
}

// Gate is the way to the upstream beside this node. It is safe for concurrent use.
type Gate struct {
	options   Options
	admission *upstream.Upstream
	crashes   *quarantine.Crashes
	inFlight  inflight.Counter

	mu       sync.Mutex
	current  Announcement
	state    state
	heardAt  time.Time         // last sign of life of the current incarnation
	left     map[string]int64  // incarnations that have left, with their start
	recalled map[string]string // services of upstreams that this node had in its last life, by ID
	revision uint32
	stopping bool
	load     caller.UpstreamLoad
	loadAt   time.Time
	reading  chan struct{} // closed when the reading under way has ended, nil without one
}

// state of the current incarnation.
type state uint8

const (
	unknown  state = iota // none has announced itself, or the last one has gone
	serving               // takes new work
	draining              // finishes what it has
	down                  // refuses connections; may come back
)

var stateNames = [...]string{"unknown", "serving", "draining", "down"}

// String returns the name of the state.
func (s state) String() string { return stateNames[s] }

// New returns a gate whose upstream has not announced itself.
func New(o Options) *Gate {
	life := o.Node + "-" + time.Now().Format(time.RFC3339Nano)
	return &Gate{
		options:   o,
		admission: upstream.NewWith(upstream.Options{TimeToLive: o.LapseAfter, SlotShare: o.SlotShare}),
		crashes:   &quarantine.Crashes{Suspects: o.Suspects, Watch: quarantine.NewWatch(o.Suspects, life)},
		left:      make(map[string]int64),
		recalled:  make(map[string]string),
	}
}

// Status implements peer.Self.
func (g *Gate) Status() peer.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return peer.Status{
		Node: g.options.Node, Boot: g.options.Boot, Revision: g.revision, Address: g.options.Address, Zone: g.options.Zone,
		Service: g.current.Service, Upstream: g.current.ID, Slots: g.current.Slots, Serving: g.takesWork(),
	}
}

func (g *Gate) takesWork() bool { return g.state == serving && !g.stopping }

// enter changes the state and tells the admission of it. It is called with the lock held and returns what must be
// called without it.
func (g *Gate) enter(now time.Time, next state, cause string) (notify func()) {
	before := g.state
	g.state = next
	g.revision++
	announced := upstream.Announcement{
		Service: g.current.Service, Addr: g.current.Address, State: instance.Draining, Slots: g.current.Slots,
		TimeToLive: g.options.LapseAfter, Process: g.current.ID,
	}
	if g.takesWork() {
		announced.State = instance.Ready
	}
	// Under the lock, so that the admission never keeps an older state than the gate.
	g.admission.Announce(now, announced)
	current := g.current
	return func() {
		g.options.Log.Info("upstream changed", "upstream", current.ID, "service", current.Service, "address", current.Address,
			"born", current.Born, "sequence", current.Sequence, "slots", current.Slots, "from", before.String(), "to", next.String(), "cause", cause)
		g.options.Changed()
	}
}

// Stop takes no new work from here on, whatever the upstream announces.
func (g *Gate) Stop() {
	g.mu.Lock()
	g.stopping = true
	notify := g.enter(time.Now(), g.state, "node stops")
	g.mu.Unlock()
	notify()
}

// InFlight counts the requests at the upstream.
func (g *Gate) InFlight() *inflight.Counter { return &g.inFlight }
