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

// network is an in-memory Messenger for many members, with faults.
type network struct {
	t interface {
		assert.TestingT
		Helper()
	}

	mu      sync.Mutex
	members map[string]*member // by peer address
	loss    float64            // share of messages lost, in each direction
	repeat  float64            // share of messages delivered twice
	jitter  time.Duration      // largest added delay; reorders messages
	cut     func(from, to *member) bool
	store   store.Store
	seeds   []string
	life    uint64
}

// member is one node of the network.
type member struct {
	*Membership
	stop   context.CancelFunc
	done   chan struct{}
	thawed chan struct{} // closed while the member runs
	silent bool          // lost without refusing connections
	down   bool
}

func newNetwork() *network {
	return &network{members: make(map[string]*member), cut: func(_, _ *member) bool { return false }}
}

func record(centre, region string, index int) instance.Record {
	id := fmt.Sprintf("%s-node-%d", centre, index)
	return instance.Record{
		ID: instance.ID(id), DataCentre: centre, Region: region, PeerAddr: id + ":7000", CallerAddr: id + ":80",
		Service: "catalogue", State: instance.Ready, Slots: 12,
	}
}

// start runs a member with the records that it knows already. With none it joins.
func (n *network) start(self instance.Record, known []instance.Record) *member {
	n.mu.Lock()
	n.life++
	self.Incarnation = n.life
	m := &member{done: make(chan struct{}), thawed: make(chan struct{})}
	close(m.thawed)
	m.Membership = New(Config{Self: self, Fleet: instance.NewFleet(), Messenger: wire{n, m}, Store: n.store, Seeds: n.seeds})
	n.members[self.PeerAddr] = m
	n.mu.Unlock()
	for _, r := range known {
		m.fleet.Merge(r)
		m.settled.Store(true)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go func() {
		defer close(m.done)
		_ = m.Run(ctx)
	}()
	return m
}

// fill starts members of the data centres that know each other from the beginning.
func (n *network) fill(size int, centres ...[2]string) []*member {
	var known []instance.Record
	for _, c := range centres {
		for i := range size {
			r := record(c[0], c[1], i)
			r.Incarnation = uint64(len(known) + 1)
			known = append(known, r)
		}
	}
	n.life = 0
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
	time.Sleep(time.Minute) // lets late messages end
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

// freeze and thaw are called with the lock of the network.
func (m *member) freeze() { m.thawed = make(chan struct{}) }

func (m *member) thaw() {
	select {
	case <-m.thawed:
	default:
		close(m.thawed)
	}
}

// running waits until the member is not frozen.
func (n *network) running(m *member) {
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

// disagreement names a live member whose table does not hold exactly the live members.
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

// agreeWithin fails the test unless all live members agree on all live members in time. It returns
// the time taken.
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
			assert.Assert(n.t, false, "no agreement after %s: %s", taken, problem)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// inBubble runs a test in virtual time with a network.
func inBubble(t *testing.T, test func(n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.t = t
		defer n.stopAll()
		test(n)
	})
}

// wire is the Messenger of one member.
type wire struct {
	n    *network
	from *member
}

var errLost = errors.New("lost")

func (w wire) delay(a, b *member) time.Duration {
	way := 500 * time.Microsecond
	if a.config.Self.Region != b.config.Self.Region {
		way = 40 * time.Millisecond
	}
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	if w.n.jitter > 0 {
		way += rand.N(w.n.jitter)
	}
	return way
}

// arrives lets the way of a message pass and reports whether it arrives.
func (w wire) arrives(from, to *member) bool {
	time.Sleep(w.delay(from, to))
	w.n.running(to)
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	return !from.down && !to.down && rand.Float64() >= w.n.loss && !w.n.cut(from, to)
}

func call[Response any](ctx context.Context, w wire, addr string, receive func(*Membership) (Response, error)) (Response, error) {
	w.n.running(w.from) // a frozen member sends nothing and notices no deadline
	var none Response
	w.n.mu.Lock()
	to, found := w.n.members[addr]
	refused := !found || to.down && !to.silent
	repeat := rand.Float64() < w.n.repeat
	w.n.mu.Unlock()
	if refused {
		return none, errLost
	}
	type result struct {
		response Response
		err      error
	}
	results := make(chan result, 1)
	go func() {
		if !w.arrives(w.from, to) {
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
		w.n.running(w.from)
		return none, ctx.Err()
	}
}

func (w wire) Sync(ctx context.Context, addr string, req SyncRequest) (SyncResponse, error) {
	return call(ctx, w, addr, func(m *Membership) (SyncResponse, error) { return m.ReceiveSync(ctx, req) })
}

func (w wire) Push(ctx context.Context, addr string, req PushRequest) (PushResponse, error) {
	return call(ctx, w, addr, func(m *Membership) (PushResponse, error) { return m.ReceivePush(ctx, req) })
}

func (w wire) Pull(ctx context.Context, addr string, req PullRequest) (PullResponse, error) {
	return call(ctx, w, addr, func(m *Membership) (PullResponse, error) { return m.ReceivePull(ctx, req) })
}

func (w wire) Ping(ctx context.Context, addr string, req PingRequest) (PingResponse, error) {
	return call(ctx, w, addr, func(m *Membership) (PingResponse, error) { return m.ReceivePing(ctx, req) })
}

func (w wire) PingVia(ctx context.Context, addr string, req PingViaRequest) (PingViaResponse, error) {
	return call(ctx, w, addr, func(m *Membership) (PingViaResponse, error) { return m.ReceivePingVia(ctx, req) })
}
