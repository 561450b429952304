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
	// claimPause is the first wait before a claim is repeated; it doubles up to claimPauseMax.
	claimPause    = 20 * time.Millisecond
	claimPauseMax = 320 * time.Millisecond
	// claimTimeout bounds one claim message. A tenure lasts 3 s, so a member that does not answer
	// within a tenth of it is better asked again.
	claimTimeout = 300 * time.Millisecond
	// claimPatience bounds the time spent on claiming one key.
	claimPatience = 1500 * time.Millisecond
	// loadPause is the shortest time between two reads of one service's record by an entry node.
	loadPause = 2 * time.Second
	// doubtPause is the shortest time between two rounds of questions to a group's other members.
	doubtPause = 200 * time.Millisecond
	// settleTime bounds the time spent on one settlement. A key whose settlement is lost stays closed.
	settleTime    = 10 * time.Second
	settlePause   = 100 * time.Millisecond
	settleTimeout = time.Second
	// maxSettling bounds the settlements under way at one node.
	maxSettling = 4096
)

var errNoGroup = errors.New("the service has no keeper group")

// Client claims and settles keys for an entry node. It finds the key owner by a cached record of
// the group, which members correct. It is safe for concurrent use.
type Client struct {
	keeper   *Keeper
	store    store.Store
	peers    Peers
	groups   *shard.Map[string, cached]
	loads    singleflight.Group
	settling chan struct{}
}

type cached struct {
	record  *Record
	loaded  time.Time // last read of the store, whatever its result
	doubted time.Time // last time that the members were asked
}

// NewClient returns a client. keeper is the node's own, asked directly when it owns a key.
func NewClient(keeper *Keeper, s store.Store, peers Peers) *Client {
	return &Client{
		keeper: keeper, store: s, peers: peers, groups: shard.NewString[string, cached](clientShards),
		settling: make(chan struct{}, maxSettling),
	}
}

// Claim asks the owner of the key for the right to run it, until ctx or its patience ends. A
// verdict of 0 means that none was received: the claim may have been granted unheard, so the caller
// must not run the request and should settle the attempt as not run.
func (c *Client) Claim(ctx context.Context, service string, key Key, attempt Attempt, deadline time.Time) (Verdict, *Answer) {
	ctx, cancel := context.WithTimeout(ctx, claimPatience)
	defer cancel()
	pause, unheard := claimPause, false
	for {
		reply, err := c.claimOnce(ctx, service, key, attempt, deadline)
		switch {
		case err == nil && reply.Verdict < NotOwner:
			return reply.Verdict, reply.Answer
		case err == nil && reply.Verdict == NotOwner && c.learn(service, reply.Group):
			continue
		case err != nil && !errors.Is(err, errNoGroup):
			unheard = true
		}
		if !sleep(ctx, pause) {
			switch {
			case unheard:
				return 0, nil
			case err != nil:
				return NoTenure, nil
			}
			return reply.Verdict, nil
		}
		pause = min(2*pause, claimPauseMax)
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
	sendCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := c.peers.Claim(sendCtx, owner, request)
	if err != nil || reply.Verdict == NotOwner && reply.Group == nil {
		c.doubt(ctx, service, record, owner)
	}
	return reply, err
}

// Settle tells the owner of the key how the attempt ended, in the background. It reports false
// when too many settlements are under way; the key then stays closed.
func (c *Client) Settle(service string, key Key, attempt Attempt, outcome Outcome, answer *Answer) bool {
	select {
	case c.settling <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-c.settling }()
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		c.settle(ctx, SettleRequest{Service: service, Key: key, Attempt: attempt, Outcome: outcome, Answer: answer})
	}()
	return true
}

// Drain waits until no settlement is under way, or ctx ends. No settlement may begin meanwhile.
func (c *Client) Drain(ctx context.Context) {
	for range cap(c.settling) {
		select {
		case c.settling <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) settle(ctx context.Context, request SettleRequest) {
	pause := settlePause
	for {
		reply, err := c.settleOnce(ctx, request)
		if err == nil && reply.Accepted {
			return
		}
		if err == nil && c.learn(request.Service, reply.Group) {
			continue
		}
		if !sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, settleTimeout)
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
	sendCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	reply, err := c.peers.Settle(sendCtx, owner, request)
	if err != nil {
		c.doubt(ctx, request.Service, record, owner)
	}
	return reply, err
}

// group returns the cached record of the service, or reads it from the store.
func (c *Client) group(ctx context.Context, service string) (*Record, error) {
	held, _ := c.groups.Get(service)
	if held.record == nil || len(held.record.Members) == 0 {
		c.load(ctx, service)
		held, _ = c.groups.Get(service)
	}
	if held.record == nil || len(held.record.Members) == 0 {
		return nil, errNoGroup
	}
	return held.record, nil
}

// load reads the record from the store, at most once per loadPause and service. When the store
// fails, the node's own keeper may know it.
func (c *Client) load(ctx context.Context, service string) {
	_, _, _ = c.loads.Do(service, func() (any, error) {
		if c.keeper != nil {
			c.learn(service, c.keeper.GroupInfo(InfoRequest{Service: service}))
		}
		if held, _ := c.groups.Get(service); time.Since(held.loaded) < loadPause {
			return nil, nil
		}
		storeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), messageTimeout)
		defer cancel()
		entry, err := c.store.Get(storeCtx, StoreKey(service))
		c.groups.Update(service, func(held cached, _ bool) (cached, bool) {
			held.loaded = time.Now()
			return held, true
		})
		if err != nil {
			return nil, err
		}
		if record, err := DecodeRecord(entry.Value); err == nil {
			c.learn(service, record)
		}
		return nil, nil
	})
}

// learn keeps the record when it is of a higher epoch, and reports whether it did.
func (c *Client) learn(service string, record *Record) bool {
	if record == nil {
		return false
	}
	learned := false
	c.groups.Update(service, func(held cached, _ bool) (cached, bool) {
		if held.record == nil || record.Epoch > held.record.Epoch {
			held.record, learned = record, true
		}
		return held, true
	})
	return learned
}

// doubt asks the members other than the owner whether the group has changed, and reads the store
// when none of them answers.
func (c *Client) doubt(ctx context.Context, service string, record *Record, owner Member) {
	held, _ := c.groups.Get(service)
	if ctx.Err() != nil || time.Since(held.doubted) < doubtPause {
		return
	}
	_, _, _ = c.loads.Do("members of "+service, func() (any, error) {
		c.groups.Update(service, func(held cached, _ bool) (cached, bool) {
			held.doubted = time.Now()
			return held, true
		})
		if !c.askMembers(ctx, service, record, owner) {
			c.load(ctx, service)
		}
		return nil, nil
	})
}

func (c *Client) askMembers(ctx context.Context, service string, record *Record, owner Member) bool {
	answered := false
	for _, m := range record.Members {
		if m.Identity == owner.Identity || c.keeper != nil && m.Identity == c.keeper.Self() {
			continue
		}
		askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
		told, err := c.peers.GroupInfo(askCtx, m, InfoRequest{Service: service})
		cancel()
		if err == nil && told != nil {
			answered = true
			if c.learn(service, told) {
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
