package contract_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
)

// manyTenants returns contracts with the number of tenants, each with two keys, and the keys.
func manyTenants(tb testing.TB, tenants int) (*contract.Contracts, []string) {
	tb.Helper()
	byName := make(map[string]contract.Tenant, tenants)
	var keys []string
	for i := range tenants {
		name := fmt.Sprintf("tenant-%d", i)
		own := []string{fmt.Sprintf("first-key-of-tenant-with-the-usual-length-%08d", i), fmt.Sprintf("second-key-of-tenant-with-the-usual-length-%08d", i)}
		byName[name] = tenant(name, own...)
		keys = append(keys, own...)
	}
	c, err := contract.New(contract.Contracts{Tenants: byName})
	assert.NilError(tb, err)
	return c, keys
}

// Guards against a look-up of a key that allocates, and so slows down with the number of requests a second.
func TestKeyLookupAllocatesNothing(t *testing.T) {
	c, keys := manyTenants(t, 100)
	keys = append(keys, "unknown", "")
	i, found := 0, 0
	allocations := testing.AllocsPerRun(10*len(keys), func() {
		if _, ok := c.TenantOf(caller.CredentialOf(keys[i%len(keys)])); ok {
			found++
		}
		i++
	})
	assert.Equal(t, allocations, 0.0)
	assert.Assert(t, found > 0)
}

func BenchmarkKeyLookup(b *testing.B) {
	for _, tenants := range []int{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			c, keys := manyTenants(b, tenants)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if _, ok := c.TenantOf(caller.CredentialOf(keys[i])); !ok {
					b.Fatal("a key is not found")
				}
				i = (i + 7919) % len(keys) // a prime, so that successive keys lie apart
			}
		})
	}
}
