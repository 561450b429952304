package idempotency

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

const (
	// MaxMembers is the size of a full keeper group.
	MaxMembers = 3
	// maxEndedEpochs bounds the ended epochs kept in a record. Older ones are folded into the barrier.
	maxEndedEpochs = 6
	// maxRecordSize bounds the encoded record, in bytes.
	maxRecordSize = 16 << 10
	maxNameLength = 256
	storePrefix   = "/keepers/"
	maxOutage     = 7 * 24 * time.Hour
)

// StoreKey returns the store key of the record of a service's keeper group.
func StoreKey(service string) string { return storePrefix + service }

// Identity identifies one run of a node: a restarted node has another incarnation.
type Identity struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"inc"`
}

// Member is a node in a keeper group. Slot determines the keys that it owns; a node that replaces
// another takes over its slot, so that no other keys change their owner.
type Member struct {
	Identity
	Slot       int    `json:"slot"`
	Addr       string `json:"addr"`
	DataCentre string `json:"dc"`
	Ceiling    int64  `json:"ceiling,omitempty"` // of an ended epoch: it accepted no key issued later (ms, Unix)
}

// EndedEpoch describes an ended epoch: who owned which keys, and up to which time of issue.
type EndedEpoch struct {
	Epoch   uint64   `json:"epoch"`
	Members []Member `json:"members"`
}

func (p *EndedEpoch) ceiling() int64 {
	var highest int64
	for _, m := range p.Members {
		highest = max(highest, m.Ceiling)
	}
	return highest
}

// ReplacementMark announces that a node outside an orphaned group is about to replace it.
type ReplacementMark struct {
	By    Identity `json:"by"`
	Nonce string   `json:"nonce"`
}

// Record is the keeper group of a service as the store holds it. A record without members is left by
// the planned stop of the last member; any node beside an upstream of the service may create the next
// group from it at once.
type Record struct {
	Epoch       uint64           `json:"epoch"`
	Region      string           `json:"region"`
	Members     []Member         `json:"members"`
	EndedEpochs []EndedEpoch     `json:"past,omitempty"`    // newest first
	Barrier     int64            `json:"barrier,omitempty"` // keys issued at or before it have an unknown history (ms, Unix)
	Outage      int64            `json:"outage"`            // store outage in this epoch, for its members and for a node that replaces them, in ms
	Mark        *ReplacementMark `json:"mark,omitempty"`
	Nonce       string           `json:"nonce"` // distinguishes the writes of two proposers
}

var errRecord = errors.New("keeper group record is out of bounds")

// Encode returns the form kept in the store.
func (r *Record) Encode() []byte {
	raw, err := json.Marshal(r)
	if err != nil { // the type holds nothing that cannot be encoded
		panic(err)
	}
	return raw
}

// DecodeRecord reads and checks the form kept in the store.
func DecodeRecord(raw []byte) (*Record, error) {
	if len(raw) > maxRecordSize {
		return nil, errRecord
	}
	r := new(Record)
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, err
	}
	return r, r.Check()
}

// Check reports whether the record is within its bounds.
func (r *Record) Check() error {
	if r.Epoch == 0 || r.Outage <= 0 || r.Outage > maxOutage.Milliseconds() || len(r.EndedEpochs) > maxEndedEpochs || len(r.Region) > maxNameLength || len(r.Nonce) > maxNameLength {
		return errRecord
	}
	for _, ended := range r.EndedEpochs {
		if ended.Epoch >= r.Epoch || !membersValid(ended.Members) {
			return errRecord
		}
	}
	if len(r.Members) > 0 && !membersValid(r.Members) {
		return errRecord
	}
	return nil
}

func membersValid(members []Member) bool {
	if len(members) == 0 || len(members) > MaxMembers {
		return false
	}
	slots, ids := map[int]bool{}, map[string]bool{}
	for _, m := range members {
		if m.Slot < 0 || m.Slot >= MaxMembers || slots[m.Slot] || ids[m.ID] ||
			m.ID == "" || len(m.ID) > maxNameLength || len(m.Addr) > maxNameLength || len(m.DataCentre) > maxNameLength {
			return false
		}
		slots[m.Slot], ids[m.ID] = true, true
	}
	return true
}

// Majority returns the number of members that form a majority.
func (r *Record) Majority() int { return len(r.Members)/2 + 1 }

// Member returns the member with this identity. A restarted node is not a member.
func (r *Record) Member(id Identity) (Member, bool) { return memberOf(r.Members, id) }

func memberOf(members []Member, id Identity) (Member, bool) {
	i := slices.IndexFunc(members, func(m Member) bool { return m.Identity == id })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

// Owner returns the member that owns the key.
func (r *Record) Owner(key Key) Member { return ownerOf(r.Members, key) }

// ownerOf ranks slots by rendezvous hash: a slot that empties or fills moves only its own keys.
func ownerOf(members []Member, key Key) Member {
	best, bestScore := members[0], uint64(0)
	base := xxhash.Sum64String(string(key))
	for _, m := range members {
		if score := mix(base, uint64(m.Slot)); score >= bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// mix is the finalizer of splitmix64 over the hash of a key and a slot.
func mix(base, slot uint64) uint64 {
	x := base + (slot+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// outage is the time without the store after which a member of the epoch stops granting. It is part
// of the record, because a member and a replacing node that disagree on it could both serve a key.
func (r *Record) outage() time.Duration { return time.Duration(r.Outage) * time.Millisecond }

// next returns the record of the next epoch, with the given members. ceilings holds by ID an upper
// bound on the issue time of the keys that each member of r accepted; a member that is missing accepted
// none.
func (r *Record) next(members []Member, ceilings map[string]int64, outage time.Duration) *Record {
	ended := slices.Clone(r.Members)
	for i := range ended {
		ended[i].Ceiling = ceilings[ended[i].ID]
	}
	n := &Record{
		Epoch: r.Epoch + 1, Region: r.Region, Members: members, Barrier: r.Barrier, EndedEpochs: r.EndedEpochs,
		Outage: outage.Milliseconds(), Nonce: uuid.NewString(),
	}
	if len(ended) > 0 {
		n.EndedEpochs = append([]EndedEpoch{{Epoch: r.Epoch, Members: ended}}, r.EndedEpochs...)
	}
	for len(n.EndedEpochs) > maxEndedEpochs {
		n.Barrier = max(n.Barrier, n.EndedEpochs[len(n.EndedEpochs)-1].ceiling())
		n.EndedEpochs = n.EndedEpochs[:len(n.EndedEpochs)-1]
	}
	return n
}

// withMark returns a copy with another mark.
func (r *Record) withMark(mark *ReplacementMark) *Record {
	n := *r
	n.Mark = mark
	return &n
}
