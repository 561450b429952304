package inbound

import "time"

// confirmation is the evidence that an incarnation which this process found without knowing one before it has not left.
//
// Any number of announcements that were sent before a departure may arrive late. When all nodes were killed, the departure is left in the
// records of departures, unless the store could not be written to at the time, and at the upstream itself: its health check fails from then
// on, as a rule, and its announcements end. So the records are asked first. Then a passed health check confirms it at once. Announcements
// confirm it only when they go on for longer than they may be delayed, since a running upstream may fail its health checks as well. The time
// is counted in health checks that did not confirm it: a process that was frozen in between makes none, and takes announcements that waited
// meanwhile for new ones.
type confirmation struct {
	pending   bool
	began     time.Time // first announcement
	searched  bool      // the records of departures have none of the incarnation
	checks    int       // health checks since the first announcement, none of which confirmed the incarnation
	unhealthy bool      // one of them was answered by the incarnation, which is unhealthy or leaves
}

// unhealthyConfirmFactor multiplies Options.ConfirmPeriod for an incarnation whose health check says that it is unhealthy or leaves.
const unhealthyConfirmFactor = 3

// needsConfirmation reports whether the incarnation of a, which takes the place of previous, has to be confirmed: when nothing is known
// of one before it, or when the one before it has left under the same ID, since a withdrawal names the ID alone and may have meant a.
func (p *Proxy) needsConfirmation(a, previous Announcement) bool {
	followsDeparture := p.state == draining && a.ID == previous.ID
	return p.options.ConfirmPeriod > 0 && (previous.ID == "" || p.state == unknown || followsDeparture)
}

// announcementConfirms reports whether another announcement of the current incarnation confirms it: when another node knew the
// incarnation before this one was started, and so would have told its departure, or when it was sent after the start of this process.
// It is called with the lock held.
func (p *Proxy) announcementConfirms(a Announcement) bool {
	if _, recalled := p.recalledServices[a.ID]; recalled {
		return true
	}
	period := p.options.ConfirmPeriod
	if p.confirmation.unhealthy {
		period *= unhealthyConfirmFactor
	}
	return time.Duration(p.confirmation.checks)*probeInterval >= period
}

// recordUnconfirmed records that a health check did not confirm the incarnation target.
func (p *Proxy) recordUnconfirmed(target Announcement, report HealthReport, err error) {
	p.mu.Lock()
	if !p.confirmation.pending || !p.current.sameIncarnation(target) {
		p.mu.Unlock()
		return
	}
	unhealthy := p.confirmation.unhealthy || err == nil && report.UpstreamID == target.ID
	isNews := p.confirmation.checks == 0 || unhealthy != p.confirmation.unhealthy
	p.confirmation.checks++
	p.confirmation.unhealthy = unhealthy
	p.mu.Unlock()
	if isNews {
		p.options.Log.Info("upstream not confirmed by a health check", "upstream", target.ID, "born", target.Born,
			"sequence", target.Sequence, "reported", report.UpstreamID, "healthy", report.Healthy, "cause", err)
	}
}
