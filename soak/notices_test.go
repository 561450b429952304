package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
	"github.com/magnoliawharf/magnoliawharf/platform/wire"
)

const (
	// limitTime is how long a back end names a rate limit: long enough for the time in which the nodes learn it and a window behind it.
	limitTime = 9 * time.Second
	// limitWindow is the window in which a back end may get limitFactor times what its limit allows, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// toldDelay is the time after an answer with a notice from which the node that passed it on is bound by it.
	toldDelay = 500 * time.Millisecond
	// killAfterNotice is the time from a notice to the kill of the node beside the back end.
	killAfterNotice = 1500 * time.Millisecond
	// leavingTime is how long a back end that says in its answers that it leaves serves on, and reports that it is ready.
	leavingTime = 6 * time.Second
)

// namedLimits are the limits, in requests a second, that back ends name.
var namedLimits = [...]float64{0, 0.5, 2, 6}

// limitNamed is a back end that names a rate limit. Its node is killed meanwhile on every second draw.
var limitNamed = fault{"rate limit named", func(_ *fleet, m *machine, lasting time.Duration, draw uint64) {
	m.limitBackend(namedLimits[draw%uint64(len(namedLimits))], draw/8%2 == 0, lasting/4)
}}

// leavingInAnswers is a back end that says in its answers that it leaves, while its reports say that it is ready. Its node is killed
// meanwhile on every second draw.
var leavingInAnswers = fault{"leaving in answers", func(_ *fleet, m *machine, lasting time.Duration, draw uint64) {
	m.leaveInAnswers(serviceOf(m.index), draw%2 == 0, lasting/4)
}}

// namedLimit is a period in which a back end named a rate limit.
type namedLimit struct {
	backend   string
	perSecond float64
	span      span
}

// limitBackend lets the back end name a rate limit for limitTime.
func (m *machine) limitBackend(perSecond float64, kill bool, down time.Duration) {
	m.backendMu.Lock()
	defer m.backendMu.Unlock()
	from := time.Now()
	m.backend.SetNotice(standin.BackendNotice{Limit: fmt.Sprint(perSecond)})
	if kill {
		time.Sleep(killAfterNotice)
		m.killNode(down)
	}
	time.Sleep(limitTime - time.Since(from))
	m.fleet.oracle.recordLimit(namedLimit{m.backend.ID(), perSecond, span{from, time.Now()}})
	m.backend.SetNotice(standin.BackendNotice{})
}

// leaveInAnswers lets the back end say that it leaves, shuts it down and starts another one.
func (m *machine) leaveInAnswers(service string, kill bool, down time.Duration) {
	m.backendMu.Lock()
	defer m.backendMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*grace)
	defer cancel()
	from := time.Now()
	m.backend.SetNotice(standin.BackendNotice{Leaving: true})
	if kill {
		time.Sleep(killAfterNotice)
		m.killNode(down)
	}
	time.Sleep(leavingTime - time.Since(from))
	_ = m.backend.Shutdown(ctx) // as in replaceBackend
	time.Sleep(reuseAfter)
	m.startBackend(service)
}

// answered records the response to the request.
func (r *request) answered(response *http.Response, body []byte) {
	r.status, r.seal, r.body = response.StatusCode, response.Header.Get(wire.SealField), body
	r.invalid = r.status < http.StatusOK || r.status >= 600
	r.limited, r.leaving = response.Header.Get(wire.RateLimitField) != "", response.Header.Get(wire.LeavingField) == "1"
}

// answeredBy returns the back end that answered the request, "" when none did.
func (r *request) answeredBy() string {
	if r.seal == "" || len(r.arrivals) == 0 {
		return ""
	}
	last := slices.MaxFunc(r.arrivals, func(a, b standin.ReceivedRequest) int { return a.At.Compare(b.At) })
	return last.Instance
}

func (o *oracle) recordLimit(l namedLimit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limits = append(o.limits, l)
}

// teller is a machine that passed on answers of a back end.
type teller struct {
	machine int
	backend string
}

// firstTold returns when each machine first passed on an answer for which isNotice reports true, within the span.
func (o *oracle) firstTold(within span, isNotice func(*request) bool) map[teller]time.Time {
	told := make(map[teller]time.Time)
	for _, r := range o.requests {
		if !isNotice(r) || r.ended.Before(within.from) || r.ended.After(within.to) {
			continue
		}
		key := teller{r.machine, r.answeredBy()}
		if at, ok := told[key]; !ok || r.ended.Before(at) {
			told[key] = r.ended
		}
	}
	return told
}

// checkLimits checks that no back end gets more requests than its limit allows from the machines that it has told.
func (o *oracle) checkLimits() {
	for _, l := range o.limits {
		told := o.firstTold(l.span, func(r *request) bool { return r.limited })
		var arrivals []time.Time
		for _, r := range o.requests {
			at, isTold := told[teller{r.machine, l.backend}]
			for _, a := range r.arrivals {
				counts := a.Instance == l.backend && a.At.After(l.span.from.Add(stabilityTime)) && a.At.Before(l.span.to)
				if counts && isTold && a.At.After(at.Add(toldDelay)) && o.stable(r.machine, r.sent, a.At) {
					arrivals = append(arrivals, a.At)
				}
			}
		}
		if from, n, allowed := o.densest(arrivals, limitWindow, limitFactor*l.perSecond, limitSlack); float64(n) > allowed {
			o.violationf("LIMIT: %s named %g a second and got %d requests in %v from %s on, %.0f allowed", l.backend, l.perSecond, n, limitWindow, clock(from), allowed)
		}
	}
}

// checkLeaving checks that no request reaches a back end from a machine that had passed on an answer in which it said that it leaves.
func (o *oracle) checkLeaving() {
	told := o.firstTold(span{time.Time{}, time.Now()}, func(r *request) bool { return r.leaving })
	for _, r := range o.requests {
		for _, a := range r.arrivals {
			at, isTold := told[teller{r.machine, a.Instance}]
			isLate := isTold && a.Ran && r.sent.After(at.Add(drainTime+o.stall.within(at, a.At)))
			if isLate && undisturbedIn(o.disturbed[r.machine], at, a.At) && undisturbedIn(o.stops[r.machine], at, a.At) {
				o.violationf("DRAIN: %s arrived at %s %v after m%d had passed on that it leaves", r.id, a.Instance, a.At.Sub(at), r.machine)
			}
		}
	}
}
