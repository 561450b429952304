package idempotency

import "time"

// promise is the lease that this node has granted to an owner in the epoch.
type promise struct {
	until   time.Duration // monotonic time at which it ends
	ceiling int64         // the owner accepts no key issued later by it
}

// grantRound is one round of requests to the other members to grant this node a lease.
type grantRound struct {
	number  uint64
	started Instant
	ceiling int64
	granted map[Identity]bool
}

// lease is the right of this node, granted by a majority, to accept claims for keys issued up to
// ceiling. It lasts for D from started.
type lease struct {
	held    bool
	started Instant
	ceiling int64
}

// holdsLease measures the lease by the clock that has advanced most. A process that was frozen, or
// whose machine was suspended with one clock stopped, finds its lease ended.
func (g *Group) holdsLease(now Instant) bool {
	if !g.lease.held || g.sealed || g.stopping {
		return false
	}
	if g.mutation.noFreezeCheck {
		return now.Mono-g.lease.started.Mono < g.config.LeaseDuration
	}
	return now.divergence(g.lease.started) <= maxClockDivergence && now.maxElapsed(g.lease.started) < g.config.LeaseDuration
}

// mayGrant reports whether the node is an unsealed member and has confirmed the current epoch within
// the store outage.
func (g *Group) mayGrant(now Instant) bool {
	if _, ok := g.member(); !ok || g.sealed || g.confirmedAt == nil {
		return false
	}
	return now.maxElapsed(*g.confirmedAt) < g.record.outage()
}

// Grant answers a member's request to grant or extend its lease.
func (g *Group) Grant(now Instant, r GrantRequest) GrantReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.record == nil || r.Epoch != g.record.Epoch {
		return GrantReply{Group: g.handleEpochMismatch(now, r.Epoch)}
	}
	_, asked := g.record.Member(r.From)
	_, member := g.member()
	present := member && r.To == g.self
	highest := now.Wall.Add(g.config.LeaseDuration + 2*g.config.Margin).UnixMilli()
	if !asked || !present || r.Ceiling > highest || !g.mayGrant(now) {
		return GrantReply{Present: present}
	}
	g.promise(now, r.From, r.Ceiling)
	return GrantReply{Granted: true, Present: true}
}

func (g *Group) promise(now Instant, to Identity, ceiling int64) {
	given := g.promises[to.ID]
	g.promises[to.ID] = promise{
		until:   max(given.until, now.Mono+withDrift(g.config.LeaseDuration)),
		ceiling: max(given.ceiling, ceiling),
	}
}

// roundInterval is D/3. Right after an epoch began the members confirm it at different moments, so
// that a member without a lease asks more often.
func (g *Group) roundInterval(now Instant) time.Duration {
	if !g.lease.held && now.Mono-g.adoptedAt.Mono < g.config.LeaseDuration {
		return g.config.LeaseDuration / 15
	}
	return g.config.LeaseDuration / 3
}

// startRound asks the other members for grants. A member that may not grant leases asks as well, to
// learn which members respond.
func (g *Group) startRound(now Instant) []Output {
	if g.stopping || g.sealed {
		return nil
	}
	ceiling := now.Wall.Add(g.config.LeaseDuration + g.config.Margin).UnixMilli()
	g.round = grantRound{number: g.round.number + 1, started: now, ceiling: ceiling}
	if g.mayGrant(now) {
		g.promise(now, g.self, ceiling)
		g.round.granted = map[Identity]bool{g.self: true}
	}
	var out []Output
	for _, m := range g.record.Members {
		if m.Identity == g.self {
			continue
		}
		out = append(out, SendGrantRequest{Round: g.round.number, To: m, Request: GrantRequest{
			Service: g.service, Epoch: g.record.Epoch, From: g.self, To: m.Identity, Ceiling: ceiling,
		}})
	}
	g.finishRound(now)
	return out
}

func (g *Group) grantAnswered(now Instant, in GrantAnswered) []Output {
	if in.Reply.Group != nil {
		return g.adopt(now, in.Reply.Group)
	}
	if _, ok := g.record.Member(in.From); !ok || !in.Reply.Present || in.Round != g.round.number {
		return nil
	}
	g.lastGrantReply[in.From.ID] = now.Mono
	if in.Reply.Granted && g.round.granted != nil {
		g.round.granted[in.From] = true
		g.finishRound(now)
	}
	return nil
}

// majorityResponsive reports whether a majority has answered within the last lease duration.
func (g *Group) majorityResponsive(now Instant) bool {
	count := 1
	for _, at := range g.lastGrantReply {
		if now.Mono-at < g.config.LeaseDuration {
			count++
		}
	}
	return count >= g.record.Majority()
}

func (g *Group) finishRound(now Instant) {
	if len(g.round.granted) >= g.record.Majority() && g.mayGrant(now) {
		g.lease = lease{held: true, started: g.round.started, ceiling: g.round.ceiling}
	}
}
