package idempotency

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Peer is what membership knows of a node beside an upstream of the service.
type Peer struct {
	Identity
	Addr       string
	DataCentre string
	Region     string
	Serves     bool // its upstream may receive requests
	Gone       bool // it left or failed
}

// rank orders the peers by rendezvous hash of the service and the node.
func rank(service string, peers []Peer) []Peer {
	score := func(p Peer) uint64 { return xxhash.Sum64String(service + "\x00" + p.ID) }
	ranked := slices.Clone(peers)
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// regionFor returns the region of a new group: the one whose upstreams span the most data centres
// (up to MaxMembers), by rendezvous hash among equals.
func regionFor(service string, peers []Peer) string {
	dataCentres := map[string]map[string]bool{}
	for _, p := range peers {
		if !p.Serves {
			continue
		}
		if dataCentres[p.Region] == nil {
			dataCentres[p.Region] = map[string]bool{}
		}
		dataCentres[p.Region][p.DataCentre] = true
	}
	best, bestCount, bestScore := "", 0, uint64(0)
	for region, found := range dataCentres {
		count, score := min(len(found), MaxMembers), xxhash.Sum64String(service+"\x00"+region)
		if count > bestCount || (count == bestCount && score > bestScore) {
			best, bestCount, bestScore = region, count, score
		}
	}
	return best
}

// fillMembers adds serving peers of the region to the kept members until the group is full, in distinct
// data centres first. Peers whose ID is in avoid are left out.
func fillMembers(service, region string, keep []Member, peers []Peer, avoid map[string]bool) []Member {
	members := slices.Clone(keep)
	ranked := rank(service, peers)
	for _, distinct := range []bool{true, false} {
		for _, p := range ranked {
			if len(members) >= MaxMembers {
				break
			}
			if !p.Serves || p.Gone || p.Region != region || avoid[p.ID] || containsID(members, p.ID) ||
				(distinct && containsDataCentre(members, p.DataCentre)) {
				continue
			}
			members = append(members, Member{
				Identity: p.Identity, Slot: freeSlot(members), Addr: p.Addr, DataCentre: p.DataCentre,
			})
		}
	}
	return members
}

// acceptGrowth returns the grown group, or the present one when growth would make it a group of two:
// the loss of either node closes a group of two, but only that of its one member closes a group of one.
func acceptGrowth(present, grown []Member) []Member {
	if len(present) == 1 && len(grown) == 2 {
		return present
	}
	return grown
}

func containsID(members []Member, id string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}

func containsDataCentre(members []Member, name string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.DataCentre == name })
}

func freeSlot(members []Member) int {
	for slot := range MaxMembers {
		if !slices.ContainsFunc(members, func(m Member) bool { return m.Slot == slot }) {
			return slot
		}
	}
	return MaxMembers - 1
}

// gone reports whether membership knows that this incarnation of the member has ended.
func gone(m Member, peers []Peer) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool {
		return p.ID == m.ID && (p.Gone || p.Incarnation > m.Incarnation)
	})
}

// live reports whether membership knows this incarnation of the member as present.
func live(m Member, peers []Peer) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.Identity == m.Identity && !p.Gone })
}

// colocatedMember returns a member that shares its data centre with another one while the region has
// a serving peer in a data centre without a member.
func colocatedMember(r *Record, peers []Peer) (Member, bool) {
	if !slices.ContainsFunc(peers, func(p Peer) bool {
		return p.Serves && !p.Gone && p.Region == r.Region && !containsDataCentre(r.Members, p.DataCentre)
	}) {
		return Member{}, false
	}
	for i, m := range r.Members {
		if containsDataCentre(r.Members[:i], m.DataCentre) {
			return m, true
		}
	}
	return Member{}, false
}
