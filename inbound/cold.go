package inbound

import (
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

const (
	// coldCheckInterval is the time between health checks of an upstream with a cold rate that gets little work.
	coldCheckInterval = 500 * time.Millisecond
	// minColdCheckInterval is the least time between health checks that requests cause. At any number of requests they cost the
	// upstream at most 20 checks a second.
	minColdCheckInterval = 50 * time.Millisecond
	// coldReportValid is the time after a health report with a cold time in which announcements cannot end the cold time, since an
	// announcement may have been sent before that report.
	coldReportValid = 3 * time.Second
	// warmAnnouncements is the number of successive announcements without a cold time that show that the upstream is warm. The first
	// may have been sent before the state became unknown, or before the report that the upstream is cold.
	warmAnnouncements = 2
	// unreadableLogInterval is the least time between two log lines on cold times that cannot be read, which each check may show again.
	unreadableLogInterval = time.Minute
)

var (
	coldChangesTotal    = metrics.Counter("magnoliawharf_inbound_cold_changes_total")
	coldChecksTotal     = metrics.Counter("magnoliawharf_inbound_cold_checks_total")
	unreadableColdTotal = metrics.Counter("magnoliawharf_inbound_cold_times_unreadable_total")
)

// coldState is what is known of the cold time of an incarnation. The zero value is not known, which counts as cold.
type coldState struct {
	warm      bool      // the latest report says so
	known     bool      // a report was sent after unknownAt
	unknownAt time.Time // reports that were sent earlier do not show that the upstream is warm
	latest    time.Time // when the report was sent from which the state follows; receipt for an announcement
	until     time.Time // end of the cold time by the latest report
	// statedAt is the receipt of the last health report with a cold time, zero before the first one.
	statedAt time.Time
	// warmAnnouncementCount is the number of successive announcements without a cold time since unknownAt and since the last report of one.
	warmAnnouncementCount int
	unconfirmed           bool // the latest report is an announcement, although health reports state cold times
}

// reset makes the state unknown.
func (c *coldState) reset(now time.Time) {
	*c = coldState{unknownAt: now, latest: now, statedAt: c.statedAt}
}

// observeHealth applies a health report. It was asked for at sentAt and arrived at now. One that overtook a later report is ignored.
func (c *coldState) observeHealth(sentAt, now time.Time, report caller.ColdTime) {
	statesUsually := !c.statedAt.IsZero()
	if report.Stated {
		c.statedAt = now
	}
	if sentAt.Before(c.latest) || !report.Stated && (!statesUsually || report.Unreadable != "") {
		return
	}
	c.observe(sentAt, now, report.Remaining)
}

// observeAnnouncement applies an announcement that arrives now. When it was sent is not known. It can always begin a cold time, and ends
// one only while health reports state none.
func (c *coldState) observeAnnouncement(now time.Time, remaining time.Duration) {
	if remaining > 0 {
		c.observe(now, now, remaining)
		c.unconfirmed = !c.statedAt.IsZero()
		return
	}
	c.warmAnnouncementCount++
	decidedByHealth := !c.statedAt.IsZero() && now.Sub(c.statedAt) < coldReportValid
	if c.warmAnnouncementCount >= warmAnnouncements && !decidedByHealth {
		c.observe(now, now, 0)
	}
}

func (c *coldState) observe(sentAt, now time.Time, remaining time.Duration) {
	c.known, c.warm, c.latest, c.until, c.unconfirmed = true, remaining <= 0, sentAt, now.Add(remaining), false
	if !c.warm {
		c.warmAnnouncementCount = 0
	}
}

// checkDue reports whether a health check is due for an upstream that had the last one at lastCheck. The end of the cold time, a state
// that is not known, and an announcement of a cold time, which may be late, are checked at once.
func (c *coldState) checkDue(now, lastCheck time.Time) bool {
	since := now.Sub(lastCheck)
	atOnce := !c.known || c.unconfirmed || !c.warm && !now.Before(c.until)
	return since >= coldCheckInterval || atOnce && since >= minColdCheckInterval
}

// checkDueAfter reports whether the requests that started since the last health check make another one due: the upstream may have become
// cold, and the requests that start before this is known count in the second in which it did.
func checkDueAfter(now, lastCheck time.Time, starts int, limit upstream.ColdLimit) bool {
	return starts >= limit.Burst && now.Sub(lastCheck) >= minColdCheckInterval
}

// forgetCold forgets the cold time of the incarnation before the current one, unless it is the same one whose start was not known.
// Whether the current one is cold is not known. It is called with the lock held.
func (p *Proxy) forgetCold(now time.Time, previous Announcement) {
	if previous.ID == p.current.ID && previous.Born == 0 {
		return
	}
	p.cold = coldState{unknownAt: now, latest: now}
}

// contractColdRate returns the cold rate of the service of the current incarnation, 0 for none. known is false while no
// contracts are known.
func (p *Proxy) contractColdRate() (perSecond float64, known bool) {
	if p.options.ColdRate == nil || p.current.ID == "" {
		return 0, true
	}
	return p.options.ColdRate(p.current.Service)
}

// updateColdLimit applies the limit that follows from the cold state and the contracts. It is called with the lock held; the caller must
// call notify after releasing it.
func (p *Proxy) updateColdLimit(now time.Time, cause string) (notify func()) {
	perSecond, known := p.contractColdRate()
	next := upstream.ColdLimitOf(perSecond)
	switch {
	case p.cold.warm:
		next = upstream.ColdLimit{}
	case !known:
		next = upstream.SmallestColdLimit()
	}
	if next == p.coldLimit {
		return func() {}
	}
	previous := p.coldLimit
	p.coldLimit = next
	p.everColdLimited = p.everColdLimited || next.PerSecond > 0
	p.upstream.SetColdLimit(now, next)
	isNews := (previous.PerSecond > 0) != (next.PerSecond > 0) && now.Sub(p.limitToldAt) >= minNewsInterval
	if isNews {
		p.limitToldAt = now
	}
	current, cold := p.current, p.cold
	return func() {
		coldChangesTotal.Inc()
		p.options.Log.Info("cold rate changed", "upstream", current.ID, "born", current.Born, "service", current.Service,
			"from", previous.PerSecond, "to", next.PerSecond, "known", cold.known,
			"cold_ms", max(0, cold.until.Sub(now).Milliseconds()), "cause", cause)
		if isNews {
			p.options.OnStatusChange()
		}
	}
}

// applyColdRate applies the cold rate of the contracts in force.
func (p *Proxy) applyColdRate(now time.Time) {
	if p.options.ColdRate == nil {
		return
	}
	p.mu.Lock()
	notify := p.updateColdLimit(now, "the contracts")
	p.mu.Unlock()
	notify()
}

// recordColdTime applies the cold time of a health report, if it is of the given incarnation. It was asked for at sentAt.
func (p *Proxy) recordColdTime(target Announcement, sentAt time.Time, report HealthReport) {
	now := time.Now()
	p.mu.Lock()
	notify := func() {}
	if p.isCurrent(report.UpstreamID) && p.answeredByCurrent(answerNotice{target: target, sentAt: sentAt}) {
		p.cold.observeHealth(sentAt, now, report.Cold)
		notify = p.updateColdLimit(now, "a health check")
	}
	p.mu.Unlock()
	if report.Cold.Unreadable != "" {
		unreadableColdTotal.Inc()
		p.unreadableCold.Do(func() {
			p.options.Log.Warn("cold time unreadable", "upstream", target.ID, "value", report.Cold.Unreadable)
		})
	}
	notify()
}

// startColdCheck starts a health check when the cold state makes one due. It is called with the lock held.
func (p *Proxy) startColdCheck(now time.Time) {
	if p.needsColdChecks() && p.cold.checkDue(now, p.checkStartedAt) {
		p.launchColdCheck(now)
	}
}

// countStart counts a request that is sent to the upstream, and starts a health check when one is due. It is called with the lock held.
func (p *Proxy) countStart(now time.Time) {
	perSecond, _ := p.contractColdRate()
	p.startsUnchecked++
	if p.needsColdChecks() && checkDueAfter(now, p.checkStartedAt, p.startsUnchecked, upstream.ColdLimitOf(perSecond)) {
		p.launchColdCheck(now)
	}
}

// needsColdChecks reports whether the cold state of the upstream matters. It is called with the lock held.
func (p *Proxy) needsColdChecks() bool {
	perSecond, _ := p.contractColdRate()
	return perSecond > 0 && p.acceptsWork()
}

// launchColdCheck starts a health check unless one is in progress. It is called with the lock held.
func (p *Proxy) launchColdCheck(now time.Time) {
	path := p.options.HealthPath(p.current.Service)
	if path == "" || p.pendingCheck != nil {
		return
	}
	coldChecksTotal.Inc()
	p.launchHealthCheck(now, path)
}

// ColdRate returns the requests a second that the upstream gets at most while it is cold or may be, 0 when it is warm or has no such limit.
func (p *Proxy) ColdRate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.coldLimit.PerSecond
}
