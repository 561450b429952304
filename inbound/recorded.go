package inbound

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// maxRecordWait bounds the time for which an incarnation waits for the answer of the records of departures before other evidence
	// confirms it: a node that does not reach the store serves all the same. The search goes on.
	maxRecordWait = 3 * time.Second
	// recordTimeout bounds one attempt to read a record, and recordRetryDelay is the time between two attempts.
	recordTimeout    = time.Second
	recordRetryDelay = 200 * time.Millisecond
)

var recordFailuresTotal = metrics.Counter("magnoliawharf_departure_searches_failed_total")

// searchRecord lets Watch ask the records of departures for the incarnation. It is called with the lock held.
func (p *Proxy) searchRecord(a Announcement) {
	if p.options.Departures == nil || !p.firstSearch(a) {
		return
	}
	select {
	case <-p.recordSearch: // of an incarnation that is not the current one any more
	default:
	}
	p.recordSearch <- a
}

// firstSearch reports whether this process knows too little of the incarnation: it has not been told of one before it, or that one has left.
func (p *Proxy) firstSearch(a Announcement) bool {
	_, recalled := p.recalledServices[a.ID]
	return p.confirmation.pending || recalled
}

// awaitsRecord reports whether the incarnation must not be confirmed yet, since the records of departures have not answered. What another
// node knew of it confirms it without them. It is called with the lock held.
func (p *Proxy) awaitsRecord(now time.Time) bool {
	_, recalled := p.recalledServices[p.current.ID]
	return p.options.Departures != nil && p.confirmation.pending && !p.confirmation.searched && !recalled &&
		now.Sub(p.confirmation.began) < maxRecordWait
}

// searchRecords asks the records of departures for each incarnation that is passed to searchRecord, until ctx ends.
func (p *Proxy) searchRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case target := <-p.recordSearch:
			for !p.searchRecordOf(ctx, target) && wait.For(ctx, recordRetryDelay) && len(p.recordSearch) == 0 {
			}
		}
	}
}

// searchRecordOf asks the records of departures for the incarnation, and applies what they have. It reports whether they have answered.
func (p *Proxy) searchRecordOf(ctx context.Context, target Announcement) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	d, found, err := p.options.Departures.Find(ctx, target.ID)
	if err != nil {
		recordFailuresTotal.Inc()
		p.options.Log.Warn("records of departures not read, retrying", "upstream", target.ID, "born", target.Born, "cause", err.Error())
		return false
	}
	if found {
		p.learnDeparture(time.Now(), d, "the records in the store")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current.sameIncarnation(target) && p.confirmation.pending {
		p.confirmation.searched = true
		p.probeNow()
	}
	return true
}

// probeNow lets Watch check the health of the upstream without waiting for its interval.
func (p *Proxy) probeNow() {
	select {
	case p.recordAnswered <- struct{}{}:
	default:
	}
}
