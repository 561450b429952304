package store_test

import (
	"context"
	"fmt"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
)

// Of two writers that expect the same revision, one succeeds and the other gets ErrConflict.
func ExampleClient_Swap() {
	ctx := context.Background()
	client := store.NewClient(kvstore.NewMemory(), 0, 0) // kvhttp.NewClient in production
	revision, err := client.Swap(ctx, "/config/a", []byte("one"), 0, 0)
	fmt.Println(revision > 0, err)
	_, err = client.Swap(ctx, "/config/a", []byte("two"), revision, 0)
	fmt.Println(err)
	_, err = client.Swap(ctx, "/config/a", []byte("three"), revision, 0)
	fmt.Println(store.Is(err, store.ErrConflict))
	// Output:
	// true <nil>
	// <nil>
	// true
}
