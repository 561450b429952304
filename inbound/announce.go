package inbound

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// Announcement is a report of an upstream about its current incarnation.
type Announcement struct {
	ID                 string // ID of the incarnation; some upstreams keep it across a restart
	Born               int64  // start of the incarnation in ms since the Unix epoch, by the upstream's clock; 0 when not reported
	Address            string // host:port at which the upstream accepts requests
	Service            string
	Slots              int // largest number of concurrent requests
	Draining           bool
	Sequence           uint64        // increases with each announcement of an incarnation
	ColdStartRemaining time.Duration // remaining time for which the upstream is slow after its start
}

const (
	// maxSlots is the largest number of slots that an announcement may give.
	maxSlots = 1 << 16
	// maxNameLength is the largest length, in bytes, of an ID or a service. Longer ones do not fit into a status message.
	maxNameLength = 128
	// maxLoggedCause is the part of the cause of a rejected announcement that is logged, in bytes.
	maxLoggedCause = 256
	// maxClockLead is how far the upstream's clock may be ahead of this node's. An incarnation that claims a later start
	// would make all true announcements look outdated.
	maxClockLead = 24 * time.Hour
)

var invalidTotal = metrics.Counter("magnoliawharf_inbound_announcements_invalid_total")

// ErrInvalidAnnouncement is the error of an invalid announcement, or of one for another address than the upstream's.
var ErrInvalidAnnouncement = errors.New("announcement is invalid")

func (a *Announcement) validate(now time.Time) error {
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("%w: address %q: %w", ErrInvalidAnnouncement, a.Address, err)
	}
	switch {
	case a.ID == "":
		return fmt.Errorf("%w: ID is missing", ErrInvalidAnnouncement)
	case a.Service == "":
		return fmt.Errorf("%w: service is missing", ErrInvalidAnnouncement)
	case len(a.ID) > maxNameLength || len(a.Service) > maxNameLength:
		return fmt.Errorf("%w: ID or service is longer than %d bytes", ErrInvalidAnnouncement, maxNameLength)
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Errorf("%w: slots %d not in the range 1 to %d", ErrInvalidAnnouncement, a.Slots, maxSlots)
	case a.Born > now.Add(maxClockLead).UnixMilli():
		return fmt.Errorf("%w: start %d ms lies in the future", ErrInvalidAnnouncement, a.Born)
	}
	return nil
}

// sameIncarnation reports whether both announcements are of one incarnation.
func (a Announcement) sameIncarnation(b Announcement) bool { return a.ID == b.ID && a.Born == b.Born }

// latestBorn returns the start of the incarnation. When it is not known, because the upstream has not announced itself to this
// process, it returns now: the incarnation has started before, and a later one will start afterwards.
func (a Announcement) latestBorn(now time.Time) int64 {
	if a.Born == 0 {
		return now.UnixMilli()
	}
	return a.Born
}

// Announce applies an announcement of the upstream. The error wraps ErrInvalidAnnouncement. An outdated announcement is
// ignored, without an error unless it says that the upstream leaves and may be true.
func (p *Proxy) Announce(now time.Time, a Announcement) error {
	if err := a.validate(now); err != nil {
		return err
	}
	if p.options.Upstream != "" && a.Address != p.options.Upstream {
		return fmt.Errorf("%w: address %q is not the upstream address in the settings, %s", ErrInvalidAnnouncement, a.Address, p.options.Upstream)
	}
	p.mu.Lock()
	if cause := p.ignoreCause(now, a); cause != "" {
		p.mu.Unlock()
		p.options.Log.Info("announcement ignored", "upstream", a.ID, "born", a.Born, "sequence", a.Sequence, "cause", cause)
		if a.Draining && cause == causeEarlierIncarnation {
			// It may come from the running incarnation, and an acknowledgement would promise that this one gets no new requests.
			return fmt.Errorf("%w: an incarnation with a later start announces itself", ErrInvalidAnnouncement)
		}
		return nil
	}
	notify := p.apply(now, a)
	p.mu.Unlock()
	p.crashes.Detector.ProcessSeen(now, quarantine.ProcessInfo{Process: processName(a), Addr: a.Address})
	notify()
	return nil
}

// RecordInvalid logs and counts an announcement that was rejected. The ID and the cause may quote any bytes of another
// process, so only their beginning is logged.
func (p *Proxy) RecordInvalid(id string, cause error) {
	invalidTotal.Inc()
	text := cause.Error()
	p.options.Log.Warn("announcement rejected", "upstream", id[:min(len(id), maxNameLength)], "cause", text[:min(len(text), maxLoggedCause)])
}

