package idempotency

import "maps"

// Claim answers an entry node that asks to run a key. The epoch cannot change while it uses the
// table, so that a hand-over that follows contains what it granted.
func (g *Group) Claim(now Instant, r ClaimRequest) ClaimReply {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if reply, ok := g.notOwner(r.To, r.Key); ok {
		return ClaimReply{Verdict: NotOwner, Group: reply}
	}
	if !g.holdsTenure(now) || r.Key.Issued() > g.tenure.ceiling {
		if r.Key.Issued() > now.Wall.Add(g.config.Margin).UnixMilli() {
			return ClaimReply{Verdict: Future}
		}
		return ClaimReply{Verdict: NoTenure}
	}
	known, waiting := g.known(now, r.Key)
	if waiting {
		return ClaimReply{Verdict: HandingOver}
	}
	verdict, answer := g.table.Claim(now, r.Key, r.Attempt, r.TimeLeft, known)
	return ClaimReply{Verdict: verdict, Answer: answer}
}

// Settle takes the end of an attempt. It needs no tenure: it never opens a key that this member
// could not grant anyway. The settlement of a key that moved is for the new owner.
func (g *Group) Settle(now Instant, r SettleRequest) SettleReply {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if group, ok := g.notOwner(r.To, r.Key); ok {
		return SettleReply{Group: group}
	}
	g.table.Settle(now, r.Key, r.Attempt, r.Outcome, r.Answer)
	return SettleReply{Accepted: true}
}

// notOwner reports whether this life of the node does not own the key, with the record to look at.
func (g *Group) notOwner(to Identity, key Key) (*Record, bool) {
	if g.record == nil || len(g.record.Members) == 0 {
		return g.record, true
	}
	if to != g.self || g.record.Owner(key).Identity != g.self {
		return g.record, true
	}
	return nil, false
}

// known reports whether this table holds whatever was decided on the key in earlier epochs, and
// whether a hand-over that may bring it is still awaited. Keys issued after the ceiling of an epoch
// were not accepted in it.
func (g *Group) known(now Instant, key Key) (known, waiting bool) {
	issued := key.Issued()
	if g.broken.noBarrier {
		return true, false
	}
	if issued <= g.record.Barrier {
		return false, false
	}
	for i, past := range g.record.Past {
		owner := ownerOf(past.Members, key)
		if issued > owner.Ceiling || g.ownedSince(past, owner) || g.coveredIn(past, owner, key) {
			continue
		}
		return false, i == 0 && now.atMost(g.adopted) < handOverWait
	}
	return true, false
}

// ownedSince reports whether this table itself took the decisions on the key in the ended epoch.
func (g *Group) ownedSince(past Past, owner Member) bool {
	return owner.Identity == g.self && g.since != 0 && past.Epoch >= g.since
}

// coveredIn reports whether the owner of the key in the ended epoch has handed over its decisions,
// and the key has stayed with this member since.
func (g *Group) coveredIn(past Past, owner Member, key Key) bool {
	meant, ok := g.covered[coverage{past.Epoch, owner.Identity}]
	if !ok || g.since == 0 || meant < g.since {
		return false
	}
	for _, later := range g.record.Past {
		if later.Epoch >= meant && !g.ownedSince(later, ownerOf(later.Members, key)) {
			return false
		}
	}
	return true
}

// handOver returns the hand-over of the keys that left this node with the end of the epoch. Claims
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
			c.Epoch, c.Meant = old.Epoch, g.record.Epoch
		}
		out = append(out, HandOver{To: m, Chunks: chunks})
	}
	return out
}

// TakeOver merges one chunk of a hand-over and reports whether the sender may go on. A repeated
// chunk changes nothing; a chunk out of turn is refused.
func (g *Group) TakeOver(now Instant, c Chunk) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.To != g.self || g.record == nil || g.record.Epoch < c.Meant {
		g.readSoon(now)
		return false
	}
	if g.record.Epoch > c.Meant || g.since == 0 || c.Epoch >= c.Meant {
		return true // too late to be of use
	}
	name := coverage{c.Epoch, c.From}
	next := g.partial[name]
	if _, complete := g.covered[name]; complete || c.Number < next {
		return true
	}
	if c.Number > next || !g.table.absorb(now, c) {
		return false
	}
	g.partial[name] = next + 1
	if c.Last {
		g.covered[name] = c.Meant
		delete(g.partial, name)
		g.trimCoverage()
	}
	return true
}

// trimCoverage forgets hand-overs from epochs that the record no longer lists.
func (g *Group) trimCoverage() {
	listed := map[uint64]bool{}
	for _, past := range g.record.Past {
		listed[past.Epoch] = true
	}
	maps.DeleteFunc(g.covered, func(c coverage, _ uint64) bool { return !listed[c.epoch] })
	maps.DeleteFunc(g.partial, func(c coverage, _ uint32) bool { return !listed[c.epoch] })
}
