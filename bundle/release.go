package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/binary"
	"encoding/json"
	"time"
)

const (
	// MaxRelease bounds an encoded release, so that it fits into one broadcast.
	MaxRelease = 16 << 10
	// maxChanges bounds the changes listed in a release. Beyond, nodes read the manifest instead.
	maxChanges = 32
	// maxInline bounds the bytes of parts carried in a release, so that a push stays small. Larger
	// changes are fetched by hash.
	maxInline = 8 << 10
	// signatureDomain keeps signatures of bundles apart from others by the same key.
	signatureDomain = "magnoliawharf bundle v1\n"
)

// Release announces one version: its root, the changes since the version before, and the signature
// over version and root. The changes are not signed; they are checked against the root.
type Release struct {
	Version   uint64   `json:"version"`
	Root      Hash     `json:"root"`
	Changes   []Change `json:"changes,omitempty"`
	KeyID     string   `json:"key"`
	Signature []byte   `json:"signature"`
}

// Change gives a service a new part, or removes it when Part is zero. Body is the encoded part when
// it is carried along.
type Change struct {
	Service string          `json:"service"`
	Part    Hash            `json:"part"`
	Body    json.RawMessage `json:"body,omitempty"`
}

// Encode returns the encoding of the release.
func (r *Release) Encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "encode release %d", r.Version)
	}
	if len(raw) > MaxRelease {
		return nil, ErrTooLarge.New("release %d has %d bytes, at most %d allowed", r.Version, len(raw), MaxRelease)
	}
	return raw, nil
}

// DecodeRelease returns the release of an encoding. Its signature is not checked yet.
func DecodeRelease(raw []byte) (*Release, error) {
	if len(raw) > MaxRelease {
		return nil, ErrTooLarge.New("release of %d bytes, at most %d allowed", len(raw), MaxRelease)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	var r Release
	if err := decoder.Decode(&r); err != nil {
		return nil, ErrMalformed.Wrap(err, "decode release")
	}
	if decoder.More() {
		return nil, ErrMalformed.New("bytes after the release")
	}
	if r.Version == 0 {
		return nil, ErrMalformed.New("release without a version")
	}
	if len(r.Changes) > maxChanges {
		return nil, ErrTooLarge.New("release of %d changes, at most %d allowed", len(r.Changes), maxChanges)
	}
	for _, change := range r.Changes {
		if !namePattern.MatchString(change.Service) {
			return nil, ErrMalformed.New("release changes %.70q, which is not a service name", change.Service)
		}
	}
	return &r, nil
}

// signed returns the bytes that the signature covers.
func signed(version uint64, root Hash) []byte {
	message := []byte(signatureDomain)
	message = binary.BigEndian.AppendUint64(message, version)
	return append(message, root[:]...)
}

// Verify checks the signature of the release against the trusted keys at the time now. The error is
// ErrUnsigned, ErrUntrustedKey, ErrKeyExpired or ErrBadSignature.
func (r *Release) Verify(trust Trust, now time.Time) error {
	if len(r.Signature) == 0 || r.KeyID == "" {
		return ErrUnsigned.New("release %d is not signed", r.Version)
	}
	key, ok := trust.key(r.KeyID)
	if !ok {
		return ErrUntrustedKey.New("release %d is signed by key %.40q, which is not trusted", r.Version, r.KeyID)
	}
	if key.expired(now) {
		return ErrKeyExpired.New("release %d is signed by key %s, which expired at %s", r.Version, key.ID, key.NotAfter.Format(time.RFC3339))
	}
	if !ed25519.Verify(key.Key, signed(r.Version, r.Root), r.Signature) {
		return ErrBadSignature.New("release %d has a wrong signature by key %s", r.Version, key.ID)
	}
	return nil
}
