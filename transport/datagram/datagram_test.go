package datagram

import (
	"context"
	"log/slog"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/freshness"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/quota"
	"github.com/magnoliawharf/magnoliawharf/store"
)

// recorder is a Receiver that records the messages that a node received.
type recorder struct {
	heard     chan peer.StatusMessage
	loads     chan peer.Load
	notices   chan quarantine.Notice
	versions  chan uint64
	eras      chan store.Era
	departed  chan peer.DepartureMessage
	limits    chan peer.RateLimitMessage
	suspects  chan []quarantine.Record
	evacuated chan []peer.Evacuation
	asked     chan quota.Request
	told      chan quota.Reply
	stopped   chan peer.StoppedRun
	load      peer.Load
}

func newRecorder() *recorder {
	return &recorder{
		heard: make(chan peer.StatusMessage, 9), loads: make(chan peer.Load, 9),
		notices: make(chan quarantine.Notice, 9), versions: make(chan uint64, 9),
		eras: make(chan store.Era, 9), departed: make(chan peer.DepartureMessage, 9), limits: make(chan peer.RateLimitMessage, 9),
		suspects: make(chan []quarantine.Record, 9), evacuated: make(chan []peer.Evacuation, 9),
		asked: make(chan quota.Request, 9), told: make(chan quota.Reply, 9), stopped: make(chan peer.StoppedRun, 9),
	}
}

func (r *recorder) AddNode(netip.AddrPort)                                    {}
func (r *recorder) HandleStatus(_ netip.AddrPort, i peer.StatusMessage)       { r.heard <- i }
func (r *recorder) HandleLoad(_ netip.AddrPort, _ uint32, load peer.Load)     { r.loads <- load }
func (r *recorder) HandleDeparture(_ netip.AddrPort, m peer.DepartureMessage) { r.departed <- m }
func (r *recorder) HandleRateLimit(_ netip.AddrPort, m peer.RateLimitMessage) { r.limits <- m }
func (r *recorder) AnswerLoadQuery(netip.AddrPort) peer.Load                  { return r.load }
func (r *recorder) AnswerProbe(netip.AddrPort) peer.Load                      { return r.load }

func startSocket(t *testing.T, version uint64, load peer.Load) (*Socket, *recorder) {
	t.Helper()
	return startSocketWith(t, version, func(r *recorder) Receiver {
		r.load = load
		return r
	})
}

// startSocketWith starts a socket with the receiver that is made from a recorder.
func startSocketWith(t *testing.T, version uint64, receiver func(*recorder) Receiver) (*Socket, *recorder) {
	t.Helper()
	s := listen(t)
	r := newRecorder()
	s.Version = func() uint64 { return version }
	s.OnVersion = func(v uint64, _ netip.AddrPort) { r.versions <- v }
	s.OnNotice = func(n quarantine.Notice) { r.notices <- n }
	s.OnStoreEra = func(era store.Era, _ netip.AddrPort) { r.eras <- era }
	s.OnSuspects = func(records []quarantine.Record) { r.suspects <- records }
	s.OnEvacuations = func(states []peer.Evacuation) { r.evacuated <- states }
	s.OnQuotaRequest = func(_ netip.AddrPort, q quota.Request) { r.asked <- q }
	s.OnQuotaReply = func(_ netip.AddrPort, q quota.Reply) { r.told <- q }
	s.OnStop = func(run peer.StoppedRun) { r.stopped <- run }
	serve(t, s, receiver(r))
	return s, r
}

func listen(t *testing.T) *Socket {
	t.Helper()
	s, err := Listen("127.0.0.1:0", slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	return s
}

// serve passes the messages of the socket to the receiver until the test ends.
func serve(t *testing.T, s *Socket, receiver Receiver) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(context.Background(), receiver) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		assert.NilError(t, <-ended)
	})
}

func awaitValue[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(2 * time.Second):
		t.Fatal("nothing was received within 2 s")
		panic("unreachable")
	}
}

