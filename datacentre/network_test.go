package datacentre

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/store"
)

// network is an in-memory network of members with injected faults.
type network struct {
	t interface {
		assert.TestingT
		Helper()
	}

	mu              sync.Mutex
	members         map[string]*member // by peer address
	loss            float64            // share of messages lost, in each direction
	duplicate       float64            // share of messages delivered twice
	jitter          time.Duration      // largest added delay; reorders messages
	blocked         func(from, to *member) bool
	receivePush     pushReceiver // processes the pushes of all members
	store           store.Store
	seeds           []string
	lastIncarnation uint64
}

// pushReceiver processes a push at its receiver.
type pushReceiver func(ctx context.Context, from, to *member, req PushRequest) (PushResponse, error)

// member is one node of the network.
type member struct {
	*Membership
	stop    context.CancelFunc
	done    chan struct{}
	thawed  chan struct{} // closed while the member is not frozen
	silent  bool          // when down, drops messages instead of refusing connections
	down    bool
	passive bool // answers messages, but those that it sends are lost
}

func newNetwork() *network {
	return &network{
		members: make(map[string]*member), blocked: func(_, _ *member) bool { return false },
		receivePush: func(ctx context.Context, _, to *member, req PushRequest) (PushResponse, error) {
			return to.ReceivePush(ctx, req)
		},
	}
}

func record(dataCentre, region string, index int) instance.Record {
	id := fmt.Sprintf("%s-node-%d", dataCentre, index)
	return instance.Record{
		ID: instance.ID(id), DataCentre: dataCentre, Region: region, PeerAddr: id + ":7000", CallerAddr: id + ":80",
		Service: "catalogue", State: instance.Ready, Slots: 12,
	}
}

// start runs a member with the records that it knows already. Without records it joins.
func (n *network) start(self instance.Record, known []instance.Record) *member {
	n.mu.Lock()
	n.lastIncarnation++
	self.Incarnation = n.lastIncarnation
	m := &member{done: make(chan struct{}), thawed: make(chan struct{})}
	close(m.thawed)
	m.Membership = New(Config{Self: self, Fleet: instance.NewFleet(), Messenger: memberMessenger{n, m}, Store: n.store, Seeds: n.seeds})
	n.members[self.PeerAddr] = m
	n.mu.Unlock()
	for _, r := range known {
		m.fleet.Merge(r)
		m.synced.Store(true)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go func() {
		defer close(m.done)
		_ = m.Run(ctx)
	}()
	return m
}

// fill starts members of the data centres that know each other from the start.
func (n *network) fill(size int, dataCentres ...[2]string) []*member {
	var known []instance.Record
	for _, c := range dataCentres {
		for i := range size {
			r := record(c[0], c[1], i)
			r.Incarnation = uint64(len(known) + 1)
			known = append(known, r)
		}
	}
	n.lastIncarnation = 0
	members := make([]*member, len(known))
	for i, r := range known {
		members[i] = n.start(r, known)
	}
	time.Sleep(2 * time.Second)
	return members
}

func (n *network) stopAll() {
	for _, m := range n.all() {
		n.mu.Lock()
		m.thaw()
		n.mu.Unlock()
		m.stop()
		<-m.done
	}
	time.Sleep(time.Minute) // lets messages in flight end
}

func (n *network) all() []*member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []*member
	for _, m := range n.members {
		all = append(all, m)
	}
	return all
}

func (n *network) kill(m *member, silent bool) {
	n.mu.Lock()
	m.down, m.silent = true, silent
	n.mu.Unlock()
	m.stop()
}

// freeze and thaw must be called with the lock of the network held.
func (m *member) freeze() { m.thawed = make(chan struct{}) }

func (m *member) thaw() {
	select {
	case <-m.thawed:
	default:
		close(m.thawed)
	}
}

// waitUntilThawed waits until the member is not frozen.
func (n *network) waitUntilThawed(m *member) {
	n.mu.Lock()
	thawed := m.thawed
	n.mu.Unlock()
	<-thawed
}

func (n *network) live() []*member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var live []*member
	for _, m := range n.members {
		if !m.down && !m.Self().State.Gone() {
			live = append(live, m)
		}
	}
	return live
}

