package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
	"github.com/magnoliawharf/magnoliawharf/platform/wire"
)

// Bounds of the guarantees that are checked.
const (
	stabilityTime = 3 * time.Second        // time without a disturbance after which the bounds hold
	drainTime     = 2 * time.Second        // from an acknowledged withdrawal to the last new request
	convergeTime  = 2 * time.Second        // from a published version to its effect everywhere
	responseSlack = 500 * time.Millisecond // past a request's time limit
	timeLeftSlack = 500 * time.Millisecond // tolerance of the time limit passed to a back end
	abandonTime   = 500 * time.Millisecond // from the time a caller gives up to the last arrival
	budgetWindow  = 10 * time.Second       // of the retry budget
	// Once a request has crashed quarantineCrashes back ends and stabilityTime has passed, it may crash up to
	// maxLaterCrashes more.
	quarantineCrashes = 3
	maxLaterCrashes   = 3
)

// request is one request of a caller, as the caller saw it.
type request struct {
	id, uri, method, route string
	kind                   string
	bodySum                uint64
	size                   int
	chunked                bool // the body is sent in chunks
	machine                int
	sent                   time.Time
	limit                  time.Duration
	abandoned              time.Time // when the caller gave up; zero when it waited
	ended                  time.Time
	status                 int // 0 without a complete response
	seal                   string
	body                   []byte
	limited, leaving       bool // the back end named a rate limit in the answer, or that it leaves
	err                    error
	key                    string // API key, "" for none
	forged                 string // tenant that the caller names itself
	invalid                bool   // the answer has a status that no final answer has
	crashes                string // name of the request that crashes back ends, "" for all others
	arrivals               []standin.ReceivedRequest
}

// publishedVersion is one version of the operator's document.
type publishedVersion struct {
	document wire.Document
	sent     time.Time
	acked    time.Time
}

// span is a period, such as that of a disturbance.
type span struct{ from, to time.Time }

// oracle records what callers, back ends and the operator observed and when faults were active, and checks the guarantees
// against it. It is safe for concurrent use.
type oracle struct {
	service func(machine int) string // service of the back end on a machine
	stall   *stallDetector
	waits   *threadWaits

	mu          sync.Mutex
	requests    map[string]*request
	versions    []publishedVersion
	withdrawals map[string]time.Time // time of the acknowledged withdrawal, by back end
	disturbed   map[int][]span       // by machine, without planned stops
	stops       map[int][]span       // planned stops, by machine
	failing     map[int][]span       // by machine, while its back end aborted responses or crashed
	starts      map[int][]time.Time  // of the nodes' processes, by machine
	store       []span               // while the store was disturbed
	limits      []namedLimit
	cold        []namedSpan    // while a back end was cold
	held        map[int][]span // while the link from a node to its back end was degraded, by machine
	restores    []restore
	evacuations []namedSpan // from the acknowledgement of the evacuation of a zone until its end is sent
	violations  []string    // messages of violated guarantees
}

func newOracle(service func(int) string, stall *stallDetector) *oracle {
	return &oracle{
		service: service, stall: stall, waits: &threadWaits{last: make(map[string]schedStat)}, requests: make(map[string]*request), withdrawals: make(map[string]time.Time), disturbed: make(map[int][]span), stops: make(map[int][]span), failing: make(map[int][]span),
		starts: make(map[int][]time.Time), held: make(map[int][]span),
	}
}

