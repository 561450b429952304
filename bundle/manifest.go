package bundle

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// MaxManifestBytes limits the bytes of an encoded manifest: the count and MaxServices entries with names of 63 bytes.
const MaxManifestBytes = 10 + MaxServices*(1+63+sha256.Size)

// rootDomain prefixes the hashed manifest, so that its hash cannot equal the hash of a part.
const rootDomain = "magnoliawharf manifest v1\n"

// ManifestEntry is one entry of a manifest: a service and the hash of its part.
type ManifestEntry struct {
	Service string
	Part    Hash
}

// Manifest lists the parts of a bundle, sorted by service. It is immutable.
type Manifest []ManifestEntry

// Part returns the hash of the part of a service.
func (m Manifest) Part(service string) (Hash, bool) {
	i, ok := m.find(service)
	if !ok {
		return Hash{}, false
	}
	return m[i].Part, true
}

func (m Manifest) find(service string) (int, bool) {
	return slices.BinarySearchFunc(m, service, func(entry ManifestEntry, service string) int {
		return cmp.Compare(entry.Service, service)
	})
}

// Root returns the hash of the manifest, which the signature of a release covers.
func (m Manifest) Root() Hash {
	return sha256.Sum256(append([]byte(rootDomain), m.Encode()...))
}

// Encode returns the canonical encoding: the number of entries as a uvarint, then for each entry the length of the
// service name in one byte, the name and the hash.
func (m Manifest) Encode() []byte {
	out := make([]byte, 0, 10+len(m)*64)
	out = binary.AppendUvarint(out, uint64(len(m)))
	for _, entry := range m {
		out = append(out, byte(len(entry.Service)))
		out = append(out, entry.Service...)
		out = append(out, entry.Part[:]...)
	}
	return out
}

// DecodeManifest decodes a manifest. It accepts only the canonical encoding with sorted entries.
func DecodeManifest(raw []byte) (Manifest, error) {
	if len(raw) > MaxManifestBytes {
		return nil, ErrTooLarge.New("manifest has %d bytes, at most %d allowed", len(raw), MaxManifestBytes)
	}
	count, n := binary.Uvarint(raw)
	if n <= 0 || count > MaxServices || n != len(binary.AppendUvarint(nil, count)) {
		return nil, ErrMalformed.New("manifest has an invalid number of entries")
	}
	raw = raw[n:]
	m := make(Manifest, 0, count)
	for range count {
		if len(raw) == 0 || len(raw) < 1+int(raw[0])+sha256.Size {
			return nil, ErrMalformed.New("manifest is truncated in entry %d", len(m))
		}
		end := 1 + int(raw[0])
		entry := ManifestEntry{Service: string(raw[1:end]), Part: Hash(raw[end : end+sha256.Size])}
		raw = raw[end+sha256.Size:]
		if !namePattern.MatchString(entry.Service) || entry.Part == (Hash{}) {
			return nil, ErrMalformed.New("manifest entry %d has an invalid service name or hash", len(m))
		}
		if len(m) > 0 && m[len(m)-1].Service >= entry.Service {
			return nil, ErrMalformed.New("manifest is not sorted at service %q", entry.Service)
		}
		m = append(m, entry)
	}
	if len(raw) > 0 {
		return nil, ErrMalformed.New("%d unexpected bytes after the manifest", len(raw))
	}
	return m, nil
}

// Diff returns the changes from m to next, sorted by service.
func (m Manifest) Diff(next Manifest) []Change {
	var changes []Change
	for _, entry := range next {
		if hash, ok := m.Part(entry.Service); !ok || hash != entry.Part {
			changes = append(changes, Change{Service: entry.Service, Part: entry.Part})
		}
	}
	for _, entry := range m {
		if _, ok := next.find(entry.Service); !ok {
			changes = append(changes, Change{Service: entry.Service})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Service, b.Service) })
	return changes
}

// with returns a copy of the manifest with the changes applied.
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
			next = slices.Insert(next, i, ManifestEntry{change.Service, change.Part})
		}
	}
	return next
}
