package link

import (
	"math"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

const (
	// busyCost is the cost in service times of a link whose slots are all in use, at most; with many
	// slots it falls as busySlots over their number, since one of them is free sooner. It falls with
	// the fifth power of the load, as the wait of a queue with 6 to 12 servers does: what is known of
	// the slots is old, so that a nearly full link means a wait already.
	busyCost  = 1.2
	busySlots = 24
	// ownWeight is the weight of a node's own requests in flight in the load: they are known to the
	// moment, and a node that has sent more than its share evens out what the others do.
	ownWeight = 2
	// coldShare is the share of the traffic that a cold upstream receives at first.
	coldShare = 0.1
)

// cost returns the expected seconds until an answer comes over the link.
func (l *Link) cost(now time.Time, kind Kind) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	slots, occupied := l.occupancy(now, kind)
	busy := min(1, occupied/slots)
	service := l.serviceOf(kind).Seconds()
	expected := l.predict(now, kind).Seconds()
	expected += service * min(busyCost, busySlots/slots) * busy * busy * busy * busy * busy
	expected *= math.Exp2(max(0, l.suspicion(now)-lateSlack))
	expected = max(expected, l.overdue(now))
	expected += l.failureRate(now) * (failurePenalty*service + failureTime.Seconds())
	return expected
}

// suspicion returns the lateness to reckon with. It fades only while nothing is in flight, so that a
// link that was late is tried again with one request at a time.
func (l *Link) suspicion(now time.Time) float64 {
	if l.pending > 0 {
		return l.late
	}
	return l.lateness(now)
}

// predict returns the time to an answer by what is known of the load: the network round trip and the service time,
// and the queue for the slots that serve the kind.
func (l *Link) predict(now time.Time, kind Kind) time.Duration {
	slots, occupied := l.occupancy(now, kind)
	waiting := max(0, occupied+1-slots) / slots
	return l.path.RoundTrip() + time.Duration(float64(l.serviceOf(kind))*(1+waiting))
}

// occupancy returns the slots that serve the kind and the requests known or expected to be there:
// the own ones, and those of other nodes from the report. An old report says less and less about
// the others, so their load fades from the reported to the average of the service.
func (l *Link) occupancy(now time.Time, kind Kind) (slots, occupied float64) {
	total := float64(max(1, l.slots()))
	age := now.Sub(l.reportAt)
	held := fade(age, l.set.policy().ReportMaxAge)
	if l.reportAt.IsZero() {
		held = 0
	}
	if kind == Long {
		slots = max(1, total*l.set.policy().LongShare)
		return slots, float64(l.inFlight[Long]) + l.others[Long]*held
	}
	slots = max(1, total-float64(l.report.Long)*held)
	others := l.others[Short]*held + l.set.othersPerSlot()*total*(1-held)
	return slots, ownWeight*float64(l.inFlight[Short]) + others
}

func (l *Link) slots() int {
	if l.report.Slots > 0 {
		return l.report.Slots
	}
	return l.record.Slots
}

func (l *Link) serviceOf(kind Kind) time.Duration {
	if kind == Long {
		return longService
	}
	return l.service()
}

// service returns the service time of short requests.
func (l *Link) service() time.Duration {
	if l.report.Service > 0 {
		return l.report.Service
	}
	return defaultService
}

// overdue returns the mean age of the short requests in flight while no answer has come, so that a
// link that stalls is avoided before its answers say so. Ages that the heavy tail of the service
// explains do not count: the more requests are silent together, the less can it be chance.
func (l *Link) overdue(now time.Time) float64 {
	if l.pending == 0 {
		return 0
	}
	silent := float64(int64(now.Sub(l.epoch)) - l.startSum/int64(l.pending))
	if !l.answerAt.IsZero() {
		silent = min(silent, float64(now.Sub(l.answerAt)))
	}
	if silent < max(hedgeSpread*l.set.middle.get(), l.set.tail.get()/math.Sqrt(float64(l.pending))) {
		return 0
	}
	return silent / float64(time.Second)
}

func (l *Link) failureRate(now time.Time) float64 {
	return l.failRate * fade(now.Sub(l.failAt), failureDecay)
}

// eligible reports whether the link may receive a request like any other. draw is a random number
// in [0, 1) by which a cold or returning upstream receives its growing share.
func (l *Link) eligible(now time.Time, draw float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.serves(now) && !l.ejection.out && draw < min(l.rampShare(now), l.ejection.rampShare(now))
}

// claimTrial reports whether the request is to test the ejected link, and reserves the test.
func (l *Link) claimTrial(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.serves(now) && l.ejection.claim(now)
}

func (l *Link) serving(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.serves(now)
}

// probeWorth returns the age of the last report or probe, and whether a newer one could change
// decisions: the upstream serves by its record, but the link is ejected or its last report said that
// the upstream does not serve. A probe then spares a request the test.
func (l *Link) probeWorth(now time.Time) (age time.Duration, wanted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.reportAt
	if l.probedAt.After(last) {
		last = l.probedAt
	}
	away := l.ejection.out || (!l.reportAt.IsZero() && !l.report.State.Serves())
	return now.Sub(last), l.record.State.Serves() && away
}

// probeFailed notes a probe without an answer, so that the next one goes to another link. An ejected
// link that does not even answer probes is left alone for longer, unless the far node answered that
// its budget is used up.
func (l *Link) probeFailed(now time.Time, overBudget bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probedAt = now
	if l.ejection.out && !overBudget {
		l.ejection.extend(now)
	}
}

// serves reports whether the upstream takes work by its record and its last report.
func (l *Link) serves(now time.Time) bool {
	if !l.record.State.Serves() {
		return false
	}
	recent := !l.reportAt.IsZero() && now.Sub(l.reportAt) < refusalHold
	return !recent || l.report.State.Serves()
}

// rampShare returns the share of its normal traffic that the upstream receives.
func (l *Link) rampShare(now time.Time) float64 {
	ramp := l.set.policy().ColdStart
	if l.coldSince.IsZero() || ramp <= 0 || l.record.State != instance.Cold {
		return 1
	}
	return min(1, coldShare+(1-coldShare)*float64(now.Sub(l.coldSince))/float64(ramp))
}
