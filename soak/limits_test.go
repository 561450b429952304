package soak

import (
	"slices"
	"time"
)

const (
	// evacuationBound is the time from an acknowledged evacuation to the last request that reaches the zone.
	evacuationBound = 5 * time.Second
	// A cold back end may get coldFactor times its cold rate, and coldSlack requests, in any coldWindow.
	coldWindow = time.Second
	coldFactor = 1.5
	coldSlack  = 8
	// The requests of a tenant that reach back ends in any quotaWindow may be quotaFactor times what the quota gives, and quotaSlack.
	quotaWindow = 5 * time.Second
	quotaFactor = 1.1
	quotaSlack  = 20
)

// namedSpan is a period in the life of a back end or a zone.
type namedSpan struct {
	name string
	span span
}

// recordCold records that a back end is cold in the period, when its service has a cold rate.
func (f *fleet) recordCold(backend string, from, until time.Time) {
	if f.parts.coldPerS > 0 {
		f.oracle.record(func() { f.oracle.cold = append(f.oracle.cold, namedSpan{backend, span{from, until}}) })
	}
}

// checkCold checks that no cold back end gets more requests than it bears. Those behind a degraded link arrive in bursts that its node
// does not cause.
func (o *oracle) checkCold() {
	for _, c := range o.cold {
		home := machineOf(c.name)
		var arrivals []time.Time
		for _, r := range o.requests {
			for _, a := range r.arrivals {
				if a.Instance == c.name && !a.At.Before(c.span.from) && a.At.Before(c.span.to) && undisturbedIn(o.held[home], r.sent, a.At) {
					arrivals = append(arrivals, a.At)
				}
			}
		}
		if at, n, allowed := o.densest(arrivals, coldWindow, coldFactor*coldPerS, coldSlack); float64(n) > allowed {
			o.violationf("COLD: %s got %d requests in %v from %s on, %.0f allowed; cold from %s to %s",
				c.name, n, coldWindow, clock(at), allowed, clock(c.span.from), clock(c.span.to))
		}
	}
}

// checkQuota checks that the requests of a tenant with a quota stay within it. Retries count with their request.
func (o *oracle) checkQuota() {
	var arrivals []time.Time
	for _, r := range o.requests {
		if tenantOf(r.key) == limitedTenant && len(r.arrivals) > 0 {
			arrivals = append(arrivals, r.arrivals[0].At)
		}
	}
	quota := o.versions[0].document.Tenants[limitedTenant]
	slack := quotaFactor*quota.Burst + quotaSlack
	if at, n, allowed := o.densest(arrivals, quotaWindow, quotaFactor*quota.RatePerS, slack); quota.RatePerS > 0 && float64(n) > allowed {
		o.violationf("QUOTA: %d requests of %s reached back ends in %v from %s on, %.0f allowed", n, limitedTenant, quotaWindow, clock(at), allowed)
	}
}

// densest returns the start of the first window with more arrivals than are allowed, or of the last one: its arrivals, and how many are
// allowed at the rate, with the slack. Stalls of the test widen it.
func (o *oracle) densest(arrivals []time.Time, window time.Duration, perSecond, slack float64) (start time.Time, n int, allowed float64) {
	slices.SortFunc(arrivals, time.Time.Compare)
	for i, from := range arrivals {
		to := from.Add(window)
		n = 0
		for _, at := range arrivals[i:] {
			if at.Before(to) {
				n++
			}
		}
		allowed = perSecond*(window+o.stall.within(from.Add(-window), to)).Seconds() + slack
		if start = from; float64(n) > allowed {
			break
		}
	}
	return start, n, allowed
}

// checkEvacuations checks that nothing reaches an evacuated zone through a home node that was in touch, and nothing that a caller sent
// to an entry node in touch once the evacuation was in force. A home node that was informed keeps to it also while the store is away.
func (o *oracle) checkEvacuations() {
	for _, e := range o.evacuations {
		for _, r := range o.requests {
			for _, a := range r.arrivals {
				home := machineOf(a.Instance)
				inForce := e.span.from.Add(evacuationBound + o.stall.within(e.span.from, a.At))
				if zoneOf(home) != e.name || a.At.Before(inForce) || a.At.After(e.span.to) || !undisturbedIn(o.held[home], r.sent, a.At) {
					continue
				}
				since := earlier(r.sent, a.At.Add(stabilityTime-evacuationBound)) // undisturbed for evacuationBound
				inTouch := o.stable(home, since, a.At) || r.sent.After(inForce) && o.stable(r.machine, since, a.At)
				inTouch = inTouch && undisturbedIn(o.store, since, a.At)
				informed := o.stable(home, e.span.from, a.At) && undisturbedIn(o.store, e.span.from, inForce)
				if inTouch || informed {
					o.violationf("EVACUATED: %s arrived at %s %v after the evacuation of %s was acknowledged; sent %s to m%d",
						r.id, a.Instance, a.At.Sub(e.span.from), e.name, clock(r.sent), r.machine)
				}
			}
		}
	}
}
