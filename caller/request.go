// Package caller defines the calls that callers make, independently of any wire format: the request with
// its class, deadline and idempotency key, the response, the refusal with its reason, and the rules and
// budgets for retries and hedges.
package caller

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxDepth is the largest supported depth of a chain of calls between services.
const MaxDepth = 6

// Request is a call and its metadata. Attempts differ only in the field Attempt.
type Request struct {
	ID             string // unique per call; each hop returns it and the entry node compares it with the one it sent
	Service        string
	Route          string // name of the matching route of the contract
	Class          string // traffic class of the contract
	Method         string
	Path           string              // path and query as sent to the upstream
	Header         map[string][]string // end-to-end header fields; canonical names
	Body           *Body
	Key            string // idempotency key, "" when absent
	Fingerprint    uint64 // identifies the content of the request across retries by the caller
	Deadline       time.Time
	Attempt        int        // 1 for the first attempt; counted over the whole chain of calls
	Depth          int        // number of ancestor calls
	Behind         int        // unanswered requests before it on its connection when it was started
	BundleVersion  uint64     // version of the bundle from which Route and Class were taken
	Tenant         string     // tenant whose key the caller presented, "" for none
	Credential     Credential // digest of that key
	PriorityOffset int        // added to the priority of the route, by the priority of the tenant
	Public         bool       // the route needs no key
	Placement      *Placement // nil unless an entry node of package entry placed the request
}

// MaxFingerprintBody is the size in bytes of the largest body that is included in a fingerprint.
const MaxFingerprintBody = 4 << 10

// Fingerprint returns a hash that identifies the content of a request across retries by its caller:
// service, method, path with query, and the body when it is at most MaxFingerprintBody long. The
// idempotency key is left out, because a caller may send the same content again with a new key.
func Fingerprint(service, method, path string, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{service, method, path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write(partSeparator)
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// partSeparator separates the parts of a fingerprint, none of which contains a zero byte.
var partSeparator = []byte{0}
