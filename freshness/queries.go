package freshness

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// maxOpenQueries bounds the rounds of queries whose replies count. A reply to an earlier round would prove nothing of use.
const maxOpenQueries = 32

// NoProof is the age in the replies of a node without a proof.
const NoProof = 1 << 30 * time.Millisecond

// Reply is the answer of another node to a query.
type Reply struct {
	Number  uint64        // of the query
	Version uint64        // of the contracts in force at the other node
	Age     time.Duration // of its proof
}

// Result says what a reply is worth.
type Result string

// Results of replies.
const (
	Renewed      Result = "renewed"       // the proof has become younger
	NotYounger   Result = "not-younger"   // the proof of the other node is not younger
	NewerVersion Result = "newer-version" // the other node has newer contracts, for which its proof holds
	Unproven     Result = "unproven"      // the other node has no proof
	Unasked      Result = "unasked"       // no query with this number was sent to that node
)

// openQuery is a round of queries with one number.
type openQuery struct {
	number uint64
	sentAt Instant
	to     []netip.AddrPort
}

// Queries holds the queries that were sent to other nodes and turns their replies into proofs. It is safe for concurrent use.
type Queries struct {
	proof *Proof

	mu   sync.Mutex
	open []openQuery // oldest first
}

// NewQueries returns queries that renew the proof.
func NewQueries(proof *Proof) *Queries { return &Queries{proof: proof} }

// Add records a round of queries that is about to be sent.
func (q *Queries) Add(number uint64, to []netip.AddrPort) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.open) == maxOpenQueries {
		q.open = q.open[1:]
	}
	q.open = append(q.open, openQuery{number: number, sentAt: q.proof.clock(), to: to})
}

// sentAt returns when the query with the number was sent to the node.
func (q *Queries) sentAt(number uint64, to netip.AddrPort) (Instant, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, sent := range q.open {
		if sent.number == number && slices.Contains(sent.to, to) {
			return sent.sentAt, true
		}
	}
	return 0, false
}

// Handle handles a reply at a node with the version of the contracts in force. The instant counts from the query, not from the
// reply: the other node stated the age at some time in between, and the reply may have been on its way for seconds.
func (q *Queries) Handle(from netip.AddrPort, r Reply, version uint64) Result {
	sentAt, asked := q.sentAt(r.Number, from)
	switch {
	case !asked || r.Age < 0:
		return Unasked
	case r.Version > version:
		return NewerVersion
	case r.Age >= q.proof.bound:
		return Unproven
	case !q.proof.Extend(sentAt.Add(-r.Age)):
		return NotYounger
	}
	return Renewed
}
