package idempotency

import (
	"maps"
	"slices"
	"time"

	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	// replyGracePeriod is how long the remaining members may still answer once a majority is sealed:
	// the end of a sealed owner's lease need not be waited for. Nodes asked to join a new group have
	// the same time.
	replyGracePeriod = 300 * time.Millisecond
	// sealRetryInterval is the interval at which unanswered seals are repeated.
	sealRetryInterval = time.Second
	// vacancyDelay and placementDelay are the time after a change of epoch before the group fills free
	// slots, or replaces a member for better placement, so that nodes that start together don't cause a
	// change each.
	vacancyDelay   = 2 * time.Second
	placementDelay = 10 * time.Second
	// joinReplyTTL is how long a node's agreement to join stays valid.
	joinReplyTTL = 5 * time.Second
)

type stage uint8

const (
	reading stage = iota
	sealing
	swapping
)

// epochChange is an attempt of this member to end the epoch: it reads the store, seals a majority and
// swaps the record.
type epochChange struct {
	stage           stage
	revision        int64
	era             store.EraStatus // in which the revision holds
	sealingSince    time.Duration   // monotonic time of the first seal
	nextSealRequest time.Duration
	swapAt          time.Duration // earliest monotonic time of the swap, never without a sealed majority
	seals           map[Identity]sealedMember
	replacedID      string // ID of a member to be replaced by a better placed one
}

// sealedMember is the reply of a sealed member, with its promises in this node's monotonic time.
type sealedMember struct {
	until    map[string]time.Duration
	ceilings map[string]int64
	highest  int64
}

const never = time.Duration(1<<63 - 1)

func (c *epochChange) nextTick() time.Duration {
	if c.stage != sealing {
		return never
	}
	return min(c.nextSealRequest, c.swapAt)
}

// rereadStore goes back to reading the store; seals stay valid within the epoch.
func (c *epochChange) rereadStore() {
	if c.stage == swapping {
		c.stage = reading
	}
}

// maybeStartChange begins a change of epoch when there is a reason for one. Members wait in the order
// of their slots, so that usually only one of them proposes.
func (g *Group) maybeStartChange(now Instant) {
	if g.change != nil || g.record == nil {
		return
	}
	replacedID, delay := g.changeReason(now)
	if delay == never {
		g.changeWantedSince = 0
		return
	}
	if g.changeWantedSince == 0 {
		g.changeWantedSince = now.Mono
	}
	if now.Mono-g.changeWantedSince < delay {
		return
	}
	g.changeWantedSince = 0
	g.change = &epochChange{seals: map[Identity]sealedMember{}, replacedID: replacedID, swapAt: never}
	g.nextRead = now.Mono
}

// changeReason returns how long to wait before a change of epoch, or never, and the member to replace.
func (g *Group) changeReason(now Instant) (replacedID string, delay time.Duration) {
	rankDelay := time.Duration(g.proposerRank()) * g.config.LeaseDuration
	sinceAdoption := now.Mono - g.adoptedAt.Mono
	switch {
	case g.stopping:
		return "", 0
	case g.sealed:
		return "", 2*g.config.LeaseDuration + rankDelay
	case slices.ContainsFunc(g.record.Members, func(m Member) bool { return gone(m, g.peers) }):
		return "", rankDelay
	case g.replaceable(now):
		return "", rankDelay
	case sinceAdoption >= vacancyDelay && len(acceptGrowth(g.record.Members, g.fillMembers(now, g.record.Members, nil))) > len(g.record.Members):
		return "", rankDelay
	}
	if m, ok := colocatedMember(g.record, g.candidates(now)); ok && sinceAdoption >= placementDelay {
		return m.ID, rankDelay
	}
	return "", never
}

// replaceable reports whether a member is unresponsive and another node can take its place.
func (g *Group) replaceable(now Instant) bool {
	silent := slices.ContainsFunc(g.record.Members, func(m Member) bool { return g.unresponsive(now, m) })
	if !silent {
		return false
	}
	keep := slices.DeleteFunc(slices.Clone(g.record.Members), func(m Member) bool { return g.unresponsive(now, m) })
	avoid := map[string]bool{}
	for _, m := range g.record.Members {
		avoid[m.ID] = true
	}
	return len(g.fillMembers(now, keep, avoid)) > len(keep)
}

// unresponsive reports whether a member has not answered a grant request for three lease durations.
func (g *Group) unresponsive(now Instant, m Member) bool {
	last := max(g.adoptedAt.Mono, g.lastGrantReply[m.ID])
	return m.Identity != g.self && now.Mono-last > 3*g.config.LeaseDuration
}

// proposerRank counts the members in lower slots that are not gone.
func (g *Group) proposerRank() int {
	self, _ := g.member()
	count := 0
	for _, m := range g.record.Members {
		if m.Slot < self.Slot && !gone(m, g.peers) {
			count++
		}
	}
	return count
}

func (g *Group) fillMembers(now Instant, keep []Member, avoid map[string]bool) []Member {
	return fillMembers(g.service, g.record.Region, keep, g.candidates(now), avoid)
}

