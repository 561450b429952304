package idempotency

import "context"

// The methods in this file answer messages of other nodes. They never wait.

// Claim answers an entry node.
func (k *Keeper) Claim(r ClaimRequest) ClaimReply {
	s, ok := k.services.Get(r.Service)
	if !ok {
		return ClaimReply{Verdict: NotOwner}
	}
	reply := s.group.Claim(k.clock.Now(), r)
	if reply.Verdict.mayBeOutdated() {
		s.resetTimer()
	}
	return reply
}

// Settle answers an entry node.
func (k *Keeper) Settle(r SettleRequest) SettleReply {
	s, ok := k.services.Get(r.Service)
	if !ok {
		return SettleReply{}
	}
	reply := s.group.Settle(k.clock.Now(), r)
	if !reply.Accepted {
		s.resetTimer()
	}
	return reply
}

// Grant answers a member.
func (k *Keeper) Grant(r GrantRequest) GrantReply {
	s, ok := k.services.Get(r.Service)
	if !ok {
		return GrantReply{}
	}
	defer s.resetTimer()
	return s.group.Grant(k.clock.Now(), r)
}

// Seal answers a member.
func (k *Keeper) Seal(r SealRequest) SealReply {
	s, ok := k.services.Get(r.Service)
	if !ok {
		return SealReply{}
	}
	defer s.resetTimer()
	return s.group.Seal(k.clock.Now(), r)
}

// Join reports whether this node would become a member of the service's group.
func (k *Keeper) Join(r JoinRequest) bool {
	s, ok := k.services.Get(r.Service)
	return ok && s.group.Join(r)
}

// AcceptHandOver merges one chunk of a hand-over.
func (k *Keeper) AcceptHandOver(c HandOverChunk) bool {
	s, ok := k.services.Get(c.Service)
	if !ok {
		return false
	}
	defer s.resetTimer()
	return s.group.AcceptHandOver(k.clock.Now(), c)
}

// GroupInfo adopts the record of the request, if any, and returns the newest record known here, or nil.
func (k *Keeper) GroupInfo(r GroupInfoRequest) *Record {
	s, ok := k.services.Get(r.Service)
	if !ok {
		return nil
	}
	if r.Record != nil {
		k.process(s, s.group.Handle, RecordReceived{Record: r.Record})
		k.shareRecord(s, RecordReceived{Record: r.Record})
		s.resetTimer()
	}
	if record := s.group.Record(); record != nil {
		return record
	}
	return s.nonMember.Record()
}

// Stop leaves all groups as planned and hands their keys over, until ctx ends. Afterwards the keeper is
// stopped.
func (k *Keeper) Stop(ctx context.Context) {
	var running []*serviceKeeper
	k.services.Range(func(_ string, s *serviceKeeper) bool {
		running = append(running, s)
		return true
	})
	for _, s := range running {
		k.leaveGroup(ctx, s)
	}
	k.cancel()
	k.mu.Lock()
	k.stopped = true
	k.mu.Unlock()
	k.work.Wait()
}

func (k *Keeper) leaveGroup(ctx context.Context, s *serviceKeeper) {
	left := make(chan struct{})
	s.mu.Lock()
	s.leftGroup = left
	s.mu.Unlock()
	k.deliver(s, StopRequested{})
	select {
	case <-left:
	case <-ctx.Done():
	}
}
