// Package link describes the links from a node to the upstream instances of a service: what the
// node knows of each from its own requests and from the reports that ride on answers, and how it
// chooses among them.
package link

import (
	"math"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

const (
	// defaultService is the service time assumed before one was reported or measured.
	defaultService = 5 * time.Millisecond
	// longService is the service time assumed of long work. The exact value matters little: it makes
	// a wait for a slot weigh more than any network path.
	longService = time.Second
	// othersTime is the time constant over which the load in reports is averaged. Requests are
	// replaced within milliseconds, so that a single report says little of the next moment; the
	// average says what the other nodes send. A queue of a whole round of slots counts at once.
	othersTime = 50 * time.Millisecond
	// refusalHold is how long a report of an upstream that does not serve outweighs the record.
	refusalHold = time.Second
	// The estimate of how much later than predicted a link answers is a power of two. lateRise and
	// lateFall are the weights of an answer above and below the estimate, lateMost and lateLeast
	// bound one answer, lateSlack is the part that chance explains with heavy-tailed service times,
	// and lateDecay the time constant with which the estimate fades when nothing comes.
	lateRise  = 0.2
	lateFall  = 0.4
	lateMost  = 6
	lateLeast = -2
	lateSlack = 0.7
	lateDecay = 5 * time.Second
	// failureWeight is the weight of one result in the failure rate, failurePenalty the cost of a
	// certain failure in service times plus failureTime.
	failureWeight  = 0.1
	failurePenalty = 10
	failureTime    = 10 * time.Millisecond
	failureDecay   = 2 * time.Second
)

// Link is the link from this node to one upstream instance. It is safe for concurrent use.
type Link struct {
	id   instance.ID
	set  *Set
	path *NetworkPath

	mu        sync.Mutex
	record    instance.Record
	retired   bool // no longer in the set
	inFlight  [kinds]int
	pending   int   // short requests in flight without an answer
	startSum  int64 // sum of the start times of these, ns since epoch
	epoch     time.Time
	answerAt  time.Time // last answer to a short request
	report    Report
	reportAt  time.Time
	probedAt  time.Time      // last probe without an answer
	others    [kinds]float64 // requests of other nodes, averaged over the last reports
	late      float64        // power of two by which answers come later than predicted
	lateAt    time.Time
	failRate  float64
	failAt    time.Time
	tail      quantile // 95th percentile of the latency of short requests
	middle    quantile // its median
	coldSince time.Time
	ejection  ejection
}

func newLink(set *Set, path *NetworkPath, record instance.Record, now time.Time) *Link {
	l := &Link{
		id: record.ID, set: set, path: path, record: record, epoch: now,
		tail: quantile{share: tailShare}, middle: quantile{share: middleShare},
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

// update takes a newer record of the same incarnation.
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
		l.reportAt = time.Time{}
	}
}

// Begin counts an attempt as in flight.
func (l *Link) Begin(now time.Time, kind Kind) *Token {
	l.mu.Lock()
	defer l.mu.Unlock()
	token := &Token{kind: kind, started: now, predicted: l.predict(now, kind)}
	l.inFlight[kind]++
	if kind == Short {
		l.pending++
		l.startSum += int64(now.Sub(l.epoch))
	}
	return token
}

// Answered takes the time and the report of an answer when its header has come. The attempt stays
// in flight until End.
func (l *Link) Answered(now time.Time, token *Token, result Result, report *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	token.answered = true
	if token.kind == Short {
		l.pending--
		l.startSum -= int64(token.started.Sub(l.epoch))
	}
	if token.kind == Short && result == Served {
		l.answerAt = now
	}
	l.take(now, token, report)
	// An attempt given up without an answer took at least this long; that counts when it is late.
	overdue := (result == Late || result == Abandoned) && now.Sub(token.started) > token.predicted
	if result == Served || overdue {
		l.learn(now, token)
	}
	l.judge(now, result)
}

// End counts the attempt as over. The result and the report are used unless Answered took them; a
// connection that broke after the answer began still counts as a failure.
func (l *Link) End(now time.Time, token *Token, result Result, report *Report) {
	l.mu.Lock()
	answered := token.answered
	l.mu.Unlock()
	if !answered {
		l.Answered(now, token, result, report)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[token.kind]--
	if answered && result == Lost {
		l.judge(now, result)
	}
}

// Take takes a report that came by a probe.
func (l *Link) Take(now time.Time, report Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(now, nil, &report)
}

func (l *Link) take(now time.Time, token *Token, report *Report) {
	if report == nil {
		return
	}
	own := l.inFlight
	if token != nil {
		own[token.kind]--
		if took := now.Sub(token.started); report.Took > 0 && took >= report.Took {
			l.path.observe(took - report.Took)
		}
	}
	weight := 1.0
	if !l.reportAt.IsZero() && report.Queued < report.Slots {
		weight = 1 - fade(now.Sub(l.reportAt), othersTime)
	}
	l.noteOthers(Short, float64(report.InUse-report.Long+report.Queued-own[Short]), weight)
	l.noteOthers(Long, float64(report.Long+report.QueuedLong-own[Long]), weight)
	l.report, l.reportAt = *report, now
	if report.Slots > 0 {
		l.set.noteOthers(l.others[Short] / float64(report.Slots))
	}
}

// noteOthers averages what reports say of the requests of other nodes.
func (l *Link) noteOthers(kind Kind, load, weight float64) {
	l.others[kind] += (max(0, load) - l.others[kind]) * weight
}

// learn compares the latency of a short answer with the prediction. An upstream that claims to be
// idle but answers late is found so, whatever it reports.
func (l *Link) learn(now time.Time, token *Token) {
	if token.kind != Short {
		return
	}
	took := now.Sub(token.started)
	for _, q := range []*quantile{&l.tail, &l.middle, &l.set.tail, &l.set.middle} {
		q.add(took)
	}
	missed := math.Log2(max(1, float64(took)) / max(1, float64(token.predicted)))
	l.late = l.lateness(now)
	change := max(lateLeast, min(lateMost, missed)) - l.late
	if change > 0 {
		l.late += change * lateRise
	} else {
		l.late += change * lateFall
	}
	l.lateAt = now
}

// lateness returns the power of two by which answers come later than predicted, faded since the last.
func (l *Link) lateness(now time.Time) float64 {
	return l.late * fade(now.Sub(l.lateAt), lateDecay)
}

func fade(age, constant time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(constant))
}

// InFlight returns the attempts in flight on this link.
func (l *Link) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight[Short] + l.inFlight[Long]
}
