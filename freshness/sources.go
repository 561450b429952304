package freshness

import (
	"math/rand/v2"
	"net/netip"
)

const (
	// nodesAsked is the number of first nodes of the zone that a node asks in each round.
	nodesAsked = 2
	// nodesPerSource bounds the nodes of a zone for each of those that are asked, so that replies take less than 6 KB a second of
	// any node, whatever the size of the zone.
	nodesPerSource = 24
)

// Sources returns the nodes of the zone that the node of the rank asks in a round. zone holds the other nodes by rank. In a large zone
// the first nodes ask the first two, which renew their proofs by the store, and the rest ask two of the first ones at random.
func Sources(zone []netip.AddrPort, rank int) []netip.AddrPort {
	sources := min(max(nodesAsked, (len(zone)+nodesPerSource)/nodesPerSource), len(zone))
	if rank < sources || sources <= nodesAsked {
		return append([]netip.AddrPort(nil), zone[:min(nodesAsked, len(zone))]...)
	}
	first := rand.N(sources)
	second := (first + 1 + rand.N(sources-1)) % sources
	return []netip.AddrPort{zone[first], zone[second]}
}
