package idempotency_test

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawharf/magnoliawharf/idempotency"
)

// Runs a request at most once in one process. Several processes share keys by Keeper and Client.
func ExampleTable() {
	clock := idempotency.NewClock()
	table := idempotency.NewTable(idempotency.Bounds{
		Keys: 10_000, AnswerBytes: 16 << 20, Lifetime: 10 * time.Minute, Margin: idempotency.DefaultMargin,
	})
	key, err := idempotency.ParseKey(uuid.Must(uuid.NewV7()).String())
	if err != nil {
		fmt.Println(err) // idempotency.ErrKey
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