// Guards against a message that is changed by encoding and decoding, and against messages without the contract version.
func TestMessagesArriveAsSent(t *testing.T) {
	load := peer.Load{Boot: 1 << 62, Revision: 3, Serving: true, Running: 4, Waiting: 2, Limit: 9, ServiceTimePercent: 500}
	a, fromB := startSocket(t, 7, peer.Load{})
	b, fromA := startSocket(t, 9, load)
	a.QueryLoad(b.Addr(), 41)
	assert.Equal(t, awaitValue(t, fromA.versions), uint64(7))
	assert.Equal(t, awaitValue(t, fromB.loads), load)
	assert.Equal(t, awaitValue(t, fromB.versions), uint64(9))

	status := peer.Status{
		Node: "n1", Boot: 5, Revision: 2, Address: "10.0.0.1:80", Zone: "z", Service: "s", Upstream: "u", Slots: 12, Serving: true, StoreReachable: true,
	}
	known := []netip.AddrPort{netip.MustParseAddrPort("10.1.2.3:4567"), netip.MustParseAddrPort("10.9.8.7:65535")}
	message := peer.StatusMessage{Status: status, Addresses: known, ReplyRequested: true, Previous: peer.PreviousUpstream{Upstream: "u-9", Service: "s-9"}}
	a.SendStatus(b.Addr(), message)
	assert.DeepEqual(t, awaitValue(t, fromA.heard), message, cmpopts.EquateComparable(netip.AddrPort{}))

	notice := quarantine.Notice{Kind: quarantine.Crashed, Fingerprints: []quarantine.Fingerprint{1, 1 << 63}, Crashes: []quarantine.Crash{77}}
	a.SendNotice([]netip.AddrPort{b.Addr()}, notice)
	assert.DeepEqual(t, awaitValue(t, fromA.notices), notice)

	a.SendStoreEra([]netip.AddrPort{b.Addr()}, 1<<62)
	assert.Equal(t, awaitValue(t, fromA.eras), store.Era(1<<62))

	records := []quarantine.Record{{
		Fingerprint: 1 << 63, Quarantined: true, Remaining: -time.Minute,
		Crashes: []quarantine.RecordedCrash{{Crash: 1 << 63, Age: 90 * time.Second}, {Crash: 2, Cleared: true}},
	}}
	a.SendSuspects(b.Addr(), records)
	assert.DeepEqual(t, awaitValue(t, fromA.suspects), records)

	departed := peer.DepartureMessage{Departure: peer.Departure{Upstream: "u-9", Born: 1 << 50}, Boot: 1 << 62, OfReceiver: true}
	a.SendDeparture(b.Addr(), departed)
	assert.Equal(t, awaitValue(t, fromA.departed), departed)

	limited := peer.RateLimitMessage{RateLimit: peer.RateLimit{Upstream: "u-9", Born: 1 << 50, RateLimit: caller.RateLimit{Named: true, PerSecond: 0.2}, Available: -3.5}, Boot: 1 << 62}
	a.SendRateLimit(b.Addr(), limited)
	assert.Equal(t, awaitValue(t, fromA.limits), limited)
	limited.RateLimit.RateLimit, limited.Available, limited.OfReceiver = caller.RateLimit{}, 0, true
	a.SendRateLimit(b.Addr(), limited)
	assert.Equal(t, awaitValue(t, fromA.limits), limited)
}

// Guards against queries and replies about proofs that are changed on their way, against an age that is rounded down and makes a proof
// younger, and against more than a few dozen bytes: each node sends a few a second.
func TestFreshnessMessages(t *testing.T) {
	a, b := listen(t), listen(t)
	numbers, replies := make(chan uint64, 1), make(chan freshness.Reply, 1)
	b.OnFreshnessQuery = func(number uint64, _ netip.AddrPort) { numbers <- number }
	a.OnFreshnessReply = func(r freshness.Reply, _ netip.AddrPort) { replies <- r }
	serve(t, a, newRecorder())
	serve(t, b, newRecorder())
	a.SendFreshnessQuery([]netip.AddrPort{b.Addr()}, math.MaxUint64)
	assert.Equal(t, awaitValue(t, numbers), uint64(math.MaxUint64))
	b.SendFreshnessReply(a.Addr(), freshness.Reply{Number: math.MaxUint64, Version: 9, Age: 1500*time.Millisecond + 1})
	assert.Equal(t, awaitValue(t, replies), freshness.Reply{Number: math.MaxUint64, Version: 9, Age: 1501 * time.Millisecond})
	raw, err := cbor.Marshal(newFreshnessReply(freshness.Reply{Number: math.MaxUint64, Version: 300, Age: time.Second}))
	assert.NilError(t, err)
	assert.Assert(t, len(raw) <= 16, "reply has %d bytes", len(raw))
	raw, err = cbor.Marshal(freshnessQuery{Number: math.MaxUint64})
	assert.NilError(t, err)
	assert.Assert(t, len(raw) <= 10, "query has %d bytes", len(raw))
}

