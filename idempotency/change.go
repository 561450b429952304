package idempotency

import (
	"maps"
	"slices"
	"time"
)

const (
	// sealGrace is the time given to all members to answer a seal once a majority has: a sealed
	// owner needs no wait for its tenure to end.
	sealGrace = 300 * time.Millisecond
	// askAgain is the interval at which unanswered seals are repeated.
	askAgain = time.Second
	// vacancyDelay and placementDelay keep a group that just changed as it is for a while, so that
	// nodes that start together don't cause a change each.
	vacancyDelay   = 2 * time.Second
	placementDelay = 10 * time.Second
	// willingFor is the time for which the answer of a node that would join counts.
	willingFor = 5 * time.Second
)

type stage uint8

const (
	reading stage = iota
	sealing
	swapping
)

// change is an attempt of this member to end the epoch.
type change struct {
	stage    stage
	revision int64
	began    time.Duration // monotonic time of the first seal
	nextAsk  time.Duration
	ready    time.Duration // when the swap may go out, far away without a majority
	seals    map[Identity]sealedMember
	leaving  string // ID of a member that makes room for a better placed one
}

// sealedMember is the answer of a sealed member, with its promises in this node's monotonic time.
type sealedMember struct {
	until    map[string]time.Duration
	ceilings map[string]int64
	highest  int64
}

const never = time.Duration(1<<63 - 1)

func (c *change) wake() time.Duration {
	if c.stage != sealing {
		return never
	}
	return min(c.nextAsk, c.ready)
}

// retry goes back to reading the store; seals stay valid within the epoch.
func (c *change) retry() {
	if c.stage == swapping {
		c.stage = reading
	}
}

// consider begins a change of epoch when there is a reason for one. Members wait in turn by slot,
// so that one proposer usually goes alone.
func (g *Group) consider(now Instant) {
	if g.change != nil || g.record == nil {
		return
	}
	leaving, after := g.reason(now)
	if after == never {
		g.wanted = 0
		return
	}
	if g.wanted == 0 {
		g.wanted = now.Mono
	}
	if now.Mono-g.wanted < after {
		return
	}
	g.wanted = 0
	g.change = &change{seals: map[Identity]sealedMember{}, leaving: leaving, ready: never}
	g.nextRead = now.Mono
}

// reason returns how long to wait before a change of epoch, or never, and the member to replace.
func (g *Group) reason(now Instant) (leaving string, after time.Duration) {
	turn := time.Duration(g.turn()) * g.config.Tenure
	settled := now.Mono - g.adopted.Mono
	switch {
	case g.stopping:
		return "", 0
	case g.sealed:
		return "", 2*g.config.Tenure + turn
	case slices.ContainsFunc(g.record.Members, func(m Member) bool { return gone(m, g.peers) }):
		return "", turn
	case g.replaceable(now):
		return "", turn
	case settled >= vacancyDelay && len(worthwhile(g.record.Members, g.fill(now, g.record.Members, nil))) > len(g.record.Members):
		return "", turn
	}
	if m, ok := misplaced(g.record, g.candidates(now)); ok && settled >= placementDelay {
		return m.ID, turn
	}
	return "", never
}

// replaceable reports whether a member has not answered for long and another node can take its
// place.
func (g *Group) replaceable(now Instant) bool {
	silent := slices.ContainsFunc(g.record.Members, func(m Member) bool { return g.silent(now, m) })
	if !silent {
		return false
	}
	keep := slices.DeleteFunc(slices.Clone(g.record.Members), func(m Member) bool { return g.silent(now, m) })
	avoid := map[string]bool{}
	for _, m := range g.record.Members {
		avoid[m.ID] = true
	}
	return len(g.fill(now, keep, avoid)) > len(keep)
}

// silent reports whether a member has not answered a grant for three tenures.
func (g *Group) silent(now Instant, m Member) bool {
	last := max(g.adopted.Mono, g.heard[m.ID])
	return m.Identity != g.self && now.Mono-last > 3*g.config.Tenure
}

// turn counts the members of lower slots that are not gone.
func (g *Group) turn() int {
	self, _ := g.member()
	turn := 0
	for _, m := range g.record.Members {
		if m.Slot < self.Slot && !gone(m, g.peers) {
			turn++
		}
	}
	return turn
}

func (g *Group) fill(now Instant, keep []Member, avoid map[string]bool) []Member {
	return fill(g.service, g.record.Region, keep, g.candidates(now), avoid)
}

// candidates returns the nodes that lately said they would join. A dead or stopping node must not
// become a member: in a group of two its loss closes the group for the store outage.
func (g *Group) candidates(now Instant) []Peer {
	var found []Peer
	for _, p := range g.peers {
		if at, ok := g.willing[p.Identity]; ok && now.Mono-at <= willingFor {
			found = append(found, p)
		}
	}
	return found
}

