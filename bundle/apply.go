package bundle

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

// Snapshot is one version as a node keeps it in memory: the signed release, the manifest with the signed root, and the
// decoded contracts. It is immutable.
type Snapshot struct {
	Release  *Release
	Manifest Manifest
	Bundle   *Bundle
}

// Parts returns the encoded parts with the given hashes that the snapshot has, up to limit bytes in total. Contracts
// are re-encoded on each call, so that a node need not store them in encoded form as well.
func (s *Snapshot) Parts(hashes []Hash, limit int) ([][]byte, error) {
	wanted := make(map[Hash]bool, len(hashes))
	for _, hash := range hashes {
		wanted[hash] = true
	}
	var parts [][]byte
	for _, entry := range s.Manifest {
		if !wanted[entry.Part] {
			continue
		}
		part, err := encodePart(s.Bundle.Contracts[entry.Service])
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

// Admit checks that the release is validly signed and newer than the current snapshot, which may be nil. For the
// current release it returns false without an error. The error is one of Verify, ErrOlderVersion or ErrEquivocation.
func Admit(current *Snapshot, r *Release, trust TrustedKeys, now time.Time) (newer bool, err error) {
	if current != nil && r.Version == current.Release.Version && r.Root == current.Release.Root {
		return false, nil // a repeated release, the most frequent case, costs no signature check
	}
	if err := r.Verify(trust, now); err != nil {
		return false, err
	}
	switch {
	case current == nil || r.Version > current.Release.Version:
		return true, nil
	case r.Version < current.Release.Version:
		return false, ErrOlderVersion.New("release %d is older than the current release %d", r.Version, current.Release.Version)
	}
	return false, ErrEquivocation.New("release %d has a different root than the current release of that version", r.Version)
}

// NextManifest applies the changes of the release to the current manifest and reports whether the result has the signed root.
// When it has not, this node missed releases or the release omits its changes, and the manifest must be fetched.
func NextManifest(current *Snapshot, r *Release) (Manifest, bool) {
	var base Manifest
	if current != nil {
		base = current.Manifest
	}
	next := base.with(r.Changes)
	return next, next.Root() == r.Root
}

// InlineParts returns the parts included in the release, by hash. InlineParts that do not match the hash in their change are left
// out.
func (r *Release) InlineParts() map[Hash][]byte {
	parts := make(map[Hash][]byte)
	for _, change := range r.Changes {
		if len(change.Body) > 0 && HashPart(change.Body) == change.Part {
			parts[change.Part] = change.Body
		}
	}
	return parts
}

// MissingParts returns the hashes of the parts of m that are neither in the current snapshot nor in parts.
func MissingParts(current *Snapshot, m Manifest, parts map[Hash][]byte) []Hash {
	var missing []Hash
	for _, entry := range m {
		if _, ok := parts[entry.Part]; !ok && !current.contains(entry) {
			missing = append(missing, entry.Part)
		}
	}
	return missing
}

func (s *Snapshot) contains(entry ManifestEntry) bool {
	if s == nil {
		return false
	}
	hash, ok := s.Manifest.Part(entry.Service)
	return ok && hash == entry.Part
}

// Apply builds the snapshot of an admitted release from its manifest and parts. Unchanged contracts are shared with the
// current snapshot, which may be nil. Every new part is checked against its hash and validated. The error is
// ErrRootMismatch, ErrMissingPart, ErrMalformed, or that of an invalid contract.
func Apply(current *Snapshot, r *Release, m Manifest, parts map[Hash][]byte) (*Snapshot, error) {
	if m.Root() != r.Root {
		return nil, ErrRootMismatch.New("manifest of release %d does not match the signed root", r.Version)
	}
	contracts := make(map[string]*Contract, len(m))
	for _, entry := range m {
		if current.contains(entry) {
			contracts[entry.Service] = current.Bundle.Contracts[entry.Service]
			continue
		}
		c, err := decodeEntry(entry, parts[entry.Part])
		if err != nil {
			return nil, err
		}
		contracts[entry.Service] = c
	}
	if err := checkSet(sortedContracts(contracts)).err(); err != nil {
		return nil, err
	}
	return &Snapshot{Release: r, Manifest: m, Bundle: &Bundle{Version: r.Version, Contracts: contracts}}, nil
}

func decodeEntry(entry ManifestEntry, part []byte) (*Contract, error) {
	if part == nil {
		return nil, ErrMissingPart.New("part of %s is missing", entry.Service)
	}
	if HashPart(part) != entry.Part {
		return nil, ErrMalformed.New("part of %s does not match its hash in the manifest", entry.Service)
	}
	c, err := DecodePart(part)
	if err != nil {
		return nil, err
	}
	if c.Service != entry.Service {
		return nil, ErrMalformed.New("part of %s is for service %s", entry.Service, c.Service)
	}
	return c, nil
}

// sortedContracts returns the contracts sorted by service.
func sortedContracts(contracts map[string]*Contract) []*Contract {
	out := make([]*Contract, 0, len(contracts))
	for _, c := range contracts {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *Contract) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// withInlineParts adds parts to the changes up to maxInlineBytes in total. It returns nil when there are more than
// maxChanges.
func withInlineParts(changes []Change, parts map[string][]byte) []Change {
	if len(changes) > maxChanges {
		return nil
	}
	total := 0
	out := slices.Clone(changes)
	for i, change := range out {
		body := parts[change.Service]
		if change.Part == (Hash{}) || total+len(body) > maxInlineBytes {
			continue
		}
		total += len(body)
		out[i].Body = json.RawMessage(body)
	}
	return out
}