// Guards against a node that places a request at an upstream whose rate limit is used up, because the load arrives before the limit.
func TestRateLimitArrivesBeforeTheLoad(t *testing.T) {
	limit := peer.RateLimit{Upstream: "u", Born: 5, RateLimit: caller.RateLimit{Named: true, PerSecond: 7}, Available: 0.5}
	a, fromB := startSocket(t, 7, peer.Load{})
	b, _ := startSocket(t, 9, peer.Load{Boot: 3, Serving: true, RateLimit: limit})
	a.QueryLoad(b.Addr(), 41)
	awaitValue(t, fromB.loads)
	assert.Equal(t, len(fromB.limits), 1)
	assert.Equal(t, awaitValue(t, fromB.limits), peer.RateLimitMessage{RateLimit: limit, Boot: 3})
}

// Guards against load queries and replies of more than a few dozen bytes: one query is sent to each candidate node.
func TestLoadMessagesAreSmall(t *testing.T) {
	q, err := cbor.Marshal(loadQuery{Number: 1 << 20, ContractVersion: 300})
	assert.NilError(t, err)
	assert.Assert(t, len(q) <= 12, "query has %d bytes", len(q))
	l, err := cbor.Marshal(newLoadReply(1<<20, 300, peer.Load{Boot: 1 << 62, Revision: 12, Serving: true, Running: 9, Waiting: 3, Limit: 9, ServiceTimePercent: 500}))
	assert.NilError(t, err)
	assert.Assert(t, len(l) <= 32, "reply has %d bytes", len(l))
}

// Guards against reports of the store's era of more than a few bytes, since each node sends one to many others at the same
// time, and against ones that a node of an earlier version accepts as another message.
func TestStoreEraIsASmallMessageOfItsOwnKind(t *testing.T) {
	raw, err := cbor.Marshal(storeEra{Era: 300})
	assert.NilError(t, err)
	assert.Assert(t, len(raw) <= 4, "report has %d bytes", len(raw))
	assert.Assert(t, !slices.Contains([]byte{kindLoadQuery, kindLoadReply, kindStatus, kindNotice}, kindStoreEra))
}

// Guards against records of suspects that don't fit into a datagram and are never sent.
func TestLargestMessageOfSuspectsFits(t *testing.T) {
	crashes := make([]quarantine.RecordedCrash, quarantine.MaxNoticeCrashes)
	for i := range crashes {
		crashes[i] = quarantine.RecordedCrash{Crash: math.MaxUint64, Age: 15 * time.Minute, Cleared: true}
	}
	records := make([]quarantine.Record, MaxSuspects)
	for i := range records {
		records[i] = quarantine.Record{Fingerprint: math.MaxUint64, Quarantined: true, Remaining: -15 * time.Minute, Crashes: crashes}
	}
	raw, err := cbor.Marshal(newSuspects(records))
	assert.NilError(t, err)
	assert.Assert(t, len(raw) < maxSize, "%d bytes", len(raw))
}

// Guards against a status that nodes of an earlier version drop, because it has another number of fields than theirs.
func TestStatusHasTheFieldsOfEarlierVersions(t *testing.T) {
	const fields = 15
	raw, err := cbor.Marshal(newStatusMessage(1, peer.StatusMessage{Status: peer.Status{Node: "n", Address: "10.0.0.1:80"}}))
	assert.NilError(t, err)
	var decoded []any
	assert.NilError(t, cbor.Unmarshal(raw, &decoded))
	assert.Equal(t, len(decoded), fields)
}