// invite asks the best ranked nodes whether they would join, when the group has use for one.
func (g *Group) invite(now Instant) []Output {
	if now.Mono < g.nextJoin || !g.needsCandidates(now) {
		return nil
	}
	g.nextJoin = now.Mono + g.config.Tenure/3
	maps.DeleteFunc(g.willing, func(_ Identity, at time.Duration) bool { return now.Mono-at > willingFor })
	var out []Output
	wanted := fill(g.service, g.record.Region, nil, slices.DeleteFunc(slices.Clone(g.peers), func(p Peer) bool {
		_, member := g.record.Member(p.Identity)
		return member
	}), nil)
	for _, m := range wanted {
		out = append(out, AskJoin{To: m, Request: JoinRequest{Service: g.service, To: m.Identity}})
	}
	return out
}

func (g *Group) needsCandidates(now Instant) bool {
	if g.change != nil || g.stopping || len(g.record.Members) < MaxMembers {
		return true
	}
	if _, ok := misplaced(g.record, g.peers); ok {
		return true
	}
	return slices.ContainsFunc(g.record.Members, func(m Member) bool { return gone(m, g.peers) || g.silent(now, m) })
}

// Join reports whether this node would become a member.
func (g *Group) Join(r JoinRequest) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return r.To == g.self && !g.stopping
}

// changeRead goes on with a change once the store has been read: only then are members sealed, so
// that an outage of the store seals no one.
func (g *Group) changeRead(now Instant, in RecordRead) []Output {
	c := g.change
	if c == nil || c.stage != reading {
		return nil
	}
	c.stage, c.revision, c.nextAsk = sealing, in.Revision, now.Mono
	if c.began == 0 {
		c.began = now.Mono
	}
	g.noteSeal(now, g.self, g.seal(now))
	return g.advance(now)
}

func (g *Group) sealAnswered(now Instant, in SealAnswered) []Output {
	if in.Reply.Group != nil {
		return g.adopt(now, in.Reply.Group)
	}
	if g.change == nil || !in.Reply.Sealed || in.Epoch != g.record.Epoch {
		return nil
	}
	if _, ok := g.record.Member(in.From); !ok {
		return nil
	}
	g.noteSeal(now, in.From, in.Reply)
	return g.advance(now)
}

// noteSeal keeps a seal and works out when the swap may go out: the promises are stretched by the
// drift between the clock of the member and this one.
func (g *Group) noteSeal(now Instant, from Identity, reply SealReply) {
	s := sealedMember{until: map[string]time.Duration{}, ceilings: map[string]int64{}, highest: reply.Highest}
	for _, p := range reply.Promises {
		s.until[p.Owner] = now.Mono + withDrift(p.Remaining)
		s.ceilings[p.Owner] = p.Ceiling
	}
	c := g.change
	c.seals[from] = s
	c.ready = never
	if len(c.seals) < g.record.Majority() {
		return
	}
	c.ready = c.began + sealGrace
	if len(c.seals) == len(g.record.Members) && len(g.candidates(now)) > 0 {
		c.ready = now.Mono // else give invited nodes the time to answer
	}
	if !g.broken.noSealWait {
		c.ready = max(c.ready, g.promisesEnd())
	}
}

// promisesEnd returns the time at which no member that is not sealed can hold tenure any more.
func (g *Group) promisesEnd() time.Duration {
	end := time.Duration(0)
	for _, m := range g.record.Members {
		if _, ok := g.change.seals[m.Identity]; ok {
			continue
		}
		for _, s := range g.change.seals {
			end = max(end, s.until[m.ID])
		}
	}
	return end
}

// advance repeats unanswered seals and sends the swap when it may go out.
func (g *Group) advance(now Instant) []Output {
	c := g.change
	if c == nil || c.stage != sealing {
		return nil
	}
	if now.Mono >= c.ready {
		c.stage = swapping
		next := g.record.next(g.nextMembers(now), g.ceilings(), g.config.StoreOutage)
		return []Output{SwapRecord{Record: next, Revision: c.revision}}
	}
	if now.Mono < c.nextAsk {
		return nil
	}
	c.nextAsk = now.Mono + askAgain
	var out []Output
	for _, m := range g.record.Members {
		if _, ok := c.seals[m.Identity]; !ok {
			out = append(out, AskSeal{To: m, Request: SealRequest{
				Service: g.service, Epoch: g.record.Epoch, From: g.self, To: m.Identity,
			}})
		}
	}
	return out
}

// ceilings bounds the keys that each member accepted: a sealed member knows it itself, and any
// other one needed grants of a majority, one of which is sealed.
func (g *Group) ceilings() map[string]int64 {
	found := map[string]int64{}
	for _, m := range g.record.Members {
		if s, ok := g.change.seals[m.Identity]; ok {
			found[m.ID] = s.highest
			continue
		}
		for _, s := range g.change.seals {
			found[m.ID] = max(found[m.ID], s.ceilings[m.ID])
		}
	}
	return found
}

// nextMembers keeps the members that are there and fills the group up.
func (g *Group) nextMembers(now Instant) []Member {
	var keep []Member
	avoid := map[string]bool{g.change.leaving: true}
	if g.stopping {
		avoid[g.self.ID] = true
	}
	for _, m := range g.record.Members {
		_, sealed := g.change.seals[m.Identity]
		switch {
		case avoid[m.ID] || gone(m, g.peers):
		case sealed || !g.silent(now, m):
			keep = append(keep, m)
		default:
			avoid[m.ID] = true
		}
	}
	return g.fill(now, keep, avoid)
}
