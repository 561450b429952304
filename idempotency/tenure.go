package idempotency

import "time"

// promise is what this node granted an owner in the epoch.
type promise struct {
	until   time.Duration // monotonic time at which it ends
	ceiling int64         // the owner accepts no key issued later by it
}

type round struct {
	number  uint64
	started Instant
	ceiling int64
	granted map[Identity]bool
}

type tenure struct {
	held    bool
	started Instant
	ceiling int64
}

// holdsTenure judges the tenure by the clock that has advanced most. A process that was frozen, or
// whose machine was suspended with one clock stopped, finds its tenure ended.
func (g *Group) holdsTenure(now Instant) bool {
	if !g.tenure.held || g.sealed || g.stopping {
		return false
	}
	if g.broken.noFreezeCheck {
		return now.Mono-g.tenure.started.Mono < g.config.Tenure
	}
	return now.gap(g.tenure.started) <= maxClockGap && now.atMost(g.tenure.started) < g.config.Tenure
}

// mayGrant reports whether the node is bound to the current epoch and has confirmed it recently.
func (g *Group) mayGrant(now Instant) bool {
	if _, ok := g.member(); !ok || g.sealed || g.confirmed == nil {
		return false
	}
	return now.atMost(*g.confirmed) < g.record.outage()
}

// Grant answers a member that asks for support of its tenure.
func (g *Group) Grant(now Instant, r GrantRequest) GrantReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.record == nil || r.Epoch != g.record.Epoch {
		return GrantReply{Group: g.behindOf(now, r.Epoch)}
	}
	_, asked := g.record.Member(r.From)
	_, member := g.member()
	present := member && r.To == g.self
	highest := now.Wall.Add(g.config.Tenure + 2*g.config.Margin).UnixMilli()
	if !asked || !present || r.Ceiling > highest || !g.mayGrant(now) {
		return GrantReply{Present: present}
	}
	g.promise(now, r.From, r.Ceiling)
	return GrantReply{Granted: true, Present: true}
}

func (g *Group) promise(now Instant, to Identity, ceiling int64) {
	given := g.promises[to.ID]
	g.promises[to.ID] = promise{
		until:   max(given.until, now.Mono+withDrift(g.config.Tenure)),
		ceiling: max(given.ceiling, ceiling),
	}
}

// roundInterval is D/3. Right after an epoch began the members confirm it at different moments, so
// that a member without tenure asks more often.
func (g *Group) roundInterval(now Instant) time.Duration {
	if !g.tenure.held && now.Mono-g.adopted.Mono < g.config.Tenure {
		return g.config.Tenure / 15
	}
	return g.config.Tenure / 3
}

// startRound asks the other members for grants. A member that may not grant itself asks as well,
// to learn who is there.
func (g *Group) startRound(now Instant) []Output {
	if g.stopping || g.sealed {
		return nil
	}
	ceiling := now.Wall.Add(g.config.Tenure + g.config.Margin).UnixMilli()
	g.round = round{number: g.round.number + 1, started: now, ceiling: ceiling}
	if g.mayGrant(now) {
		g.promise(now, g.self, ceiling)
		g.round.granted = map[Identity]bool{g.self: true}
	}
	var out []Output
	for _, m := range g.record.Members {
		if m.Identity == g.self {
			continue
		}
		out = append(out, AskGrant{Round: g.round.number, To: m, Request: GrantRequest{
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
	g.heard[in.From.ID] = now.Mono
	if in.Reply.Granted && g.round.granted != nil {
		g.round.granted[in.From] = true
		g.finishRound(now)
	}
	return nil
}

// majorityHeard reports whether a majority has answered within the last tenure.
func (g *Group) majorityHeard(now Instant) bool {
	count := 1
	for _, at := range g.heard {
		if now.Mono-at < g.config.Tenure {
			count++
		}
	}
	return count >= g.record.Majority()
}

func (g *Group) finishRound(now Instant) {
	if len(g.round.granted) >= g.record.Majority() && g.mayGrant(now) {
		g.tenure = tenure{held: true, started: g.round.started, ceiling: g.round.ceiling}
	}
}
