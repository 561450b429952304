package datagram

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/freshness"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// Kinds of messages, the first byte of a datagram. The body is the CBOR array of the fields of the message type, in the
// order of their declaration.
const (
	kindLoadQuery byte = 'q'
	kindLoadReply byte = 'l'
	kindStatus    byte = 'i'
	kindNotice    byte = 'n'
	kindStoreEra  byte = 'e'
	kindDeparture byte = 'd'
	kindSuspects  byte = 's'
	kindRateLimit byte = 'r'

	kindFreshnessQuery byte = 'f'
	kindFreshnessReply byte = 'F'
	kindEvacuations    byte = 'z'
	kindQuotaRequest   byte = 'k'
	kindQuotaReply     byte = 'K'
	kindStop           byte = 'b'
	kindProbe          byte = 'p' // a loadQuery
)

const (
	maxTextLength = 128     // in bytes
	maxCount      = 1 << 20 // largest load figure or number of slots
	addressSize   = 6       // IPv4 address and port, in bytes
)

// loadQuery asks a node for the load of its upstream.
type loadQuery struct {
	_               struct{} `cbor:",toarray"`
	Number          uint32   // copied to the reply
	ContractVersion uint64   // of the current contracts at the sender
}

// loadReply answers a loadQuery.
type loadReply struct {
	_                  struct{} `cbor:",toarray"`
	Number             uint32
	ContractVersion    uint64
	Boot               uint64
	Revision           uint32
	Serving            bool
	Running            uint32
	Waiting            uint32
	Limit              uint32
	ServiceTimePercent uint32
}

func newLoadReply(number uint32, version uint64, l peer.Load) loadReply {
	return loadReply{
		Number: number, ContractVersion: version, Boot: l.Boot, Revision: l.Revision, Serving: l.Serving,
		Running: clampCount(l.Running), Waiting: clampCount(l.Waiting), Limit: clampCount(l.Limit), ServiceTimePercent: clampCount(l.ServiceTimePercent),
	}
}

func clampCount(n int) uint32 { return uint32(min(max(0, n), maxCount)) }

func (l loadReply) decode() peer.Load {
	clamp := func(n uint32) int { return int(min(n, maxCount)) }
	return peer.Load{
		Boot: l.Boot, Revision: l.Revision, Serving: l.Serving,
		Running: clamp(l.Running), Waiting: clamp(l.Waiting), Limit: clamp(l.Limit), ServiceTimePercent: clamp(l.ServiceTimePercent),
	}
}

// statusMessage is the status of the sender with the addresses of some other nodes.
type statusMessage struct {
	_               struct{} `cbor:",toarray"`
	ContractVersion uint64
	ReplyRequested  bool // the receiver is to answer with its own status
	Node            string
	Boot            uint64
	Revision        uint32
	Address         string
	Zone            string
	Service         string
	Upstream        string
	Slots           uint32
	Serving         bool
	StoreReachable  bool
	Addresses       []byte // addresses of other nodes, addressSize bytes each

	// The upstream of the receiver before its restart.
	PreviousUpstream string
	PreviousService  string
}

func newStatusMessage(version uint64, message peer.StatusMessage) statusMessage {
	s := message.Status
	m := statusMessage{
		PreviousUpstream: message.Previous.Upstream, PreviousService: message.Previous.Service,
		ContractVersion: version, ReplyRequested: message.ReplyRequested, Node: s.Node, Boot: s.Boot, Revision: s.Revision, Address: s.Address, Zone: s.Zone,
		Service: s.Service, Upstream: s.Upstream, Slots: clampCount(s.Slots), Serving: s.Serving, StoreReachable: s.StoreReachable,
	}
	for _, addr := range message.Addresses[:min(len(message.Addresses), peer.MaxAddresses)] {
		if ip := addr.Addr(); ip.Is4() {
			four := ip.As4()
			m.Addresses = binary.BigEndian.AppendUint16(append(m.Addresses, four[:]...), addr.Port())
		}
	}
	return m
}

// decode validates the message and converts it to a peer.StatusMessage.
func (m statusMessage) decode() (peer.StatusMessage, error) {
	status, err := m.status()
	if err != nil {
		return peer.StatusMessage{}, err
	}
	known, err := decodeAddresses(m.Addresses)
	if err != nil {
		return peer.StatusMessage{}, err
	}
	previous := peer.PreviousUpstream{Upstream: m.PreviousUpstream, Service: m.PreviousService}
	return peer.StatusMessage{Status: status, Addresses: known, ReplyRequested: m.ReplyRequested, Previous: previous}, nil
}

func (m statusMessage) status() (peer.Status, error) {
	for _, text := range []string{m.Node, m.Address, m.Zone, m.Service, m.Upstream, m.PreviousUpstream, m.PreviousService} {
		if len(text) > maxTextLength {
			return peer.Status{}, errors.New("status has a text that is too long")
		}
	}
	if _, err := netip.ParseAddrPort(m.Address); err != nil || m.Node == "" {
		return peer.Status{}, fmt.Errorf("status of node %q has an empty node name or an invalid address %q", m.Node, m.Address)
	}
	return peer.Status{
		Node: m.Node, Boot: m.Boot, Revision: m.Revision, Address: m.Address, Zone: m.Zone,
		Service: m.Service, Upstream: m.Upstream, Slots: int(min(m.Slots, maxCount)), Serving: m.Serving, StoreReachable: m.StoreReachable,
	}, nil
}

