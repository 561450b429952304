package soak

import (
	"slices"
	"time"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
	"github.com/magnoliawharf/magnoliawharf/platform/wire"
)

// checkRetries checks that each service got no more arrivals beyond the first of each request than the operator's budget
// allows in any window.
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
				o.breakf("BUDGET: %d repeats of %d requests to %s in %v", n, of, service, budgetWindow)
				break
			}
		}
	}
}

// notRun holds the statuses that promise that a request has not run.
var notRun = []int{408, 421, 429, 503}

func (o *oracle) checkRequest(r *request) {
	runs := r.runs()
	if r.kind == wire.KindNotIdempotent && runs > 0 && slices.Contains(notRun, r.status) {
		o.breakf("REFUSED: %s got %d and ran: %+v", r.id, r.status, r.arrivals)
	}
	if places := r.places(); places > maxAttempts {
		o.breakf("BUDGET: %s ran at %d back ends: %+v", r.id, places, r.arrivals)
	}
	stall := o.stall.within(r.sent, r.ended)
	undisturbed := o.inTouch(r.machine, r.sent, r.ended)
	if undisturbed && r.left.IsZero() && r.ended.Sub(r.sent) > r.limit+answerSlack+stall {
		o.breakf("CONFIG: %s has its end after %v, its limit was %v", r.id, r.ended.Sub(r.sent), r.limit)
	}
	for _, a := range r.arrivals {
		o.checkArrival(r, a, undisturbed)
	}
	o.checkLost(r)
}

// checkLost checks that no request was cut off by a planned stop of the node that took it.
func (o *oracle) checkLost(r *request) {
	stopped := slices.ContainsFunc(o.stops[r.machine], func(s span) bool { return s.from.Before(r.ended) && s.to.After(r.sent) })
	if !stopped || r.err == nil || r.runs() == 0 || r.ended.Sub(r.sent) >= r.limit || !calm(o.disturbed[r.machine], r.sent, r.ended) {
		return
	}
	for _, a := range r.arrivals {
		if !calm(o.disturbed[machineOf(a.Instance)], r.sent, r.ended) || !calm(o.failing[machineOf(a.Instance)], r.sent, r.ended) {
			return
		}
	}
	o.breakf("LOST: %s was cut off by a planned stop: %v, %+v", r.id, r.err, r.arrivals)
}

func (o *oracle) checkArrival(r *request, a standin.ReceivedRequest, undisturbed bool) {
	stall := o.stall.within(r.sent, a.At)
	if over := a.TimeLeft - (r.limit - a.At.Sub(r.sent)); undisturbed && over > leftSlack+stall && o.inTouch(machineOf(a.Instance), r.sent, a.At) {
		o.breakf("BUDGET: %s was handed on with %v more time than is left", r.id, over)
	}
	if acked, ok := o.leaves[a.Instance]; ok && a.Ran && a.At.After(acked.Add(drainTime+stall)) && o.inTouch(machineOf(a.Instance), acked, a.At) {
		o.breakf("DRAIN: %s arrived at %s %v after its leave was acknowledged", r.id, a.Instance, a.At.Sub(acked))
	}
	if !r.left.IsZero() && a.At.After(r.left.Add(goneTime+stall)) && undisturbed && o.inTouch(machineOf(a.Instance), r.sent, a.At) {
		o.breakf("GONE: %s arrived at %s %v after its caller had left", r.id, a.Instance, a.At.Sub(r.left))
	}
}

// checkContracts checks the request against the versions that may have been in force for it.
func (o *oracle) checkContracts(r *request) {
	oldest := 0
	settled := o.inTouch(r.machine, r.sent, r.ended) && calm(o.store, r.sent, r.ended)
	for i, v := range o.versions {
		if settled && v.acked.Add(convergeTime+o.stall.within(v.acked, r.sent)).Before(r.sent) {
			oldest = i
		}
	}
	var allowed []string
	routed := true
	for _, v := range o.versions[oldest:] {
		if v.sent.After(r.ended) {
			break
		}
		route, ok := v.document.Routes[r.route]
		routed = routed && ok
		if ok {
			allowed = append(allowed, route.Service)
		}
	}
	for _, a := range r.arrivals {
		if a.Ran && !slices.Contains(allowed, a.Service) {
			o.breakf("ROUTE: %s on route %s ran at service %s, allowed are %v", r.id, r.route, a.Service, allowed)
		}
	}
	if routed && r.status == 404 {
		o.breakf("CONFIG: %s got 404 though every version that may be in force has route %s", r.id, r.route)
	}
}

// crash is the run of a request that crashes back ends.
type crash struct {
	at      time.Time
	inTouch bool // the node that sent it and the one that passed it on were
}

// checkCrashes checks that a request which has crashed some back ends is kept away from the others by nodes in touch. Nodes that
// are all killed at the same time have to learn it again.
func (o *oracle) checkCrashes() {
	runs := make(map[string][]crash)
	for _, r := range o.requests {
		for _, a := range r.arrivals {
			if a.Ran && r.crashes != "" {
				undisturbed := o.inTouch(r.machine, r.sent, a.At) && o.inTouch(machineOf(a.Instance), r.sent, a.At)
				runs[r.crashes] = append(runs[r.crashes], crash{a.At, undisturbed})
			}
		}
	}
	for name, seen := range runs {
		if len(seen) < crashesToLearn {
			continue
		}
		slices.SortFunc(seen, func(a, b crash) int { return a.at.Compare(b.at) })
		known := seen[crashesToLearn-1].at.Add(contact)
		later := 0
		for _, c := range seen {
			if c.inTouch && c.at.After(known) {
				later++
			}
		}
		if later > crashesAfter {
			o.breakf("BUDGET: %s has crashed %d back ends, %d of them %v after the third", name, len(seen), later, contact)
		}
	}
}
