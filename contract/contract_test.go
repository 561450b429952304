package contract_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/contract"
)

func newContracts(t *testing.T, version uint64, routes ...contract.Route) *contract.Contracts {
	t.Helper()
	c, err := contract.New(contract.Contracts{
		Version: version, Routes: routes,
		Services: map[string]contract.Service{"a": {Name: "a"}, "b": {Name: "b"}},
	})
	assert.NilError(t, err)
	return c
}

func route(name, host, prefix string, parts ...contract.WeightedService) contract.Route {
	if len(parts) == 0 {
		parts = []contract.WeightedService{{Service: "a", Weight: 1}}
	}
	return contract.Route{Name: name, Host: host, PathPrefix: prefix, Rule: bundle.Idempotent, MaxAttempts: 1, Split: parts}
}

// Guards against a request that is matched to a route with a shorter prefix or of another host.
func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	c := newContracts(t, 1, route("short", "x.example", "/a/"), route("long", "x.example", "/a/b/"), route("other", "y.example", "/a/b/c/"))
	for _, test := range []struct{ host, path, want string }{
		{"x.example", "/a/b/c/d", "long"},
		{"X.Example:8080", "/a/c", "short"},
		{"y.example", "/a/b/c/", "other"},
		{"y.example", "/a/b/", ""},
		{"x.example", "/a", ""},
		{"z.example", "/a/", ""},
	} {
		got, ok := c.Match(test.host, test.path)
		assert.Equal(t, ok, test.want != "", "%s%s", test.host, test.path)
		if ok {
			assert.Equal(t, got.Name, test.want)
		}
	}
}

// Guards against adopting contracts whose routes have no usable service, prefix or attempt.
func TestNewRejectsInvalidRoutes(t *testing.T) {
	services := map[string]contract.Service{"a": {}}
	for name, r := range map[string]contract.Route{
		"unknown service": route("r", "h", "/p/", contract.WeightedService{Service: "c", Weight: 1}),
		"no weight":       route("r", "h", "/p/", contract.WeightedService{Service: "a"}),
		"negative weight": route("r", "h", "/p/", contract.WeightedService{Service: "a", Weight: -1}),
		"bare prefix":     route("r", "h", "/p"),
		"no attempts":     {Name: "r", Host: "h", PathPrefix: "/p/", Split: []contract.WeightedService{{Service: "a", Weight: 1}}},
	} {
		_, err := contract.New(contract.Contracts{Version: 1, Routes: []contract.Route{r}, Services: services})
		assert.ErrorContains(t, err, "route r", name)
	}
}

// Guards against a process that replaces its contracts by an older version or reports the same version twice.
func TestAdoptIgnoresOlderVersions(t *testing.T) {
	f := contract.NewCurrent()
	var adopted []uint64
	f.OnAdopt(func(c *contract.Contracts) { adopted = append(adopted, c.Version) })
	for _, version := range []uint64{3, 2, 3, 7, 5} {
		f.Adopt(newContracts(t, version))
	}
	assert.Equal(t, f.Version(), uint64(7))
	assert.DeepEqual(t, adopted, []uint64{3, 7})
}

// Guards against parts that get more or less than their weight's share over 300 requests, also after the weights change.
func TestSplitsFollowWeights(t *testing.T) {
	splits := contract.NewSplitter()
	count := func(r contract.Route, n int) map[string]int {
		counts := make(map[string]int)
		for range n {
			counts[splits.Next(&r)]++
		}
		return counts
	}
	first := count(route("r", "h", "/p/", contract.WeightedService{Service: "a", Weight: 90}, contract.WeightedService{Service: "b", Weight: 10}), 300)
	assert.Assert(t, first["b"] >= 29 && first["b"] <= 31, "%v", first)
	changed := count(route("r", "h", "/p/", contract.WeightedService{Service: "a", Weight: 1}, contract.WeightedService{Service: "b", Weight: 3}), 300)
	assert.Assert(t, changed["b"] >= 224 && changed["b"] <= 226, "%v", changed)
}
