// Package datagram exchanges short messages between nodes over UDP: queries for the load of an upstream and their
// replies, the status of nodes, departures and rate limits of upstreams, the era of the store, evacuations of zones, the age of proofs of
// freshness, notices of requests that crash upstreams, and requests for tokens of quotas with their replies. A message is one byte for its
// kind, followed by a CBOR array.
package datagram

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/magnoliawharf/magnoliawharf/freshness"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
	"github.com/magnoliawharf/magnoliawharf/quota"
	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	// maxSize is the largest size of a datagram, in bytes, so that it fits into one Ethernet frame.
	maxSize = 1400
	// maxConcurrentAnswers is the number of load queries that are answered at the same time. Further queries are dropped.
	maxConcurrentAnswers = 128
)

var (
	receivedTotal = metrics.Counter("magnoliawharf_datagrams_received_total")
	invalidTotal  = metrics.Counter("magnoliawharf_datagrams_invalid_total")
	droppedTotal  = metrics.Counter("magnoliawharf_datagrams_dropped_total")
	panicsTotal   = metrics.Counter("magnoliawharf_datagrams_panics_total")
)

// Receiver handles the messages of other nodes.
type Receiver interface {
	// AddNode adds the address of a node that may exist.
	AddNode(addr netip.AddrPort)
	// HandleStatus handles the status that another node sent.
	HandleStatus(from netip.AddrPort, i peer.StatusMessage)
	// HandleLoad handles the reply of another node to the load query with the number.
	HandleLoad(from netip.AddrPort, number uint32, load peer.Load)
	// HandleDeparture handles a departure that another node reports.
	HandleDeparture(from netip.AddrPort, m peer.DepartureMessage)
	// HandleRateLimit handles a rate limit that another node reports.
	HandleRateLimit(from netip.AddrPort, m peer.RateLimitMessage)
	// The load of this node, in reply to a load query.
	AnswerLoadQuery(from netip.AddrPort) peer.Load
	// The last known load of this node, in reply to a probe. It does not block.
	AnswerProbe(from netip.AddrPort) peer.Load
}

// Socket sends and receives datagrams. It is safe for concurrent use.
type Socket struct {
	conn        *net.UDPConn
	log         *slog.Logger
	answerSlots chan struct{}

	// Version returns the version of the current contracts, sent with each load query, load reply and status.
	Version func() uint64
	// OnVersion is called with the version of the current contracts of another node. It must not block.
	OnVersion func(version uint64, from netip.AddrPort)
	// OnNotice is called with each valid notice of another node. It must not block.
	OnNotice func(n quarantine.Notice)
	// OnSuspects is called with valid records of another node. It must not block.
	OnSuspects func(records []quarantine.Record)
	// OnStoreEra is called with the era of the store that another node reports, above 0. It must not block.
	OnStoreEra func(era store.Era, from netip.AddrPort)
	// OnFreshnessQuery is called with the number of each query for the age of this node's proof, and OnFreshnessReply with the replies
	// to its own queries. They must not block. The defaults ignore the messages.
	OnFreshnessQuery func(number uint64, from netip.AddrPort)
	OnFreshnessReply func(r freshness.Reply, from netip.AddrPort)
	// OnEvacuations is called with valid states of another node. It must not block.
	OnEvacuations func(states []peer.Evacuation)
	// OnQuotaRequest, OnQuotaReply and OnStop are called with valid messages of another node. They must not block.
	OnQuotaRequest func(from netip.AddrPort, r quota.Request)
	OnQuotaReply   func(from netip.AddrPort, r quota.Reply)
	OnStop         func(run peer.StoppedRun)
}

// Listen binds the address. The function fields of the Socket are set before Serve and before the first message is sent.
func Listen(addr string, log *slog.Logger) (*Socket, error) {
	bound, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", bound)
	if err != nil {
		return nil, err
	}
	return &Socket{
		conn: conn, log: log, answerSlots: make(chan struct{}, maxConcurrentAnswers),
		OnFreshnessQuery: func(uint64, netip.AddrPort) {}, OnFreshnessReply: func(freshness.Reply, netip.AddrPort) {},
	}, nil
}

// Addr returns the bound address.
func (s *Socket) Addr() netip.AddrPort { return unmap(s.conn.LocalAddr().(*net.UDPAddr).AddrPort()) }

// Close closes the socket, which makes Serve return.
func (s *Socket) Close() error { return s.conn.Close() }

