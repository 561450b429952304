package contract_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
)

func tenant(name string, keys ...string) contract.Tenant {
	t := contract.Tenant{Name: name}
	for _, key := range keys {
		t.Credentials = append(t.Credentials, caller.CredentialOf(key))
	}
	return t
}

// Guards against a request that is attributed to another tenant than the holder of its key, or to one whose key was withdrawn.
func TestTenantOfKey(t *testing.T) {
	c, err := contract.New(contract.Contracts{Tenants: map[string]contract.Tenant{"a": tenant("a", "k1", "k2"), "b": tenant("b", "k3"), "c": tenant("c")}})
	assert.NilError(t, err)
	assert.Assert(t, c.Keyed())
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b", "K1": "", "": "", "k4": ""} {
		got, ok := c.TenantOf(caller.CredentialOf(key))
		assert.Equal(t, ok, want != "", key)
		if ok {
			assert.Equal(t, got.Name, want, key)
		}
	}
	without, err := contract.New(contract.Contracts{})
	assert.NilError(t, err)
	assert.Assert(t, !without.Keyed())
}

// Guards against contracts in which one key belongs to two tenants, or a quota is no number, of which the rest is adopted.
func TestInvalidTenantsAreRefused(t *testing.T) {
	for name, tenants := range map[string]map[string]contract.Tenant{
		"shared key":        {"a": tenant("a", "k1"), "b": tenant("b", "k2", "k1")},
		"negative rate":     {"a": {Name: "a", Quota: contract.Quota{PerSecond: -1}}},
		"rate not a number": {"a": {Name: "a", Quota: contract.Quota{PerSecond: math.NaN()}}},
		"endless burst":     {"a": {Name: "a", Quota: contract.Quota{PerSecond: 1, Burst: math.Inf(1)}}},
	} {
		_, err := contract.New(contract.Contracts{Version: 4, Tenants: tenants})
		assert.ErrorContains(t, err, "version 4", name)
	}
}
