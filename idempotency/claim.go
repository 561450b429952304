package idempotency

import "maps"

// Claim answers an entry node that asks to run a key.
func (g *Group) Claim(now Instant, r ClaimRequest) ClaimReply {
	reply := g.claim(now, r)
	if reply.Verdict.mayBeOutdated() {
		g.readIfBehind(now, r.Epoch)
	}
	return reply
}

// claim decides on a claim. The lock keeps the epoch from changing while the table is used, so that a
// later hand-over contains what was granted.
func (g *Group) claim(now Instant, r ClaimRequest) ClaimReply {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if reply, ok := g.notOwner(r.To, r.Key); ok {
		return ClaimReply{Verdict: NotOwner, Group: reply}
	}
	if !g.holdsLease(now) || r.Key.Issued() > g.lease.ceiling {
		if r.Key.Issued() > now.Wall.Add(g.config.Margin).UnixMilli() {
			return ClaimReply{Verdict: Future}
		}
		return ClaimReply{Verdict: NoLease}
	}
	known, waiting := g.historyKnown(now, r.Key)
	if waiting {
		return ClaimReply{Verdict: HandingOver}
	}
	verdict, answer := g.table.Claim(now, r.Key, r.Attempt, r.TimeLeft, known)
	return ClaimReply{Verdict: verdict, Answer: answer}
}

// Settle records the outcome of an attempt. It needs no lease: it never frees a key that this member
// could not grant anyway. The settlement of a key that moved must go to the new owner.
func (g *Group) Settle(now Instant, r SettleRequest) SettleReply {
	reply := g.settle(now, r)
	if !reply.Accepted {
		g.readIfBehind(now, r.Epoch)
	}
	return reply
}

func (g *Group) settle(now Instant, r SettleRequest) SettleReply {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if group, ok := g.notOwner(r.To, r.Key); ok {
		return SettleReply{Group: group}
	}
	g.table.Settle(now, r.Key, r.Attempt, r.Outcome, r.Answer)
	return SettleReply{Accepted: true}
}

// mayBeOutdated reports whether the claim may have been refused because this member does not know the present epoch: a member that
// was sealed holds no lease until it does.
func (v Verdict) mayBeOutdated() bool { return v == NotOwner || v == NoLease }

// readIfBehind schedules a read of the store when an entry node knows a later epoch. The member that
// wrote that epoch may have ended before it informed the new members; only such requests then reach them.
func (g *Group) readIfBehind(now Instant, epoch uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.record == nil || epoch > g.record.Epoch {
		g.readSoon(now)
	}
}

// notOwner reports whether this incarnation of the node does not own the key, and returns the record
// that names the owner.
func (g *Group) notOwner(to Identity, key Key) (*Record, bool) {
	if g.record == nil || len(g.record.Members) == 0 {
		return g.record, true
	}
	if to != g.self || g.record.Owner(key).Identity != g.self {
		return g.record, true
	}
	return nil, false
}

// historyKnown reports whether this table holds all decisions on the key from earlier epochs, and
// whether a hand-over that may supply them is still awaited. Keys issued after the ceiling of an
// epoch were not accepted in it.
func (g *Group) historyKnown(now Instant, key Key) (known, waiting bool) {
	issued := key.Issued()
	if g.mutation.noBarrier {
		return true, false
	}
	if issued <= g.record.Barrier {
		return false, false
	}
	for i, ended := range g.record.EndedEpochs {
		owner := ownerOf(ended.Members, key)
		if issued > owner.Ceiling || g.decidedLocally(ended, owner) || g.receivedFrom(ended, owner, key) {
			continue
		}
		return false, i == 0 && now.maxElapsed(g.adoptedAt) < handOverWait
	}
	return true, false
}

// decidedLocally reports whether this node owned the key in the ended epoch and has been a member
// since, so that its table holds the decisions.
func (g *Group) decidedLocally(ended EndedEpoch, owner Member) bool {
	return owner.Identity == g.self && g.memberSince != 0 && ended.Epoch >= g.memberSince
}

// receivedFrom reports whether the owner of the key in the ended epoch has handed over its decisions,
// and the key has stayed with this member since.
func (g *Group) receivedFrom(ended EndedEpoch, owner Member, key Key) bool {
	targetEpoch, ok := g.handOversReceived[handOverID{ended.Epoch, owner.Identity}]
	if !ok || g.memberSince == 0 || targetEpoch < g.memberSince {
		return false
	}
	for _, later := range g.record.EndedEpochs {
		if later.Epoch >= targetEpoch && !g.decidedLocally(later, ownerOf(later.Members, key)) {
			return false
		}
	}
	return true
}

// handOver returns the hand-overs of the keys that this node no longer owns in the new epoch. Claims
// wait for the lock of the group, so that none is granted after the keys were copied.
func (g *Group) handOver(now Instant, old *Record) []Output {
	var out []Output
	for _, m := range g.record.Members {
		if m.Identity == g.self {
			continue
		}
		chunks := g.table.export(now, func(key Key) bool {
			return ownerOf(old.Members, key).Identity == g.self && g.record.Owner(key).Identity == m.Identity
		})
		for i := range chunks {
			c := &chunks[i]
			c.Service, c.From, c.To = g.service, g.self, m.Identity
			c.Epoch, c.TargetEpoch = old.Epoch, g.record.Epoch
		}
		out = append(out, HandOver{To: m, Chunks: chunks})
	}
	return out
}

// AcceptHandOver merges one chunk of a hand-over and reports whether the sender may send the next one. A
// repeated chunk changes nothing; a chunk out of order is refused.
func (g *Group) AcceptHandOver(now Instant, c HandOverChunk) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.To != g.self || g.record == nil || g.record.Epoch < c.TargetEpoch {
		g.readSoon(now)
		return false
	}
	if g.record.Epoch > c.TargetEpoch || g.memberSince == 0 || c.Epoch >= c.TargetEpoch {
		return true // no longer needed: the sender need not repeat it
	}
	id := handOverID{c.Epoch, c.From}
	next := g.nextChunk[id]
	if _, complete := g.handOversReceived[id]; complete || c.Number < next {
		return true
	}
	if c.Number > next || !g.table.importChunk(now, c) {
		return false
	}
	g.nextChunk[id] = next + 1
	if c.Last {
		g.handOversReceived[id] = c.TargetEpoch
		delete(g.nextChunk, id)
		g.pruneHandOvers()
	}
	return true
}

// pruneHandOvers forgets hand-overs from epochs that the record no longer lists.
func (g *Group) pruneHandOvers() {
	listed := map[uint64]bool{}
	for _, ended := range g.record.EndedEpochs {
		listed[ended.Epoch] = true
	}
	maps.DeleteFunc(g.handOversReceived, func(c handOverID, _ uint64) bool { return !listed[c.epoch] })
	maps.DeleteFunc(g.nextChunk, func(c handOverID, _ uint32) bool { return !listed[c.epoch] })
}
