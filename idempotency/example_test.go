package idempotency_test

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawharf/magnoliawharf/idempotency"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/transport"
	"github.com/magnoliawharf/magnoliawharf/transport/peerrpc"
)

// Runs a request at most once in one process. Several processes share keys by Keeper and Client.
func ExampleTable() {
	clock := idempotency.NewClock()
	table := idempotency.NewTable(idempotency.Bounds{
		Keys: 10_000, AnswerBytes: 16 << 20, Lifetime: 10 * time.Minute, Margin: idempotency.DefaultMargin,
	})
	key, err := idempotency.ParseKey(uuid.Must(uuid.NewV7()).String())
	if err != nil {
		fmt.Println(err) // idempotency.ErrInvalidKey
		return
	}
	first, second := idempotency.NewAttempt(), idempotency.NewAttempt()
	verdict, _ := table.Claim(clock.Now(), key, first, time.Second, true)
	fmt.Println(verdict == idempotency.Granted)
	verdict, _ = table.Claim(clock.Now(), key, second, time.Second, true)
	fmt.Println(verdict == idempotency.InProgress)

	// Run the request here, then settle the key.
	answer := &idempotency.Answer{Status: 201, Body: []byte("reserved")}
	table.Settle(clock.Now(), key, first, idempotency.OutcomeDone, answer)
	verdict, stored := table.Claim(clock.Now(), key, second, time.Second, true)
	fmt.Println(verdict == idempotency.Done, stored.Status, string(stored.Body))
	// Output:
	// true
	// true
	// true 201 reserved
}

// Shares keys among processes. Here the keeper group has one member, so that no message is sent.
func ExampleKeeper() {
	ctx := context.Background()
	held := store.NewClient(kvstore.NewMemory(), 0, 0) // kvhttp.NewClient in production
	control := transport.NewControlClient()
	defer control.Close()
	peers := peerrpc.NewIdempotencyClient(control)
	self := idempotency.Identity{ID: "kgl-a-1", Incarnation: uint64(time.Now().UnixNano())}
	keeper := idempotency.NewKeeper(self, held, peers)
	client := idempotency.NewClient(keeper, held, peers)
	// Call Update again whenever membership changes.
	keeper.Update("ledger", idempotency.ServiceConfig{
		Config: idempotency.DefaultConfig(),
		Bounds: idempotency.Bounds{Keys: 10_000, AnswerBytes: 16 << 20, Lifetime: 10 * time.Minute, Margin: idempotency.DefaultMargin},
	}, []idempotency.Peer{{Identity: self, Addr: "127.0.0.1:8081", DataCentre: "kgl-a", Region: "kigali", Serves: true}})

	key, _ := idempotency.ParseKey(uuid.Must(uuid.NewV7()).String())
	attempt, deadline := idempotency.NewAttempt(), time.Now().Add(time.Minute)
	verdict, _ := client.Claim(ctx, "ledger", key, attempt, deadline)
	for time.Now().Before(deadline) && (verdict == idempotency.NoLease || verdict == 0) {
		// The group is being founded, which takes seconds. Each claim waits for a while by itself.
		verdict, _ = client.Claim(ctx, "ledger", key, attempt, deadline)
	}
	fmt.Println(verdict == idempotency.Granted)
	// Run the request here, then settle the key.
	client.Settle("ledger", key, attempt, idempotency.OutcomeDone, &idempotency.Answer{Status: 201})
	client.Drain(ctx)
	keeper.Stop(ctx) // hands the keys over
	// Output: true
}
