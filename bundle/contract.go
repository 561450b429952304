// Package bundle defines the contracts, which say how the load balancer treats the traffic of each service, and
// distributes them to the nodes. A Bundle is one version of all contracts. An operator prepares it from a TOML
// source, signs it and publishes it in the store as a Release; a Distributor at each node fetches, verifies and
// applies it.
package bundle

import (
	"strings"
	"sync"
	"time"
)

// Rule says how often a request of a route may be executed.
type Rule string

// Rules of a route.
const (
	// Idempotent requests may be executed more than once: they are retried and may be hedged.
	Idempotent Rule = "idempotent"
	// NotIdempotent requests are retried only when it is certain that they were not executed.
	NotIdempotent Rule = "not-idempotent"
	// AtMostOnce requests carry an idempotency key and are executed at most once for each key, also when the caller
	// repeats them.
	AtMostOnce Rule = "at-most-once"
)

// Class is a traffic class of one service, with its own queue limits and priority.
type Class struct {
	Name     string
	Priority int           // 0 is served first
	Long     bool          // much longer service time than other classes; limited to LongShare of the slots
	MayWait  bool          // may be delayed in favour of other classes under load
	MaxQueue int           // most requests waiting at one upstream
	MaxWait  time.Duration // longest wait for a slot
}

// Route assigns the requests that match Method and PathPrefix to a class and a rule.
type Route struct {
	Name       string
	Method     string // "" matches any method
	PathPrefix string
	Class      string
	Rule       Rule
	Timeout    time.Duration // deadline when the caller sets none, and the upper limit for one that it sets
	Hedge      bool
}

// Contract says how the traffic of one service is routed, queued, retried and probed.
type Contract struct {
	Service        string
	Hosts          []string // host names that select the service; otherwise the first path segment does
	Classes        []Class
	Routes         []Route       // the first match applies
	ProbePerSecond float64       // limit on the probes and load queries that a node sends for this service
	ReportMaxAge   time.Duration // age from which a load report is ignored
	ColdStart      time.Duration // time in which the share of a newly started upstream rises to its full value
	Aging          time.Duration // wait after which a waiting request gains one priority step
	KeyLifetime    time.Duration // time for which the outcome of an idempotency key is stored
	ClockMargin    time.Duration // largest difference between two wall clocks that key expiry tolerates
	StoreOutage    time.Duration // longest store outage during which at-most-once routes keep serving
	RetryRatio     float64       // retries allowed per first attempt
	LongShare      float64       // largest share of the slots held by long classes, 0 to 1
}

// Class returns the class with the name.
func (c *Contract) Class(name string) (Class, bool) {
	for _, class := range c.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return Class{}, false
}

// Match returns the first route that matches the method and the path within the service.
func (c *Contract) Match(method, path string) (Route, bool) {
	for _, route := range c.Routes {
		if route.Method != "" && route.Method != method {
			continue
		}
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Bundle is one version of all contracts. It is immutable and safe for concurrent use.
type Bundle struct {
	Version   uint64
	Contracts map[string]*Contract // by service

	indexed sync.Once
	hosts   map[string]*Contract
}

// Resolve returns the contract for a request and the path within the service. It selects the service by the host
// or, when no contract lists the host, by the first path segment, which the returned path omits.
func (b *Bundle) Resolve(host, path string) (*Contract, string, bool) {
	b.indexed.Do(b.index)
	if contract, ok := b.hosts[host]; ok {
		return contract, path, true
	}
	first, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	contract, ok := b.Contracts[first]
	return contract, "/" + rest, ok
}

// index builds the map of hosts on the first request, so that each request costs one look-up instead of a scan of
// all services.
func (b *Bundle) index() {
	b.hosts = make(map[string]*Contract)
	for _, contract := range b.Contracts {
		for _, name := range contract.Hosts {
			b.hosts[name] = contract
		}
	}
}
