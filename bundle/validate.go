package bundle

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Limits of a bundle. They bound the memory and the processing time that one bundle costs a node.
const (
	MaxServices  = 2000
	MaxPartBytes = 64 << 10 // bytes of one encoded contract
	maxClasses   = 16
	maxRoutes    = 64
	maxHosts     = 16
	maxPriority  = 15
	maxQueue     = 10_000
	maxPathBytes = 256
	maxHostBytes = 253
	maxTimeout   = time.Hour
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?(:[0-9]{1,5})?$`)
	methods     = []string{
		"", "GET", "HEAD", "POST", "PUT", "PATCH",
		"DELETE", "OPTIONS",
	}
)

// Validate returns the first error in the contract; LocationOf returns its table and key.
func (c *Contract) Validate() error { return c.check().err() }

func (c *Contract) check() *problem {
	v := validator{table: ServiceTable(c.Service)}
	v.name("", c.Service)
	v.count("class", len(c.Classes), maxClasses)
	v.count("route", len(c.Routes), maxRoutes)
	v.hosts(c.Hosts)
	v.number("probe_per_second", c.ProbePerSecond, 0, 100)
	v.number("retry_ratio", c.RetryRatio, 0, 1)
	v.number("long_share", c.LongShare, 0.01, 1)
	v.duration("report_max_age", c.ReportMaxAge, 10*time.Millisecond, time.Minute)
	v.duration("cold_start", c.ColdStart, 0, 10*time.Minute)
	v.duration("aging", c.Aging, 10*time.Millisecond, time.Hour)
	v.duration("key_lifetime", c.KeyLifetime, time.Second, time.Hour)
	v.duration("clock_margin", c.ClockMargin, 0, time.Minute)
	v.duration("store_outage", c.StoreOutage, time.Minute, 24*time.Hour)
	if c.KeyLifetime <= 2*c.ClockMargin {
		v.add(ErrContradiction, "key_lifetime", "must be longer than twice clock_margin (%s), otherwise new keys are treated as expired", c.ClockMargin)
	}
	for i, class := range c.Classes {
		v.class(i, class, c)
	}
	for i, route := range c.Routes {
		v.route(i, route, c)
	}
	return v.first
}

// ServiceTable returns the path of the table of a service in a source.
func ServiceTable(service string) string { return "service." + service }

func classTable(service string, i int) string {
	return fmt.Sprintf("%s.class[%d]", ServiceTable(service), i)
}
func routeTable(service string, i int) string {
	return fmt.Sprintf("%s.route[%d]", ServiceTable(service), i)
}

// validator collects the first problem. table is the path of the table that is being checked.
type validator struct {
	table string
	first *problem
}

func (v *validator) add(kind *errorx.Type, key, format string, args ...any) {
	if v.first == nil {
		v.first = &problem{kind, Location{Table: v.table, Key: key}, fmt.Sprintf(format, args...)}
	}
}

func (v *validator) name(key, value string) {
	if !namePattern.MatchString(value) {
		v.add(ErrOutOfRange, key, "%q is not a valid name: use 1 to 63 characters of a-z, 0-9 and '-', not beginning with '-'", value)
	}
}

func (v *validator) count(key string, n, limit int) {
	if n == 0 {
		v.add(ErrMissing, key, "at least one is required")
	}
	if n > limit {
		v.add(ErrOutOfRange, key, "%d given, at most %d allowed", n, limit)
	}
}

func (v *validator) hosts(hosts []string) {
	if len(hosts) > maxHosts {
		v.add(ErrOutOfRange, "hosts", "%d given, at most %d allowed", len(hosts), maxHosts)
	}
	for i, host := range hosts {
		if len(host) > maxHostBytes || !hostPattern.MatchString(host) {
			v.add(ErrOutOfRange, "hosts", "%q is not a valid lower-case host name", host)
		}
		if slices.Contains(hosts[:i], host) {
			v.add(ErrDuplicateName, "hosts", "%q is given twice", host)
		}
	}
}

func (v *validator) number(key string, value, low, high float64) {
	if !(value >= low && value <= high) { // the negation also rejects NaN
		v.add(ErrOutOfRange, key, "%v is not within %v to %v", value, low, high)
	}
}

func (v *validator) duration(key string, value, low, high time.Duration) {
	if value < low || value > high {
		v.add(ErrOutOfRange, key, "%s is not within %s to %s", value, low, high)
	}
	if value%time.Millisecond != 0 {
		v.add(ErrOutOfRange, key, "%s is not in whole milliseconds", value)
	}
}

func (v *validator) class(i int, class Class, c *Contract) {
	v.table = classTable(c.Service, i)
	v.name("name", class.Name)
	v.number("priority", float64(class.Priority), 0, maxPriority)
	v.number("max_queue", float64(class.MaxQueue), 1, maxQueue)
	v.duration("max_wait", class.MaxWait, time.Millisecond, maxTimeout)
	for _, earlier := range c.Classes[:i] {
		if earlier.Name == class.Name {
			v.add(ErrDuplicateName, "name", "class %q is defined twice", class.Name)
		}
	}
}

func (v *validator) route(i int, route Route, c *Contract) {
	v.table = routeTable(c.Service, i)
	v.name("name", route.Name)
	v.duration("timeout", route.Timeout, time.Millisecond, maxTimeout)
	if !slices.Contains(methods, route.Method) {
		v.add(ErrOutOfRange, "method", "%q is not one of %s", route.Method, strings.Join(methods[1:], ", "))
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || len(route.PathPrefix) > maxPathBytes {
		v.add(ErrOutOfRange, "path_prefix", "must begin with / and have at most %d bytes", maxPathBytes)
	}
	class, ok := c.Class(route.Class)
	if !ok {
		v.add(ErrUndefinedClass, "class", "class %q is not defined for the service", route.Class)
	}
	v.rule(route, class, c)
	for _, earlier := range c.Routes[:i] {
		if earlier.Name == route.Name {
			v.add(ErrDuplicateName, "name", "route %q is defined twice", route.Name)
		}
		if earlier.covers(route) {
			v.add(ErrContradiction, "path_prefix", "never matches: the earlier route %q matches the same requests", earlier.Name)
		}
	}
}

func (v *validator) rule(route Route, class Class, c *Contract) {
	switch route.Rule {
	case Idempotent, NotIdempotent, AtMostOnce:
	default:
		v.add(ErrOutOfRange, "rule", "%q is not one of %s, %s, %s", route.Rule, Idempotent, NotIdempotent, AtMostOnce)
	}
	if route.Hedge && route.Rule != Idempotent {
		v.add(ErrContradiction, "hedge", "a hedge may execute a request twice, which rule %q does not allow", route.Rule)
	}
	if route.Hedge && class.Long {
		v.add(ErrContradiction, "hedge", "class %q is long: a hedge would double its load", class.Name)
	}
	if route.Rule == AtMostOnce && route.Timeout >= c.KeyLifetime {
		v.add(ErrContradiction, "timeout", "must be shorter than key_lifetime (%s), otherwise a key expires while its request is running", c.KeyLifetime)
	}
}

// covers reports whether r matches every request that other matches.
func (r Route) covers(other Route) bool {
	return (r.Method == "" || r.Method == other.Method) && strings.HasPrefix(other.PathPrefix, r.PathPrefix)
}

// checkSet checks contracts that are each valid together: their number, and that no two have the same service or host.
func checkSet(contracts []*Contract) *problem {
	if len(contracts) == 0 {
		return &problem{ErrMissing, Location{Table: "service"}, "no service is defined"}
	}
	if len(contracts) > MaxServices {
		return &problem{ErrOutOfRange, Location{Table: "service"}, fmt.Sprintf("%d services given, at most %d allowed", len(contracts), MaxServices)}
	}
	owners := make(map[string]string)
	services := make(map[string]bool, len(contracts))
	for _, c := range contracts {
		table := ServiceTable(c.Service)
		if services[c.Service] {
			return &problem{ErrDuplicateService, Location{Table: table}, "the service is defined twice"}
		}
		services[c.Service] = true
		for _, host := range c.Hosts {
			if owner, taken := owners[host]; taken {
				return &problem{ErrDuplicateName, Location{Table: table, Key: "hosts"}, fmt.Sprintf("%q already belongs to service %q", host, owner)}
			}
			owners[host] = c.Service
		}
	}
	return nil
}
