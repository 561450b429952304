package sidecar

import (
	"strings"
	"time"

	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	// maxEvacuationRecipients bounds the nodes that are told of a change at once. The others learn of it with status messages.
	maxEvacuationRecipients = 1024
	// evacuationRepeatDelay is the time after which a change is sent a second time, for datagrams that were lost.
	evacuationRepeatDelay = 150 * time.Millisecond
)

// applyEvacuations applies the keys of evacuated zones that the store has shown, and sends a change to the other nodes.
func (s *Sidecar) applyEvacuations(found store.Snapshot) {
	if s.Platform.EvacuationPrefix == "" {
		return
	}
	keys := peer.EvacuationKeys{
		Zones: s.evacuatedZones(found.Entries), Removed: s.evacuatedZones(found.Removed), Era: int64(found.Era), ReadAt: found.ReadAt,
	}
	if !s.evacuations.ApplyKeys(time.Now(), keys) {
		return
	}
	s.sendEvacuations()
	time.AfterFunc(evacuationRepeatDelay, s.sendEvacuations)
}

// evacuatedZones returns the revisions of the entries that evacuate a zone, by zone.
func (s *Sidecar) evacuatedZones(entries []store.Entry) map[string]int64 {
	zones := make(map[string]int64)
	for _, e := range entries {
		if zone, ok := strings.CutPrefix(e.Key, s.Platform.EvacuationPrefix); ok {
			zones[zone] = e.Revision
		}
	}
	return zones
}

// sendEvacuations sends the state of all zones to the other nodes.
func (s *Sidecar) sendEvacuations() {
	for _, addr := range s.roster.Addresses(maxEvacuationRecipients) {
		s.evacuations.SendTo(addr)
	}
}

// applyOwnEvacuation takes the upstream beside this node out of service, or back into service, by the state of the own zone. The lock keeps
// two changes in quick succession in order.
func (s *Sidecar) applyOwnEvacuation() {
	s.evacuating.Lock()
	defer s.evacuating.Unlock()
	s.proxy.SetEvacuated(time.Now(), s.evacuations.IsActive(s.Settings.Zone))
}
