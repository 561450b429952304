package peer

import (
	"net/netip"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// RateLimit is the rate limit that the upstream beside a node has named, or the end of one. The node beside the upstream keeps it for all nodes. These
// place their requests by it, and tell it to that node when it has started again.
type RateLimit struct {
	Upstream string // ID of the incarnation, "" for none
	Born     int64  // start of the incarnation in ms since the Unix epoch, by the upstream's clock; 0 when not known
	caller.RateLimit
	Available float64 // requests that may start at once; below 0 when others wait
}

// RateLimitMessage is the message by which a node reports a rate limit.
type RateLimitMessage struct {
	RateLimit
	Boot       uint64 // run of the sender's process
	OfReceiver bool   // it is the limit of the receiver's upstream, from before a restart of the receiver
}

// reportedLimit is the rate limit that a peer has reported last.
type reportedLimit struct {
	RateLimit
	boot uint64    // run of the peer's process that reported it
	at   time.Time // receipt of the report
}

// HandleRateLimit handles a rate limit that another node reports.
func (r *Roster) HandleRateLimit(from netip.AddrPort, m RateLimitMessage) {
	if m.OfReceiver {
		r.selfNode.LearnRateLimit(m.RateLimit)
		return
	}
	r.recordReport(from, func(p *Peer) { p.limit = reportedLimit{m.RateLimit, m.Boot, time.Now()} })
}

// sendRateLimits sends the rate limit of this node's upstream to the peer, and that of the peer's upstream when the peer has started
// again since it reported it.
func (r *Roster) sendRateLimits(p *Peer) {
	r.sendOwnRateLimit(p.addr)
	if forgotten := p.forgottenLimit(); forgotten.Named {
		r.sender.SendRateLimit(p.addr, RateLimitMessage{RateLimit: forgotten, Boot: r.selfNode.Status().Boot, OfReceiver: true})
	}
}

// sendOwnRateLimit sends the rate limit of this node's upstream, or that the one which it had named has ended.
func (r *Roster) sendOwnRateLimit(to netip.AddrPort) {
	if own := r.selfNode.RateLimit(time.Now()); own.Upstream != "" {
		r.sender.SendRateLimit(to, RateLimitMessage{RateLimit: own, Boot: r.selfNode.Status().Boot})
	}
}

// endLimit ends the limit when an answer to the latest load query came without it, in the same run of the node that had reported it. The
// caller holds the lock.
func (p *Peer) endLimit(boot uint64, sequence uint32) {
	if boot == p.limit.boot && sequence == p.query.sequence && p.limit.at.Before(p.query.sentAt) {
		p.limit.RateLimit.RateLimit = caller.RateLimit{}
	}
}

// forgottenLimit returns the rate limit that an earlier run of the peer has reported and the present one has not, unless the peer has
// another upstream by now.
func (p *Peer) forgottenLimit() RateLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.status.hasForgotten(p.limit.Upstream, p.limit.boot) {
		return RateLimit{}
	}
	return p.limit.RateLimit
}

// limitWait returns the time until the rate limit lets the next request to the peer start, by what is known of it. The caller holds the
// lock.
func (p *Peer) limitWait(now time.Time) time.Duration {
	if !p.limit.Named || p.limit.Upstream != p.status.Upstream {
		return 0
	}
	if p.limit.PerSecond <= 0 {
		return maxLimitWait
	}
	available := p.limit.Available + p.limit.PerSecond*now.Sub(p.limit.at).Seconds()
	missing := 1 - min(available, max(1, p.limit.PerSecond))
	wait := time.Duration(max(0, missing) / p.limit.PerSecond * float64(time.Second))
	return min(wait, maxLimitWait)
}

// limitTooLate reports whether the wait for the rate limit makes the answer to the request too late. The caller holds the lock.
func (p *Peer) limitTooLate(now time.Time, need Criteria) bool {
	wait := p.limitWait(now)
	if wait == 0 {
		return false
	}
	percent := usualServiceTimePercent
	if !p.loadAt.IsZero() {
		percent = max(usualServiceTimePercent, p.load.ServiceTimePercent)
	}
	return wait+need.ServiceTime*time.Duration(percent)/usualServiceTimePercent > need.AnswerWithin
}

// maxLimitWait bounds the wait for a rate limit, so that arithmetic on it cannot overflow.
const maxLimitWait = time.Hour
