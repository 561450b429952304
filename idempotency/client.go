package idempotency

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/magnoliawharf/magnoliawharf/shard"
	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	clientShards = 16
	// claimBackoff is the first wait before a claim is repeated; it doubles up to maxClaimBackoff.
	claimBackoff    = 20 * time.Millisecond
	maxClaimBackoff = 320 * time.Millisecond
	// claimMessageTimeout bounds one claim message. A lease lasts 3 s, so a claim without a reply
	// within a tenth of it is better sent again.
	claimMessageTimeout = 300 * time.Millisecond
	// claimTotalTimeout bounds the time spent on claiming one key.
	claimTotalTimeout = 1500 * time.Millisecond
	// settleDelay is how long the settlement of an answered call may take to reach the owner of its key.
	settleDelay = 250 * time.Millisecond
	// minLoadInterval is the shortest time between two reads of one service's record by an entry node.
	minLoadInterval = 2 * time.Second
	// minVerifyInterval is the shortest time between two rounds of queries to a group's other members.
	minVerifyInterval = 200 * time.Millisecond
	// settleTotalTimeout bounds the time spent on one settlement. A key whose settlement is lost
	// stays closed.
	settleTotalTimeout   = 10 * time.Second
	settleBackoff        = 100 * time.Millisecond
	settleMessageTimeout = time.Second
	// maxSettling bounds the settlements under way at one node.
	maxSettling = 4096
)

var errNoGroup = errors.New("the service has no keeper group")

// Client claims and settles keys for an entry node. It finds the key owner by a cached record of the
// group; members reply with a newer record when it is out of date. It is safe for concurrent use.
type Client struct {
	keeper      *Keeper
	store       store.Store
	peers       Peers
	groups      *shard.Map[string, cachedGroup]
	loads       singleflight.Group
	settleSlots chan struct{}
}

// cachedGroup is what a Client knows of the keeper group of one service.
type cachedGroup struct {
	record     *Record
	lastLoad   time.Time // last read of the store, whatever its result
	lastVerify time.Time // last query of the other members
}

// NewClient returns a client. keeper is the node's own, called directly when it owns a key; it may be
// nil.
func NewClient(keeper *Keeper, s store.Store, peers Peers) *Client {
	return &Client{
		keeper: keeper, store: s, peers: peers, groups: shard.NewString[string, cachedGroup](clientShards),
		settleSlots: make(chan struct{}, maxSettling),
	}
}

// Claim asks the owner of the key for the right to run it, until ctx ends or claimTotalTimeout has
// passed. While another attempt holds the key it asks again for settleDelay, since that attempt may have been answered and
// its settlement may be on the way. A verdict of 0 means that none was received: the claim may have been granted and the reply
// lost, so the caller must not run the request and should settle the attempt as not run.
func (c *Client) Claim(ctx context.Context, service string, key Key, attempt Attempt, deadline time.Time) (Verdict, *Answer) {
	ctx, cancel := context.WithTimeout(ctx, claimTotalTimeout)
	defer cancel()
	pause, replyLost := claimBackoff, false
	settledBy := time.Now().Add(settleDelay)
	for {
		reply, err := c.claimOnce(ctx, service, key, attempt, deadline)
		switch {
		case err == nil && reply.Verdict == InProgress && time.Now().Before(settledBy):
		case err == nil && reply.Verdict < NotOwner:
			return reply.Verdict, reply.Answer
		case err == nil && reply.Verdict == NotOwner && c.cacheIfNewer(service, reply.Group):
			continue
		case err != nil && !errors.Is(err, errNoGroup):
			replyLost = true
		}
		if !sleep(ctx, pause) {
			switch {
			case replyLost:
				return 0, nil
			case err != nil:
				return NoLease, nil
			}
			return reply.Verdict, nil
		}
		pause = min(2*pause, maxClaimBackoff)
	}
}

func (c *Client) claimOnce(ctx context.Context, service string, key Key, attempt Attempt, deadline time.Time) (ClaimReply, error) {
	record, err := c.group(ctx, service)
	if err != nil {
		return ClaimReply{}, err
	}
	owner := record.Owner(key)
	request := ClaimRequest{
		Service: service, Epoch: record.Epoch, To: owner.Identity, Key: key, Attempt: attempt,
		TimeLeft: min(max(0, time.Until(deadline)), MaxTimeLeft),
	}
	if c.keeper != nil && owner.Identity == c.keeper.Self() {
		return c.keeper.Claim(request), nil
	}
	sendCtx, cancel := context.WithTimeout(ctx, claimMessageTimeout)
	defer cancel()
	reply, err := c.peers.Claim(sendCtx, owner, request)
	if err != nil || reply.Verdict == NotOwner && reply.Group == nil {
		c.verifyGroup(ctx, service, record, owner)
	}
	return reply, err
}