func decodeAddresses(raw []byte) ([]netip.AddrPort, error) {
	if len(raw)%addressSize != 0 || len(raw) > peer.MaxAddresses*addressSize {
		return nil, errors.New("address list is malformed or too long")
	}
	var list []netip.AddrPort
	for ; len(raw) > 0; raw = raw[addressSize:] {
		port := binary.BigEndian.Uint16(raw[addressSize-2:])
		list = append(list, netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[:4])), port))
	}
	return list, nil
}

// storeEra is the era of the store that the sender has seen. It is a message of its own: nodes of earlier versions drop a
// kind that they do not know, but would drop a whole status with one more field.
type storeEra struct {
	_   struct{} `cbor:",toarray"`
	Era int64
}

// departure reports that an incarnation of an upstream is leaving or has left. Like storeEra, it is a message of its own for the
// sake of nodes of earlier versions.
type departure struct {
	_          struct{} `cbor:",toarray"`
	Boot       uint64
	OfReceiver bool // the upstream of the receiver, not that of the sender
	Upstream   string
	Born       int64
}

func newDeparture(m peer.DepartureMessage) departure {
	return departure{Boot: m.Boot, OfReceiver: m.OfReceiver, Upstream: m.Upstream, Born: m.Born}
}

// decode validates the message and converts it to a peer.DepartureMessage.
func (d departure) decode() (peer.DepartureMessage, error) {
	if d.Upstream == "" || len(d.Upstream) > maxTextLength {
		return peer.DepartureMessage{}, errors.New("departure has no ID of an upstream, or one that is too long")
	}
	return peer.DepartureMessage{Departure: peer.Departure{Upstream: d.Upstream, Born: d.Born}, Boot: d.Boot, OfReceiver: d.OfReceiver}, nil
}

// rateLimit reports the rate limit of an upstream. Like storeEra, it is a message of its own for the sake of nodes of earlier versions.
type rateLimit struct {
	_          struct{} `cbor:",toarray"`
	Boot       uint64
	OfReceiver bool // the upstream of the receiver, not that of the sender
	Upstream   string
	Born       int64
	Named      bool // false: the limit has ended
	PerSecond  float64
	Available  float64
}

func newRateLimit(m peer.RateLimitMessage) rateLimit {
	return rateLimit{
		Boot: m.Boot, OfReceiver: m.OfReceiver, Upstream: m.Upstream, Born: m.Born,
		Named: m.Named, PerSecond: m.PerSecond, Available: m.Available,
	}
}

// decode validates the message and converts it to a peer.RateLimitMessage.
func (l rateLimit) decode() (peer.RateLimitMessage, error) {
	if l.Upstream == "" || len(l.Upstream) > maxTextLength {
		return peer.RateLimitMessage{}, errors.New("rate limit has no ID of an upstream, or one that is too long")
	}
	m := peer.RateLimitMessage{RateLimit: peer.RateLimit{Upstream: l.Upstream, Born: l.Born}, Boot: l.Boot, OfReceiver: l.OfReceiver}
	if !l.Named {
		return m, nil
	}
	limit, ok := caller.LimitOf(l.PerSecond)
	if !ok || math.IsNaN(l.Available) || math.Abs(l.Available) > caller.MaxRate {
		return peer.RateLimitMessage{}, errors.New("rate limit is not a number of requests a second")
	}
	m.RateLimit.RateLimit, m.Available = limit, l.Available
	return m, nil
}

// maxEvacuations is the largest number of states in one message, so that it fits into a datagram.
const maxEvacuations = 8

// evacuations holds what the sender knows of zones that are or were evacuated. Like storeEra, it is a message of its own for the sake of
// nodes of earlier versions.
type evacuations struct {
	_      struct{} `cbor:",toarray"`
	States []evacuation
}

// evacuation is the wire form of a peer.Evacuation.
type evacuation struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Active   bool
	Era      int64
	Revision int64
}

func newEvacuations(states []peer.Evacuation) evacuations {
	var out evacuations
	for _, s := range states[:min(len(states), maxEvacuations)] {
		out.States = append(out.States, evacuation{Zone: s.Zone, Active: s.Active, Era: s.Era, Revision: s.Revision})
	}
	return out
}

// decode validates the states and converts them.
func (m evacuations) decode() ([]peer.Evacuation, error) {
	if len(m.States) == 0 || len(m.States) > maxEvacuations {
		return nil, errors.New("no evacuations, or too many")
	}
	states := make([]peer.Evacuation, 0, len(m.States))
	for _, s := range m.States {
		state := peer.Evacuation{Zone: s.Zone, Active: s.Active, Era: s.Era, Revision: s.Revision}
		if !state.Valid() {
			return nil, errors.New("evacuation is outside its bounds")
		}
		states = append(states, state)
	}
	return states, nil
}

