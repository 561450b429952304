package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
	"github.com/magnoliawharf/magnoliawharf/platform/wire"
)

const (
	// revocationBound is the time from the acknowledged withdrawal of a key to the last request with it that may be sent and run.
	revocationBound = 5 * time.Second
	// publicRoute needs no key.
	publicRoute = "manual"
	// limitedTenant is the tenant with a quota.
	limitedTenant = "t1"
	// Shares of the requests by the key that they carry. The others carry none.
	validShare     = 0.8
	withdrawnShare = 0.1
	unknownShare   = 0.05
	// forgedShare is the share of requests in which the caller names a tenant.
	forgedShare = 0.1
)

// keyring holds the keys that callers know.
type keyring struct{ valid, withdrawn []string }

// newKey returns the next key of a tenant. The caller holds the lock.
func (o *operator) newKey(tenant string) string {
	o.issued++
	return fmt.Sprintf("%s%s-%d", standin.KeyPrefix, tenant, o.issued)
}

// tenantOf returns the tenant for which the key was issued, "" without a key.
func tenantOf(key string) string {
	tenant, _, _ := strings.Cut(strings.TrimPrefix(key, standin.KeyPrefix), "-")
	return tenant
}

// addTenants adds the tenants, the first with two keys, and makes a route public.
func (o *operator) addTenants(p parts) {
	if p.tenants == 0 {
		return
	}
	o.document.Tenants = make(map[string]wire.Tenant)
	var ring keyring
	for i := range p.tenants {
		name := fmt.Sprintf("t%d", i)
		t := wire.Tenant{APIKeys: []string{o.newKey(name)}, Priority: wire.Integer(i % 2)}
		if i == 0 {
			t.APIKeys = append(t.APIKeys, o.newKey(name))
		}
		if name == limitedTenant {
			t.RatePerS, t.Burst = p.quota, p.quota
		}
		ring.valid = append(ring.valid, t.APIKeys...)
		o.document.Tenants[name] = t
	}
	r := o.document.Routes[publicRoute]
	r.Public = true
	o.document.Routes[publicRoute] = r
	o.keys.Store(&ring)
}

// replaceKey publishes a version in which a key is withdrawn and another one of its tenant is valid. The last key stays.
func (o *operator) replaceKey(draw int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ring := *o.keys.Load()
	i := draw % (len(ring.valid) - 1)
	old := ring.valid[i]
	next := o.document
	next.Version++
	next.Tenants = maps.Clone(next.Tenants)
	t := next.Tenants[tenantOf(old)]
	fresh := o.newKey(tenantOf(old))
	t.APIKeys = append(slices.DeleteFunc(slices.Clone(t.APIKeys), func(key string) bool { return key == old }), fresh)
	next.Tenants[tenantOf(old)] = t
	if o.write(next) != nil {
		return // nothing was written
	}
	ring.valid = slices.Clone(ring.valid)
	ring.valid[i] = fresh
	ring.withdrawn = append(slices.Clone(ring.withdrawn), old)
	o.keys.Store(&ring)
}

// drawKey returns the key and the tenant that the caller sends, both "" without tenants.
func (o *operator) drawKey(random *rand.Rand) (key, forged string) {
	ring := o.keys.Load()
	if ring == nil {
		return "", ""
	}
	if random.Float64() < forgedShare {
		forged = fmt.Sprintf("t%d", random.IntN(3))
	}
	switch n := random.Float64(); {
	case n < validShare:
		key = ring.valid[random.IntN(len(ring.valid))]
	case n < validShare+withdrawnShare && len(ring.withdrawn) > 0:
		key = ring.withdrawn[random.IntN(len(ring.withdrawn))]
	case n < validShare+withdrawnShare+unknownShare:
		key = standin.KeyPrefix + "nobody"
	}
	return key, forged
}

// lastKey returns a key that is never withdrawn, "" without tenants.
func (o *operator) lastKey() string {
	ring := o.keys.Load()
	if ring == nil {
		return ""
	}
	return ring.valid[len(ring.valid)-1]
}

// identity returns the header fields in which the caller says who it is.
func (r *request) identity() (fields [][2]string) {
	if r.key != "" {
		fields = append(fields, [2]string{"Authorization", "Bearer " + r.key})
	}
	if r.forged != "" {
		fields = append(fields, [2]string{wire.TenantField, r.forged})
	}
	return fields
}

// admits reports whether the document lets the request run, by its key.
func admits(d wire.Document, r *request) bool {
	return len(d.Tenants) == 0 || d.Routes[r.route].Public || slices.Contains(d.Tenants[tenantOf(r.key)].APIKeys, r.key)
}

// limited reports whether the tenant of the request has a quota.
func limited(d wire.Document, r *request) bool { return d.Tenants[tenantOf(r.key)].RatePerS > 0 }

// restore is a return of the store from a copy, until the operator had written its last version again.
type restore struct {
	copied time.Time
	span   span
}

// checkIdentity checks that a back end gets no key, and the tenant of the key only. A public route may have none.
func (o *oracle) checkIdentity(r *request, a standin.ReceivedRequest) {
	if a.Keyed {
		o.violationf("TENANT: %s arrived at %s with a key", r.id, a.Instance)
	}
	if want := tenantOf(r.key); a.Tenant != want && (a.Tenant != "" || r.route != publicRoute) {
		o.violationf("TENANT: %s with key %q arrived at %s as of tenant %q", r.id, r.key, a.Instance, a.Tenant)
	}
}

// checkKey checks that no request runs that was sent later than the bound after its key was withdrawn, whatever is disturbed. After a
// return of the store, the versions that the copy lacked count from when they were written again.
func (o *oracle) checkKey(r *request) {
	for _, a := range r.arrivals {
		oldest := o.lastAcked(r.sent.Add(-revocationBound))
		for _, lost := range o.restores {
			if lost.span.from.Before(a.At) && r.sent.Before(lost.span.to.Add(revocationBound)) {
				oldest = min(oldest, o.lastAcked(lost.copied))
			}
		}
		mayRun := slices.ContainsFunc(o.versions[oldest:], func(v publishedVersion) bool { return v.sent.Before(a.At) && admits(v.document, r) })
		if a.Ran && !mayRun {
			o.violationf("REVOKED: %s of route %s ran at %s with key %q; sent %s, the last version that may be in force is of %s",
				r.id, r.route, a.Instance, r.key, clock(r.sent), clock(o.versions[oldest].acked))
		}
	}
}

// lastAcked returns the index of the last version that was acknowledged before the moment, 0 for none.
func (o *oracle) lastAcked(before time.Time) (last int) {
	for i, v := range o.versions {
		if v.acked.Before(before) {
			last = i
		}
	}
	return last
}
