package inbound

import (
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

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

// minNewsInterval is the least time between two changes that are told at once, since each takes a message to each node.
const minNewsInterval = time.Second

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

// rateLimit returns the rate limit of the current incarnation: the lower of the one that it has named and the cold rate. It is
// called with the lock held.
func (p *Proxy) rateLimit(now time.Time) peer.RateLimit {
	if !p.limit.everNamed && !p.everColdLimited {
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
	if previous.ID == "" && p.mayHaveNamedLimit(now) {
		p.upstream.RateUnknown()
		return
	}
	p.upstream.RateKnown()
}

// mayHaveNamedLimit reports whether the current incarnation, which this process has just found, may have named a limit to a process of
// this node that has ended. It is called with the lock held.
func (p *Proxy) mayHaveNamedLimit(now time.Time) bool {
	isRecent := p.options.ConfirmPeriod > 0 && now.Sub(p.started) < p.options.ConfirmPeriod
	startedLater := p.current.Born >= p.started.UnixMilli()
	return isRecent && !startedLater
}
