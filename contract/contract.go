// Package contract holds the operator's traffic configuration for a deployment: all routes, services and limits, under
// one version number. It matches requests to routes and splits a route's traffic among services by weight. A Contracts
// value is immutable; Current holds the newest one of a process.
package contract

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
)

// WeightedService is one of the services among which a route splits its requests.
type WeightedService struct {
	Service string
	Weight  int // share of the requests, relative to the other parts
}

// Route says how the requests to one host and path prefix are handled.
type Route struct {
	Name             string
	Host             string // lower case, without port
	PathPrefix       string // begins and ends with a slash
	Rule             bundle.Rule
	Timeout          time.Duration // time limit of a request; 0 sets no limit
	LatencyObjective time.Duration // latency objective: the time within which a request should be answered
	Priority         int           // 0 is served first
	MaxAttempts      int           // maximum number of upstreams tried for one request, the first included
	Long             bool          // answers are large and occupy a slot until they are fully sent
	Public           bool          // requests need no key of a tenant
	Split            []WeightedService
}

// Service is the operator's configuration of the upstreams of one service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // limit of connections to one upstream from all callers together
	// ColdPerSecond is the rate of requests that a cold upstream tolerates, 0 for no limit.
	ColdPerSecond float64
}

// Limits bounds the requests and connections of one caller.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Contracts is one version of the operator's routes, services and limits. It is immutable after New.
type Contracts struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Tenants  map[string]Tenant // by name; while there are any, requests on routes that are not public need a key
	Limits   Limits
	Source   []byte // the operator's document as received, served to nodes with an older version

	byHost       map[string][]*Route           // longest prefix first
	byCredential map[caller.Credential]*Tenant // holders of the keys

	priorityLevels int // number of priorities from 0 to the largest one of a route
}

// New validates c, indexes its routes by host and returns it. The error names the invalid route.
func New(c Contracts) (*Contracts, error) {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		route := &c.Routes[i]
		if err := validateRoute(route, c.Services); err != nil {
			return nil, fmt.Errorf("contracts version %d: route %s: %w", c.Version, route.Name, err)
		}
		host := strings.ToLower(route.Host)
		c.byHost[host] = append(c.byHost[host], route)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	c.priorityLevels = 1
	for _, route := range c.Routes {
		c.priorityLevels = max(c.priorityLevels, min(route.Priority, maxPriority)+1)
	}
	if err := c.indexTenants(); err != nil {
		return nil, fmt.Errorf("contracts version %d: %w", c.Version, err)
	}
	return &c, nil
}

// MaxWeight bounds the weight of a part, so that no sum of weights overflows.
const MaxWeight = 1 << 30

func validateRoute(r *Route, services map[string]Service) error {
	total := 0
	for _, part := range r.Split {
		if _, ok := services[part.Service]; !ok {
			return fmt.Errorf("service %q is not defined", part.Service)
		}
		if part.Weight < 0 || part.Weight > MaxWeight {
			return fmt.Errorf("weight %d of service %q not in the range 0 to %d", part.Weight, part.Service, MaxWeight)
		}
		total += part.Weight
	}
	switch {
	case total == 0:
		return fmt.Errorf("all weights are zero")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return fmt.Errorf("path prefix %q does not begin and end with a slash", r.PathPrefix)
	case r.MaxAttempts < 1:
		return fmt.Errorf("attempts %d is less than 1", r.MaxAttempts)
	}
	return nil
}

// Match returns the route of a request: among those of the host, the one with the longest prefix of the path.
func (c *Contracts) Match(host, path string) (*Route, bool) {
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	for _, route := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}