// causeEarlierIncarnation is the reason to ignore an announcement of an incarnation that has ended, by its start.
const causeEarlierIncarnation = "an earlier incarnation of the same ID"

// maxSilentIntervals is the number of announcement intervals without an announcement after which the current incarnation no longer
// keeps one with an earlier start from taking its place.
const maxSilentIntervals = 2

// startedEarlier reports whether the announcement is of an incarnation with the current ID that has ended, by its start.
func (p *Proxy) startedEarlier(a Announcement) bool {
	return a.ID == p.current.ID && (a.Born < p.current.Born || a.sameIncarnation(p.superseded))
}

// announcesItself reports whether the current incarnation has announced itself lately. When it has not, an announcement with an
// earlier start is not taken for a late one: the clock may have been set back before the upstream was started again.
func (p *Proxy) announcesItself(now time.Time) bool {
	return now.Sub(p.announcedAt) < maxSilentIntervals*p.options.AnnounceEvery
}

// ignoreCause returns the reason to ignore the announcement, "" when it is current.
func (p *Proxy) ignoreCause(now time.Time, a Announcement) string {
	born, departed := p.departed[a.ID]
	alive := (p.state != unknown || p.confirmation.pending) && now.Sub(p.lastSeen) < p.options.LivenessTimeout
	switch {
	case departed && a.Born <= born:
		return "this incarnation has left"
	case p.startedEarlier(a) && p.announcesItself(now):
		return causeEarlierIncarnation
	case a.ID == p.current.ID && a.Born == p.current.Born && a.Sequence <= p.current.Sequence:
		return "a later announcement is known"
	case a.ID != p.current.ID && alive && a.Born < p.current.Born:
		return "a later incarnation serves at this address"
	case p.namedService(p.current.Service) && !p.namedService(a.Service):
		return "the contracts do not name its service, but that of the current announcement"
	}
	return ""
}

// namedService reports whether the contracts name the service.
func (p *Proxy) namedService(name string) bool { return p.options.HealthPath(name) != "" }

// apply makes the announcement the current one. It is called with the lock held; the caller must call notify after releasing the lock.
func (p *Proxy) apply(now time.Time, a Announcement) (notify func()) {
	previous := p.current
	replaced := !a.sameIncarnation(previous)
	if replaced && previous.ID != "" && previous.ID != a.ID {
		p.recordDeparture(previous.ID, previous.latestBorn(now))
	}
	if p.startedEarlier(a) {
		p.superseded = previous
	}
	p.current, p.lastSeen, p.announcedAt = a, now, now
	next := serving
	if a.Draining || (!replaced && p.state == draining) {
		// A draining incarnation never returns to service.
		next = draining
	}
	if next == draining {
		p.lastDeparture = peer.Departure{Upstream: a.ID, Born: a.Born}
		p.keepDeparture(a.ID, a.latestBorn(now))
	}
	if replaced {
		p.confirmation = confirmation{pending: p.needsConfirmation(a, previous), began: now}
		p.searchRecord(a)
	}
	if next == serving && p.confirmation.pending && (replaced || !p.announcementConfirms(a)) {
		next = unknown
	}
	if replaced {
		p.load, p.loadCheckedAt, p.pendingCheck = caller.UpstreamLoad{}, time.Time{}, nil
		p.forgetLimit(now, previous)
		p.forgetCold(now, previous)
		p.options.Client.KeepOnly(a.Address)
	}
	p.cold.observeAnnouncement(now, a.ColdStartRemaining)
	notifyCold := p.updateColdLimit(now, "an announcement") // before the state, so that no request starts by the limit from before
	if !replaced && next == p.state && a.Slots == previous.Slots && a.Service == previous.Service && a.Address == previous.Address {
		p.renewAnnouncement(now)
		return notifyCold
	}
	notifyState := p.setState(now, next, announcementCauses[next])
	return func() { notifyCold(); notifyState() }
}

// announcementCauses are the causes of the states that follow from an announcement.
var announcementCauses = map[state]string{
	serving: "announced", draining: "announced that it leaves", unknown: "announced, to be confirmed",
}

// renewAnnouncement extends the validity of the announcement in the admission control without a change of state.
func (p *Proxy) renewAnnouncement(now time.Time) {
	announced, _ := p.upstream.Announced(now)
	announced.TimeToLive = p.options.LivenessTimeout
	p.upstream.Announce(now, announced)
}

// processName returns a name that differs between the processes of an upstream, also when it keeps its ID.
func processName(a Announcement) string { return fmt.Sprintf("%s@%d", a.ID, a.Born) }
