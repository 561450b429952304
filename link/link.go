// Package link chooses the upstream instance for a request. A Table holds one Set per service, and a Set holds one Link
// to each instance of the service. A link tracks the load, latency and failures of its instance, from the results of
// this node's own requests and from the load reports that the instances attach to answers. Set.Choose compares the
// expected cost of a few random links; links that fail repeatedly are ejected until a trial request succeeds.
package link

import (
	"math"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

const (
	// defaultServiceTime is the service time assumed until one is reported.
	defaultServiceTime = 5 * time.Millisecond
	// longServiceTime is the assumed service time of long requests. The exact value matters little: it makes a wait for
	// a slot cost more than any network path.
	longServiceTime = time.Second
	// othersLoadTimeConstant is the time constant of the average of the reported load. Requests are replaced within
	// milliseconds, so a single report says little about the next moment; the average shows what the other nodes send.
	// A report with at least as many queued requests as slots replaces the average at once.
	othersLoadTimeConstant = 50 * time.Millisecond
	// notServingHoldTime is the time for which a report that the upstream does not serve takes precedence over the
	// record.
	notServingHoldTime = time.Second
	// The lateness of a link is the smoothed binary logarithm of observed over predicted latency. latenessRiseWeight
	// and latenessFallWeight are the weights of an answer above and below the estimate. minLatenessSample and
	// maxLatenessSample bound the sample of one answer. latenessTolerance is the part that heavy-tailed service times
	// explain, which adds no cost. latenessDecayTime is the time constant with which the estimate decays while no
	// answers arrive.
	latenessRiseWeight = 0.2
	latenessFallWeight = 0.4
	maxLatenessSample  = 6
	minLatenessSample  = -2
	latenessTolerance  = 0.7
	latenessDecayTime  = 5 * time.Second
	// failureWeight is the weight of one result in the failure rate. The cost of a certain failure is
	// failurePenaltyServiceTimes service times plus failurePenaltyTime.
	failureWeight              = 0.1
	failurePenaltyServiceTimes = 10
	failurePenaltyTime         = 10 * time.Millisecond
	failureDecayTime           = 2 * time.Second
)

// Link is the link from this node to one upstream instance, in one incarnation. It is safe for concurrent use.
type Link struct {
	id   instance.ID
	set  *Set
	path *NetworkPath

	mu                 sync.Mutex
	record             instance.Record
	removed            bool // no longer in the set
	inFlight           [kindCount]int
	unanswered         int       // number of short requests in flight without an answer
	unansweredStartSum int64     // sum of their start times, ns since epoch
	epoch              time.Time // creation of the link; origin of unansweredStartSum
	lastAnswerAt       time.Time // last answer to a short request
	report             Report
	lastReportAt       time.Time
	lastProbeFailureAt time.Time          // last probe without a report
	othersLoad         [kindCount]float64 // running and queued requests of other nodes, averaged over the last reports
	lateness           float64            // smoothed log2 of observed over predicted latency, as of latenessAt
	latenessAt         time.Time
	failureRate        float64 // smoothed share of failed attempts, as of failureRateAt
	failureRateAt      time.Time
	tailLatency        quantile  // 95th percentile of the latency of short requests
	medianLatency      quantile  // median latency of short requests
	coldSince          time.Time // start of the last cold start; zero if there was none
	ejection           ejection
}

func newLink(set *Set, path *NetworkPath, record instance.Record, now time.Time) *Link {
	l := &Link{
		id: record.ID, set: set, path: path, record: record, epoch: now,
		tailLatency: quantile{target: tailQuantile}, medianLatency: quantile{target: medianQuantile},
	}
	if record.State == instance.Cold {
		l.coldSince = now
	}
	return l
}

// Record returns the newest record of the instance.
func (l *Link) Record() instance.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// update stores a newer record of the same incarnation. When the record says that the upstream serves again, an
// earlier report that it does not is no longer used.
func (l *Link) update(record instance.Record, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record.StateVersion == l.record.StateVersion {
		return
	}
	if record.State == instance.Cold && l.record.State != instance.Cold {
		l.coldSince = now
	}
	l.record = record
	if record.State.Serves() && !l.report.State.Serves() {
		l.lastReportAt = time.Time{}
	}
}

// Begin counts a new attempt as in flight. Each attempt must be finished with End.
func (l *Link) Begin(now time.Time, kind Kind) *Token {
	l.mu.Lock()
	defer l.mu.Unlock()
	token := &Token{kind: kind, started: now, predicted: l.predictLatency(now, kind)}
	l.ejection.beginTrial(token)
	l.inFlight[kind]++
	if kind == Short {
		l.unanswered++
		l.unansweredStartSum += int64(now.Sub(l.epoch))
	}
	return token
}

// RecordAnswer records the latency, the result and the report of an attempt whose answer header has arrived. The attempt
// stays in flight until End.
func (l *Link) RecordAnswer(now time.Time, token *Token, result Result, report *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	token.answered, token.failed = true, result.failure()
	if token.kind == Short {
		l.unanswered--
		l.unansweredStartSum -= int64(token.started.Sub(l.epoch))
	}
	if token.kind == Short && result == Served {
		l.lastAnswerAt = now
	}
	l.applyReportLocked(now, token, report)
	// An attempt that ended without an answer took at least this long, which counts once it exceeds the prediction.
	overdue := (result == TimedOut || result == Cancelled) && now.Sub(token.started) > token.predicted
	if result == Served || overdue {
		l.recordLatency(now, token)
	}
	l.recordResult(now, token, result)
}

// End counts the attempt as finished. It records the result and the report unless RecordAnswer did so before; a connection
// that broke after RecordAnswer still counts as a failure, unless the answer counted as one.
func (l *Link) End(now time.Time, token *Token, result Result, report *Report) {
	l.mu.Lock()
	answered := token.answered
	l.mu.Unlock()
	if !answered {
		l.RecordAnswer(now, token, result, report)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[token.kind]--
	if answered && result == ConnectionLost && !token.failed {
		l.recordResult(now, token, result)
	}
}

// ApplyReport applies a report that a probe returned.
func (l *Link) ApplyReport(now time.Time, report Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyReportLocked(now, nil, &report)
}

// applyReportLocked updates the load of other nodes and, with the token of the attempt that carried the report, the
// network round trip. token is nil for a probe. The caller holds mu.
func (l *Link) applyReportLocked(now time.Time, token *Token, report *Report) {
	if report == nil {
		return
	}
	ownInFlight := l.inFlight
	if token != nil {
		ownInFlight[token.kind]--
		if took := now.Sub(token.started); report.Elapsed > 0 && took >= report.Elapsed {
			l.path.observe(took - report.Elapsed)
		}
	}
	weight := 1.0
	if !l.lastReportAt.IsZero() && report.Queued < report.Slots {
		weight = 1 - decay(now.Sub(l.lastReportAt), othersLoadTimeConstant)
	}
	l.updateOthersLoad(Short, float64(report.InUse-report.LongInUse+report.Queued-ownInFlight[Short]), weight)
	l.updateOthersLoad(Long, float64(report.LongInUse+report.QueuedLong-ownInFlight[Long]), weight)
	l.report, l.lastReportAt = *report, now
	if report.Slots > 0 {
		l.set.updateOthersLoad(l.othersLoad[Short] / float64(report.Slots))
	}
}

// updateOthersLoad moves the average load of other nodes towards the reported load. The caller holds mu.
func (l *Link) updateOthersLoad(kind Kind, load, weight float64) {
	l.othersLoad[kind] += (max(0, load) - l.othersLoad[kind]) * weight
}

// recordLatency updates the latency quantiles and the lateness with a short attempt. The lateness exposes an upstream
// that reports to be idle but answers late. The caller holds mu.
func (l *Link) recordLatency(now time.Time, token *Token) {
	if token.kind != Short {
		return
	}
	latency := now.Sub(token.started)
	for _, q := range []*quantile{&l.tailLatency, &l.medianLatency, &l.set.tailLatency, &l.set.medianLatency} {
		q.observe(latency)
	}
	sample := math.Log2(max(1, float64(latency)) / max(1, float64(token.predicted)))
	l.lateness = l.decayedLateness(now)
	change := max(minLatenessSample, min(maxLatenessSample, sample)) - l.lateness
	if change > 0 {
		l.lateness += change * latenessRiseWeight
	} else {
		l.lateness += change * latenessFallWeight
	}
	l.latenessAt = now
}

// decayedLateness returns the lateness, decayed since its last update.
func (l *Link) decayedLateness(now time.Time) float64 {
	return l.lateness * decay(now.Sub(l.latenessAt), latenessDecayTime)
}

// decay returns the weight in (0, 1] that a value of this age still has.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(timeConstant))
}

// InFlight returns the number of attempts in flight on this link.
func (l *Link) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight[Short] + l.inFlight[Long]
}
