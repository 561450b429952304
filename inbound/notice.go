package inbound

import (
	"errors"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/peer"
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

// recordNotice applies what an answer states about the upstream. When it returns, the requests of all nodes that reach this one are
// admitted accordingly, and the other nodes have been told.
func (p *Proxy) recordNotice(now time.Time, n answerNotice) {
	if n.Leaving {
		p.recordLeaving(now, n)
	}
	if n.Unreadable != "" {
		unreadableLimitsTotal.Inc()
		p.options.Log.Warn("rate limit unreadable", "upstream", n.target.ID, "value", n.Unreadable, "id", n.requestID)
	}
	p.mu.Lock()
	isCurrent := p.answeredByCurrent(n)
	previous := p.limit
	changed := isCurrent && p.limit.apply(now, n)
	next := p.limit
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
	if isNews(previous.RateLimit, next.RateLimit) {
		p.options.OnStatusChange()
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
	p.mu.Lock()
	born, departed := p.departed[n.target.ID]
	if departed && n.target.latestBorn(n.sentAt) <= born {
		p.mu.Unlock()
		return
	}
	if !p.answeredByCurrent(n) {
		p.recordDeparture(n.target.ID, n.target.latestBorn(n.sentAt))
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	leavingTotal.Inc()
	p.options.Log.Info("upstream says that it leaves", "upstream", n.target.ID, "born", n.target.Born, "id", n.requestID)
	p.Deregister(now, n.target.ID)
}

// namedLimit is the rate limit that the current incarnation has named.
type namedLimit struct {
	caller.RateLimit
	// namedAt is when the last answer arrived that named this limit or a lower one. Only the answer to a request that was sent later
	// can end or raise it, since answers on several connections may be read in another order than they were written.
	namedAt time.Time
	// everNamed says that the incarnation has named a limit, to this process or to one before it.
	everNamed bool
	// answered says that a request has been answered, so that what other nodes know from before a restart no longer counts.
	answered bool
	// inHealthReports says that a health report has named a limit, so that one without a limit ends it.
	inHealthReports bool
}

// apply updates the limit by an answer and reports whether it changed.
func (l *namedLimit) apply(now time.Time, n answerNotice) (changed bool) {
	isHealthReport := n.requestID == ""
	l.inHealthReports = l.inHealthReports || isHealthReport && n.Limit.Named
	l.answered = l.answered || !isHealthReport
	l.everNamed = l.everNamed || n.Limit.Named
	previous := l.RateLimit
	switch {
	case n.Unreadable != "":
		l.namedAt = now // the upstream still names a limit
	case n.Limit.Named && (!l.Named || n.Limit.PerSecond <= l.PerSecond):
		l.RateLimit, l.namedAt = n.Limit, now
	case !l.Named || !n.sentAt.After(l.namedAt):
		// there is none to end or raise, or the answer may have been written before the one that named it
	case n.Limit.Named:
		l.RateLimit, l.namedAt = n.Limit, now
	case n.endsLimit || isHealthReport && l.inHealthReports:
		l.RateLimit = caller.RateLimit{}
	}
	return l.RateLimit != previous
}

// newsShare is the relative change of a limit that the other nodes are told at once. They learn smaller ones with the next load.
const newsShare = 0.25

// isNews reports whether the other nodes are to be told a change of the limit at once.
func isNews(before, after caller.RateLimit) bool {
	if before.Named != after.Named {
		return true
	}
	change := after.PerSecond - before.PerSecond
	return max(change, -change) > newsShare*before.PerSecond
}

// rateText returns the limit for the log.
func rateText(l caller.RateLimit) any {
	if !l.Named {
		return "none"
	}
	return l.PerSecond
}

// RateLimit implements peer.Self.
func (p *Proxy) RateLimit(now time.Time) peer.RateLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rateLimit(now)
}

// rateLimit returns the rate limit of the current incarnation. It is called with the lock held.
func (p *Proxy) rateLimit(now time.Time) peer.RateLimit {
	if !p.limit.everNamed {
		return peer.RateLimit{}
	}
	allowance := p.upstream.RateAllowance(now)
	return peer.RateLimit{Upstream: p.current.ID, Born: p.current.Born, RateLimit: allowance.Limit, Available: allowance.Available}
}

// LearnRateLimit records the rate limit that the upstream named before a restart of this node, as another node knows it. It holds until
// an answer says otherwise.
func (p *Proxy) LearnRateLimit(now time.Time, l peer.RateLimit) {
	l.Available = 0
	p.mu.Lock()
	if !l.Named || p.recalledLimit == l {
		p.mu.Unlock()
		return
	}
	p.recalledLimit = l
	applied := p.recallLimit(now)
	p.mu.Unlock()
	p.options.Log.Info("rate limit learned from another node", "upstream", l.Upstream, "born", l.Born, "limit", l.PerSecond, "applied", applied)
	if applied {
		p.options.OnStatusChange()
	}
}

// recallLimit applies the limit that another node has told when it is that of the current incarnation, which has answered nothing yet.
// It is called with the lock held.
func (p *Proxy) recallLimit(now time.Time) (applied bool) {
	l := p.recalledLimit
	isOther := l.Upstream != p.current.ID || l.Born != 0 && p.current.Born != 0 && l.Born != p.current.Born
	if !l.Named || isOther {
		return false
	}
	p.limit.everNamed = true
	if p.limit.Named || p.limit.answered {
		return false
	}
	p.limit.RateLimit, p.limit.namedAt = l.RateLimit, now
	p.upstream.SetRateLimit(now, l.RateLimit)
	return true
}

// forgetLimit forgets the limit of the incarnation before the current one, unless it is the same one whose start was not known. The
// limit that another node has told, if any, counts from then on. It is called with the lock held.
func (p *Proxy) forgetLimit(now time.Time, previous Announcement) {
	if previous.ID == p.current.ID && previous.Born == 0 {
		return
	}
	p.limit = namedLimit{}
	p.upstream.SetRateLimit(now, caller.RateLimit{})
	p.recallLimit(now)
	if p.options.ConfirmPeriod > 0 && now.Sub(p.started) < p.options.ConfirmPeriod && previous.ID == "" {
		p.upstream.RateUnknown()
	}
}