// disagreement describes a live member whose table does not hold exactly the live members, or returns "".
func (n *network) disagreement() string {
	live := make(map[instance.ID]instance.Record)
	for _, m := range n.live() {
		live[m.config.Self.ID] = m.Self()
	}
	for _, m := range n.live() {
		held := m.fleet.Select(func(r instance.Record) bool { return !r.State.Gone() })
		if len(held) != len(live) {
			return fmt.Sprintf("%s holds %d of %d", m.Self().ID, len(held), len(live))
		}
		for _, r := range held {
			if live[r.ID] != r {
				return fmt.Sprintf("%s holds %+v, not %+v", m.Self().ID, r, live[r.ID])
			}
		}
	}
	return ""
}

// agreeWithin fails the test unless the tables of all live members hold exactly the live members in time.
// It returns the time taken.
func (n *network) agreeWithin(limit time.Duration) time.Duration {
	n.t.Helper()
	start := time.Now()
	for {
		problem := n.disagreement()
		taken := time.Since(start)
		if problem == "" {
			return taken
		}
		if taken > limit {
			assert.Assert(n.t, false, "tables still differ after %s: %s", taken, problem)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// runInVirtualTime runs a test with a network in virtual time.
func runInVirtualTime(t *testing.T, test func(n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.t = t
		defer n.stopAll()
		test(n)
	})
}

// memberMessenger is the Messenger of one member.
type memberMessenger struct {
	n    *network
	from *member
}

var errRefused = errors.New("connection refused")

func (w memberMessenger) delay(a, b *member) time.Duration {
	latency := 500 * time.Microsecond
	if a.config.Self.Region != b.config.Self.Region {
		latency = 40 * time.Millisecond
	}
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	if w.n.jitter > 0 {
		latency += rand.N(w.n.jitter)
	}
	return latency
}

// arrives waits for the transit time of a message and reports whether it arrives.
func (w memberMessenger) arrives(from, to *member) bool {
	time.Sleep(w.delay(from, to))
	w.n.waitUntilThawed(to)
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	return !from.down && !to.down && rand.Float64() >= w.n.loss && !w.n.blocked(from, to)
}

func call[Response any](
	ctx context.Context, w memberMessenger, addr string, receive func(*Membership) (Response, error),
) (Response, error) {
	w.n.waitUntilThawed(w.from) // a frozen member sends nothing and notices no deadline
	var none Response
	w.n.mu.Lock()
	to, found := w.n.members[addr]
	refused := !found || to.down && !to.silent
	lost := w.from.passive
	repeat := rand.Float64() < w.n.duplicate
	w.n.mu.Unlock()
	if refused {
		return none, errRefused
	}
	type result struct {
		response Response
		err      error
	}
	results := make(chan result, 1)
	go func() {
		if lost || !w.arrives(w.from, to) {
			return
		}
		response, err := receive(to.Membership)
		if repeat {
			time.Sleep(w.delay(w.from, to))
			_, _ = receive(to.Membership)
		}
		if w.arrives(to, w.from) {
			results <- result{response, err}
		}
	}()
	select {
	case r := <-results:
		return r.response, r.err
	case <-ctx.Done():
		w.n.waitUntilThawed(w.from)
		return none, ctx.Err()
	}
}

func (w memberMessenger) Sync(ctx context.Context, addr string, req SyncRequest) (SyncResponse, error) {
	return call(ctx, w, addr, func(m *Membership) (SyncResponse, error) { return m.ReceiveSync(ctx, req) })
}

func (w memberMessenger) Push(ctx context.Context, addr string, req PushRequest) (PushResponse, error) {
	w.n.mu.Lock()
	receive, to := w.n.receivePush, w.n.members[addr]
	w.n.mu.Unlock()
	return call(ctx, w, addr, func(*Membership) (PushResponse, error) { return receive(ctx, w.from, to, req) })
}

func (w memberMessenger) Pull(ctx context.Context, addr string, req PullRequest) (PullResponse, error) {
	return call(ctx, w, addr, func(m *Membership) (PullResponse, error) { return m.ReceivePull(ctx, req) })
}

func (w memberMessenger) Ping(ctx context.Context, addr string, req PingRequest) (PingResponse, error) {
	return call(ctx, w, addr, func(m *Membership) (PingResponse, error) { return m.ReceivePing(ctx, req) })
}

func (w memberMessenger) PingVia(ctx context.Context, addr string, req PingViaRequest) (PingViaResponse, error) {
	return call(ctx, w, addr, func(m *Membership) (PingViaResponse, error) { return m.ReceivePingVia(ctx, req) })
}
