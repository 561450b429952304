package contract_test

import (
	"math"
	"strings"
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

// Guards against a tenant of lower priority that overtakes another by the priority of its route, and against requests without a tenant
// whose priority changes.
func TestTenantPriorityGoesBeforeThatOfTheRoute(t *testing.T) {
	split := []contract.WeightedService{{Service: "s", Weight: 1}}
	routes := func() (out []contract.Route) {
		for i, priority := range []int{0, 3, 7} {
			out = append(out, contract.Route{Name: string(rune('a' + i)), Host: "h", PathPrefix: "/", MaxAttempts: 1, Priority: priority, Split: split})
		}
		return out
	}
	c, err := contract.New(contract.Contracts{Routes: routes(), Services: map[string]contract.Service{"s": {}}})
	assert.NilError(t, err)
	last := -1
	for _, tenantPriority := range []int{0, 1, 2, 70_000} {
		for i := range c.Routes {
			priority := c.Routes[i].Priority + c.PriorityOffset(&contract.Tenant{Priority: tenantPriority})
			assert.Assert(t, priority > last, "tenant priority %d on route %s: %d after %d", tenantPriority, c.Routes[i].Name, priority, last)
			assert.Assert(t, priority <= contract.MaxRequestPriority)
			if tenantPriority == 0 {
				assert.Equal(t, priority, c.Routes[i].Priority)
			}
			last = priority
		}
	}
	assert.Equal(t, c.Routes[0].Priority+c.PriorityOffset(&contract.Tenant{Priority: 1}), c.Routes[2].Priority+1, "one step of aging does not lead from one tenant priority to the next")
}

// Guards against a tenant whose name cannot reach its upstreams unchanged: its requests would be refused, or be those of another.
func TestTenantNamesThatCannotBeSentAreRefused(t *testing.T) {
	for _, name := range []string{"", " a", "a ", "a\r\nX-Origin: b", "a\x00", strings.Repeat("a", 257)} {
		_, err := contract.New(contract.Contracts{Tenants: map[string]contract.Tenant{name: tenant(name, "k1")}})
		assert.ErrorContains(t, err, "name", "%q", name)
	}
	_, err := contract.New(contract.Contracts{Tenants: map[string]contract.Tenant{"a b&c=ü%": tenant("a b&c=ü%", "k1")}})
	assert.NilError(t, err)
}
