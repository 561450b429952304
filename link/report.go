package link

import (
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

// Report is what the node beside an upstream says of it. It rides on answers and refusals, as often
// as a Pacer allows.
type Report struct {
	State      instance.State
	Slots      int           // requests the upstream may run at the same time now
	InUse      int           // slots in use
	Queued     int           // requests of short classes that wait for a slot
	Long       int           // slots held by long classes
	QueuedLong int           // requests of long classes that wait for a slot
	Service    time.Duration // typical service time of short classes, 0 when unknown
	Took       time.Duration // time from receiving the request to this report, 0 when unknown
}

// reportSpacing is the least time between two reports on answers of one upstream. At 344 calls a
// second each way a report every 10 ms would cost a node twice the control traffic that it may
// spend; the measured latencies hardly differ between 10 and 200 ms.
const reportSpacing = 200 * time.Millisecond

// Pacer decides at the node beside an upstream which answers carry a report. The zero value is ready
// for use.
type Pacer struct {
	mu   sync.Mutex
	last time.Time
}

// Due reports whether an answer or refusal sent now carries the report. That an upstream takes no
// work is always told.
func (p *Pacer) Due(now time.Time, report Report) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if report.State.Serves() && now.Sub(p.last) < reportSpacing {
		return false
	}
	p.last = now
	return true
}

// Kind tells short from long work, which waits for different slots.
type Kind uint8

// Kinds of work.
const (
	Short Kind = iota
	Long
	kinds
)

// Result says how an attempt over a link ended.
type Result uint8

// Results of an attempt.
const (
	Served      Result = iota // an upstream answered
	Failed                    // an upstream answered with a server error
	Refused                   // the node beside the upstream refused it before it ran
	Unreachable               // no connection could be opened
	Lost                      // the connection broke after the request was sent
	Late                      // the deadline passed without an answer
	Abandoned                 // the caller went away or a hedge was faster
)

func (r Result) failure() bool { return r == Failed || r == Unreachable || r == Lost || r == Late }

// Token identifies one attempt between Begin and End. It belongs to the attempt and is used by one
// goroutine at a time.
type Token struct {
	kind      Kind
	started   time.Time
	predicted time.Duration
	answered  bool
}
