package entry_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/entry"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// fleetSlots is the number of slots of each upstream of a fleet.
const fleetSlots = 8

// fleet is a stand-in for nodes whose upstreams have slots and a queue, and that answer load queries at once.
type fleet struct {
	// work returns the service time of an attempt at a node. It must not block.
	work   func(node, request, attempt int) time.Duration
	roster *peer.Roster

	mu        sync.Mutex
	occupied  []int // requests running or waiting at each node
	slots     []chan struct{}
	sent      int // attempts
	hedged    int // second attempts
	cancelled int // attempts that were cancelled
	refused   int // attempts refused for a full queue
}

func newFleet(nodes int, work func(node, request, attempt int) time.Duration) *fleet {
	f := &fleet{work: work, occupied: make([]int, nodes)}
	for range nodes {
		f.slots = append(f.slots, make(chan struct{}, fleetSlots))
	}
	f.roster = rosterWith(fleetSender{f: f}, nodes, fleetSlots)
	f.roster.SetRouting(peer.Routing{FreshFor: 20 * time.Millisecond})
	return f
}

// fleetSender answers load queries of the roster with the load of the fleet.
type fleetSender struct {
	discardSender
	f *fleet
}

func (s fleetSender) QueryLoad(to netip.AddrPort, sequence uint32) {
	i := int(to.Addr().As4()[3]) - 1
	s.f.mu.Lock()
	occupied := s.f.occupied[i]
	s.f.mu.Unlock()
	s.f.roster.HandleLoad(to, sequence, peer.Load{
		Boot: uint64(i + 1), Revision: 1, Serving: true, Running: min(occupied, fleetSlots), Waiting: max(0, occupied-fleetSlots), Limit: fleetSlots, ServiceTimePercent: 100,
	})
}

// Forward implements entry.Forwarder.
func (f *fleet) Forward(ctx context.Context, req *caller.Request, target instance.Record) (*caller.Answer, *link.Report, error) {
	var node, request int
	_, _ = fmt.Sscanf(string(target.ID), "n%d", &node)
	_, _ = fmt.Sscan(req.ID, &request)
	if !f.begin(node, req.Attempt) {
		return nil, nil, caller.Refuse(caller.QueueFull, "home", string(target.ID))
	}
	defer f.end(node)
	select {
	case f.slots[node] <- struct{}{}:
		defer func() { <-f.slots[node] }()
	case <-ctx.Done():
		return nil, nil, f.cancel(ctx, target)
	}
	select {
	case <-time.After(f.work(node, request, req.Attempt)):
	case <-ctx.Done():
		return nil, nil, f.cancel(ctx, target)
	}
	return &caller.Answer{Status: 200, Body: io.NopCloser(strings.NewReader("ok")), Length: 2}, nil, nil
}

// begin counts an attempt and reports whether the node has room for it.
func (f *fleet) begin(node, attempt int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	if attempt > 1 {
		f.hedged++
	}
	if f.occupied[node] >= 2*fleetSlots {
		f.refused++
		return false
	}
	f.occupied[node]++
	return true
}

func (f *fleet) end(node int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.occupied[node]--
}

func (f *fleet) cancel(ctx context.Context, target instance.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled++
	return caller.RefuseUncertain(caller.Cancelled, "forward", string(target.ID), ctx.Err())
}

// hedges returns the number of hedges that were sent so far.
func (f *fleet) hedges() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hedged
}

// entryOf returns a dispatcher in front of the fleet whose retry budgets leave room for any number of hedges.
func entryOf(f *fleet, hedgeRatio float64) *entry.Dispatcher {
	return entry.New(entry.Dispatcher{
		Service: "self", Roster: f.roster, Forward: f, Budgets: caller.NewEmptyRetryBudgets(func() float64 { return 1000 }),
		RetryRatio: func() float64 { return 1 }, HedgeRatio: func() float64 { return hedgeRatio },
		Quarantine: quarantine.NewList(nil), Log: slog.New(slog.DiscardHandler),
	})
}

// hedgedRoute is the route of the requests to a fleet.
var hedgedRoute = &contract.Route{Name: "r", Rule: bundle.Idempotent, MaxAttempts: 2, LatencyObjective: time.Second}

// load sends requests to the dispatcher at a steady rate for the duration, and returns how long each took. A request that is
// refused counts as 10 s.
func load(ctx context.Context, e *entry.Dispatcher, perSecond int, lasting time.Duration) []time.Duration {
	took := make([]time.Duration, int(float64(perSecond)*lasting.Seconds()))
	var done sync.WaitGroup
	for i := range took {
		done.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			began := time.Now()
			deadline, _ := ctx.Deadline()
			answer, err := e.Dispatch(ctx, &caller.Request{
				ID: fmt.Sprint(i), Service: "s", Route: "r", Body: caller.NewBody(nil, 0), Deadline: deadline, Placement: &caller.Placement{Host: "h"},
			}, hedgedRoute)
			if err != nil {
				took[i] = 10 * time.Second
				return
			}
			took[i] = time.Since(began)
			_ = answer.Body.Close()
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	done.Wait()
	return took
}

// slowerThan returns the number of times above the limit.
func slowerThan(times []time.Duration, limit time.Duration) (n int) {
	for _, took := range times {
		if took > limit {
			n++
		}
	}
	return n
}

// between returns a duration that depends only on the numbers.
func between(low, high time.Duration, seed ...int) time.Duration {
	hash := uint64(17)
	for _, s := range seed {
		hash = hash*1_000_003 + uint64(s)
	}
	return low + time.Duration(rand.New(rand.NewPCG(hash, 1)).Int64N(int64(high-low)))
}
