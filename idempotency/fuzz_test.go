package idempotency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fault is one fault injected into the simulation.
type fault struct {
	at, length time.Duration
	kind       string
	target     int
}

var faultKinds = []string{
	"crash", "freeze", "suspend", "isolate", "store-down", "stop", "false-gone", "entry-crash", "entry-freeze", "wall-step",
}

// faultStep is the resolution of fault times: coarse enough for rapid to shrink a plan well.
const faultStep = 100 * time.Millisecond

func drawFault(t *rapid.T) fault {
	return fault{
		at:     time.Duration(rapid.IntRange(50, 600).Draw(t, "at")) * faultStep,
		length: time.Duration(rapid.IntRange(1, 120).Draw(t, "length")) * faultStep,
		kind:   rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		target: rapid.IntRange(0, 4).Draw(t, "target"),
	}
}

func randomFault(r *rand.Rand) fault {
	return fault{
		at:     time.Duration(50+r.IntN(550)) * faultStep,
		length: time.Duration(1+r.IntN(120)) * faultStep,
		kind:   faultKinds[r.IntN(len(faultKinds))],
		target: r.IntN(5),
	}
}

const (
	simNodes   = 5
	simEntries = 3
	faultsEnd  = 75 * time.Second
	// recoveryBound covers the replacement of an orphaned group: store outage and mark margin
	// lengthened by the clock drift, repeated reads, and the barrier.
	recoveryBound = 170 * time.Second
)

// simulate runs the plan and returns the first violation.
func simulate(seed uint64, nodes int, plan []fault, mutant mutation) (*simulation, error) {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), mutation: mutant, oracle: newOracle()}
	sim.runPlan(nodes, plan)
	sim.checkRecovery()
	return sim, sim.err
}

// runPlan starts the nodes and injects the faults of the plan until faultsEnd.
func (sim *simulation) runPlan(nodes int, plan []fault) {
	for i := range nodes {
		sim.nodes = append(sim.nodes, sim.newNode(i))
	}
	for range simEntries {
		e := &simEntry{}
		e.sim, e.alive, e.rate = sim, true, 1
		sim.entries = append(sim.entries, e)
	}
	for _, n := range sim.nodes {
		n.start()
	}
	sim.runUntil(5 * time.Second)
	sim.faulty = len(plan) > 0
	for _, f := range plan {
		sim.after(f.at-sim.now, func() { sim.injectFault(f) })
	}
	for at := 5 * time.Second; at < faultsEnd; at += 120 * time.Millisecond {
		sim.after(at-sim.now, sim.randomCalls)
	}
	sim.runUntil(faultsEnd)
}

// randomCalls issues a key and sends it once or several times through random entry nodes.
func (sim *simulation) randomCalls() {
	skew := time.Duration(sim.random.Int64N(int64(1800*time.Millisecond))) - 900*time.Millisecond
	key := newKey(simEpoch.Add(sim.now+skew), sim.random.Uint64())
	for send := range 1 + sim.random.IntN(4) {
		wait := time.Duration(0)
		if send > 0 {
			wait = time.Duration(sim.random.Int64N(int64(time.Second)))
			if sim.random.IntN(2) == 0 {
				wait = time.Duration(sim.random.Int64N(int64(30 * time.Second)))
			}
		}
		e := sim.entries[sim.random.IntN(len(sim.entries))]
		e.runAfter(wait, func() { e.call(key, nil) })
	}
}

func (sim *simulation) injectFault(f fault) {
	n, e := sim.nodes[f.target%len(sim.nodes)], sim.entries[f.target%len(sim.entries)]
	switch f.kind {
	case "crash":
		sim.crash(n, f.length)
	case "freeze", "suspend":
		n.frozenUntil = max(n.frozenUntil, sim.now+f.length)
		if f.kind == "suspend" { // the machine is suspended: the monotonic clock stops
			n.clockStopped += f.length
		}
	case "isolate":
		n.isolated = true
		sim.after(f.length, func() { n.isolated = false })
	case "store-down":
		sim.store.down = true
		sim.after(f.length, func() { sim.store.down = false })
	case "stop":
		n.runAfter(0, func() { n.deliver(StopRequested{}) })
		sim.after(3*time.Second, func() { sim.crash(n, f.length) })
	case "false-gone":
		n.peer.Gone = true
		sim.announce()
		sim.after(f.length, func() { n.peer.Gone = !n.alive; sim.announce() })
	case "entry-crash":
		e.generation++
		e.record = nil
	case "entry-freeze":
		e.frozenUntil = max(e.frozenUntil, sim.now+f.length)
	case "wall-step":
		n.skew = sim.randomSkew()
	}
}

func (sim *simulation) crash(n *simNode, length time.Duration) {
	if !n.alive {
		return
	}
	n.alive, n.peer.Gone = false, true
	sim.announce()
	sim.after(length, n.start)
}

