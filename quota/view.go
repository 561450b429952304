package quota

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is a node that takes part in the allocation of quotas.
type Member struct {
	Name      string // "" while the node has not been heard of
	Addr      netip.AddrPort
	Reachable bool // it answers
	Settled   bool // it has answered for some time, so that the nodes agree on it
}

// view is what a node knows of the members at one moment. It is not modified after its creation.
type view struct {
	self      ranked
	known     int
	settled   []ranked  // this node included; these allocate, and count as reachable in the share of the quota
	reachable []ranked  // without this node
	all       []ranked  // those with a name, reachable or not
	shrunkAt  time.Time // when a settled member was last lost
}

// ranked is a member with the hash of its name.
type ranked struct {
	addr netip.AddrPort
	hash uint64
}

func newView(self Member, others []Member) *view {
	v := &view{self: ranked{self.Addr, xxhash.Sum64String(self.Name)}, known: 1 + len(others)}
	v.settled, v.all = []ranked{v.self}, []ranked{v.self}
	for _, m := range others {
		if m.Name == "" {
			continue
		}
		r := ranked{m.Addr, xxhash.Sum64String(m.Name)}
		v.all = append(v.all, r)
		if m.Reachable {
			v.reachable = append(v.reachable, r)
		}
		if m.Settled {
			v.settled = append(v.settled, r)
		}
	}
	return v
}

// share is the part of the quota that the members within reach may use.
func (v *view) share() float64 { return float64(len(v.settled)) / float64(v.known) }

// score is the rendezvous hash of a member for a tenant.
func (r ranked) score(tenant uint64) uint64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], r.hash)
	binary.LittleEndian.PutUint64(raw[8:], tenant)
	return xxhash.Sum64(raw[:])
}

// outranks reports whether the member comes before the other for the tenant. Addresses decide between equal hashes.
func (r ranked) outranks(other ranked, tenant uint64) bool {
	a, b := r.score(tenant), other.score(tenant)
	return a > b || a == b && r.addr.Compare(other.addr) < 0
}

// firstOf returns the member that ranks first for the tenant. The list is not empty.
func firstOf(members []ranked, tenant uint64) ranked {
	first := members[0]
	for _, m := range members[1:] {
		if m.outranks(first, tenant) {
			first = m
		}
	}
	return first
}

// rank returns the number of members that come before this node for the tenant.
func (v *view) rank(tenant uint64) int {
	rank := 0
	for _, m := range v.all {
		if m != v.self && m.outranks(v.self, tenant) {
			rank++
		}
	}
	return rank
}

// added returns the members settled in v that were not in before.
func (v *view) added(before *view) []ranked {
	had := make(map[ranked]bool, len(before.settled))
	for _, m := range before.settled {
		had[m] = true
	}
	return slices.DeleteFunc(slices.Clone(v.settled), func(m ranked) bool { return had[m] })
}
