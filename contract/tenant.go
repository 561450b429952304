package contract

import (
	"fmt"
	"math"
	"strings"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// Tenant is a customer of the deployment, whose callers present one of its keys.
type Tenant struct {
	Name        string
	Credentials []caller.Credential // digests of its keys
	Priority    int                 // goes before the priority of the route; 0 is served first
	Quota       Quota
}

// Quota limits the requests of a tenant over all nodes together.
type Quota struct {
	PerSecond float64 // 0 for no limit
	Burst     float64 // requests in addition, refilled at PerSecond
}

// MaxQuota bounds the numbers of a quota, so that arithmetic on them cannot overflow.
const MaxQuota = 1 << 40

// Limited reports whether the quota limits anything.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

func (q Quota) valid() bool { return isQuotaNumber(q.PerSecond) && isQuotaNumber(q.Burst) }

func isQuotaNumber(n float64) bool { return !math.IsNaN(n) && n >= 0 && n <= MaxQuota }

// maxNameBytes is the longest name of a tenant that fits into the messages between nodes.
const maxNameBytes = 256

// validName reports whether the name can be the value of a header field, which upstreams get.
func validName(name string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return name != "" && len(name) <= maxNameBytes && strings.TrimSpace(name) == name && !strings.ContainsFunc(name, isControl)
}

// indexTenants validates the tenants and indexes them by their credentials. With a key of two tenants, the tenant of a request would be
// ambiguous.
func (c *Contracts) indexTenants() error {
	c.byCredential = make(map[caller.Credential]*Tenant)
	for name, tenant := range c.Tenants {
		if !validName(name) {
			return fmt.Errorf("tenant %q: the name is empty, longer than %d bytes or not the value of a header field", name, maxNameBytes)
		}
		if !tenant.Quota.valid() {
			return fmt.Errorf("tenant %s: quota of %v a second with a burst of %v", name, tenant.Quota.PerSecond, tenant.Quota.Burst)
		}
		for _, credential := range tenant.Credentials {
			if other, taken := c.byCredential[credential]; taken && other.Name != name {
				return fmt.Errorf("tenants %s and %s share a key", min(name, other.Name), max(name, other.Name))
			}
			c.byCredential[credential] = &tenant
		}
	}
	return nil
}

// Keyed reports whether requests on routes that are not public need a key.
func (c *Contracts) Keyed() bool { return len(c.Tenants) > 0 }

// TenantOf returns the tenant that holds the key with the credential.
func (c *Contracts) TenantOf(credential caller.Credential) (*Tenant, bool) {
	tenant, ok := c.byCredential[credential]
	return tenant, ok
}

const (
	// maxPriority bounds the priorities of routes and of tenants, so that arithmetic on them cannot overflow.
	maxPriority = 1 << 16
	// MaxRequestPriority is the largest priority of a request on a route whose priority is within maxPriority.
	MaxRequestPriority = maxPriority*(maxPriority+1) + maxPriority
)

// PriorityOffset returns what the tenant adds to the priority of a route, so that the sum orders requests by the tenant's priority and,
// among tenants of equal priority, by the route's. Successive priorities of tenants leave no gap, so that one step of aging at an upstream
// is one step of either. It is 0 for a tenant of priority 0, whose requests so are equal to those without a tenant.
func (c *Contracts) PriorityOffset(t *Tenant) int {
	return min(max(t.Priority, 0), maxPriority) * c.priorityLevels
}
