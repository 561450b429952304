package shard_test

import (
	"fmt"

	"github.com/magnoliawharf/magnoliawharf/shard"
)

func ExampleMap() {
	calls := shard.NewString[string, int](16)
	for _, service := range []string{"ledger", "catalogue", "ledger"} {
		calls.Update(service, func(count int, _ bool) (int, bool) { return count + 1, true })
	}
	count, found := calls.Get("ledger")
	fmt.Println(count, found, calls.Len())
	// Output: 2 true 2
}
