package link

import (
	"math"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

const (
	// maxBusyCost is the cost, in service times, of a link whose slots are all in use. With more than 20 slots the cost
	// is busyCostSlots / slots instead, since one of many slots becomes free sooner. It grows with the fifth power of
	// the utilisation, like the waiting time of a queue with 6 to 12 servers. It applies before all slots are in use,
	// because the known occupancy is out of date and a nearly full link already means a wait.
	maxBusyCost   = 1.2
	busyCostSlots = 24
	// ownRequestWeight is the weight of this node's own requests in flight in the occupancy. Their number is exact,
	// unlike the load from reports, and a higher weight makes a node that has sent more than its share even out the
	// load of the others.
	ownRequestWeight = 2
	// coldStartShare is the share of its normal traffic that a cold upstream receives at first.
	coldStartShare = 0.1
)

// cost returns the expected time in seconds until an answer arrives over the link, with penalties for late answers,
// stalled requests and failures.
func (l *Link) cost(now time.Time, kind Kind) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	slots, occupied := l.occupancy(now, kind)
	utilisation := min(1, occupied/slots)
	serviceSeconds := l.serviceTime(kind).Seconds()
	expected := l.predictLatency(now, kind).Seconds()
	expected += serviceSeconds * min(maxBusyCost, busyCostSlots/slots) * utilisation * utilisation * utilisation * utilisation * utilisation
	expected *= math.Exp2(max(0, l.effectiveLateness(now)-latenessTolerance))
	expected = max(expected, l.stallSeconds(now))
	expected += l.decayedFailureRate(now) * (failurePenaltyServiceTimes*serviceSeconds + failurePenaltyTime.Seconds())
	return expected
}

// effectiveLateness returns the lateness to apply in the cost. It decays only while no request waits for an answer, so
// that a link with late answers is tried again with one request at a time.
func (l *Link) effectiveLateness(now time.Time) float64 {
	if l.unanswered > 0 {
		return l.lateness
	}
	return l.decayedLateness(now)
}

// predictLatency returns the expected latency by the known load: the network round trip, the service time, and the
// wait for one of the slots that serve the kind.
func (l *Link) predictLatency(now time.Time, kind Kind) time.Duration {
	slots, occupied := l.occupancy(now, kind)
	waiting := max(0, occupied+1-slots) / slots
	return l.path.RoundTrip() + time.Duration(float64(l.serviceTime(kind))*(1+waiting))
}

// occupancy returns the number of slots that serve the kind and the number of requests known or expected at the
// upstream: this node's own and those of other nodes. A report loses value with age, so the load of the other nodes
// decays from the reported value to the average of the service.
func (l *Link) occupancy(now time.Time, kind Kind) (slots, occupied float64) {
	total := float64(max(1, l.slots()))
	age := now.Sub(l.lastReportAt)
	confidence := decay(age, l.set.policy().ReportMaxAge)
	if l.lastReportAt.IsZero() {
		confidence = 0
	}
	if kind == Long {
		slots = max(1, total*l.set.policy().LongShare)
		return slots, float64(l.inFlight[Long]) + l.othersLoad[Long]*confidence
	}
	slots = max(1, total-float64(l.report.LongInUse)*confidence)
	othersOccupied := l.othersLoad[Short]*confidence + l.set.othersLoadPerSlot()*total*(1-confidence)
	return slots, ownRequestWeight*float64(l.inFlight[Short]) + othersOccupied
}

// slots returns the number of slots by the last report, or by the record when no report gave one.
func (l *Link) slots() int {
	if l.report.Slots > 0 {
		return l.report.Slots
	}
	return l.record.Slots
}

// serviceTime returns the expected service time of a request of the kind.
func (l *Link) serviceTime(kind Kind) time.Duration {
	if kind == Long {
		return longServiceTime
	}
	return l.shortServiceTime()
}

// shortServiceTime returns the service time of short requests.
func (l *Link) shortServiceTime() time.Duration {
	if l.report.ServiceTime > 0 {
		return l.report.ServiceTime
	}
	return defaultServiceTime
}

// stallSeconds returns the mean age in seconds of the short requests without an answer, but no more than the time
// since the last answer. It lets the cost rise on a link that stalls before any late answer arrives. An age within the
// tail of the latencies counts as 0; the bound falls with the number of unanswered requests, since it is unlikely that
// many slow requests coincide.
func (l *Link) stallSeconds(now time.Time) float64 {
	if l.unanswered == 0 {
		return 0
	}
	meanAge := float64(int64(now.Sub(l.epoch)) - l.unansweredStartSum/int64(l.unanswered))
	if !l.lastAnswerAt.IsZero() {
		meanAge = min(meanAge, float64(now.Sub(l.lastAnswerAt)))
	}
	if meanAge < max(minHedgeRatio*l.set.medianLatency.estimate(), l.set.tailLatency.estimate()/math.Sqrt(float64(l.unanswered))) {
		return 0
	}
	return meanAge / float64(time.Second)
}

// decayedFailureRate returns the failure rate, decayed since its last update.
func (l *Link) decayedFailureRate(now time.Time) float64 {
	return l.failureRate * decay(now.Sub(l.failureRateAt), failureDecayTime)
}

// eligible reports whether the link may receive a normal request. draw is a random number in [0, 1): a cold or
// reinstated upstream receives a growing share of its traffic and takes part only in draws below that share.
func (l *Link) eligible(now time.Time, draw float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servesLocked(now) && !l.ejection.ejected && draw < min(l.rampShare(now), l.ejection.rampShare(now))
}

// claimTrial reports whether the request is to be sent as the trial of an ejected link, and reserves the trial.
func (l *Link) claimTrial(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servesLocked(now) && l.ejection.claimTrial(now)
}

// serves is like servesLocked, but acquires mu.
func (l *Link) serves(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servesLocked(now)
}

// probeCandidate returns the time since the last report or failed probe, and whether a newer report could change
// routing decisions: the upstream serves by its record, but the link is ejected or its last report said that the
// upstream does not serve. A probe may then spare a request that would fail.
func (l *Link) probeCandidate(now time.Time) (age time.Duration, wanted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.lastReportAt
	if l.lastProbeFailureAt.After(last) {
		last = l.lastProbeFailureAt
	}
	avoided := l.ejection.ejected || (!l.lastReportAt.IsZero() && !l.report.State.Serves())
	return now.Sub(last), l.record.State.Serves() && avoided
}

// recordProbeFailure records a probe without a report, so that the next probe goes to another link. It extends the
// back-off of an ejected link, unless the probe was refused because the budget of the upstream is exhausted.
func (l *Link) recordProbeFailure(now time.Time, overBudget bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastProbeFailureAt = now
	if l.ejection.ejected && !overBudget {
		l.ejection.extendBackoff(now)
	}
}

// servesLocked reports whether the upstream accepts work by its record and, while that is recent, by its last report.
// The caller holds mu.
func (l *Link) servesLocked(now time.Time) bool {
	if !l.record.State.Serves() {
		return false
	}
	reportIsRecent := !l.lastReportAt.IsZero() && now.Sub(l.lastReportAt) < notServingHoldTime
	return !reportIsRecent || l.report.State.Serves()
}

// rampShare returns the share of its normal traffic that the upstream receives during its cold start, and 1 after it.
func (l *Link) rampShare(now time.Time) float64 {
	ramp := l.set.policy().ColdStart
	if l.coldSince.IsZero() || ramp <= 0 || l.record.State != instance.Cold {
		return 1
	}
	return min(1, coldStartShare+(1-coldStartShare)*float64(now.Sub(l.coldSince))/float64(ramp))
}
