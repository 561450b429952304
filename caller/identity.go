package caller

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// HeadFingerprint returns a hash of the content of a request without its body: service, method, path with query. The idempotency key is
// left out, because a caller may send the same content again with a new key.
func HeadFingerprint(service, method, path string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{service, method, path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write(partSeparator)
	}
	return digest.Sum64()
}

// Fingerprint returns a hash that identifies the content of a request across retries by its caller, however the body is framed.
func Fingerprint(service, method, path string, body []byte) uint64 {
	return addBody(HeadFingerprint(service, method, path), xxhash.Sum64(body))
}

// addBody returns the fingerprint of a request from that of its head and the hash of its body.
func addBody(head, body uint64) uint64 {
	var parts [16]byte
	binary.LittleEndian.PutUint64(parts[:8], head)
	binary.LittleEndian.PutUint64(parts[8:], body)
	return xxhash.Sum64(parts[:])
}

// SetFingerprint sets the fingerprint of the request to the service, which is open unless the body was read already.
func (r *Request) SetFingerprint(service string) {
	r.Fingerprint = HeadFingerprint(service, r.Method, r.Path)
	if body, known := r.Body.Hash(); known {
		r.Fingerprint = addBody(r.Fingerprint, body)
	} else {
		r.OpenFingerprint = true
	}
}

// Identity returns the fingerprint of the whole request. known is false while the body has not been read to its end: until then the
// request cannot be told from others with the same head.
func (r *Request) Identity() (fingerprint uint64, known bool) {
	if !r.OpenFingerprint {
		return r.Fingerprint, true
	}
	body, known := r.Body.Hash()
	return addBody(r.Fingerprint, body), known
}

// partSeparator separates the parts of a fingerprint, none of which contains a zero byte.
var partSeparator = []byte{0}
