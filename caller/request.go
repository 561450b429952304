// Package caller describes the calls that callers make: the request with its class, deadline and
// idempotency key, the refusal with its reason, and the rules for retrying.
package caller

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxDepth is the longest supported chain of calls between services.
const MaxDepth = 6

// Request is one call on its way through the system. It does not change between attempts, except
// for Attempt.
type Request struct {
	ID            string // unique per call; each hop echoes it and the entry node compares it
	Service       string
	Route         string // name of the matched route of the contract
	Class         string // traffic class of the contract
	Method        string
	Path          string              // path and query as sent to the upstream
	Header        map[string][]string // end-to-end header fields; canonical names
	Body          *Body
	Key           string // idempotency key, "" when absent
	Fingerprint   uint64 // identifies the content of the request across resends
	Deadline      time.Time
	Attempt       int        // 1 for the first; counted over the whole chain of calls
	Depth         int        // number of services' calls above this one
	BundleVersion uint64     // version from which Route and Class were taken
	Placement     *Placement // nil unless an entry node of package entry placed the request
}

// FingerprintBody is the largest body that is part of a fingerprint, in bytes.
const FingerprintBody = 4 << 10

// Fingerprint returns the hash that identifies the content of a request across resends by its
// caller: service, method, path with query, and the body when it is at most FingerprintBody long.
// The idempotency key is left out, because a caller may resend the same content under a new key.
func Fingerprint(service, method, path string, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{service, method, path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write(separator)
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// separator keeps adjoining parts of a fingerprint apart; none of them contains a zero byte.
var separator = []byte{0}
