package bundle_test

import (
	"context"
	"fmt"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
)

const exampleSource = `
[service.catalogue]
hosts = ["catalogue.example"]

[[service.catalogue.class]]
name = "lookup"
max_queue = 64
max_wait = "2s"

[[service.catalogue.route]]
name = "all"
path_prefix = "/"
class = "lookup"
rule = "idempotent"
timeout = "3s"
`

// Prepares, approves and rolls out a version, then reads it back from the store and resolves a request.
func Example() {
	if err := rollOutAndRead(context.Background(), store.NewClient(kvstore.NewMemory(), 0, 0)); err != nil {
		fmt.Println(err)
	}
	// Output: 1 lookup idempotent 3s
}

func rollOutAndRead(ctx context.Context, client *store.Client) error {
	key, err := bundle.GenerateKey(time.Time{})
	if err != nil {
		return err
	}
	trust := bundle.TrustedKeys{key.Public}
	contracts, err := bundle.Parse("bundle.toml", []byte(exampleSource))
	if err != nil {
		return err // bundle.LocationOf(err) returns file, line, table and key
	}
	prepared, err := bundle.Prepare(contracts, 1)
	if err != nil {
		return err
	}
	approved, err := bundle.Approve(prepared, key, time.Now())
	if err != nil {
		return err
	}
	publisher := bundle.Publisher{Store: client, TrustedKeys: trust}
	if _, _, err = publisher.RollOut(ctx, approved); err != nil {
		return err // bundle.ErrVersionTaken when another operator published the version first
	}

	reader := bundle.StoreReader{Store: client}
	release, _, err := reader.Head(ctx)
	if err != nil {
		return err
	}
	if _, err = bundle.Admit(nil, release, trust, time.Now()); err != nil {
		return err // not validly signed, or older than the current release
	}
	manifest, err := reader.Manifest(ctx, release)
	if err != nil {
		return err
	}
	parts, err := reader.Parts(ctx, bundle.MissingParts(nil, manifest, nil))
	if err != nil {
		return err
	}
	snapshot, err := bundle.Apply(nil, release, manifest, parts)
	if err != nil {
		return err
	}
	inForce := bundle.NewCurrent()
	inForce.Put(snapshot.Bundle)
	contract, path, _ := inForce.Load().Resolve("catalogue.example", "/tools/saw")
	route, _ := contract.Match("GET", path)
	fmt.Println(inForce.Load().Version, route.Class, route.Rule, route.Timeout)
	return nil
}