// candidates returns the nodes that recently agreed to join. A dead or stopping node must not become a
// member: in a group of two its loss closes the group for the store outage.
func (g *Group) candidates(now Instant) []Peer {
	var found []Peer
	for _, p := range g.peers {
		if at, ok := g.joinAcceptedAt[p.Identity]; ok && now.Mono-at <= joinReplyTTL {
			found = append(found, p)
		}
	}
	return found
}

// inviteCandidates asks the best ranked nodes whether they would join, when the group needs candidates.
func (g *Group) inviteCandidates(now Instant) []Output {
	if now.Mono < g.nextJoin || !g.needsCandidates(now) {
		return nil
	}
	g.nextJoin = now.Mono + g.config.LeaseDuration/3
	maps.DeleteFunc(g.joinAcceptedAt, func(_ Identity, at time.Duration) bool { return now.Mono-at > joinReplyTTL })
	var out []Output
	wanted := fillMembers(g.service, g.record.Region, nil, slices.DeleteFunc(slices.Clone(g.peers), func(p Peer) bool {
		_, member := g.record.Member(p.Identity)
		return member
	}), nil)
	for _, m := range wanted {
		out = append(out, SendJoinRequest{To: m, Request: JoinRequest{Service: g.service, To: m.Identity}})
	}
	return out
}

func (g *Group) needsCandidates(now Instant) bool {
	if g.change != nil || g.stopping || len(g.record.Members) < MaxMembers {
		return true
	}
	if _, ok := colocatedMember(g.record, g.peers); ok {
		return true
	}
	return slices.ContainsFunc(g.record.Members, func(m Member) bool { return gone(m, g.peers) || g.unresponsive(now, m) })
}

// Join reports whether this node would become a member.
func (g *Group) Join(r JoinRequest) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return r.To == g.self && !g.stopping
}

// resumeChange continues a change of epoch once the store has been read. Members are sealed only
// then, so that a store outage seals none of them.
func (g *Group) resumeChange(now Instant, in RecordRead) []Output {
	c := g.change
	if c == nil || c.stage != reading {
		return nil
	}
	c.stage, c.revision, c.era, c.nextSealRequest = sealing, in.Revision, in.Era, now.Mono
	if c.sealingSince == 0 {
		c.sealingSince = now.Mono
	}
	g.recordSeal(now, g.self, g.seal(now))
	return g.advanceChange(now)
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
	g.recordSeal(now, in.From, in.Reply)
	return g.advanceChange(now)
}

// recordSeal stores a member's seal and computes when the swap may be sent. Promises are lengthened
// by the largest drift between the member's clock and this node's.
func (g *Group) recordSeal(now Instant, from Identity, reply SealReply) {
	s := sealedMember{until: map[string]time.Duration{}, ceilings: map[string]int64{}, highest: reply.LatestIssued}
	for _, p := range reply.Promises {
		s.until[p.Owner] = now.Mono + withDrift(p.Remaining)
		s.ceilings[p.Owner] = p.Ceiling
	}
	c := g.change
	c.seals[from] = s
	c.swapAt = never
	if len(c.seals) < g.record.Majority() {
		return
	}
	c.swapAt = c.sealingSince + replyGracePeriod
	if len(c.seals) == len(g.record.Members) && len(g.candidates(now)) > 0 {
		c.swapAt = now.Mono // otherwise wait for replies to the join requests
	}
	if !g.mutation.noSealWait {
		c.swapAt = max(c.swapAt, g.promisesEnd())
	}
}

// promisesEnd returns the time from which no unsealed member can hold a lease.
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

// advanceChange repeats unanswered seal requests and sends the swap once it is due.
func (g *Group) advanceChange(now Instant) []Output {
	c := g.change
	if c == nil || c.stage != sealing {
		return nil
	}
	if now.Mono >= c.swapAt {
		c.stage = swapping
		next := g.record.next(g.nextMembers(now), g.ceilings(), g.config.StoreOutage)
		return []Output{SwapRecord{Record: next, Revision: c.revision, Era: c.era}}
	}
	if now.Mono < c.nextSealRequest {
		return nil
	}
	c.nextSealRequest = now.Mono + sealRetryInterval
	var out []Output
	for _, m := range g.record.Members {
		if _, ok := c.seals[m.Identity]; !ok {
			out = append(out, SendSealRequest{To: m, Request: SealRequest{
				Service: g.service, Epoch: g.record.Epoch, From: g.self, To: m.Identity,
			}})
		}
	}
	return out
}

// ceilings returns by member ID an upper bound on the issue time of the keys that the member accepted.
// A sealed member reports its own; any other one needed grants from a majority, of which at least one
// member is sealed.
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

// nextMembers keeps the members that are present and responsive, and fills the free slots.
func (g *Group) nextMembers(now Instant) []Member {
	var keep []Member
	avoid := map[string]bool{g.change.replacedID: true}
	if g.stopping {
		avoid[g.self.ID] = true
	}
	for _, m := range g.record.Members {
		_, sealed := g.change.seals[m.Identity]
		switch {
		case avoid[m.ID] || gone(m, g.peers):
		case sealed || !g.unresponsive(now, m):
			keep = append(keep, m)
		default:
			avoid[m.ID] = true
		}
	}
	return g.fillMembers(now, keep, avoid)
}