func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Serve passes received messages to the receiver until the socket is closed.
func (s *Socket) Serve(ctx context.Context, receiver Receiver) error {
	buffer := make([]byte, maxSize+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			// An ICMP port unreachable, caused by a datagram that was sent before, is reported by a later read.
			s.log.Debug("receiving a datagram failed", "cause", err.Error())
			continue
		}
		receivedTotal.Inc()
		s.receive(receiver, unmap(from), buffer[:n])
	}
}

// receive handles one datagram. A panic in its handling ends neither the process nor the receipt of further datagrams.
func (s *Socket) receive(receiver Receiver, from netip.AddrPort, raw []byte) {
	defer s.recoverFrom(from)
	if len(raw) == 0 || len(raw) > maxSize {
		invalidTotal.Inc()
		return
	}
	var err error
	switch kind, body := raw[0], raw[1:]; kind {
	case kindLoadQuery:
		err = s.handleLoadQuery(receiver, from, body)
	case kindProbe:
		err = s.handleProbe(receiver, from, body)
	case kindLoadReply:
		err = s.handleLoadReply(receiver, from, body)
	case kindStatus:
		err = s.handleStatus(receiver, from, body)
	case kindNotice:
		err = decodeMessage[notice](body, s.OnNotice)
	case kindStoreEra:
		err = s.handleStoreEra(from, body)
	case kindSuspects:
		err = decodeMessage[suspects](body, s.OnSuspects)
	case kindDeparture:
		err = decodeMessage[departure](body, func(m peer.DepartureMessage) { receiver.HandleDeparture(from, m) })
	case kindRateLimit:
		err = decodeMessage[rateLimit](body, func(m peer.RateLimitMessage) { receiver.HandleRateLimit(from, m) })
	case kindFreshnessQuery:
		err = decodeMessage[freshnessQuery](body, func(number uint64) { s.OnFreshnessQuery(number, from) })
	case kindFreshnessReply:
		err = decodeMessage[freshnessReply](body, func(r freshness.Reply) { s.OnFreshnessReply(r, from) })
	case kindEvacuations:
		err = decodeMessage[evacuations](body, s.OnEvacuations)
	case kindQuotaRequest:
		err = decodeMessage[quotaRequest](body, func(r quota.Request) { s.OnVersion(r.Version, from); s.OnQuotaRequest(from, r) })
	case kindQuotaReply:
		err = decodeMessage[quotaReply](body, func(r quota.Reply) { s.OnQuotaReply(from, r) })
	case kindStop:
		err = decodeMessage[stop](body, func(run peer.StoppedRun) { s.handleStop(from, run) })
	default:
		err = errors.New("unknown message kind")
	}
	if err != nil {
		invalidTotal.Inc()
		s.log.Debug("invalid datagram received", "from", from.String(), "cause", err.Error())
	}
}

// recoverFrom ends a panic in the handling of a datagram from another node. It is called by defer.
func (s *Socket) recoverFrom(from netip.AddrPort) {
	if failure := recover(); failure != nil {
		panicsTotal.Inc()
		s.log.Error("handling a datagram panicked", "from", from.String(), "cause", fmt.Sprint(failure), "stack", string(debug.Stack()))
	}
}

func (s *Socket) handleLoadQuery(receiver Receiver, from netip.AddrPort, body []byte) error {
	var q loadQuery
	if err := cbor.Unmarshal(body, &q); err != nil {
		return err
	}
	s.OnVersion(q.ContractVersion, from)
	select {
	case s.answerSlots <- struct{}{}:
	default:
		droppedTotal.Inc()
		return nil
	}
	go func() {
		defer s.recoverFrom(from)
		defer func() { <-s.answerSlots }()
		s.sendLoad(from, q.Number, receiver.AnswerLoadQuery(from))
	}()
	return nil
}

func (s *Socket) handleProbe(receiver Receiver, from netip.AddrPort, body []byte) error {
	var q loadQuery
	if err := cbor.Unmarshal(body, &q); err != nil {
		return err
	}
	s.OnVersion(q.ContractVersion, from)
	s.sendLoad(from, q.Number, receiver.AnswerProbe(from))
	return nil
}

// sendLoad replies to a load query. A rate limit goes first, so that it is known when the load arrives.
func (s *Socket) sendLoad(to netip.AddrPort, number uint32, load peer.Load) {
	if load.RateLimit.Named {
		s.SendRateLimit(to, peer.RateLimitMessage{RateLimit: load.RateLimit, Boot: load.Boot})
	}
	s.send(to, kindLoadReply, newLoadReply(number, s.Version(), load))
}

