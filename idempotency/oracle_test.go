package idempotency

import (
	"fmt"
	"time"
)

// oracle holds what truly happened to each key.
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
func (w *world) checkTenure() {
	var holders []*simNode
	for _, n := range w.nodes {
		if n.alive && w.now >= n.frozen && n.group.Serving(n.instant()) {
			holders = append(holders, n)
		}
	}
	for i, a := range holders {
		for _, b := range holders[i+1:] {
			if a.group.record.Epoch == b.group.record.Epoch {
				continue // one record gives each key one owner
			}
			for probe := range uint64(12) {
				key := newKey(simEpoch, probe<<40)
				if a.group.Record().Owner(key).Identity == a.peer.Identity && b.group.Record().Owner(key).Identity == b.peer.Identity {
					w.fail("two members hold tenure for a key: %s in epoch %d, %s in epoch %d",
						a.peer.ID, a.group.Record().Epoch, b.peer.ID, b.group.Record().Epoch)
					return
				}
			}
		}
	}
}

func (w *world) run(key Key, attempt Attempt) {
	w.oracle.runs[key]++
	w.oracle.ran[attempt] = true
	if w.oracle.refused[attempt] {
		w.fail("a call refused as not run has run")
	}
	if w.oracle.runs[key] > 1 {
		w.fail("key issued at %v ran %d times", time.UnixMilli(key.Issued()).Sub(simEpoch), w.oracle.runs[key])
	}
}

// simEntry is an entry node. It follows the rules of Client and of node.AtMostOnceDispatcher.
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

const simCallPatience = 4 * time.Second

// call sends a request under the key through the entry node. served, when not nil, is called when
// the call was answered or ran.
func (e *simEntry) call(key Key, served func()) {
	c := &simCall{entry: e, key: key, attempt: e.w.newAttempt(), started: e.w.now}
	e.within(simCallPatience, func() {
		if !c.decided { // the claim may have been granted unheard; nothing runs
			c.refuse()
			c.settle(OutcomeNotRun, nil, 10)
		}
	})
	c.claim(served)
}

func (w *world) newAttempt() Attempt {
	w.serial++
	return Attempt([]byte(fmt.Sprintf("%016d", w.serial)))
}

func (c *simCall) refuse() {
	c.decided = true
	c.entry.w.oracle.refused[c.attempt] = true
	c.entry.w.oracle.counts["not-run"]++
	if c.entry.w.oracle.ran[c.attempt] {
		c.entry.w.fail("a call that ran is refused as not run")
	}
}

func (c *simCall) claim(served func()) {
	e, w := c.entry, c.entry.w
	if c.decided {
		return
	}
	e.within(400*time.Millisecond, func() { c.claim(served) })
	if e.record == nil || len(e.record.Members) == 0 {
		e.learn()
		return
	}
	owner := e.record.Owner(c.key)
	request := ClaimRequest{
		Service: "s", Epoch: e.record.Epoch, To: owner.Identity, Key: c.key, Attempt: c.attempt, TimeLeft: 10 * time.Second,
	}
	w.toNode(&e.simProcess, owner, func(to *simNode) {
		post(w, &e.simProcess, &to.simProcess, func() ClaimReply { return to.group.Claim(to.instant(), request) },
			func(r ClaimReply) { c.claimed(r, served) })
	})
	if w.now-c.started > 500*time.Millisecond {
		e.learn()
	}
}

// learn asks a random node for the group.
func (e *simEntry) learn() {
	n := e.w.nodes[e.w.random.IntN(len(e.w.nodes))]
	if !n.alive {
		return
	}
	post(e.w, &e.simProcess, &n.simProcess, func() *Record {
		if record := n.group.Record(); record != nil {
			return record
		}
		return n.outsider.Record()
	}, e.take)
}

func (e *simEntry) take(record *Record) {
	if record != nil && (e.record == nil || record.Epoch > e.record.Epoch) {
		e.record = record
	}
}

func (c *simCall) claimed(r ClaimReply, served func()) {
	w := c.entry.w
	c.entry.take(r.Group)
	if c.decided || r.Verdict >= NotOwner {
		return
	}
	c.decided = true
	w.oracle.counts[fmt.Sprint("verdict ", r.Verdict)]++
	switch r.Verdict {
	case Granted:
		c.dispatch(served)
	case Done:
		if w.oracle.runs[c.key] == 0 || r.Answer.Upstream != w.oracle.answers[c.key] {
			w.fail("stored answer %q, want %q", r.Answer.Upstream, w.oracle.answers[c.key])
		}
	case AlreadyRun:
		if w.oracle.runs[c.key] == 0 {
			w.fail("a key that never ran is refused as already run")
		}
	case Future, Full:
		c.refuse()
	}
}

// dispatch runs the request, refuses it, or loses its trace, each after a random time.
func (c *simCall) dispatch(served func()) {
	e, w := c.entry, c.entry.w
	way := time.Duration(w.random.Int64N(int64(20 * time.Millisecond)))
	if w.faulty && w.random.IntN(8) == 0 {
		way = time.Duration(w.random.Int64N(int64(12 * time.Second)))
	}
	fate := 2
	if w.faulty {
		fate = w.random.IntN(8)
	}
	if fate == 0 {
		e.within(way, func() {
			c.refuse()
			c.settle(OutcomeNotRun, nil, 10)
		})
		return
	}
	e.within(way, func() { // the request leaves the entry node
		w.after(time.Millisecond, func() { w.run(c.key, c.attempt) })
		answer := fmt.Sprintf("run of %s", c.attempt)
		w.oracle.answers[c.key] = answer
		if served != nil {
			served()
		}
		outcome, stored := OutcomeDone, &Answer{Status: 200, Upstream: answer}
		if fate == 1 {
			outcome, stored = OutcomeUnknown, nil
		}
		e.within(5*time.Millisecond, func() { c.settle(outcome, stored, 10) })
	})
}

func (c *simCall) settle(outcome Outcome, answer *Answer, tries int) {
	e, w := c.entry, c.entry.w
	if c.resolved || tries == 0 {
		return
	}
	e.within(500*time.Millisecond, func() { c.settle(outcome, answer, tries-1) })
	if e.record == nil || len(e.record.Members) == 0 {
		e.learn()
		return
	}
	owner := e.record.Owner(c.key)
	request := SettleRequest{
		Service: "s", Epoch: e.record.Epoch, To: owner.Identity, Key: c.key, Attempt: c.attempt, Outcome: outcome, Answer: answer,
	}
	w.toNode(&e.simProcess, owner, func(to *simNode) {
		post(w, &e.simProcess, &to.simProcess, func() SettleReply { return to.group.Settle(to.instant(), request) },
			func(r SettleReply) {
				c.resolved = c.resolved || r.Accepted
				e.take(r.Group)
			})
	})
}