// Settle tells the owner of the key how the attempt ended, in the background. It reports false
// when too many settlements are under way; the key then stays closed.
func (c *Client) Settle(service string, key Key, attempt Attempt, outcome Outcome, answer *Answer) bool {
	select {
	case c.settleSlots <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-c.settleSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), settleTotalTimeout)
		defer cancel()
		c.settle(ctx, SettleRequest{Service: service, Key: key, Attempt: attempt, Outcome: outcome, Answer: answer})
	}()
	return true
}

// Drain waits until no settlement is under way, or ctx ends. No settlement may begin meanwhile.
func (c *Client) Drain(ctx context.Context) {
	for range cap(c.settleSlots) {
		select {
		case c.settleSlots <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) settle(ctx context.Context, request SettleRequest) {
	pause := settleBackoff
	for {
		reply, err := c.settleOnce(ctx, request)
		if err == nil && reply.Accepted {
			return
		}
		if err == nil && c.cacheIfNewer(request.Service, reply.Group) {
			continue
		}
		if !sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, settleMessageTimeout)
	}
}

func (c *Client) settleOnce(ctx context.Context, request SettleRequest) (SettleReply, error) {
	record, err := c.group(ctx, request.Service)
	if err != nil {
		return SettleReply{}, err
	}
	owner := record.Owner(request.Key)
	request.Epoch, request.To = record.Epoch, owner.Identity
	if c.keeper != nil && owner.Identity == c.keeper.Self() {
		return c.keeper.Settle(request), nil
	}
	sendCtx, cancel := context.WithTimeout(ctx, settleMessageTimeout)
	defer cancel()
	reply, err := c.peers.Settle(sendCtx, owner, request)
	if err != nil {
		c.verifyGroup(ctx, request.Service, record, owner)
	}
	return reply, err
}

// group returns the cached record of the service, or reads it from the store.
func (c *Client) group(ctx context.Context, service string) (*Record, error) {
	cached, _ := c.groups.Get(service)
	if cached.record == nil || len(cached.record.Members) == 0 {
		c.load(ctx, service)
		cached, _ = c.groups.Get(service)
	}
	if cached.record == nil || len(cached.record.Members) == 0 {
		return nil, errNoGroup
	}
	return cached.record, nil
}

// load reads the record from the store, at most once per minLoadInterval and service. It asks the
// node's own keeper first, which may know the record when the store fails.
func (c *Client) load(ctx context.Context, service string) {
	_, _, _ = c.loads.Do(service, func() (any, error) {
		if c.keeper != nil {
			c.cacheIfNewer(service, c.keeper.GroupInfo(GroupInfoRequest{Service: service}))
		}
		if cached, _ := c.groups.Get(service); time.Since(cached.lastLoad) < minLoadInterval {
			return nil, nil
		}
		storeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), messageTimeout)
		defer cancel()
		entry, err := c.store.Get(storeCtx, StoreKey(service))
		c.groups.Update(service, func(cached cachedGroup, _ bool) (cachedGroup, bool) {
			cached.lastLoad = time.Now()
			return cached, true
		})
		if err != nil {
			return nil, err
		}
		if record, err := DecodeRecord(entry.Value); err == nil {
			c.cacheIfNewer(service, record)
		}
		return nil, nil
	})
}

// cacheIfNewer caches the record when it is of a higher epoch, and reports whether it did.
func (c *Client) cacheIfNewer(service string, record *Record) bool {
	if record == nil {
		return false
	}
	updated := false
	c.groups.Update(service, func(cached cachedGroup, _ bool) (cachedGroup, bool) {
		if cached.record == nil || record.Epoch > cached.record.Epoch {
			cached.record, updated = record, true
		}
		return cached, true
	})
	return updated
}

// verifyGroup asks the members other than the owner whether the group has changed, and reads the store
// when none of them answers.
func (c *Client) verifyGroup(ctx context.Context, service string, record *Record, owner Member) {
	cached, _ := c.groups.Get(service)
	if ctx.Err() != nil || time.Since(cached.lastVerify) < minVerifyInterval {
		return
	}
	_, _, _ = c.loads.Do("members of "+service, func() (any, error) {
		c.groups.Update(service, func(cached cachedGroup, _ bool) (cachedGroup, bool) {
			cached.lastVerify = time.Now()
			return cached, true
		})
		if !c.queryOtherMembers(ctx, service, record, owner) {
			c.load(ctx, service)
		}
		return nil, nil
	})
}

func (c *Client) queryOtherMembers(ctx context.Context, service string, record *Record, owner Member) bool {
	answered := false
	for _, m := range record.Members {
		if m.Identity == owner.Identity || c.keeper != nil && m.Identity == c.keeper.Self() {
			continue
		}
		askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimMessageTimeout)
		latest, err := c.peers.GroupInfo(askCtx, m, GroupInfoRequest{Service: service})
		cancel()
		if err == nil && latest != nil {
			answered = true
			if c.cacheIfNewer(service, latest) {
				break
			}
		}
	}
	return answered
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
