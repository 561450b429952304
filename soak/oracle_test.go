package soak

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
	"github.com/magnoliawharf/magnoliawharf/platform/wire"
)

// Bounds of the promises that are checked.
const (
	contact      = 3 * time.Second        // calm time after which bounds hold
	drainTime    = 2 * time.Second        // from an acknowledged leave to the last new request
	convergeTime = 2 * time.Second        // from a published version to its effect everywhere
	answerSlack  = 500 * time.Millisecond // past a request's time limit
	leftSlack    = 500 * time.Millisecond // of the time told to a back end
	goneTime     = 500 * time.Millisecond // after a caller has left
	budgetWindow = 10 * time.Second       // of the retry budget
	// A request that has crashed crashesToLearn back ends may reach crashesAfter later than contact after it.
	crashesToLearn = 3
	crashesAfter   = 3
)

// request is one request of a caller, as the caller saw it.
type request struct {
	id, uri, method, route string
	kind                   string
	bodySum                uint64
	size                   int
	machine                int
	sent                   time.Time
	limit                  time.Duration
	left                   time.Time // when the caller gave up; zero when it waited
	ended                  time.Time
	status                 int // 0 without a complete answer
	seal                   string
	body                   []byte
	err                    error
	crashes                string // name of the request that crashes back ends, "" for all others
	arrivals               []standin.ReceivedRequest
}

// published is one version of the operator's document.
type published struct {
	document wire.Document
	sent     time.Time
	acked    time.Time
}

// span is a time in which something was disturbed.
type span struct{ from, to time.Time }

// oracle holds what callers, back ends and the operator saw, and what was disturbed. It is safe for concurrent use.
type oracle struct {
	service func(machine int) string // service of the back end on a machine
	stall   *stallMeter

	mu        sync.Mutex
	requests  map[string]*request
	versions  []published
	leaves    map[string]time.Time // acknowledged, by back end
	disturbed map[int][]span       // by machine, planned stops left out
	stops     map[int][]span       // planned ones, by machine
	failing   map[int][]span       // times in which the back end on a machine broke answers off
	store     []span               // in which the store was disturbed
	broken    []string             // promises
}

func newOracle(service func(int) string, stall *stallMeter) *oracle {
	return &oracle{
		service: service, stall: stall, requests: make(map[string]*request), leaves: make(map[string]time.Time), disturbed: make(map[int][]span), stops: make(map[int][]span), failing: make(map[int][]span),
	}
}

func (o *oracle) breakf(format string, args ...any) {
	o.broken = append(o.broken, fmt.Sprintf(format, args...))
}

// note adds a broken promise that no request shows.
func (o *oracle) note(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.breakf(format, args...)
}

// sending notes a request before it is sent.
func (o *oracle) sending(r *request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[r.id] = r
}

// ending applies the end of a request and checks what needs no other report.
func (o *oracle) ending(r *request, apply func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	apply()
	r.ended = time.Now()
	o.checkAnswer(r)
}

// arrived notes a request at a back end and checks it against what was sent.
func (o *oracle) arrived(a standin.ReceivedRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, ok := o.requests[a.ID]
	if !ok {
		o.breakf("UNASKED: %s %s ran under an ID that nobody sent: %q", a.Method, a.URI, a.ID)
		return
	}
	r.arrivals = append(r.arrivals, a)
	if !a.Ran {
		return
	}
	if a.Method != r.method || a.URI != r.uri || a.BodySum != r.bodySum {
		o.breakf("UNASKED: %s arrived as %s %s, sent as %s %s", r.id, a.Method, a.URI, r.method, r.uri)
	}
	if want := o.service(r.machine); a.Origin != want {
		o.breakf("UNASKED: %s has origin %q, not %q", r.id, a.Origin, want)
	}
	if runs := r.runs(); r.kind == wire.KindNotIdempotent && runs > 1 {
		o.breakf("TWICE: %s ran %d times: %+v", r.id, runs, r.arrivals)
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

// places returns the number of back ends that the request ran at.
func (r *request) places() int {
	instances := make(map[string]bool)
	for _, a := range r.arrivals {
		if a.Ran {
			instances[a.Instance] = true
		}
	}
	return len(instances)
}

// checkAnswer checks a complete answer against the request.
func (o *oracle) checkAnswer(r *request) {
	switch {
	case r.status == 0:
	case r.status < 300:
		want := standin.Body(r.id, r.uri, r.size)
		if !bytes.Equal(r.body, want) {
			o.breakf("MIXED: %s got %d bytes of another answer or of a part, want %d", r.id, len(r.body), len(want))
		}
		if r.seal != standin.Seal(r.id, r.status, want) {
			o.breakf("MIXED: %s got the receipt %q", r.id, r.seal)
		}
	case r.seal != "" && r.seal != standin.Seal(r.id, r.status, r.body):
		o.breakf("MIXED: %s got status %d with the receipt %q", r.id, r.status, r.seal)
	}
}

// disturb notes that a machine was disturbed.
func (o *oracle) disturb(machine int, s span) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.disturbed[machine] = append(o.disturbed[machine], s)
}

// fails notes that the back end on a machine broke answers off.
func (o *oracle) fails(machine int, s span) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failing[machine] = append(o.failing[machine], s)
}

// planned notes the planned stop of a machine and returns the function that notes its end.
func (o *oracle) planned(machine int, from time.Time) (ended func(time.Time)) {
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

// inTouch reports whether the machine was neither disturbed nor stopped from contact before the time to its end.
func (o *oracle) inTouch(machine int, from, to time.Time) bool {
	return calm(o.disturbed[machine], from, to) && calm(o.stops[machine], from, to)
}

// disturbStore notes that the store was disturbed for all machines.
func (o *oracle) disturbStore(s span) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store = append(o.store, s)
}

// leaving notes the acknowledged leave of a back end.
func (o *oracle) leaving(id string, acked time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaves[id] = acked
}

func (o *oracle) publishing(p published) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions = append(o.versions, p)
}

// calm reports whether none of the spans meets the time, with contact after the end of each.
func calm(spans []span, from, to time.Time) bool {
	return !slices.ContainsFunc(spans, func(s span) bool { return s.from.Before(to) && s.to.Add(contact).After(from) })
}

// finish checks what needs the whole run and returns the promises that were broken.
func (o *oracle) finish() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.requests {
		o.checkRequest(r)
		o.checkContracts(r)
	}
	o.checkRetries()
	o.checkCrashes()
	return o.broken
}

// servedShare returns the share of the requests sent in the span that were answered with success, and their number.
func (o *oracle) servedShare(s span) (share float64, count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	served := 0
	inForce := o.versions[len(o.versions)-1].document.Routes
	for _, r := range o.requests {
		if _, ok := inForce[r.route]; !ok || r.crashes != "" || r.sent.Before(s.from) || r.sent.After(s.to) || !r.left.IsZero() {
			continue
		}
		count++
		if r.status == 200 {
			served++
		}
	}
	return float64(served) / float64(max(1, count)), count
}

// summary counts the requests by their end.
func (o *oracle) summary() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	ends := make(map[string]int)
	for _, r := range o.requests {
		switch {
		case !r.left.IsZero():
			ends["left"]++
		case r.status == 0:
			ends["broken"]++
		default:
			ends[fmt.Sprint(r.status)]++
		}
	}
	return ends
}
