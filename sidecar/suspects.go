package sidecar

import (
	"net/netip"
	"time"

	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/transport/datagram"
)

// Broadcast implements quarantine.Broadcaster.
func (s *Sidecar) Broadcast(n quarantine.Notice) {
	s.Log.Warn("upstream ended with requests in flight", "kind", int(n.Kind), "fingerprints", len(n.Fingerprints), "crashes", len(n.Crashes))
	s.socket.SendNotice(s.roster.Addresses(maxNoticeRecipients), n)
}

// sendSuspects sends a part of what this node knows of requests that crash upstreams to a node that may have missed the notices.
func (s *Sidecar) sendSuspects(to netip.AddrPort) {
	if records := s.suspects.Records(time.Now(), datagram.MaxSuspects); len(records) > 0 {
		s.socket.SendSuspects(to, records)
	}
}

// mergeSuspects adds what another node knows of requests that crash upstreams.
func (s *Sidecar) mergeSuspects(records []quarantine.Record) {
	if added := s.suspects.Merge(time.Now(), records); added > 0 {
		s.Log.Warn("quarantine learned from another node", "fingerprints", added)
	}
}

// maxNoticeRecipients bounds the number of nodes to which a notice is sent.
const maxNoticeRecipients = 256
