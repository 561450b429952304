package sidecar

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/freshness"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	// proofChecksPerBound is how often a node checks, within the bound, whether its proof is due for renewal.
	proofChecksPerBound = 50
	// randomNodesAsked is the number of nodes asked in each round beside the first ones of the zone, in case those are cut off too.
	randomNodesAsked = 1
	// minStaleRetryAfter is the shortest delay suggested to a caller whose request was refused without a proof. A random part of the
	// same length spreads the callers over the time in which the next renewals are tried.
	minStaleRetryAfter = 500 * time.Millisecond
	// claimField is the header field of an answer with contracts that names the store's era and the revision of the document.
	claimField = "Magnoliawharf-Store-Revision"
)

var (
	proofLostTotal          = metrics.Counter("magnoliawharf_sidecar_proof_lost_total")
	staleRefusedTotal       = metrics.Counter("magnoliawharf_sidecar_proof_refusals_total")
	renewedVerifyTotal      = metrics.Counter(`magnoliawharf_sidecar_proof_renewals_total{source="store",result="unchanged"}`)
	renewedReadTotal        = metrics.Counter(`magnoliawharf_sidecar_proof_renewals_total{source="store",result="read"}`)
	renewalUnconfirmedTotal = metrics.Counter(`magnoliawharf_sidecar_proof_renewals_total{source="store",result="doubted"}`)
	renewalFailedTotal      = metrics.Counter(`magnoliawharf_sidecar_proof_renewals_total{source="store",result="failed"}`)
	renewalsByReply         = map[freshness.Result]interface{ Inc() }{
		freshness.Renewed:      metrics.Counter(`magnoliawharf_sidecar_proof_renewals_total{source="peer",result="renewed"}`),
		freshness.NotYounger:   metrics.Counter(`magnoliawharf_sidecar_proof_renewals_total{source="peer",result="not-younger"}`),
		freshness.NewerVersion: metrics.Counter(`magnoliawharf_sidecar_proof_renewals_total{source="peer",result="newer-version"}`),
		freshness.Unproven:     metrics.Counter(`magnoliawharf_sidecar_proof_renewals_total{source="peer",result="unproven"}`),
		freshness.Unasked:      metrics.Counter(`magnoliawharf_sidecar_proof_renewals_total{source="peer",result="unasked"}`),
	}
)

// proofRenewal holds the proof that the contracts in force are the newest, and the state of its renewal. It is safe for concurrent use.
type proofRenewal struct {
	clock    freshness.Clock
	proof    *freshness.Proof
	schedule *freshness.Schedule
	queries  *freshness.Queries
	reads    *freshness.ReadCheck
	claims   freshness.Claims
	wake     chan struct{} // signals that contracts were adopted; capacity 1
}

func newProofRenewal(clock freshness.Clock, bound time.Duration) *proofRenewal {
	proof := freshness.NewProof(clock, bound)
	schedule := freshness.NewSchedule(proof)
	return &proofRenewal{
		clock: clock, proof: proof, schedule: schedule, queries: freshness.NewQueries(proof),
		reads: freshness.NewReadCheck(proof, schedule.ListenTime()), wake: make(chan struct{}, 1),
	}
}

// contractsAdopted ends the wait for the next check, because the contracts may be the first ones with keys. The receiver may be nil.
func (k *proofRenewal) contractsAdopted() {
	if k == nil {
		return
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// heardVersion records that another node has a newer version than that in force. The receiver may be nil.
func (k *proofRenewal) heardVersion(version uint64) {
	if k != nil {
		k.reads.ObserveVersion(version)
	}
}

// provisionProof sets up the proof if the settings require one.
func (s *Sidecar) provisionProof() {
	if !s.Settings.Revocation.Strict {
		return
	}
	s.proofs = newProofRenewal(freshness.BootTime, time.Duration(s.Settings.Revocation.Bound))
	s.socket.OnFreshnessQuery, s.socket.OnFreshnessReply = s.answerFreshnessQuery, s.handleFreshnessReply
}

// isCurrent reports whether the contracts that are loaded after the call were the newest ones within the bound. Without strict revocation
// they count as such.
func (s *Sidecar) isCurrent() bool { return s.proofs == nil || s.proofs.proof.Fresh() }

// refuseStale returns the refusal of a request with a key while the node cannot prove that its contracts are the newest.
func refuseStale() *caller.Refusal {
	refusal := caller.Refuse(caller.ContractsStale, permitStep, "")
	refusal.RetryAfter = minStaleRetryAfter + rand.N(minStaleRetryAfter)
	return refusal
}

// needsProof reports whether requests need a proof under the contracts in force.
func (s *Sidecar) needsProof() bool {
	contracts := s.contracts.Load()
	return s.proofs != nil && contracts != nil && contracts.Keyed()
}

// writeProofAge writes the age of the proof, once there is one, while requests need it.
func (s *Sidecar) writeProofAge(w io.Writer) {
	if !s.needsProof() {
		return
	}
	if age, proven := s.proofs.proof.Age(); proven {
		fmt.Fprintf(w, "magnoliawharf_sidecar_proof_age_seconds %g\n", age.Seconds())
	}
}

// renewProof renews the proof until ctx ends, while requests need one. Calls of the store run beside it, so that a slow store does not
// delay the queries to other nodes.
func (s *Sidecar) renewProof(ctx context.Context) {
	if s.proofs == nil {
		return
	}
	k, state := s.proofs, proofState{}
	ticker := time.NewTicker(time.Duration(s.Settings.Revocation.Bound) / proofChecksPerBound)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-ticker.C:
		}
		if !s.needsProof() {
			state = proofState{}
			continue
		}
		if !state.needed {
			state = proofState{needed: true, since: k.clock()}
			k.schedule.Start()
		}
		s.logProof(&state)
		if !k.schedule.Due() {
			continue
		}
		if k.schedule.RoundDue() {
			s.queryProofs()
		}
		if k.schedule.StoreDue(s.roster.RankInZone()) {
			go func() { k.schedule.StoreDone(s.renewByStore(ctx)) }()
		}
	}
}

