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
	ran       bool         // the upstream ran the request
}

// noticeOf returns the notice of an answer, or of a rejection, to a request. ok is false without either.
func noticeOf(req *caller.Request, target Announcement, sentAt time.Time, answer *caller.Answer, err error) (n answerNotice, ok bool) {
	n = answerNotice{target: target, requestID: req.ID, sentAt: sentAt}
	var rejection *Rejection
	switch {
	case answer != nil:
		n.Notice, n.ran = answer.Notice, true
	case errors.As(err, &rejection):
		n.Notice = rejection.Notice
	default:
		return answerNotice{}, false
	}
	return n, true
}

// recordNotice logs what an answer states about the upstream, when it states anything new.
func (p *Proxy) recordNotice(n answerNotice) {
	if n.Unreadable != "" {
		unreadableLimitsTotal.Inc()
		p.options.Log.Warn("rate limit unreadable", "upstream", n.target.ID, "value", n.Unreadable, "id", n.requestID)
	}
	if n.Leaving {
		leavingTotal.Inc()
		p.options.Log.Info("upstream says that it leaves", "upstream", n.target.ID, "born", n.target.Born, "id", n.requestID)
	}
	p.mu.Lock()
	previous := p.limit
	isNew := p.current.sameIncarnation(n.target) && n.Limit != previous
	if isNew {
		p.limit = n.Limit
	}
	p.mu.Unlock()
	if isNew {
		limitChangesTotal.Inc()
		p.options.Log.Info("rate limit of the upstream changed", "upstream", n.target.ID, "born", n.target.Born, "from", rateText(previous),
			"to", rateText(n.Limit), "id", n.requestID, "sent_ms_ago", time.Since(n.sentAt).Milliseconds())
	}
}

// rateText returns the limit for the log.
func rateText(l caller.RateLimit) any {
	if !l.Named {
		return "none"
	}
	return l.PerSecond
}
