// Package caller defines the calls that callers make, independently of any wire format: the request with
// its class, deadline and idempotency key, the response, the refusal with its reason, and the rules and
// budgets for retries and hedges.
package caller

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxDepth is the largest supported depth of a chain of calls between services.
const MaxDepth = 6

// Request is a call and its metadata. Attempts differ only in the field Attempt.
type Request struct {
	ID          string // unique per call; each hop returns it and the entry node compares it with the one it sent
	Service     string
	Route       string // name of the matching route of the contract
	Class       string // traffic class of the contract
	Method      string
	Path        string              // path and query as sent to the upstream
	Header      map[string][]string // end-to-end header fields; canonical names
	Body        *Body
	Key         string // idempotency key, "" when absent
	Fingerprint uint64 // identifies the content of the request across retries by the caller; see Identity
	// OpenFingerprint is set while the body is not part of Fingerprint, since it is passed on as it arrives.
	OpenFingerprint bool
	Deadline        time.Time
	Attempt         int        // 1 for the first attempt; counted over the whole chain of calls
	Depth           int        // number of ancestor calls
	Behind          int        // unanswered requests before it on its connection when it was started
	BundleVersion   uint64     // version of the bundle from which Route and Class were taken
	Tenant          string     // tenant whose key the caller presented, "" for none
	Credential      Credential // digest of that key
	PriorityOffset  int        // added to the priority of the route, by the priority of the tenant
	Public          bool       // the route needs no key
	Placement       *Placement // nil unless an entry node of package entry placed the request
}

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
