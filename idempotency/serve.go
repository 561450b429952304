package idempotency

import "context"

// The methods in this file answer messages of other nodes. They never wait.

// Claim answers an entry node.
func (k *Keeper) Claim(r ClaimRequest) ClaimReply {
	p, ok := k.groups.Get(r.Service)
	if !ok {
		return ClaimReply{Verdict: NotOwner}
	}
	return p.group.Claim(k.clock.Now(), r)
}

// Settle answers an entry node.
func (k *Keeper) Settle(r SettleRequest) SettleReply {
	p, ok := k.groups.Get(r.Service)
	if !ok {
		return SettleReply{}
	}
	return p.group.Settle(k.clock.Now(), r)
}

// Grant answers a member.
func (k *Keeper) Grant(r GrantRequest) GrantReply {
	p, ok := k.groups.Get(r.Service)
	if !ok {
		return GrantReply{}
	}
	defer p.poke()
	return p.group.Grant(k.clock.Now(), r)
}

// Seal answers a member.
func (k *Keeper) Seal(r SealRequest) SealReply {
	p, ok := k.groups.Get(r.Service)
	if !ok {
		return SealReply{}
	}
	defer p.poke()
	return p.group.Seal(k.clock.Now(), r)
}

// Join reports whether this node would become a member of the service's group.
func (k *Keeper) Join(r JoinRequest) bool {
	p, ok := k.groups.Get(r.Service)
	return ok && p.group.Join(r)
}

// TakeOver merges one chunk of a hand-over.
func (k *Keeper) TakeOver(c Chunk) bool {
	p, ok := k.groups.Get(c.Service)
	if !ok {
		return false
	}
	defer p.poke()
	return p.group.TakeOver(k.clock.Now(), c)
}

// GroupInfo returns the newest record known here, or nil, after it took the one it is told.
func (k *Keeper) GroupInfo(r InfoRequest) *Record {
	p, ok := k.groups.Get(r.Service)
	if !ok {
		return nil
	}
	if r.Tell != nil {
		k.handle(p, p.group.Handle, RecordReceived{Record: r.Tell})
		p.poke()
	}
	if record := p.group.Record(); record != nil {
		return record
	}
	return p.outsider.Record()
}

// Stop leaves all groups as planned and hands their keys over, until ctx ends. Afterwards the
// keeper does nothing more.
func (k *Keeper) Stop(ctx context.Context) {
	var parts []*part
	k.groups.Range(func(_ string, p *part) bool {
		parts = append(parts, p)
		return true
	})
	for _, p := range parts {
		k.leave(ctx, p)
	}
	k.cancel()
	k.mu.Lock()
	k.stopped = true
	k.mu.Unlock()
	k.work.Wait()
}

func (k *Keeper) leave(ctx context.Context, p *part) {
	left := make(chan struct{})
	p.mu.Lock()
	p.leaving = left
	p.mu.Unlock()
	k.feed(p, StopAsked{})
	select {
	case <-left:
	case <-ctx.Done():
	}
}
