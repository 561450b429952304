package link

import (
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

// Report is the load report that the node beside an upstream sends about it. It is attached to answers and refusals,
// as often as a ReportPacer permits, and returned by probes.
type Report struct {
	State       instance.State
	Slots       int           // number of requests that the upstream may process concurrently now
	InUse       int           // slots in use
	Queued      int           // requests of short classes waiting for a slot
	LongInUse   int           // slots held by long classes
	QueuedLong  int           // requests of long classes waiting for a slot
	ServiceTime time.Duration // typical service time of short classes, 0 if unknown
	Elapsed     time.Duration // time from the arrival of the request at the node to this report, 0 if unknown
}

// minReportInterval is the minimum time between two reports on answers of one upstream. At 344 calls a second in each
// direction, a report every 10 ms costs a node twice its budget for control traffic; measured latencies hardly differ
// between 10 and 200 ms.
const minReportInterval = 200 * time.Millisecond

// ReportPacer limits how many answers of a node carry the report of its upstream. The zero value is ready for use. It is
// safe for concurrent use.
type ReportPacer struct {
	mu   sync.Mutex
	last time.Time
}

// Due reports whether an answer or refusal sent now carries the report. A report that the upstream does not serve is
// always sent.
func (p *ReportPacer) Due(now time.Time, report Report) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if report.State.Serves() && now.Sub(p.last) < minReportInterval {
		return false
	}
	p.last = now
	return true
}

// Kind distinguishes short from long requests, which wait for different slots.
type Kind uint8

// Kinds of requests.
const (
	Short Kind = iota
	Long
	kindCount
)

// Result is the outcome of an attempt over a link.
type Result uint8

// Results of an attempt.
const (
	Served         Result = iota // the upstream answered
	ServerError                  // the upstream answered with a server error
	Refused                      // the node beside the upstream refused the request before it ran
	Unreachable                  // no connection could be opened
	ConnectionLost               // the connection broke after the request was sent
	TimedOut                     // the deadline passed before an answer arrived
	Cancelled                    // the caller cancelled the request, or the other attempt of a hedged request won
)

// failure reports whether the result counts against the link.
func (r Result) failure() bool {
	return r == ServerError || r == Unreachable || r == ConnectionLost || r == TimedOut
}

// Token identifies one attempt between Begin and End. It is not safe for concurrent use.
type Token struct {
	kind      Kind
	started   time.Time
	predicted time.Duration
	answered  bool
	failed    bool // the answer reported a failure
}
