package idempotency

import (
	"fmt"
	"time"
)

// oracle records what actually happened to each key.
type oracle struct {
	runs    map[Key]int
	refused map[Attempt]bool // calls refused as not run
	ran     map[Attempt]bool
	answers map[Key]string // answer of the run
	counts  map[string]int
}

func newOracle() oracle {
	return oracle{
		runs: map[Key]int{}, refused: map[Attempt]bool{}, ran: map[Attempt]bool{},
		answers: map[Key]string{}, counts: map[string]int{},
	}
}

// checkTenure fails when two running processes would accept a claim for the same key.
func (sim *simulation) checkTenure() {
	var holders []*simNode
	for _, n := range sim.nodes {
		if n.alive && sim.now >= n.frozenUntil && n.group.Serving(n.instant()) {
			holders = append(holders, n)
		}
	}
	for i, a := range holders {
		for _, b := range holders[i+1:] {
			if a.group.record.Epoch == b.group.record.Epoch {
				continue // within an epoch each key has one owner
			}
			for probe := range uint64(12) {
				key := newKey(simEpoch, probe<<40)
				if a.group.Record().Owner(key).Identity == a.peer.Identity && b.group.Record().Owner(key).Identity == b.peer.Identity {
					sim.fail("two members hold a lease for a key: %s in epoch %d, %s in epoch %d",
						a.peer.ID, a.group.Record().Epoch, b.peer.ID, b.group.Record().Epoch)
					return
				}
			}
		}
	}
}

func (sim *simulation) run(key Key, attempt Attempt) {
	sim.oracle.runs[key]++
	sim.oracle.ran[attempt] = true
	if sim.oracle.refused[attempt] {
		sim.fail("a call refused as not run has run")
	}
	if sim.oracle.runs[key] > 1 {
		sim.fail("key issued at %v ran %d times", time.UnixMilli(key.Issued()).Sub(simEpoch), sim.oracle.runs[key])
	}
}

// simEntry is an entry node. It behaves as Client and node.AtMostOnceDispatcher do.
type simEntry struct {
	simProcess
	record *Record
}

type simCall struct {
	entry    *simEntry
	key      Key
	attempt  Attempt
	started  time.Duration
	decided  bool // granted, refused or answered
	resolved bool
}

const simCallTimeout = 4 * time.Second

// call sends a request under the key through the entry node. served, when not nil, is called when
// the call was answered or ran.
func (e *simEntry) call(key Key, served func()) {
	c := &simCall{entry: e, key: key, attempt: e.sim.newAttempt(), started: e.sim.now}
	e.runAfter(simCallTimeout, func() {
		if !c.decided { // the claim may have been granted and the reply lost; nothing runs
			c.refuse()
			c.settle(OutcomeNotRun, nil, 10)
		}
	})
	c.claim(served)
}

func (sim *simulation) newAttempt() Attempt {
	sim.serial++
	return Attempt([]byte(fmt.Sprintf("%016d", sim.serial)))
}

func (c *simCall) refuse() {
	c.decided = true
	c.entry.sim.oracle.refused[c.attempt] = true
	c.entry.sim.oracle.counts["not-run"]++
	if c.entry.sim.oracle.ran[c.attempt] {
		c.entry.sim.fail("a call that ran is refused as not run")
	}
}

func (c *simCall) claim(served func()) {
	e, sim := c.entry, c.entry.sim
	if c.decided {
		return
	}
	e.runAfter(400*time.Millisecond, func() { c.claim(served) })
	if e.record == nil || len(e.record.Members) == 0 {
		e.queryGroup()
		return
	}
	owner := e.record.Owner(c.key)
	request := ClaimRequest{
		Service: "s", Epoch: e.record.Epoch, To: owner.Identity, Key: c.key, Attempt: c.attempt, TimeLeft: 10 * time.Second,
	}
	sim.toNode(&e.simProcess, owner, func(to *simNode) {
		sendMessage(sim, &e.simProcess, &to.simProcess, func() ClaimReply {
			defer to.schedule()
			return to.group.Claim(to.instant(), request)
		},
			func(r ClaimReply) { c.claimed(r, served) })
	})
	if sim.now-c.started > 500*time.Millisecond {
		e.queryGroup()
	}
}

