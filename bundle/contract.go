// Package bundle holds the contracts between the owner and the system: how the traffic of each
// service is treated. A Bundle is one version of all contracts.
package bundle

import (
	"strings"
	"sync"
	"time"
)

// Rule says how often a request of a route may run.
type Rule string

// Rules of a route.
const (
	// Idempotent requests may run more than once; they are retried and may be hedged.
	Idempotent Rule = "idempotent"
	// NotIdempotent requests are sent again only when they certainly did not run.
	NotIdempotent Rule = "not-idempotent"
	// AtMostOnce requests carry an idempotency key and run at most once for it, also when the
	// caller sends them again.
	AtMostOnce Rule = "at-most-once"
)

// Class is a class of traffic of one service.
type Class struct {
	Name     string
	Priority int           // 0 is served first
	Long     bool          // runs many times longer than the rest; holds at most LongShare of the slots
	MayWait  bool          // gives way to other classes under load
	MaxQueue int           // requests waiting at one upstream
	MaxWait  time.Duration // longest wait for a slot
}

// Route maps requests to a class and a rule.
type Route struct {
	Name       string
	Method     string // "" matches any method
	PathPrefix string
	Class      string
	Rule       Rule
	Timeout    time.Duration // deadline when the caller gives none, and the longest it may give
	Hedge      bool
}

// Contract says how the traffic of one service is treated.
type Contract struct {
	Service        string
	Hosts          []string // host names that select the service, besides the first path part
	Classes        []Class
	Routes         []Route       // the first match counts
	ProbePerSecond float64       // probes and load reads a node may send for this service
	ReportMaxAge   time.Duration // age at which a load report is no longer used
	ColdStart      time.Duration // time over which a cold upstream is raised to its full share
	Aging          time.Duration // wait after which a waiting request gains one priority step
	KeyLifetime    time.Duration // time for which the outcome of an idempotency key is remembered
	ClockMargin    time.Duration // largest difference between two wall clocks that key times allow for
	StoreOutage    time.Duration // longest store outage over which at-most-once routes go on
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

// Bundle is one version of all contracts. It is immutable.
type Bundle struct {
	Version   uint64
	Contracts map[string]*Contract // by service

	indexed sync.Once
	hosts   map[string]*Contract
}

// Resolve finds the contract for a request by its host, or else by the first part of its path. It
// returns the path within the service.
func (b *Bundle) Resolve(host, path string) (*Contract, string, bool) {
	b.indexed.Do(b.index)
	if contract, ok := b.hosts[host]; ok {
		return contract, path, true
	}
	first, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	contract, ok := b.Contracts[first]
	return contract, "/" + rest, ok
}

// index maps hosts to contracts at the first request, so that each request costs one look-up and not
// a walk over all services.
func (b *Bundle) index() {
	b.hosts = make(map[string]*Contract)
	for _, contract := range b.Contracts {
		for _, name := range contract.Hosts {
			b.hosts[name] = contract
		}
	}
}
