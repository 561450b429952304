package instance

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// group indexes the records of one service or one data centre. It holds only instances that have
// neither left nor failed.
type group struct {
	mu      sync.Mutex
	members map[ID]Record
	digest  uint64
	changes uint64
	sorted  []Record // nil after a change, built by the next read
}

func newGroup() *group { return &group{members: make(map[ID]Record)} }

// replace takes the new record of an instance in place of the old one. A gone record removes it.
func (g *group) replace(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drop(r.ID)
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
	g.drop(id)
	g.sorted = nil
	g.changes++
}

func (g *group) drop(id ID) {
	if held, ok := g.members[id]; ok {
		g.digest ^= held.Digest()
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

func (g *group) sum() (digest uint64, count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.digest, len(g.members)
}

func sortByID(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// Digest identifies this version of the record: two nodes that hold equal digests hold the same
// incarnation, state version and state of the instance.
func (r Record) Digest() uint64 {
	raw := make([]byte, 0, len(r.ID)+24)
	raw = append(raw, r.ID...)
	raw = binary.LittleEndian.AppendUint64(raw, r.Incarnation)
	raw = binary.LittleEndian.AppendUint64(raw, r.StateVersion)
	raw = append(raw, byte(r.State))
	return xxhash.Sum64(raw)
}