// queryGroup asks a random node for the record of the group.
func (e *simEntry) queryGroup() {
	n := e.sim.nodes[e.sim.random.IntN(len(e.sim.nodes))]
	if !n.alive {
		return
	}
	sendMessage(e.sim, &e.simProcess, &n.simProcess, func() *Record {
		if record := n.group.Record(); record != nil {
			return record
		}
		return n.nonMember.Record()
	}, e.cacheIfNewer)
}

func (e *simEntry) cacheIfNewer(record *Record) {
	if record != nil && (e.record == nil || record.Epoch > e.record.Epoch) {
		e.record = record
	}
}

func (c *simCall) claimed(r ClaimReply, served func()) {
	sim := c.entry.sim
	c.entry.cacheIfNewer(r.Group)
	if c.decided || r.Verdict >= NotOwner {
		return
	}
	c.decided = true
	sim.oracle.counts[fmt.Sprint("verdict ", r.Verdict)]++
	switch r.Verdict {
	case Granted:
		c.dispatch(served)
	case Done:
		if sim.oracle.runs[c.key] == 0 || r.Answer.Upstream != sim.oracle.answers[c.key] {
			sim.fail("stored answer %q, want %q", r.Answer.Upstream, sim.oracle.answers[c.key])
		}
	case AlreadyRun:
		if sim.oracle.runs[c.key] == 0 {
			sim.fail("a key that never ran is refused as already run")
		}
	case Future, Full:
		c.refuse()
	}
}

// dispatch runs the request, refuses it, or runs it with an unknown outcome, each after a random time.
func (c *simCall) dispatch(served func()) {
	e, sim := c.entry, c.entry.sim
	delay := time.Duration(sim.random.Int64N(int64(20 * time.Millisecond)))
	if sim.faulty && sim.random.IntN(8) == 0 {
		delay = time.Duration(sim.random.Int64N(int64(12 * time.Second)))
	}
	choice := 2
	if sim.faulty {
		choice = sim.random.IntN(8)
	}
	if choice == 0 {
		e.runAfter(delay, func() {
			c.refuse()
			c.settle(OutcomeNotRun, nil, 10)
		})
		return
	}
	e.runAfter(delay, func() { // the request leaves the entry node
		sim.after(time.Millisecond, func() { sim.run(c.key, c.attempt) })
		answer := fmt.Sprintf("run of %s", c.attempt)
		sim.oracle.answers[c.key] = answer
		if served != nil {
			served()
		}
		outcome, stored := OutcomeDone, &Answer{Status: 200, Upstream: answer}
		if choice == 1 {
			outcome, stored = OutcomeUnknown, nil
		}
		e.runAfter(5*time.Millisecond, func() { c.settle(outcome, stored, 10) })
	})
}

func (c *simCall) settle(outcome Outcome, answer *Answer, tries int) {
	e, sim := c.entry, c.entry.sim
	if c.resolved || tries == 0 {
		return
	}
	e.runAfter(500*time.Millisecond, func() { c.settle(outcome, answer, tries-1) })
	if e.record == nil || len(e.record.Members) == 0 {
		e.queryGroup()
		return
	}
	owner := e.record.Owner(c.key)
	request := SettleRequest{
		Service: "s", Epoch: e.record.Epoch, To: owner.Identity, Key: c.key, Attempt: c.attempt, Outcome: outcome, Answer: answer,
	}
	sim.toNode(&e.simProcess, owner, func(to *simNode) {
		sendMessage(sim, &e.simProcess, &to.simProcess, func() SettleReply {
			defer to.schedule()
			return to.group.Settle(to.instant(), request)
		},
			func(r SettleReply) {
				c.resolved = c.resolved || r.Accepted
				e.cacheIfNewer(r.Group)
			})
	})
}
