package soak

import (
	"net/http"
	"slices"
	"time"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
	"github.com/magnoliawharf/magnoliawharf/platform/wire"
)

// checkRetries checks that the repeated arrivals of requests at each service stay within the operator's retry budget in
// any window.
func (o *oracle) checkRetries() {
	var extra, first []standin.ReceivedRequest
	for _, r := range o.requests {
		slices.SortFunc(r.arrivals, func(a, b standin.ReceivedRequest) int { return a.At.Compare(b.At) })
		for i, a := range r.arrivals {
			if i == 0 {
				first = append(first, a)
			} else {
				extra = append(extra, a)
			}
		}
	}
	for _, service := range services {
		counted := func(all []standin.ReceivedRequest, from time.Time) (n int) {
			for _, a := range all {
				if a.Service == service && !a.At.Before(from) && a.At.Before(from.Add(budgetWindow)) {
					n++
				}
			}
			return n
		}
		for _, a := range extra {
			if n, of := counted(extra, a.At), counted(first, a.At); float64(n) > retryRatio*float64(of)+retryAllowance {
				o.violationf("BUDGET: %d retries of %d requests to %s within %v", n, of, service, budgetWindow)
				break
			}
		}
	}
}

// notRunStatuses are the statuses that guarantee that a request was not run.
var notRunStatuses = []int{408, 421, 429, 503}

func (o *oracle) checkRequest(r *request) {
	runs := r.runs()
	if r.kind == wire.KindNotIdempotent && runs > 0 && slices.Contains(notRunStatuses, r.status) {
		o.violationf("REFUSED: %s got status %d although it ran: %+v", r.id, r.status, r.arrivals)
	}
	if count := r.backendCount(); count > maxAttempts {
		o.violationf("BUDGET: %s ran at %d back ends: %+v", r.id, count, r.arrivals)
	}
	stall := o.stall.within(r.sent, r.ended)
	isStable := o.stable(r.machine, r.sent, r.ended)
	if isStable && r.abandoned.IsZero() && r.ended.Sub(r.sent) > r.limit+responseSlack+stall {
		o.violationf("CONFIG: %s ended after %v, its time limit was %v; sent %s", r.id, r.ended.Sub(r.sent), r.limit, clock(r.sent))
	}
	for _, a := range r.arrivals {
		o.checkArrival(r, a, isStable)
	}
	o.checkLost(r)
}

// checkLost checks that no request was aborted by a planned stop of the node that received it.
func (o *oracle) checkLost(r *request) {
	stopped := slices.ContainsFunc(o.stops[r.machine], func(s span) bool { return s.from.Before(r.ended) && s.to.After(r.sent) })
	if !stopped || r.err == nil || r.runs() == 0 || r.ended.Sub(r.sent) >= r.limit || !undisturbedIn(o.disturbed[r.machine], r.sent, r.ended) {
		return
	}
	for _, a := range r.arrivals {
		if !undisturbedIn(o.disturbed[machineOf(a.Instance)], r.sent, r.ended) || !undisturbedIn(o.failing[machineOf(a.Instance)], r.sent, r.ended) {
			return
		}
	}
	o.violationf("LOST: %s was aborted by a planned stop: %v, %+v", r.id, r.err, r.arrivals)
}

// checkArrival checks the time limit passed to the back end, and that the request arrived neither long after the back end
// withdrew nor long after the caller gave up.
func (o *oracle) checkArrival(r *request, a standin.ReceivedRequest, isStable bool) {
	stall := o.stall.within(r.sent, a.At)
	home := machineOf(a.Instance)
	notRun := o.notRun(r.sent, a.At, r.machine, home)
	over := a.TimeLeft - (r.limit - a.At.Sub(r.sent))
	if isStable && over > timeLeftSlack+notRun && o.stable(home, r.sent, a.At) {
		o.violationf("BUDGET: %s was forwarded to %s with a time limit %v above the time left; sent %s, arrived %s",
			r.id, a.Instance, over, clock(r.sent), clock(a.At))
	}
	if acked, ok := o.withdrawals[a.Instance]; ok && a.Ran && a.At.After(acked.Add(drainTime+stall)) && (o.stable(home, acked, a.At) || isStable && o.stable(home, r.sent, a.At)) {
		o.violationf("DRAIN: %s arrived at %s %v after the back end's withdrawal was acknowledged", r.id, a.Instance, a.At.Sub(acked))
	}
	if !r.abandoned.IsZero() && a.At.After(r.abandoned.Add(abandonTime+o.notRun(r.sent, a.At))) && isStable && o.stable(home, r.sent, a.At) {
		o.violationf("GONE: %s arrived at %s %v after the caller gave up; sent %s, arrived %s",
			r.id, a.Instance, a.At.Sub(r.abandoned), clock(r.sent), clock(a.At))
	}
}

// clock returns the time of day, as the logs of the nodes have it.
func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// checkContracts checks the request against all versions that may have been current while it ran.
func (o *oracle) checkContracts(r *request) {
	oldest := 0
	settled := o.stable(r.machine, r.sent, r.ended) && undisturbedIn(o.store, r.sent, r.ended)
	for i, v := range o.versions {
		if settled && v.acked.Add(convergeTime+o.stall.within(v.acked, r.sent)).Before(r.sent) {
			oldest = i
		}
	}
	var allowed []string
	routed, admitted := true, true
	for _, v := range o.versions[oldest:] {
		if v.sent.After(r.ended) {
			break
		}
		route, ok := v.document.Routes[r.route]
		routed, admitted = routed && ok, admitted && admits(v.document, r)
		if ok && admits(v.document, r) {
			allowed = append(allowed, route.Service)
		}
	}
	for _, a := range r.arrivals {
		if a.Ran && !slices.Contains(allowed, a.Service) {
			o.violationf("ROUTE: %s on route %s ran at service %s, want one of %v, tenant %q", r.id, r.route, a.Service, allowed, tenantOf(r.key))
		}
	}
	if routed && admitted && r.status == http.StatusUnauthorized {
		o.violationf("CONFIG: %s got 401 although every version that may be in force admits it", r.id)
	}
	if routed && r.status == 404 {
		o.violationf("CONFIG: %s got 404 although every version that may be in force has route %s", r.id, r.route)
	}
}

// crashRun is one run of a request that crashes back ends.
type crashRun struct {
	at     time.Time
	stable bool // both nodes on its path were stable
}

// checkCrashes checks that stable nodes stop forwarding a request that has crashed quarantineCrashes back ends. Nodes
// that are all killed at the same time lose that knowledge.
func (o *oracle) checkCrashes() {
	runs := make(map[string][]crashRun)
	for _, r := range o.requests {
		for _, a := range r.arrivals {
			if a.Ran && r.crashes != "" {
				isStable := o.stable(r.machine, r.sent, a.At) && o.stable(machineOf(a.Instance), r.sent, a.At)
				runs[r.crashes] = append(runs[r.crashes], crashRun{a.At, isStable})
			}
		}
	}
	for name, seen := range runs {
		if len(seen) < quarantineCrashes {
			continue
		}
		slices.SortFunc(seen, func(a, b crashRun) int { return a.at.Compare(b.at) })
		known := seen[quarantineCrashes-1].at.Add(stabilityTime)
		later := 0
		for _, c := range seen {
			if c.stable && c.at.After(known) {
				later++
			}
		}
		if later > maxLaterCrashes {
			o.violationf("BUDGET: %s crashed %d back ends, %d of them more than %v after the third", name, len(seen), later, stabilityTime)
		}
	}
}