func (s *Socket) handleLoadReply(receiver Receiver, from netip.AddrPort, body []byte) error {
	var l loadReply
	if err := cbor.Unmarshal(body, &l); err != nil {
		return err
	}
	s.OnVersion(l.ContractVersion, from)
	receiver.HandleLoad(from, l.Number, l.decode())
	return nil
}

func (s *Socket) handleStatus(receiver Receiver, from netip.AddrPort, body []byte) error {
	var m statusMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return err
	}
	decoded, err := m.decode()
	if err != nil {
		return err
	}
	receiver.HandleStatus(from, decoded)
	s.OnVersion(m.ContractVersion, from)
	return nil
}

func (s *Socket) handleStoreEra(from netip.AddrPort, body []byte) error {
	var m storeEra
	if err := cbor.Unmarshal(body, &m); err != nil {
		return err
	}
	if m.Era <= 0 {
		return errors.New("era is not above 0")
	}
	s.OnStoreEra(store.Era(m.Era), from)
	return nil
}

// message is the wire form of a V.
type message[V any] interface{ decode() (V, error) }

// decodeMessage reads the body as an M, validates it and passes it to handle.
func decodeMessage[M message[V], V any](body []byte, handle func(V)) error {
	var m M
	if err := cbor.Unmarshal(body, &m); err != nil {
		return err
	}
	decoded, err := m.decode()
	if err != nil {
		return err
	}
	handle(decoded)
	return nil
}

// QueryLoad implements peer.Sender.
func (s *Socket) QueryLoad(to netip.AddrPort, number uint32) {
	s.send(to, kindLoadQuery, loadQuery{Number: number, ContractVersion: s.Version()})
}

// Probe implements peer.Sender.
func (s *Socket) Probe(to netip.AddrPort, number uint32) {
	s.send(to, kindProbe, loadQuery{Number: number, ContractVersion: s.Version()})
}

// SendStatus implements peer.Sender.
func (s *Socket) SendStatus(to netip.AddrPort, i peer.StatusMessage) {
	s.send(to, kindStatus, newStatusMessage(s.Version(), i))
}

// SendDeparture implements peer.Sender.
func (s *Socket) SendDeparture(to netip.AddrPort, m peer.DepartureMessage) {
	s.send(to, kindDeparture, newDeparture(m))
}

// SendRateLimit implements peer.Sender.
func (s *Socket) SendRateLimit(to netip.AddrPort, m peer.RateLimitMessage) {
	s.send(to, kindRateLimit, newRateLimit(m))
}

// SendNotice sends a notice to each of the addresses.
func (s *Socket) SendNotice(to []netip.AddrPort, n quarantine.Notice) {
	for _, addr := range to {
		s.send(addr, kindNotice, newNotice(n))
	}
}

// SendSuspects sends up to MaxSuspects records to another node.
func (s *Socket) SendSuspects(to netip.AddrPort, records []quarantine.Record) {
	s.send(to, kindSuspects, newSuspects(records))
}

// SendEvacuations sends the states to another node, in as many messages as they need.
func (s *Socket) SendEvacuations(to netip.AddrPort, states []peer.Evacuation) {
	for part := range slices.Chunk(states, maxEvacuations) {
		s.send(to, kindEvacuations, newEvacuations(part))
	}
}

// SendStoreEra sends the era of the store to each of the addresses.
func (s *Socket) SendStoreEra(to []netip.AddrPort, era store.Era) {
	for _, addr := range to {
		s.send(addr, kindStoreEra, storeEra{Era: int64(era)})
	}
}

// SendFreshnessQuery asks each of the addresses for the age of its proof.
func (s *Socket) SendFreshnessQuery(to []netip.AddrPort, number uint64) {
	for _, addr := range to {
		s.send(addr, kindFreshnessQuery, freshnessQuery{Number: number})
	}
}

// SendFreshnessReply answers a query with the age of this node's proof.
func (s *Socket) SendFreshnessReply(to netip.AddrPort, r freshness.Reply) {
	s.send(to, kindFreshnessReply, newFreshnessReply(r))
}

// send sends a message. Any datagram may be lost, so a failure is logged and not returned.
func (s *Socket) send(to netip.AddrPort, kind byte, message any) {
	body, err := cbor.Marshal(message)
	if err != nil || len(body) >= maxSize {
		s.log.Warn("datagram not sent: encoding failed or message is too large", "to", to.String(), "kind", int(kind), "bytes", len(body), "cause", err)
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(append([]byte{kind}, body...), to); err != nil {
		s.log.Debug("sending a datagram failed", "to", to.String(), "cause", err.Error())
	}
}
