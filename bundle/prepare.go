package bundle

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"encoding/json"
	"slices"
	"time"
)

// MaxPreparedBytes limits the bytes of the file of a prepared bundle.
const MaxPreparedBytes = 256 << 20

// Prepared is a validated version that has not been rolled out yet. Approve adds KeyID and Signature.
type Prepared struct {
	Version   uint64
	Root      Hash
	Parts     map[string][]byte // encoded parts by service
	Manifest  Manifest
	KeyID     string
	Signature []byte
}

// Prepare validates and encodes the contracts as the given version, which must be at least 1.
func Prepare(contracts []*Contract, version uint64) (*Prepared, error) {
	if version == 0 {
		return nil, ErrVersionSkipped.New("the first version is 1")
	}
	if err := checkSet(contracts).err(); err != nil {
		return nil, err
	}
	p := &Prepared{Version: version, Parts: make(map[string][]byte, len(contracts))}
	for _, c := range contracts {
		part, err := EncodePart(c)
		if err != nil {
			return nil, err
		}
		p.Parts[c.Service] = part
	}
	p.buildManifest()
	return p, nil
}

func (p *Prepared) buildManifest() {
	p.Manifest = make(Manifest, 0, len(p.Parts))
	for service, part := range p.Parts {
		p.Manifest = append(p.Manifest, ManifestEntry{service, HashPart(part)})
	}
	slices.SortFunc(p.Manifest, func(a, b ManifestEntry) int { return cmp.Compare(a.Service, b.Service) })
	p.Root = p.Manifest.Root()
}

// Approve returns a copy of p signed with the key. The error is ErrNoKey or ErrKeyExpired.
func Approve(p *Prepared, key *SigningKey, now time.Time) (*Prepared, error) {
	if key == nil {
		return nil, ErrNoKey.New("no signing key is given")
	}
	if key.Public.expired(now) {
		return nil, ErrKeyExpired.New("key %s expired at %s", key.Public.ID, key.Public.NotAfter.Format(time.RFC3339))
	}
	approved := *p
	approved.KeyID = key.Public.ID
	approved.Signature = ed25519.Sign(key.private, signedMessage(p.Version, p.Root))
	return &approved, nil
}

// Release returns the release of p, with the changes from the current manifest.
func (p *Prepared) Release(from Manifest) *Release {
	return &Release{
		Version: p.Version, Root: p.Root, KeyID: p.KeyID, Signature: p.Signature,
		Changes: withInlineParts(from.Diff(p.Manifest), p.Parts),
	}
}

// preparedJSON is the file format of a prepared bundle.
type preparedJSON struct {
	Version   uint64                     `json:"version"`
	Root      Hash                       `json:"root"`
	KeyID     string                     `json:"key,omitempty"`
	Signature []byte                     `json:"signature,omitempty"`
	Parts     map[string]json.RawMessage `json:"parts"`
}

// Encode returns the contents of the file of p.
func (p *Prepared) Encode() ([]byte, error) {
	encoded := preparedJSON{p.Version, p.Root, p.KeyID, p.Signature, make(map[string]json.RawMessage, len(p.Parts))}
	for service, part := range p.Parts {
		encoded.Parts[service] = part
	}
	raw, err := json.Marshal(encoded)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "encode version %d", p.Version)
	}
	return append(raw, '\n'), nil
}

// DecodePrepared decodes the file of a prepared bundle and checks every part and the root. It does not check the
// signature.
func DecodePrepared(raw []byte) (*Prepared, error) {
	if len(raw) > MaxPreparedBytes {
		return nil, ErrTooLarge.New("prepared bundle has %d bytes, which is too large", len(raw))
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	var decoded preparedJSON
	if err := decoder.Decode(&decoded); err != nil {
		return nil, ErrMalformed.Wrap(err, "decode prepared bundle")
	}
	p := &Prepared{Version: decoded.Version, KeyID: decoded.KeyID, Signature: decoded.Signature, Parts: make(map[string][]byte, len(decoded.Parts))}
	contracts := make([]*Contract, 0, len(decoded.Parts))
	for service, part := range decoded.Parts {
		c, err := DecodePart(part)
		if err != nil {
			return nil, err
		}
		if c.Service != service {
			return nil, ErrMalformed.New("part of %q is for service %q", service, c.Service)
		}
		contracts = append(contracts, c)
		p.Parts[service] = part
	}
	if err := checkSet(contracts).err(); err != nil {
		return nil, err
	}
	p.buildManifest()
	if p.Version == 0 || p.Root != decoded.Root {
		return nil, ErrRootMismatch.New("prepared bundle was edited after it was prepared: prepare it again")
	}
	return p, nil
}
