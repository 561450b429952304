package idempotency

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// simulation is a deterministic simulation of nodes, entry nodes, network and store under a virtual
// clock. It runs the real state machines and tables; only I/O and clocks are simulated.
type simulation struct {
	random            *rand.Rand
	now               time.Duration
	queue             eventQueue
	serial            int
	eventsThisSecond  int           // events in the current virtual second
	burstEnds         time.Duration // end of the second after an event that had waited for a frozen process
	membershipVersion int
	mutation          mutation
	faulty            bool // messages are delayed, duplicated and lost
	clocksOutOfBounds bool // clocks differ by more than leases support; an orphaned group is not replaced
	nodes             []*simNode
	entries           []*simEntry
	store             simStore
	oracle            oracle
	err               error
}

type event struct {
	at     time.Duration
	serial int
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.serial++
	heap.Push(&sim.queue, event{at: sim.now + d, serial: sim.serial, run: run})
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf("at %v: %s", sim.now, fmt.Sprintf(format, args...))
	}
}

const (
	// maxEventsPerSecond bounds the events of a virtual second. It does not hold right after a freeze, when all messages sent to
	// the process meanwhile are handled and answered.
	maxEventsPerSecond = 20_000
	// maxTicksPerSecond bounds the ticks of one node's timer in a virtual second.
	maxTicksPerSecond = 100
)

// runUntil executes the queued events and checks the invariants after each.
func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= end && sim.err == nil {
		e := heap.Pop(&sim.queue).(event)
		if e.at/time.Second != sim.now/time.Second {
			sim.eventsThisSecond = 0
		}
		sim.now = e.at
		if sim.eventsThisSecond++; sim.eventsThisSecond > maxEventsPerSecond && sim.now >= sim.burstEnds {
			sim.fail("messages multiply")
		}
		e.run()
		if !sim.clocksOutOfBounds {
			sim.checkTenure()
		}
	}
	sim.now = end
}

// delay returns the delays of the copies of one message, none when it is lost.
func (sim *simulation) delay() []time.Duration {
	once := func() time.Duration {
		if sim.faulty && sim.random.IntN(20) == 0 {
			return time.Duration(sim.random.Int64N(int64(15 * time.Second)))
		}
		return 200*time.Microsecond + time.Duration(sim.random.Int64N(int64(3*time.Millisecond)))
	}
	switch {
	case sim.faulty && sim.random.IntN(15) == 0:
		return nil
	case sim.faulty && sim.random.IntN(15) == 0:
		return []time.Duration{once(), once()}
	}
	return []time.Duration{once()}
}

// simProcess is a process with its clocks. Its events wait while it is frozen and are dropped when it
// ends.
type simProcess struct {
	sim          *simulation
	generation   int
	alive        bool
	isolated     bool
	frozenUntil  time.Duration
	rate         float64 // of the monotonic clock
	started      time.Duration
	clockStopped time.Duration // time for which the monotonic clock did not advance
	skew         time.Duration // of the wall clock
}

var simEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (p *simProcess) instant() Instant {
	ran := float64(p.sim.now - p.started - p.clockStopped)
	return Instant{Mono: clockOffset + time.Duration(ran*p.rate), Wall: simEpoch.Add(p.sim.now + p.skew)}
}

// runAfter runs f in the process after d on the simulation's clock, unless the process has ended or
// restarted by then.
func (p *simProcess) runAfter(d time.Duration, f func()) {
	generation, deferred := p.generation, false
	var attempt func()
	attempt = func() {
		if deferred {
			p.sim.burstEnds = p.sim.now + time.Second
		}
		switch {
		case !p.alive || p.generation != generation:
		case p.sim.now < p.frozenUntil:
			deferred = true
			p.sim.after(p.frozenUntil-p.sim.now+time.Duration(p.sim.random.Int64N(1e6)), attempt)
		default:
			f()
		}
	}
	p.sim.after(d, attempt)
}

// sendMessage delivers a request from one process to another, and the reply back.
func sendMessage[R any](sim *simulation, from, to *simProcess, serve func() R, answered func(R)) {
	for _, d := range sim.delay() {
		if from.isolated || to.isolated {
			continue
		}
		to.runAfter(d, func() {
			reply := serve()
			for _, d := range sim.delay() {
				if !from.isolated && !to.isolated {
					from.runAfter(d, func() { answered(reply) })
				}
			}
		})
	}
}