func (o *oracle) violationf(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// report adds a violation that does not belong to a request.
func (o *oracle) report(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violationf(format, args...)
}

// record applies a change to the records.
func (o *oracle) record(apply func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	apply()
}

// recordSent records a request right before it is sent.
func (o *oracle) recordSent(r *request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.sent = time.Now() // with the lock held, so that the wait for it does not count
	o.requests[r.id] = r
}

// recordEnd applies the outcome of a request and checks its response.
func (o *oracle) recordEnd(r *request, ended time.Time, apply func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	apply()
	r.ended = ended
	o.checkAnswer(r)
}

// recordArrival records a request at a back end and checks it against the request that was sent.
func (o *oracle) recordArrival(a standin.ReceivedRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, ok := o.requests[a.ID]
	if !ok {
		o.violationf("UNASKED: %s %s ran under an ID that no caller sent: %q", a.Method, a.URI, a.ID)
		return
	}
	r.arrivals = append(r.arrivals, a)
	o.checkIdentity(r, a)
	if !a.Ran {
		return
	}
	if a.Method != r.method || a.URI != r.uri || !a.Unread && a.BodySum != r.bodySum {
		o.violationf("UNASKED: %s arrived as %s %s, sent as %s %s", r.id, a.Method, a.URI, r.method, r.uri)
	}
	if want := o.service(r.machine); a.Origin != want {
		o.violationf("UNASKED: %s has origin %q, want %q", r.id, a.Origin, want)
	}
	if runs := r.runs(); r.kind == wire.KindNotIdempotent && runs > 1 {
		o.violationf("TWICE: %s ran %d times: %+v", r.id, runs, r.arrivals)
	}
}

func (r *request) runs() int {
	runs := 0
	for _, a := range r.arrivals {
		if a.Ran {
			runs++
		}
	}
	return runs
}

// backendCount returns the number of back ends that ran the request.
func (r *request) backendCount() int {
	instances := make(map[string]bool)
	for _, a := range r.arrivals {
		if a.Ran {
			instances[a.Instance] = true
		}
	}
	return len(instances)
}

// checkAnswer checks a complete response against the request.
func (o *oracle) checkAnswer(r *request) {
	if r.invalid || r.err != nil && strings.Contains(r.err.Error(), "malformed HTTP") {
		o.violationf("INVALID: %s got status %d, error %v", r.id, r.status, r.err)
	}
	switch {
	case r.status == 0:
	case r.status < 300:
		want := standin.Body(r.id, r.uri, r.size)
		if !bytes.Equal(r.body, want) {
			o.violationf("MIXED: %s got a wrong or partial body of %d bytes, want %d", r.id, len(r.body), len(want))
		}
		if r.seal != standin.Seal(r.id, r.status, want) {
			o.violationf("MIXED: %s got the wrong seal %q", r.id, r.seal)
		}
	case r.seal != "" && r.seal != standin.Seal(r.id, r.status, r.body):
		o.violationf("MIXED: %s got status %d with the wrong seal %q", r.id, r.status, r.seal)
	}
}

// recordDisturbance records a period in which a machine was disturbed.
func (o *oracle) recordDisturbance(machine int, s span) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.disturbed[machine] = append(o.disturbed[machine], s)
}

// recordFailing records a period in which the back end on a machine aborted responses or crashed.
func (o *oracle) recordFailing(machine int, s span) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failing[machine] = append(o.failing[machine], s)
}

// recordPlannedStop records the start of a planned stop and returns a function that records its end.
func (o *oracle) recordPlannedStop(machine int, from time.Time) (ended func(time.Time)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stops[machine] = append(o.stops[machine], span{from, from.Add(grace)})
	number := len(o.stops[machine]) - 1
	return func(to time.Time) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.stops[machine][number].to = to
	}
}

// stable reports whether the machine was neither disturbed nor stopped during the interval and stabilityTime before it.
func (o *oracle) stable(machine int, from, to time.Time) bool {
	return undisturbedIn(o.disturbed[machine], from, to) && undisturbedIn(o.stops[machine], from, to)
}

// recordStoreDisturbance records a period in which the store was disturbed for all machines.
func (o *oracle) recordStoreDisturbance(s span) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store = append(o.store, s)
}

// recordWithdrawal records the acknowledged withdrawal of a back end.
func (o *oracle) recordWithdrawal(id string, acked time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.withdrawals[id] = acked
}

func (o *oracle) recordVersion(p publishedVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions = append(o.versions, p)
}

// undisturbedIn reports whether no span, extended by stabilityTime, overlaps the interval.
func undisturbedIn(spans []span, from, to time.Time) bool {
	return !slices.ContainsFunc(spans, func(s span) bool { return s.from.Before(to) && s.to.Add(stabilityTime).After(from) })
}

// finish makes the checks that need the records of the whole run and returns all violations.
func (o *oracle) finish() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.requests {
		o.checkRequest(r)
		o.checkContracts(r)
		o.checkKey(r)
	}
	o.checkRollbacks()
	o.checkRetries()
	o.checkCrashes()
	o.checkLimits()
	o.checkLeaving()
	o.checkCold()
	o.checkEvacuations()
	o.checkQuota()
	return o.violations
}

// servedShare returns the share of the requests sent in the span that were answered with success, and their number. It counts only
// requests that the last version admits; with keyed, only those with a key.
func (o *oracle) servedShare(s span, keyed bool) (share float64, count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	served := 0
	inForce := o.versions[len(o.versions)-1].document
	for _, r := range o.requests {
		if !admits(inForce, r) || keyed && r.key == "" || r.status == http.StatusTooManyRequests && limited(inForce, r) {
			continue
		}
		if _, ok := inForce.Routes[r.route]; !ok || r.crashes != "" || r.sent.Before(s.from) || r.sent.After(s.to) || !r.abandoned.IsZero() {
			continue
		}
		count++
		if r.status == 200 {
			served++
		}
	}
	return float64(served) / float64(max(1, count)), count
}

// summary counts the requests by outcome.
func (o *oracle) summary() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	ends := make(map[string]int)
	for _, r := range o.requests {
		switch {
		case !r.abandoned.IsZero():
			ends["left"]++
		case r.status == 0:
			ends["broken"]++
		default:
			ends[fmt.Sprint(r.status)]++
		}
	}
	return ends
}
