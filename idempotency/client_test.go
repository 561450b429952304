package idempotency

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
)

// lossyPeers loses requests and replies of one client.
type lossyPeers struct {
	*inProcessPeers
	loseClaims, loseReplies int // number of the next claims that are lost before, or after they took effect
	loseSettles             int
	delaySettles            time.Duration // before each settlement is sent
}

var errLost = errors.New("lost")

func (p *lossyPeers) Claim(ctx context.Context, to Member, r ClaimRequest) (ClaimReply, error) {
	if p.loseClaims > 0 {
		p.loseClaims--
		return ClaimReply{}, errLost
	}
	reply, err := p.inProcessPeers.Claim(ctx, to, r)
	if p.loseReplies > 0 {
		p.loseReplies--
		return ClaimReply{}, errLost
	}
	return reply, err
}

func (p *lossyPeers) Settle(ctx context.Context, to Member, r SettleRequest) (SettleReply, error) {
	time.Sleep(p.delaySettles)
	reply, err := p.inProcessPeers.Settle(ctx, to, r)
	if p.loseSettles > 0 {
		p.loseSettles--
		return SettleReply{}, errLost
	}
	return reply, err
}

// Guards against a claim that is never repeated, granted to two calls or left held after its call gave
// up, whichever message is lost.
func TestClientUnderLostMessages(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults lossyPeers
		want   Verdict // of the first call; 0: no reply was received
		resend Verdict // of a later call after the first was settled as not run
	}{
		{"none", lossyPeers{}, Granted, Granted},
		{"claims", lossyPeers{loseClaims: 3}, Granted, Granted},
		{"replies", lossyPeers{loseReplies: 3}, Granted, Granted},
		{"all replies", lossyPeers{loseReplies: 1000}, 0, Granted},
		{"all claims", lossyPeers{loseClaims: 1000}, 0, Granted},
		{"replies to the settlement", lossyPeers{loseSettles: 3}, Granted, Granted},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(3)
				defer f.stop()
				time.Sleep(15 * time.Second)
				peers := test.faults
				peers.inProcessPeers = f.network
				client := NewClient(nil, f.store, &peers)
				key, attempt := newKey(time.Now(), 1), NewAttempt()
				verdict, _ := client.Claim(context.Background(), "s", key, attempt, time.Now().Add(time.Minute))
				assert.Equal(t, verdict, test.want)
				peers.loseClaims, peers.loseReplies = 0, 0
				other, _ := client.Claim(context.Background(), "s", key, NewAttempt(), time.Now().Add(time.Minute))
				assert.Assert(t, other != Granted || test.want == 0)
				if other == Granted {
					return // no claim of the first call arrived
				}
				assert.Assert(t, client.Settle("s", key, attempt, OutcomeNotRun, nil))
				time.Sleep(5 * time.Second)
				verdict, _ = client.Claim(context.Background(), "s", key, NewAttempt(), time.Now().Add(time.Minute))
				assert.Equal(t, verdict, test.resend)
			})
		})
	}
}

// Guards against a resend that is refused as in progress although its first call was answered: the settlement is sent in the
// background and may reach the owner of the key after the claim of the resend.
func TestResendThatOvertakesTheSettlement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(3)
		defer f.stop()
		time.Sleep(15 * time.Second)
		slow := &lossyPeers{inProcessPeers: f.network, delaySettles: 150 * time.Millisecond}
		first, resend := NewClient(nil, f.store, slow), NewClient(nil, f.store, f.network)
		key, attempt, deadline := newKey(time.Now(), 1), NewAttempt(), time.Now().Add(time.Minute)
		verdict, _ := first.Claim(context.Background(), "s", key, attempt, deadline)
		assert.Equal(t, verdict, Granted)
		assert.Assert(t, first.Settle("s", key, attempt, OutcomeDone, &Answer{Status: 200, Body: []byte("stored")}))
		verdict, stored := resend.Claim(context.Background(), "s", key, NewAttempt(), deadline)
		first.Drain(context.Background())
		assert.Equal(t, verdict, Done)
		assert.Equal(t, string(stored.Body), "stored")
	})
}

// Guards against a resend that waits for the end of a long call instead of being told that the call is in progress.
func TestResendDuringACallIsRefusedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(3)
		defer f.stop()
		time.Sleep(15 * time.Second)
		client := NewClient(nil, f.store, f.network)
		key, deadline := newKey(time.Now(), 1), time.Now().Add(time.Minute)
		verdict, _ := client.Claim(context.Background(), "s", key, NewAttempt(), deadline)
		assert.Equal(t, verdict, Granted)
		started := time.Now()
		verdict, _ = client.Claim(context.Background(), "s", key, NewAttempt(), deadline)
		assert.Equal(t, verdict, InProgress)
		assert.Assert(t, time.Since(started) <= 500*time.Millisecond, "%v", time.Since(started))
	})
}

// Guards against an entry node that reads the store for each call while a service has no group, or
// that waits beyond claimTotalTimeout or its caller.
func TestClientWithoutGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := kvstore.NewMemory()
		client := NewClient(nil, kv, &inProcessPeers{down: &sync.Map{}})
		for range 20 {
			started := time.Now()
			verdict, _ := client.Claim(context.Background(), "s", newKey(time.Now(), 1), NewAttempt(), time.Now().Add(time.Minute))
			assert.Equal(t, verdict, NoLease)
			assert.Assert(t, time.Since(started) <= claimTotalTimeout)
		}
		assert.Assert(t, kv.Calls().Reads <= 17, kv.Calls().Reads) // 30 s at one per minLoadInterval
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		started := time.Now()
		client.Claim(ctx, "s", newKey(time.Now(), 1), NewAttempt(), time.Now().Add(time.Minute))
		assert.Equal(t, time.Since(started), time.Duration(0))
	})
}

// Guards against control traffic or store reads beyond the budget: 6 KB/s a node, and about 18 reads
// a second for 370 groups.
func TestKeeperTrafficIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(9)
		defer f.stop()
		time.Sleep(time.Minute)
		counted, reads := f.network.grants.Load(), f.store.Calls().Reads
		const span = 30 * time.Minute
		time.Sleep(span)
		grants := float64(f.network.grants.Load()-counted) / span.Seconds()
		perGroup := float64(f.store.Calls().Reads-reads) / span.Seconds()
		t.Logf("grants/s in a group %.2f; store reads/s for 370 groups %.1f", grants, 370*perGroup)
		assert.Assert(t, grants <= 6.1)
		assert.Assert(t, 370*perGroup <= 20.5)
	})
}
