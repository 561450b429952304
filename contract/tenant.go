package contract

import (
	"fmt"
	"math"

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

// indexTenants validates the tenants and indexes them by their credentials. A key of two tenants would make the holder of a request
// a matter of chance.
func (c *Contracts) indexTenants() error {
	c.byCredential = make(map[caller.Credential]*Tenant)
	for name, tenant := range c.Tenants {
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