// checkRecovery ends all faults and checks that new keys of every slot are served within recoveryBound.
func (sim *simulation) checkRecovery() {
	sim.faulty, sim.store.down = false, false
	sim.runUntil(faultsEnd + 20*time.Second) // restarts and isolations under way end in this time
	recoveryStart := sim.now
	for sim.err == nil {
		served := 0
		for range 8 {
			key := newKey(simEpoch.Add(sim.now), sim.random.Uint64())
			sim.entries[sim.random.IntN(len(sim.entries))].call(key, func() { served++ })
		}
		sim.runUntil(sim.now + 6*time.Second)
		if served == 8 {
			return
		}
		if sim.now-recoveryStart > recoveryBound {
			sim.fail("new keys are not served %v after the faults ended: %d of 8", sim.now-recoveryStart, served)
			for _, n := range sim.nodes {
				sim.err = fmt.Errorf("%w\n%s alive %v sealed %v serving %v member %v record %+v", sim.err, n.peer.ID, n.alive,
					n.group.sealed, n.group.Serving(n.instant()), n.group.IsMember(), n.group.Record())
			}
		}
	}
}

// Guards against a second run, a false refusal, two owners at once, a wrong stored answer and a group
// that does not recover, under any combination of faults.
func TestFuzzAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		nodes := rapid.IntRange(1, simNodes).Draw(t, "nodes")
		plan := rapid.SliceOfN(rapid.Custom(drawFault), 1, 8).Draw(t, "plan")
		if _, err := simulate(seed, nodes, plan, mutation{}); err != nil {
			t.Fatalf("%v", err)
		}
	})
}

// Guards against a simulation that takes a burst of messages for a spinning timer: those that the only node did not handle while
// it was frozen.
func TestBacklogOfFrozenNodeIsNoSpin(t *testing.T) {
	plan := []fault{
		{kind: "freeze", target: 0, at: 5100 * time.Millisecond, length: 6900 * time.Millisecond},
		{kind: "crash", target: 4, at: 5100 * time.Millisecond, length: 2800 * time.Millisecond},
		{kind: "wall-step", target: 3, at: 5200 * time.Millisecond, length: 400 * time.Millisecond},
		{kind: "suspend", target: 0, at: 6500 * time.Millisecond, length: 100 * time.Millisecond},
		{kind: "freeze", target: 4, at: 31400 * time.Millisecond, length: 12 * time.Second},
		{kind: "wall-step", target: 1, at: 42200 * time.Millisecond, length: 200 * time.Millisecond},
		{kind: "freeze", target: 0, at: 43400 * time.Millisecond, length: 200 * time.Millisecond},
		{kind: "entry-crash", target: 1, at: 55400 * time.Millisecond, length: 1600 * time.Millisecond},
	}
	_, err := simulate(0x1fb0, 1, plan, mutation{})
	assert.NilError(t, err)
}

// Guards against a simulation that does not notice a spinning timer.
func TestSimulationCatchesSpinningTimer(t *testing.T) {
	sim := &simulation{random: rand.New(rand.NewPCG(1, 1)), oracle: newOracle()}
	n := sim.newNode(0)
	sim.nodes = []*simNode{n}
	n.start()
	var spin func()
	spin = func() {
		n.nextTick, n.group.nextRead, n.group.reading = 0, 0, false
		n.schedule()
		sim.after(time.Millisecond, spin)
	}
	sim.after(0, spin)
	sim.runUntil(5 * time.Second)
	assert.ErrorContains(t, sim.err, "the timer of n0 spins")
}

// Guards against a simulation that does not notice messages that multiply.
func TestSimulationCatchesMultiplyingMessages(t *testing.T) {
	sim := &simulation{random: rand.New(rand.NewPCG(1, 1)), oracle: newOracle()}
	var multiply func()
	multiply = func() {
		sim.after(100*time.Millisecond, multiply)
		sim.after(100*time.Millisecond, multiply)
	}
	sim.after(0, multiply)
	sim.runUntil(5 * time.Second)
	assert.ErrorContains(t, sim.err, "messages multiply")
}

// Guards against ownership of keys that depends on clocks: with clocks whose rates differ by a factor
// of 7 and whose times differ by 12 s, a key still runs at most once.
func TestFuzzClocksOutOfBounds(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		plan := rapid.SliceOfN(rapid.Custom(drawFault), 1, 8).Draw(t, "plan")
		sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), clocksOutOfBounds: true, oracle: newOracle()}
		sim.runPlan(simNodes, plan)
		if sim.err != nil {
			t.Fatalf("%v", sim.err)
		}
		granted += sim.oracle.counts["verdict 1"]
	})
	t.Logf("%d claims granted", granted)
	if granted == 0 {
		t.Fatal("no claim was granted")
	}
}

// Guards against fuzz tests that detect nothing: the same oracle must catch three broken variants of
// the protocol.
func TestFuzzCatchesBrokenVariants(t *testing.T) {
	for _, variant := range []struct {
		name     string
		mutation mutation
		first    uint64 // seed at which the search begins: a seed that is known to fail, to keep the test short
	}{
		{"no seal wait", mutation{noSealWait: true}, 138},
		{"no barrier", mutation{noBarrier: true}, 3},
		{"lease measured without a freeze check", mutation{noFreezeCheck: true}, 122},
	} {
		t.Run(variant.name, func(t *testing.T) {
			for seed := variant.first; seed < variant.first+400; seed++ {
				random := rand.New(rand.NewPCG(seed, 2))
				plan := make([]fault, 6)
				for i := range plan {
					plan[i] = randomFault(random)
				}
				if _, err := simulate(seed, simNodes, plan, variant.mutation); err != nil {
					t.Logf("caught with seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("not caught")
		})
	}
}
