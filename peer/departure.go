package peer

import "net/netip"

// Departure is an incarnation of an upstream that is leaving or has left. It gets no new requests, whatever it announces later.
// The nodes keep the departure of each other's upstream, since a node that starts again knows nothing of it, and an earlier
// announcement of the upstream may arrive late.
type Departure struct {
	Upstream string // ID of the incarnation, "" for none
	Born     int64  // latest start of an incarnation with this ID that has departed, in ms since the Unix epoch, by the upstream's clock
}

// DepartureMessage is the message by which a node reports a departure.
type DepartureMessage struct {
	Departure
	Boot       uint64 // run of the sender's process
	OfReceiver bool   // the upstream of the receiver has departed, not that of the sender
}

// reportedDeparture is the departure that a peer has reported last.
type reportedDeparture struct {
	Departure
	boot uint64 // run of the peer's process that reported it
}

// HandleDeparture handles a departure that another node reports.
func (r *Roster) HandleDeparture(from netip.AddrPort, m DepartureMessage) {
	if m.OfReceiver {
		r.selfNode.LearnDeparture(m.Departure)
		return
	}
	r.recordReport(from, func(p *Peer) { p.departure = reportedDeparture{Departure: m.Departure, boot: m.Boot} })
}

// sendDepartures sends the departure of this node's upstream to the peer, and that of the peer's upstream when the peer has
// started again since it reported it.
func (r *Roster) sendDepartures(p *Peer) {
	r.sendOwnDeparture(p.addr)
	if forgotten := p.forgottenDeparture(); forgotten.Upstream != "" {
		r.sender.SendDeparture(p.addr, DepartureMessage{Departure: forgotten, Boot: r.selfNode.Status().Boot, OfReceiver: true})
	}
}

func (r *Roster) sendOwnDeparture(to netip.AddrPort) {
	if own := r.selfNode.Departure(); own.Upstream != "" {
		r.sender.SendDeparture(to, DepartureMessage{Departure: own, Boot: r.selfNode.Status().Boot})
	}
}

// forgottenDeparture returns the departure that an earlier run of the peer has reported and the present one has not, unless the
// peer has another upstream by now.
func (p *Peer) forgottenDeparture() Departure {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.status.hasForgotten(p.departure.Upstream, p.departure.boot) {
		return Departure{}
	}
	return p.departure.Departure
}

// leavingUpstream is an incarnation that has told this node in an answer that it leaves.
type leavingUpstream struct {
	upstream string
	boot     uint64 // run of the node beside it that passed on the answer
	revision uint32 // of the status of that node, as it was known then
}

// hasLeft reports whether the upstream of the peer has left, as far as this node knows, although the status of the peer says that it
// serves: the status is older, or it is of a later run, which has not reported the departure. The caller holds the lock.
func (p *Peer) hasLeft() bool {
	upstream, boot := p.status.Upstream, p.status.Boot
	if upstream == "" {
		return false
	}
	saidSo := p.leaving.upstream == upstream && p.leaving.boot == boot && p.status.Revision <= p.leaving.revision
	forgotten := p.departure.Upstream == upstream && p.departure.boot != boot
	return saidSo || forgotten
}
