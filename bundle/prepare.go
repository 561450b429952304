package bundle

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"encoding/json"
	"slices"
	"time"
)

// MaxPrepared bounds the file of a prepared bundle.
const MaxPrepared = 256 << 20

// Prepared is a version on its way to a roll: validated, and signed once it is approved.
type Prepared struct {
	Version   uint64
	Root      Hash
	Parts     map[string][]byte // encoded part by service
	Manifest  Manifest
	KeyID     string
	Signature []byte
}

// Prepare encodes the contracts, which must be valid, as the version.
func Prepare(contracts []*Contract, version uint64) (*Prepared, error) {
	if version == 0 {
		return nil, ErrVersionSkipped.New("the first version is 1")
	}
	if err := checkAll(contracts).err(); err != nil {
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
	p.index()
	return p, nil
}

func (p *Prepared) index() {
	p.Manifest = make(Manifest, 0, len(p.Parts))
	for service, part := range p.Parts {
		p.Manifest = append(p.Manifest, Member{service, HashPart(part)})
	}
	slices.SortFunc(p.Manifest, func(a, b Member) int { return cmp.Compare(a.Service, b.Service) })
	p.Root = p.Manifest.Root()
}

// Approve returns p signed with the key. The error is ErrNoKey or ErrKeyExpired.
func Approve(p *Prepared, key *SigningKey, now time.Time) (*Prepared, error) {
	if key == nil {
		return nil, ErrNoKey.New("no signing key is given")
	}
	if key.Public.expired(now) {
		return nil, ErrKeyExpired.New("key %s expired at %s", key.Public.ID, key.Public.NotAfter.Format(time.RFC3339))
	}
	approved := *p
	approved.KeyID = key.Public.ID
	approved.Signature = ed25519.Sign(key.private, signed(p.Version, p.Root))
	return &approved, nil
}

// Release returns the release that leads from the manifest in force to p.
func (p *Prepared) Release(from Manifest) *Release {
	return &Release{
		Version: p.Version, Root: p.Root, KeyID: p.KeyID, Signature: p.Signature,
		Changes: withBodies(from.Changes(p.Manifest), p.Parts),
	}
}

// preparedForm is the file of a prepared bundle.
type preparedForm struct {
	Version   uint64                     `json:"version"`
	Root      Hash                       `json:"root"`
	KeyID     string                     `json:"key,omitempty"`
	Signature []byte                     `json:"signature,omitempty"`
	Parts     map[string]json.RawMessage `json:"parts"`
}

// Encode returns the file of p.
func (p *Prepared) Encode() ([]byte, error) {
	form := preparedForm{p.Version, p.Root, p.KeyID, p.Signature, make(map[string]json.RawMessage, len(p.Parts))}
	for service, part := range p.Parts {
		form.Parts[service] = part
	}
	raw, err := json.Marshal(form)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "encode version %d", p.Version)
	}
	return append(raw, '\n'), nil
}

// DecodePrepared reads the file of a prepared bundle and checks every part and the root.
func DecodePrepared(raw []byte) (*Prepared, error) {
	if len(raw) > MaxPrepared {
		return nil, ErrTooLarge.New("prepared bundle of %d bytes", len(raw))
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	var form preparedForm
	if err := decoder.Decode(&form); err != nil {
		return nil, ErrMalformed.Wrap(err, "decode prepared bundle")
	}
	p := &Prepared{Version: form.Version, KeyID: form.KeyID, Signature: form.Signature, Parts: make(map[string][]byte, len(form.Parts))}
	contracts := make([]*Contract, 0, len(form.Parts))
	for service, part := range form.Parts {
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
	if err := checkAll(contracts).err(); err != nil {
		return nil, err
	}
	p.index()
	if p.Version == 0 || p.Root != form.Root {
		return nil, ErrRootMismatch.New("prepared bundle was changed after it was prepared: prepare it again")
	}
	return p, nil
}
