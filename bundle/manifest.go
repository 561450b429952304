package bundle

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// MaxManifest bounds an encoded manifest: MaxServices entries with the longest names.
const MaxManifest = 10 + MaxServices*(1+63+sha256.Size)

// rootDomain keeps the hash of a manifest apart from the hashes of parts.
const rootDomain = "magnoliawharf manifest v1\n"

// Member is one line of a manifest.
type Member struct {
	Service string
	Part    Hash
}

// Manifest lists the parts of a bundle, ordered by service. It is immutable.
type Manifest []Member

// Part returns the hash of the part of a service.
func (m Manifest) Part(service string) (Hash, bool) {
	i, ok := m.find(service)
	if !ok {
		return Hash{}, false
	}
	return m[i].Part, true
}

func (m Manifest) find(service string) (int, bool) {
	return slices.BinarySearchFunc(m, service, func(member Member, service string) int {
		return cmp.Compare(member.Service, service)
	})
}

// Root returns the hash over the manifest, which a signature covers.
func (m Manifest) Root() Hash {
	return sha256.Sum256(append([]byte(rootDomain), m.Encode()...))
}

// Encode returns the canonical encoding: the count, then for each member the length of the service's
// name in one byte, the name and the hash.
func (m Manifest) Encode() []byte {
	out := make([]byte, 0, 10+len(m)*64)
	out = binary.AppendUvarint(out, uint64(len(m)))
	for _, member := range m {
		out = append(out, byte(len(member.Service)))
		out = append(out, member.Service...)
		out = append(out, member.Part[:]...)
	}
	return out
}

// DecodeManifest returns the manifest of an encoding, which must be complete and in order.
func DecodeManifest(raw []byte) (Manifest, error) {
	if len(raw) > MaxManifest {
		return nil, ErrTooLarge.New("manifest of %d bytes, at most %d allowed", len(raw), MaxManifest)
	}
	count, n := binary.Uvarint(raw)
	if n <= 0 || count > MaxServices || n != len(binary.AppendUvarint(nil, count)) {
		return nil, ErrMalformed.New("count of the manifest")
	}
	raw = raw[n:]
	m := make(Manifest, 0, count)
	for range count {
		if len(raw) == 0 || len(raw) < 1+int(raw[0])+sha256.Size {
			return nil, ErrMalformed.New("manifest ends within member %d", len(m))
		}
		end := 1 + int(raw[0])
		member := Member{Service: string(raw[1:end]), Part: Hash(raw[end : end+sha256.Size])}
		raw = raw[end+sha256.Size:]
		if !namePattern.MatchString(member.Service) || member.Part == (Hash{}) {
			return nil, ErrMalformed.New("manifest member %d", len(m))
		}
		if len(m) > 0 && m[len(m)-1].Service >= member.Service {
			return nil, ErrMalformed.New("manifest is not in order at %q", member.Service)
		}
		m = append(m, member)
	}
	if len(raw) > 0 {
		return nil, ErrMalformed.New("%d bytes after the manifest", len(raw))
	}
	return m, nil
}

// Changes returns the changes that lead from m to next.
func (m Manifest) Changes(next Manifest) []Change {
	var changes []Change
	for _, member := range next {
		if held, ok := m.Part(member.Service); !ok || held != member.Part {
			changes = append(changes, Change{Service: member.Service, Part: member.Part})
		}
	}
	for _, member := range m {
		if _, ok := next.find(member.Service); !ok {
			changes = append(changes, Change{Service: member.Service})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Service, b.Service) })
	return changes
}

// with returns the manifest after the changes.
func (m Manifest) with(changes []Change) Manifest {
	next := slices.Clone(m)
	for _, change := range changes {
		i, ok := next.find(change.Service)
		switch {
		case change.Part == Hash{} && ok:
			next = slices.Delete(next, i, i+1)
		case change.Part == Hash{}:
		case ok:
			next[i].Part = change.Part
		default:
			next = slices.Insert(next, i, Member{change.Service, change.Part})
		}
	}
	return next
}
