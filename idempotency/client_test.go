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

// faultyWire loses messages and answers of one client on their way.
type faultyWire struct {
	*direct
	loseClaims, loseAnswers int // how many of the next claims are lost before, or after they took effect
	loseSettles             int
}

var errLost = errors.New("lost")

func (w *faultyWire) Claim(ctx context.Context, to Member, r ClaimRequest) (ClaimReply, error) {
	if w.loseClaims > 0 {
		w.loseClaims--
		return ClaimReply{}, errLost
	}
	reply, err := w.direct.Claim(ctx, to, r)
	if w.loseAnswers > 0 {
		w.loseAnswers--
		return ClaimReply{}, errLost
	}
	return reply, err
}

func (w *faultyWire) Settle(ctx context.Context, to Member, r SettleRequest) (SettleReply, error) {
	reply, err := w.direct.Settle(ctx, to, r)
	if w.loseSettles > 0 {
		w.loseSettles--
		return SettleReply{}, errLost
	}
	return reply, err
}

// Guards against a claim that is lost for good, granted to two calls or left held after it was given
// up, whichever message is lost.
func TestClientUnderLostMessages(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults faultyWire
		want   Verdict // of the first call; 0: none was heard
		resend Verdict // of a later call after the first was settled as not run
	}{
		{"none", faultyWire{}, Granted, Granted},
		{"claims", faultyWire{loseClaims: 3}, Granted, Granted},
		{"answers", faultyWire{loseAnswers: 3}, Granted, Granted},
		{"all answers", faultyWire{loseAnswers: 1000}, 0, Granted},
		{"all claims", faultyWire{loseClaims: 1000}, 0, Granted},
		{"answers of the settlement", faultyWire{loseSettles: 3}, Granted, Granted},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(3)
				defer f.stop()
				time.Sleep(15 * time.Second)
				wire := test.faults
				wire.direct = f.wire
				client := NewClient(nil, f.store, &wire)
				key, attempt := newKey(time.Now(), 1), NewAttempt()
				verdict, _ := client.Claim(context.Background(), "s", key, attempt, time.Now().Add(time.Minute))
				assert.Equal(t, verdict, test.want)
				wire.loseClaims, wire.loseAnswers = 0, 0
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

// Guards against an entry node that reads the store for each call while a service has no group, or
// that waits beyond its patience or its caller.
func TestClientWithoutGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := kvstore.NewMemory()
		client := NewClient(nil, held, &direct{down: &sync.Map{}})
		for range 20 {
			started := time.Now()
			verdict, _ := client.Claim(context.Background(), "s", newKey(time.Now(), 1), NewAttempt(), time.Now().Add(time.Minute))
			assert.Equal(t, verdict, NoTenure)
			assert.Assert(t, time.Since(started) <= claimPatience)
		}
		assert.Assert(t, held.Calls().Reads <= 17, held.Calls().Reads) // 30 s at one per loadPause
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
		counted, reads := f.wire.grants.Load(), f.store.Calls().Reads
		const span = 30 * time.Minute
		time.Sleep(span)
		grants := float64(f.wire.grants.Load()-counted) / span.Seconds()
		perGroup := float64(f.store.Calls().Reads-reads) / span.Seconds()
		t.Logf("grants/s in a group %.2f; store reads/s for 370 groups %.1f", grants, 370*perGroup)
		assert.Assert(t, grants <= 6.1)
		assert.Assert(t, 370*perGroup <= 20.5)
	})
}