// Guards against datagrams from unknown senders or other versions that are accepted with invalid values or crash the
// process.
func FuzzReceive(f *testing.F) {
	for kind, message := range map[byte]any{
		kindStoreEra: storeEra{Era: 1}, kindLoadQuery: loadQuery{Number: 1}, kindProbe: loadQuery{Number: 1}, kindLoadReply: loadReply{Boot: 3}, kindNotice: notice{Kind: 1, Fingerprints: []uint64{1}, Crashes: []uint64{2}},
		kindSuspects:       suspects{Records: []suspectRecord{{Fingerprint: 1, Crashes: []recordedCrash{{Crash: 1, AgeMs: 1}}}}},
		kindDeparture:      departure{Boot: 1, Upstream: "u", Born: 1},
		kindFreshnessQuery: freshnessQuery{Number: 1}, kindFreshnessReply: freshnessReply{Number: 1, ContractVersion: 1, AgeMs: 1},
		kindEvacuations:  evacuations{States: []evacuation{{Zone: "z", Active: true, Era: 1, Revision: 2}}},
		kindQuotaRequest: quotaRequest{Number: 1, Tenant: "t", Waiting: 1, Wanted: 2},
		kindQuotaReply:   quotaReply{Number: 1, Tenant: "t", Granted: 1, ValidMs: 500, Allocator: true},
		kindStop:         stop{Boot: 1, Address: make([]byte, addressSize)},
		kindStatus:       newStatusMessage(1, peer.StatusMessage{Status: peer.Status{Node: "n", Address: "10.0.0.1:80"}, ReplyRequested: true}),
	} {
		body, err := cbor.Marshal(message)
		assert.NilError(f, err)
		f.Add(append([]byte{kind}, body...))
	}
	f.Add([]byte{kindStatus, 0x9f})
	f.Add([]byte{})
	s, err := Listen("127.0.0.1:0", slog.New(slog.DiscardHandler))
	assert.NilError(f, err)
	f.Cleanup(func() { _ = s.Close() })
	s.Version = func() uint64 { return 1 }
	s.OnVersion = func(uint64, netip.AddrPort) {}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := newRecorder()
		s.OnNotice = func(n quarantine.Notice) { assert.Check(t, n.Valid()) }
		s.OnStoreEra = func(era store.Era, _ netip.AddrPort) { assert.Check(t, era > 0) }
		s.OnSuspects = func(records []quarantine.Record) {
			for _, record := range records {
				assert.Check(t, record.Valid())
			}
		}
		s.OnFreshnessReply = func(reply freshness.Reply, _ netip.AddrPort) {
			assert.Check(t, reply.Age >= 0 && reply.Age <= maxMilliseconds*time.Millisecond)
		}
		s.OnEvacuations = func(states []peer.Evacuation) {
			assert.Check(t, len(states) <= maxEvacuations)
			for _, state := range states {
				assert.Check(t, state.Valid())
			}
		}
		s.OnQuotaRequest = func(_ netip.AddrPort, q quota.Request) {
			assert.Check(t, q.Tenant != "" && q.Waiting >= 0 && q.Waiting <= q.Wanted && q.Wanted <= quota.MaxTokens)
		}
		s.OnQuotaReply = func(_ netip.AddrPort, q quota.Reply) {
			assert.Check(t, q.Tenant != "" && q.Granted >= 0 && q.Granted <= quota.MaxTokens && q.Valid >= 0 && q.RetryAfter >= 0 && q.RetryAfter <= maxQuotaMs*time.Millisecond)
		}
		s.OnStop = func(run peer.StoppedRun) { assert.Check(t, run.Boot != 0 && run.Addr.IsValid()) }
		panics := panicsTotal.Get()
		s.receive(r, s.Addr(), raw)
		assert.Equal(t, panicsTotal.Get(), panics)
		select {
		case heard := <-r.heard:
			status := heard.Status
			_, err := netip.ParseAddrPort(status.Address)
			assert.Check(t, err == nil && status.Node != "" && status.Slots >= 0 && status.Slots <= maxCount)
			assert.Check(t, len(heard.Addresses) <= peer.MaxAddresses)
		case load := <-r.loads:
			assert.Check(t, load.Running >= 0 && load.Running <= maxCount && load.ServiceTimePercent <= maxCount)
		case departed := <-r.departed:
			assert.Check(t, departed.Upstream != "" && len(departed.Upstream) <= maxTextLength)
		default:
		}
	})
}
