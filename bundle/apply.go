package bundle

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

// Snapshot is one version as a node holds it: the signed release, the manifest with its root, and the
// contracts. It is immutable.
type Snapshot struct {
	Release  *Release
	Manifest Manifest
	Bundle   *Bundle
}

// Parts returns the encoded parts with the hashes, as far as the snapshot has them and they have at
// most limit bytes together. Contracts are encoded anew, so that a node holds each only once.
func (s *Snapshot) Parts(hashes []Hash, limit int) ([][]byte, error) {
	wanted := make(map[Hash]bool, len(hashes))
	for _, hash := range hashes {
		wanted[hash] = true
	}
	var parts [][]byte
	for _, member := range s.Manifest {
		if !wanted[member.Part] {
			continue
		}
		part, err := encodePart(s.Bundle.Contracts[member.Service])
		if err != nil {
			return nil, err
		}
		if limit -= len(part); limit < 0 {
			break
		}
		parts = append(parts, part)
	}
	return parts, nil
}

// Admit checks that the release is validly signed and newer than the snapshot in force, which may
// be nil. A release that is in force already gives fresh false without an error. The error is one of
// Verify, ErrOlder or ErrEquivocation.
func Admit(held *Snapshot, r *Release, trust Trust, now time.Time) (fresh bool, err error) {
	if held != nil && r.Version == held.Release.Version && r.Root == held.Release.Root {
		return false, nil // the usual repetition, without the cost of a signature
	}
	if err := r.Verify(trust, now); err != nil {
		return false, err
	}
	switch {
	case held == nil || r.Version > held.Release.Version:
		return true, nil
	case r.Version < held.Release.Version:
		return false, ErrOlder.New("release %d is older than %d in force", r.Version, held.Release.Version)
	}
	return false, ErrEquivocation.New("release %d has another root than the one in force", r.Version)
}

// Next returns the manifest that the changes of the release give on top of the one in force, and
// whether it has the signed root. When it has not, releases in between are missing or the changes
// are left out, and the manifest must be fetched.
func Next(held *Snapshot, r *Release) (Manifest, bool) {
	var base Manifest
	if held != nil {
		base = held.Manifest
	}
	next := base.with(r.Changes)
	return next, next.Root() == r.Root
}

// Bodies returns the parts that the release carries along, by their hash. Bodies with another hash
// than they should have are left out.
func (r *Release) Bodies() map[Hash][]byte {
	parts := make(map[Hash][]byte)
	for _, change := range r.Changes {
		if len(change.Body) > 0 && HashPart(change.Body) == change.Part {
			parts[change.Part] = change.Body
		}
	}
	return parts
}

// Missing returns the hashes of the parts of m that neither the snapshot nor parts has.
func Missing(held *Snapshot, m Manifest, parts map[Hash][]byte) []Hash {
	var missing []Hash
	for _, member := range m {
		if _, given := parts[member.Part]; !given && !held.has(member) {
			missing = append(missing, member.Part)
		}
	}
	return missing
}

func (s *Snapshot) has(member Member) bool {
	if s == nil {
		return false
	}
	held, ok := s.Manifest.Part(member.Service)
	return ok && held == member.Part
}

// Apply returns the snapshot of an admitted release with its manifest. Contracts that have not
// changed are shared with the snapshot in force, which may be nil. Every part is checked against
// its hash and validated. The error is ErrRootMismatch, ErrMissingPart, ErrMalformed, or that of an
// invalid contract.
func Apply(held *Snapshot, r *Release, m Manifest, parts map[Hash][]byte) (*Snapshot, error) {
	if m.Root() != r.Root {
		return nil, ErrRootMismatch.New("manifest of release %d does not have the signed root", r.Version)
	}
	contracts := make(map[string]*Contract, len(m))
	for _, member := range m {
		if held.has(member) {
			contracts[member.Service] = held.Bundle.Contracts[member.Service]
			continue
		}
		c, err := decodeMember(member, parts[member.Part])
		if err != nil {
			return nil, err
		}
		contracts[member.Service] = c
	}
	if err := checkAll(values(contracts)).err(); err != nil {
		return nil, err
	}
	return &Snapshot{Release: r, Manifest: m, Bundle: &Bundle{Version: r.Version, Contracts: contracts}}, nil
}

func decodeMember(member Member, part []byte) (*Contract, error) {
	if part == nil {
		return nil, ErrMissingPart.New("part of %s is missing", member.Service)
	}
	if HashPart(part) != member.Part {
		return nil, ErrMalformed.New("part of %s does not have its hash", member.Service)
	}
	c, err := DecodePart(part)
	if err != nil {
		return nil, err
	}
	if c.Service != member.Service {
		return nil, ErrMalformed.New("part of %s is for service %s", member.Service, c.Service)
	}
	return c, nil
}

// values returns the contracts ordered by service.
func values(contracts map[string]*Contract) []*Contract {
	out := make([]*Contract, 0, len(contracts))
	for _, c := range contracts {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *Contract) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// withBodies attaches the parts to the changes as far as they are small enough to be pushed, and
// leaves out a list of changes that is too long.
func withBodies(changes []Change, parts map[string][]byte) []Change {
	if len(changes) > maxChanges {
		return nil
	}
	total := 0
	out := slices.Clone(changes)
	for i, change := range out {
		body := parts[change.Service]
		if change.Part == (Hash{}) || total+len(body) > maxInline {
			continue
		}
		total += len(body)
		out[i].Body = json.RawMessage(body)
	}
	return out
}
