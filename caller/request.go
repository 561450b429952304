// Package caller defines the calls that callers make, independently of any wire format: the request with
// its class, deadline and idempotency key, the response, the refusal with its reason, and the rules and
// budgets for retries and hedges.
package caller

import "time"

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