// proofState is what the log last said of the proof.
type proofState struct {
	needed bool
	fresh  bool
	had    bool              // the proof has been fresh
	since  freshness.Instant // when the state was entered
}

// logProof logs that the proof was lost or regained since the last call.
func (s *Sidecar) logProof(state *proofState) {
	fresh := s.proofs.proof.Fresh()
	if fresh == state.fresh {
		return
	}
	now := s.proofs.clock()
	age, _ := s.proofs.proof.Age()
	attributes := []any{"version", s.contracts.Version(), "age_ms", age.Milliseconds(), "after_ms", now.Sub(state.since).Milliseconds()}
	switch {
	case !fresh:
		proofLostTotal.Inc()
		s.Log.Warn("proof of the contracts lost", append(attributes, "store_reachable", s.storeReachable.Load())...)
	case state.had:
		s.Log.Info("proof of the contracts regained", attributes...)
	default:
		s.Log.Info("proof of the contracts obtained", attributes...)
	}
	state.fresh, state.had, state.since = fresh, state.had || fresh, now
}

// queryProofs asks other nodes for the age of their proofs.
func (s *Sidecar) queryProofs() {
	to := freshness.Sources(s.roster.FirstInZone(s.roster.Len()), s.roster.RankInZone())
	for _, addr := range s.roster.Addresses(randomNodesAsked) {
		if !slices.Contains(to, addr) {
			to = append(to, addr)
		}
	}
	if len(to) == 0 {
		return
	}
	number := rand.Uint64()
	s.proofs.queries.Add(number, to)
	s.socket.SendFreshnessQuery(to, number)
}

// answerFreshnessQuery tells another node the age of this node's proof, and the version in force.
func (s *Sidecar) answerFreshnessQuery(number uint64, from netip.AddrPort) {
	age := time.Duration(freshness.NoProof)
	if s.proofs.proof.Fresh() {
		age, _ = s.proofs.proof.Age() // read before the version, for which it then holds
	}
	s.socket.SendFreshnessReply(from, freshness.Reply{Number: number, Version: s.contracts.Version(), Age: age})
}

// handleFreshnessReply renews the proof by that of another node.
func (s *Sidecar) handleFreshnessReply(r freshness.Reply, from netip.AddrPort) {
	version := s.contracts.Version()
	result := s.proofs.queries.Handle(from, r, version)
	renewalsByReply[result].Inc()
	switch result {
	case freshness.NewerVersion:
		s.handlePeerVersion(r.Version, from)
	case freshness.Renewed, freshness.NotYounger, freshness.Unproven:
		s.proofs.reads.ObserveReply(version)
	}
}

// renewByStore renews the proof by one comparison of the document's revision, or by reading the document when its revision is unknown
// or has changed. It reports whether the proof was renewed.
func (s *Sidecar) renewByStore(ctx context.Context) bool {
	k := s.proofs
	ctx, cancel := context.WithTimeout(ctx, k.schedule.StoreTimeout())
	defer cancel()
	claim, known := k.claims.Of(s.contracts.Version())
	if !known {
		return s.renewByRead(ctx)
	}
	sentAt := k.clock()
	unchanged, err := store.Verify(ctx, store.Within(s.storeClient, claim.Era), s.Platform.ContractsKey, claim.Revision)
	switch {
	case store.Is(err, store.ErrEraEnded), err == nil && !unchanged:
		return s.renewByRead(ctx)
	case err != nil && ctx.Err() == nil:
		k.claims.Forget() // the next call reads the document, in case the store rejects only the comparison
		return s.renewalFailed(err)
	case err != nil:
		return s.renewalFailed(err)
	}
	k.proof.Extend(sentAt)
	renewedVerifyTotal.Inc()
	return true
}

