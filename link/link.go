// Package link describes the links from a node to the upstream instances of a service: what the
// node knows of each from its own requests and from the reports that ride on answers, and how it
// chooses among them.
package link

import (
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

// Report is what the node beside an upstream says of it. It rides on every answer.
type Report struct {
	State  instance.State
	Slots  int // requests the upstream runs at the same time
	InUse  int // slots in use
	Queued int // requests waiting for a slot
}

// Result says how an attempt over a link ended.
type Result uint8

// Results of an attempt.
const (
	Served      Result = iota // an upstream answered
	Refused                   // the node beside the upstream refused it before it ran
	Unreachable               // no connection could be opened
	Lost                      // the connection broke after the request was sent
	Abandoned                 // the caller went away or the deadline passed
)

// Token identifies one attempt between Begin and End.
type Token struct{ started time.Time }

// Link is the link from this node to one upstream instance. It is safe for concurrent use.
type Link struct {
	mu       sync.Mutex
	record   instance.Record
	inFlight int
	report   Report
	reportAt time.Time
}

// New returns a link to the instance.
func New(record instance.Record) *Link { return &Link{record: record} }

// Record returns the newest record of the instance.
func (l *Link) Record() instance.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// Update takes a newer record of the instance.
func (l *Link) Update(record instance.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record = record
}

// Begin counts an attempt as in flight.
func (l *Link) Begin(now time.Time) Token {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
	return Token{started: now}
}

// End takes the result of an attempt and the report that rode on its answer, if any.
func (l *Link) End(now time.Time, _ Token, _ Result, report *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if report != nil {
		l.report, l.reportAt = *report, now
	}
}

// load returns the requests known to be at the upstream.
func (l *Link) load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight + l.report.Queued
}
