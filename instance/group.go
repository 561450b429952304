package instance

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// group is the index entry of one service or one data centre: the records of its instances that have neither left nor
// failed, and their combined digest.
type group struct {
	mu      sync.Mutex
	members map[ID]Record
	digest  uint64   // XOR of the digests of members
	changes uint64   // number of changes since creation
	sorted  []Record // members ordered by ID; nil after a change, rebuilt by the next read
}

func newGroup() *group { return &group{members: make(map[ID]Record)} }

// replace stores r in place of the previous record of the instance. A record of a gone instance only removes it.
func (g *group) replace(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deleteLocked(r.ID)
	if !r.State.Gone() {
		g.members[r.ID] = r
		g.digest ^= r.Digest()
	}
	g.sorted = nil
	g.changes++
}

func (g *group) remove(id ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deleteLocked(id)
	g.sorted = nil
	g.changes++
}

// deleteLocked removes the record of id, if there is one. The caller holds mu.
func (g *group) deleteLocked(id ID) {
	if current, ok := g.members[id]; ok {
		g.digest ^= current.Digest()
		delete(g.members, id)
	}
}

// records returns the members ordered by ID. The slice is shared and must not be modified.
func (g *group) records() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sorted == nil && len(g.members) > 0 {
		g.sorted = make([]Record, 0, len(g.members))
		for _, r := range g.members {
			g.sorted = append(g.sorted, r)
		}
		sortByID(g.sorted)
	}
	return g.sorted
}

func (g *group) changeCount() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changes
}

func (g *group) digestAndCount() (digest uint64, count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.digest, len(g.members)
}

func sortByID(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// Digest returns a hash of the ID, the incarnation, the state version and the state. Two nodes that compute
// equal digests hold the same version of the record.
func (r Record) Digest() uint64 {
	raw := make([]byte, 0, len(r.ID)+24)
	raw = append(raw, r.ID...)
	raw = binary.LittleEndian.AppendUint64(raw, r.Incarnation)
	raw = binary.LittleEndian.AppendUint64(raw, r.StateVersion)
	raw = append(raw, byte(r.State))
	return xxhash.Sum64(raw)
}
