package inbound

import (
	"errors"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/metrics"
)

var (
	limitChangesTotal     = metrics.Counter("magnoliawharf_inbound_rate_limit_changes_total")
	unreadableLimitsTotal = metrics.Counter("magnoliawharf_inbound_rate_limits_unreadable_total")
	leavingTotal          = metrics.Counter("magnoliawharf_inbound_leaving_answers_total")
)

// answerNotice is a notice with the circumstances of the answer that carried it.
type answerNotice struct {
	caller.Notice
	target    Announcement // incarnation to which the request was sent
	requestID string       // "" for a health check
	sentAt    time.Time    // when the request was sent
	// endsLimit says that the absence of a limit ends the one known. That of a health check or a rejection does not: an upstream may
	// name its limit in the answers to requests that it runs only.
	endsLimit bool
}

// noticeOf returns the notice of an answer, or of a rejection, to a request. ok is false without either.
func noticeOf(req *caller.Request, target Announcement, sentAt time.Time, answer *caller.Answer, err error) (n answerNotice, ok bool) {
	n = answerNotice{target: target, requestID: req.ID, sentAt: sentAt}
	var rejection *Rejection
	switch {
	case answer != nil:
		n.Notice, n.endsLimit = answer.Notice, true
	case errors.As(err, &rejection):
		n.Notice = rejection.Notice
	default:
		return answerNotice{}, false
	}
	return n, true
}

// recordHealthNotice applies what a health report states about the upstream, if it is of the given incarnation. It was asked for at sentAt.
func (p *Proxy) recordHealthNotice(target Announcement, sentAt time.Time, report HealthReport) {
	if report.UpstreamID == target.ID {
		p.recordNotice(time.Now(), answerNotice{Notice: report.Notice, target: target, sentAt: sentAt})
	}
}

// recordNotice applies what an answer states about the upstream. When it returns, the requests of all nodes that reach this one are
// admitted accordingly, and the other nodes have been told.
func (p *Proxy) recordNotice(now time.Time, n answerNotice) {
	if n.Leaving {
		p.recordLeaving(now, n)
	}
	p.recordUnreadable(n)
	p.mu.Lock()
	isCurrent := p.answeredByCurrent(n)
	previous := p.limit
	changed := isCurrent && p.limit.apply(now, n)
	next := p.limit
	isNews := changed && isNews(previous.RateLimit, next.RateLimit) && now.Sub(p.limitToldAt) >= minNewsInterval
	if isNews {
		p.limitToldAt = now
	}
	if changed {
		p.upstream.SetRateLimit(now, next.RateLimit)
	}
	if isCurrent && n.requestID != "" {
		p.upstream.RateKnown()
	}
	p.mu.Unlock()
	if !changed {
		return
	}
	limitChangesTotal.Inc()
	p.options.Log.Info("rate limit of the upstream changed", "upstream", n.target.ID, "born", n.target.Born, "from", rateText(previous.RateLimit),
		"to", rateText(next.RateLimit), "cause", "an answer", "id", n.requestID, "sent_ms_ago", now.Sub(n.sentAt).Milliseconds())
	if isNews {
		p.options.OnStatusChange()
	}
}

// recordUnreadable counts a rate limit that cannot be read, and logs it when the value is another one than before.
func (p *Proxy) recordUnreadable(n answerNotice) {
	p.mu.Lock()
	isNew := n.Unreadable != "" && n.Unreadable != p.unreadableLimit
	p.unreadableLimit = n.Unreadable
	p.mu.Unlock()
	if n.Unreadable != "" {
		unreadableLimitsTotal.Inc()
	}
	if isNew {
		p.options.Log.Warn("rate limit unreadable", "upstream", n.target.ID, "value", n.Unreadable, "id", n.requestID)
	}
}

// answeredByCurrent reports whether the answer is of the current incarnation. The start of the one to which the request was sent may
// have become known since. It is called with the lock held.
func (p *Proxy) answeredByCurrent(n answerNotice) bool {
	becameKnown := n.target.ID == p.current.ID && n.target.Born == 0 && p.current.Born <= n.sentAt.UnixMilli()
	return p.current.sameIncarnation(n.target) || becameKnown
}

// recordLeaving marks the incarnation that answered as departed, as its withdrawal would.
func (p *Proxy) recordLeaving(now time.Time, n answerNotice) {
	notify := func() {}
	p.mu.Lock()
	born, departed := p.departed[n.target.ID]
	switch {
	case departed && n.target.latestBorn(n.sentAt) <= born:
		// known
	case p.answeredByCurrent(n):
		leavingTotal.Inc()
		notify = p.departCurrent(now, "said in an answer that it leaves")
	default:
		p.recordOwnDeparture(n.target.ID, n.target.latestBorn(n.sentAt))
	}
	p.mu.Unlock()
	notify()
}