// MaxSuspects is the largest number of records in one message, so that it fits into a datagram.
const MaxSuspects = 8

// suspects holds what the sender knows of requests that crash upstreams.
type suspects struct {
	_       struct{} `cbor:",toarray"`
	Records []suspectRecord
}

// suspectRecord is the wire form of a quarantine.Record.
type suspectRecord struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Quarantined bool
	RemainingMs int64
	Crashes     []recordedCrash
}

type recordedCrash struct {
	_       struct{} `cbor:",toarray"`
	Crash   uint64
	AgeMs   int64
	Cleared bool
}

func newSuspects(records []quarantine.Record) suspects {
	var out suspects
	for _, r := range records[:min(len(records), MaxSuspects)] {
		encoded := suspectRecord{Fingerprint: uint64(r.Fingerprint), Quarantined: r.Quarantined, RemainingMs: r.Remaining.Milliseconds()}
		for _, c := range r.Crashes {
			encoded.Crashes = append(encoded.Crashes, recordedCrash{Crash: uint64(c.Crash), AgeMs: c.Age.Milliseconds(), Cleared: c.Cleared})
		}
		out.Records = append(out.Records, encoded)
	}
	return out
}

// decode validates the records and converts them.
func (s suspects) decode() ([]quarantine.Record, error) {
	if len(s.Records) > MaxSuspects {
		return nil, errors.New("too many records of suspects")
	}
	records := make([]quarantine.Record, 0, len(s.Records))
	for _, r := range s.Records {
		record := quarantine.Record{Fingerprint: quarantine.Fingerprint(r.Fingerprint), Quarantined: r.Quarantined, Remaining: milliseconds(r.RemainingMs)}
		for _, c := range r.Crashes {
			record.Crashes = append(record.Crashes, quarantine.RecordedCrash{Crash: quarantine.Crash(c.Crash), Age: milliseconds(c.AgeMs), Cleared: c.Cleared})
		}
		if !record.Valid() {
			return nil, errors.New("record of a suspect is outside its bounds")
		}
		records = append(records, record)
	}
	return records, nil
}

// maxMilliseconds bounds durations of other nodes, so that arithmetic on them cannot overflow.
const maxMilliseconds = 1 << 40

func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, -maxMilliseconds), maxMilliseconds)) * time.Millisecond
}

// maxNoticeFingerprints is the largest number of fingerprints in one notice, so that the notice fits into a datagram.
const maxNoticeFingerprints = 100

// notice is the wire form of a quarantine.Notice.
type notice struct {
	_            struct{} `cbor:",toarray"`
	Kind         uint8
	Fingerprints []uint64
	Crashes      []uint64
}

func newNotice(n quarantine.Notice) notice {
	out := notice{Kind: uint8(n.Kind)}
	for _, f := range n.Fingerprints[:min(len(n.Fingerprints), maxNoticeFingerprints)] {
		out.Fingerprints = append(out.Fingerprints, uint64(f))
	}
	for _, c := range n.Crashes {
		out.Crashes = append(out.Crashes, uint64(c))
	}
	return out
}

// decode validates the notice and converts it.
func (n notice) decode() (quarantine.Notice, error) {
	out := quarantine.Notice{Kind: quarantine.Kind(n.Kind)}
	for _, f := range n.Fingerprints {
		out.Fingerprints = append(out.Fingerprints, quarantine.Fingerprint(f))
	}
	for _, c := range n.Crashes {
		out.Crashes = append(out.Crashes, quarantine.Crash(c))
	}
	if !out.Valid() {
		return quarantine.Notice{}, errors.New("notice is outside its bounds")
	}
	return out, nil
}

// freshnessQuery asks a node for the age of its proof that its contracts are the newest.
type freshnessQuery struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   // copied to the reply
}

// decode returns the number.
func (q freshnessQuery) decode() (uint64, error) { return q.Number, nil }

// freshnessReply answers a freshnessQuery.
type freshnessReply struct {
	_               struct{} `cbor:",toarray"`
	Number          uint64
	ContractVersion uint64
	AgeMs           int64
}

// newFreshnessReply rounds the age up, so that the proof does not become younger on its way.
func newFreshnessReply(r freshness.Reply) freshnessReply {
	return freshnessReply{Number: r.Number, ContractVersion: r.Version, AgeMs: (r.Age + time.Millisecond - 1).Milliseconds()}
}

// decode validates the reply and converts it to a freshness.Reply.
func (r freshnessReply) decode() (freshness.Reply, error) {
	if r.AgeMs < 0 || r.AgeMs > maxMilliseconds {
		return freshness.Reply{}, errors.New("age of a proof is out of range")
	}
	return freshness.Reply{Number: r.Number, Version: r.ContractVersion, Age: milliseconds(r.AgeMs)}, nil
}
