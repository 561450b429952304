package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/binary"
	"encoding/json"
	"time"
)

const (
	// MaxReleaseBytes limits the bytes of an encoded release, so that it fits into one broadcast.
	MaxReleaseBytes = 16 << 10
	// maxChanges limits the changes listed in a release. With more changes nodes fetch the manifest instead.
	maxChanges = 32
	// maxInlineBytes limits the total size of the parts included in a release, so that broadcasts stay small.
	// Nodes fetch the remaining parts by hash.
	maxInlineBytes = 8 << 10
	// signatureDomain prefixes the signed message, so that a signature made by the same key for another purpose
	// is not valid for a release.
	signatureDomain = "magnoliawharf bundle v1\n"
)

// Release announces one version of the bundle: the root hash of its manifest, the changes since the previous version,
// and a signature over version and root. The changes are not signed, because applying them must yield the signed root.
type Release struct {
	Version   uint64   `json:"version"`
	Root      Hash     `json:"root"`
	Changes   []Change `json:"changes,omitempty"`
	KeyID     string   `json:"key"`
	Signature []byte   `json:"signature"`
}

// Change replaces the part of a service, or removes the service when Part is zero. Body is the encoded part when the
// release includes it.
type Change struct {
	Service string          `json:"service"`
	Part    Hash            `json:"part"`
	Body    json.RawMessage `json:"body,omitempty"`
}

// Encode returns the JSON encoding of the release, of at most MaxReleaseBytes bytes.
func (r *Release) Encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "encode release %d", r.Version)
	}
	if len(raw) > MaxReleaseBytes {
		return nil, ErrTooLarge.New("release %d has %d bytes, at most %d allowed", r.Version, len(raw), MaxReleaseBytes)
	}
	return raw, nil
}

// DecodeRelease decodes a release. It does not check the signature.
func DecodeRelease(raw []byte) (*Release, error) {
	if len(raw) > MaxReleaseBytes {
		return nil, ErrTooLarge.New("release has %d bytes, at most %d allowed", len(raw), MaxReleaseBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	var r Release
	if err := decoder.Decode(&r); err != nil {
		return nil, ErrMalformed.Wrap(err, "decode release")
	}
	if decoder.More() {
		return nil, ErrMalformed.New("unexpected data after the release")
	}
	if r.Version == 0 {
		return nil, ErrMalformed.New("release has no version")
	}
	if len(r.Changes) > maxChanges {
		return nil, ErrTooLarge.New("release has %d changes, at most %d allowed", len(r.Changes), maxChanges)
	}
	for _, change := range r.Changes {
		if !namePattern.MatchString(change.Service) {
			return nil, ErrMalformed.New("release has a change for %.70q, which is not a valid service name", change.Service)
		}
	}
	return &r, nil
}

// signedMessage returns the bytes that the signature covers.
func signedMessage(version uint64, root Hash) []byte {
	message := []byte(signatureDomain)
	message = binary.BigEndian.AppendUint64(message, version)
	return append(message, root[:]...)
}

// Verify checks that the release is signed by a trusted key that has not expired at now. The error is ErrUnsigned,
// ErrUntrustedKey, ErrKeyExpired or ErrBadSignature.
func (r *Release) Verify(trust TrustedKeys, now time.Time) error {
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
	if !ed25519.Verify(key.Key, signedMessage(r.Version, r.Root), r.Signature) {
		return ErrBadSignature.New("release %d has an invalid signature for key %s", r.Version, key.ID)
	}
	return nil
}
