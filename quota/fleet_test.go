package quota_test

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/quota"
)

const (
	// detection is the time after which the roster takes a silent node as out of reach, settling that after which it trusts one again.
	detection = 450 * time.Millisecond
	settling  = time.Second
	oneWay    = time.Millisecond
)

// fleet runs nodes in virtual time and passes their messages on.
type fleet struct {
	t       *testing.T
	now     time.Time
	events  events
	nodes   []*machine
	links   func(from, to int) bool // nil: all work
	blocked func(from, to int) bool // lost messages, which the roster does not notice; nil for none
	doubts  func(node, of int) bool // the node takes the other as out of reach, although messages pass; nil for none
	doubled bool                    // each message arrives twice
	rand    *rand.Rand
	tenants contract.Contracts
	granted []time.Time
	refused []time.Time
	waits   []time.Duration // Retry-After of refusals
	delayed int             // requests decided after they had waited

	disturbedAt time.Time // when a node or link last was not in order
}

type machine struct {
	*quota.Node
	index       int
	up          bool
	stopped     bool
	frozenUntil time.Time
	lastOK      []time.Time // when a message to each other node would have been answered last
	since       []time.Time // when each other node became reachable
	members     []quota.Member
	skippedAt   time.Time // when its members were last taken as unchanged
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newFleet(t *testing.T, count int, q contract.Quota) *fleet {
	f := &fleet{t: t, now: time.Unix(1e9, 0), rand: rand.New(rand.NewPCG(1, uint64(count)))}
	f.tenants = contract.Contracts{Version: 1, Tenants: map[string]contract.Tenant{"t": {Name: "t", Quota: q}}}
	for i := range count {
		f.nodes = append(f.nodes, &machine{index: i})
	}
	for i := range count {
		f.boot(i)
	}
	f.run(20 * time.Second) // the bucket fills
	return f
}

func (f *fleet) boot(i int) {
	m := f.nodes[i]
	m.lastOK, m.since, m.members = make([]time.Time, len(f.nodes)), make([]time.Time, len(f.nodes)), nil
	m.up, m.stopped, f.disturbedAt = true, false, f.now
	m.Node = quota.NewNode(quota.Options{
		Name: names[i], Addr: address(i), Sender: sender{f, i}, Now: func() time.Time { return f.now },
		AfterFunc: func(d time.Duration, do func()) { f.at(i, f.now.Add(d), do) }, OnSilent: func(netip.AddrPort) {}, Log: slog.New(slog.DiscardHandler),
	})
	m.Adopt(&f.tenants)
	f.at(i, f.now.Add(settling), m.Start)
	f.tick(m, m.Node)
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7)
}

// names are those of the nodes of a fleet.
var names = func() (list [68]string) {
	for i := range list {
		list[i] = fmt.Sprint("n", i)
	}
	return list
}()

func indexOf(a netip.AddrPort) int { b := a.Addr().As4(); return int(b[2])<<8 | int(b[3]) }