// renewByRead reads the document, adopts it when it is newer and renews the proof.
func (s *Sidecar) renewByRead(ctx context.Context) bool {
	before, reading := s.contracts.Version(), s.beginRead()
	entry, err := s.storeClient.Get(ctx, s.Platform.ContractsKey)
	if err != nil && !store.Is(err, store.ErrNotFound) {
		return s.renewalFailed(err)
	}
	var found storedDocument
	if err == nil {
		found = s.applyContracts([]store.Entry{entry})
	}
	renewed := s.endRead(reading, found)
	if s.contracts.Version() != before {
		s.roster.BroadcastStatus()
	}
	if renewed {
		renewedReadTotal.Inc()
	} else {
		renewalUnconfirmedTotal.Inc()
	}
	return renewed
}

func (s *Sidecar) renewalFailed(err error) bool {
	renewalFailedTotal.Inc()
	s.Log.Debug("cannot renew the proof of the contracts by the store", "cause", err.Error())
	return false
}

// storeReading is the state before a read of the document from the store.
type storeReading struct {
	sentAt  freshness.Instant
	era     store.EraStatus
	inForce uint64 // version of the contracts
}

// storedDocument is the operator's document as the store holds it. The zero value stands for none.
type storedDocument struct {
	revision int64
	version  uint64
	valid    bool // it was decoded
}

// beginRead is called before the document is read from the store.
func (s *Sidecar) beginRead() storeReading {
	if s.proofs == nil {
		return storeReading{}
	}
	return storeReading{sentAt: s.proofs.clock(), era: s.storeClient.Era(), inForce: s.contracts.Version()}
}

// endRead renews the proof by a read of the document, once the document has been applied. It reports whether the read proves that the
// contracts in force are the newest. A read during which the era of the store changed proves nothing.
func (s *Sidecar) endRead(r storeReading, found storedDocument) bool {
	k, inForce := s.proofs, s.contracts.Load()
	if k == nil || inForce == nil {
		return false
	}
	era := s.storeClient.Era()
	if r.era.Ended() {
		return false
	}
	if !s.accepts(r, found, inForce.Version) {
		s.Log.Info("document in the store not accepted as proof yet, listening to other nodes",
			"in_force", inForce.Version, "version", found.version, "revision", found.revision)
		return false
	}
	k.claims.Set(freshness.Claim{Version: inForce.Version, Revision: found.revision, Era: era})
	k.proof.Extend(r.sentAt)
	return true
}

// accepts reports whether what the store holds proves that the version in force is the newest.
func (s *Sidecar) accepts(r storeReading, found storedDocument, inForce uint64) bool {
	k := s.proofs
	_, proven := k.proof.Age()
	switch {
	case !found.valid || found.version < r.inForce || k.claims.EraEnded():
		return k.reads.Accepts(inForce)
	case !proven && s.roster.HeardPeers() > 0:
		return k.reads.AcceptsFirst(inForce, r.sentAt)
	}
	k.reads.Reset()
	return true
}

// writeClaim adds the revision of the document with the contracts to the header of an answer, if it is known.
func (s *Sidecar) writeClaim(header http.Header, version uint64) {
	if s.proofs == nil {
		return
	}
	if claim, known := s.proofs.claims.Of(version); known && claim.Era.Current != 0 {
		header.Set(claimField, fmt.Sprintf("%d %d %d", claim.Era.Current, claim.Revision, version))
	}
}

// learnClaim takes the revision of the document from the header of another node's answer, if this node is in the same era of the store
// and the answer holds the contracts in force. The comparison with the store that uses it proves its worth.
func (s *Sidecar) learnClaim(header http.Header) {
	if s.proofs == nil {
		return
	}
	var claim freshness.Claim
	var era store.Era
	if _, err := fmt.Sscanf(header.Get(claimField), "%d %d %d", &era, &claim.Revision, &claim.Version); err != nil {
		return
	}
	claim.Era = s.storeClient.Era()
	_, known := s.proofs.claims.Of(claim.Version)
	if known || era <= 0 || era != claim.Era.Current || claim.Revision < 0 || claim.Version != s.contracts.Version() {
		return
	}
	s.proofs.claims.Set(claim)
}