// at runs do at the given time at the node, after it has thawed.
func (f *fleet) at(i int, at time.Time, do func()) {
	node := f.nodes[i].Node
	heap.Push(&f.events, event{at, func() {
		switch m := f.nodes[i]; {
		case !m.up || m.Node != node && node != nil:
		case m.frozenUntil.After(f.now):
			f.at(i, m.frozenUntil, do)
		default:
			do()
		}
	}})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

func (f *fleet) connected(a, b int) bool { return f.links == nil || f.links(a, b) }

func (f *fleet) tick(m *machine, run *quota.Node) {
	if m.Node != run {
		return
	}
	f.at(m.index, f.now.Add(quota.TickInterval), func() { f.tick(m, run) })
	if f.inOrder() {
		m.skippedAt = f.now
		m.Tick(nil, false)
		return
	}
	members := make([]quota.Member, 0, len(f.nodes))
	for j, other := range f.nodes {
		if j == m.index || other.Node == nil || other.stopped {
			continue
		}
		if other.up && !other.frozenUntil.After(f.now) && f.connected(m.index, j) && !(f.doubts != nil && f.doubts(m.index, j)) {
			m.lastOK[j] = f.now
		}
		if m.lastOK[j].Before(m.skippedAt) {
			m.lastOK[j] = m.skippedAt
		}
		reachable := f.now.Sub(m.lastOK[j]) < detection
		if !reachable {
			m.since[j] = time.Time{}
		} else if m.since[j].IsZero() {
			m.since[j] = f.now
		}
		members = append(members, quota.Member{Name: names[j], Addr: address(j), Reachable: reachable, Settled: reachable && f.now.Sub(m.since[j]) >= settling})
	}
	changed := !slices.Equal(members, m.members)
	m.members = members
	m.Tick(members, changed)
}

// inOrder reports whether all nodes and links have been in order for so long that no node sees a change.
func (f *fleet) inOrder() bool {
	if f.links != nil || f.doubts != nil || slices.ContainsFunc(f.nodes, func(m *machine) bool { return !m.up || m.stopped || m.frozenUntil.After(f.now) }) {
		f.disturbedAt = f.now
	}
	return f.now.Sub(f.disturbedAt) > 2*(detection+settling)
}

type sender struct {
	*fleet
	from int
}

func (s sender) pass(to netip.AddrPort, do func(*machine)) {
	j := indexOf(to)
	if !s.connected(s.from, j) || s.blocked != nil && s.blocked(s.from, j) {
		return
	}
	s.at(j, s.now.Add(oneWay), func() { do(s.nodes[j]) })
	if s.doubled {
		s.at(j, s.now.Add(3*oneWay), func() { do(s.nodes[j]) })
	}
}

func (s sender) SendQuotaRequest(to netip.AddrPort, r quota.Request) {
	s.pass(to, func(m *machine) { m.HandleRequest(address(s.from), r) })
}

func (s sender) SendQuotaReply(to netip.AddrPort, r quota.Reply) {
	s.pass(to, func(m *machine) { m.HandleReply(address(s.from), r) })
}

// request sends a request to the node.
func (f *fleet) request(i int) {
	began := f.now
	f.nodes[i].Request("t", func(o quota.Outcome) {
		if f.now.After(began) {
			f.delayed++
		}
		if o.Refusal == nil {
			f.granted = append(f.granted, f.now)
			return
		}
		f.refused = append(f.refused, f.now)
		f.waits = append(f.waits, o.Refusal.RetryAfter)
	})
}

// load sends requests at random moments, perSecond to the nodes together, for the time.
func (f *fleet) load(perSecond float64, d time.Duration, nodes ...int) {
	if len(nodes) == 0 {
		for i := range f.nodes {
			nodes = append(nodes, i)
		}
	}
	for at := 0.0; at < d.Seconds(); at += f.rand.ExpFloat64() / perSecond {
		i := nodes[f.rand.IntN(len(nodes))]
		f.at(i, f.now.Add(time.Duration(at*float64(time.Second))), func() { f.request(i) })
	}
}

// checkBound checks that no window of 5 s has more than the quota allows.
func (f *fleet) checkBound(q contract.Quota) {
	f.t.Helper()
	const window = 5 * time.Second
	bound := (q.PerSecond*window.Seconds()+q.Burst)*1.1 + 20
	most := 0
	for first, last := 0, 0; last < len(f.granted); last++ {
		for f.granted[last].Sub(f.granted[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	f.t.Logf("granted %d, refused %d; most in 5 s: %d, bound %.0f", len(f.granted), len(f.refused), most, bound)
	assert.Assert(f.t, float64(most) <= bound, "%d requests in 5 s, bound %.0f", most, bound)
}

// allocator returns the node that allocates for the tenant, found by what it sends for a request of each.
func (f *fleet) allocator() int {
	for i := range f.nodes {
		before := f.delayed
		f.request(i)
		f.run(100 * time.Millisecond)
		if f.delayed == before {
			return i
		}
	}
	f.t.Fatal("no node allocates")
	return -1
}
