// Package datagram carries the short messages between nodes over UDP: questions for the load of an upstream and their
// answers, introductions, and notices of requests that crash upstreams. A message is one byte that says its kind and a
// CBOR array.
package datagram

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

const (
	// maxSize bounds a datagram, in bytes; it fits into one packet of an Ethernet.
	maxSize = 1400
	// maxAnswering bounds the questions that are answered at the same time.
	maxAnswering = 128
)

var (
	receivedTotal = metrics.Counter("magnoliawharf_datagrams_received_total")
	invalidTotal  = metrics.Counter("magnoliawharf_datagrams_invalid_total")
	droppedTotal  = metrics.Counter("magnoliawharf_datagrams_dropped_total")
)

// Receiver takes what other nodes send.
type Receiver interface {
	Learn(addr netip.AddrPort)
	Heard(from netip.AddrPort, i peer.StatusMessage)
	HeardLoad(from netip.AddrPort, number uint32, load peer.Load)
	Answer(from netip.AddrPort) peer.Load
}

// Socket sends and receives datagrams. It is safe for concurrent use.
type Socket struct {
	conn      *net.UDPConn
	log       *slog.Logger
	answering chan struct{}

	// Version returns the version of the contracts in force, told with each message.
	Version func() uint64
	// SeenVersion is told of the version that another node has in force. It must not block.
	SeenVersion func(version uint64, from netip.AddrPort)
	// Notice takes a notice of another node.
	Notice func(n quarantine.Notice)
}

// Listen binds the address. The hooks are set before Serve and before the first message is sent.
func Listen(addr string, log *slog.Logger) (*Socket, error) {
	bound, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", bound)
	if err != nil {
		return nil, err
	}
	return &Socket{conn: conn, log: log, answering: make(chan struct{}, maxAnswering)}, nil
}

// Addr returns the bound address.
func (s *Socket) Addr() netip.AddrPort { return unmapped(s.conn.LocalAddr().(*net.UDPAddr).AddrPort()) }

// Close ends Serve.
func (s *Socket) Close() error { return s.conn.Close() }

func unmapped(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Serve passes what comes on to the receiver until the socket is closed.
func (s *Socket) Serve(ctx context.Context, to Receiver) error {
	buffer := make([]byte, maxSize+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			// A port at which nobody listens shows as an error of a later call.
			s.log.Debug("datagram not received", "cause", err.Error())
			continue
		}
		receivedTotal.Inc()
		s.receive(to, unmapped(from), buffer[:n])
	}
}

func (s *Socket) receive(to Receiver, from netip.AddrPort, raw []byte) {
	if len(raw) == 0 || len(raw) > maxSize {
		invalidTotal.Inc()
		return
	}
	var err error
	switch kind, body := raw[0], raw[1:]; kind {
	case kindQuestion:
		err = s.question(to, from, body)
	case kindLoad:
		err = s.load(to, from, body)
	case kindIntroduction:
		err = s.introduction(to, from, body)
	case kindNotice:
		err = s.notice(body)
	default:
		err = errors.New("unknown kind")
	}
	if err != nil {
		invalidTotal.Inc()
		s.log.Debug("datagram not understood", "from", from.String(), "cause", err.Error())
	}
}

func (s *Socket) question(to Receiver, from netip.AddrPort, body []byte) error {
	var q question
	if err := cbor.Unmarshal(body, &q); err != nil {
		return err
	}
	s.SeenVersion(q.Version, from)
	select {
	case s.answering <- struct{}{}:
	default:
		droppedTotal.Inc()
		return nil
	}
	go func() {
		defer func() { <-s.answering }()
		s.send(from, kindLoad, loadOf(q.Number, s.Version(), to.Answer(from)))
	}()
	return nil
}

func (s *Socket) load(to Receiver, from netip.AddrPort, body []byte) error {
	var l load
	if err := cbor.Unmarshal(body, &l); err != nil {
		return err
	}
	s.SeenVersion(l.Version, from)
	to.HeardLoad(from, l.Number, l.load())
	return nil
}

func (s *Socket) introduction(to Receiver, from netip.AddrPort, body []byte) error {
	var i introduction
	if err := cbor.Unmarshal(body, &i); err != nil {
		return err
	}
	decoded, err := i.introduction()
	if err != nil {
		return err
	}
	to.Heard(from, decoded)
	s.SeenVersion(i.Version, from)
	return nil
}

func (s *Socket) notice(body []byte) error {
	var n notice
	if err := cbor.Unmarshal(body, &n); err != nil {
		return err
	}
	decoded := n.notice()
	if !decoded.Valid() {
		return errors.New("notice is out of its bounds")
	}
	s.Notice(decoded)
	return nil
}

// QueryLoad implements peer.Sender.
func (s *Socket) QueryLoad(to netip.AddrPort, number uint32) {
	s.send(to, kindQuestion, question{Number: number, Version: s.Version()})
}

// SendStatus implements peer.Sender.
func (s *Socket) SendStatus(to netip.AddrPort, i peer.StatusMessage) {
	s.send(to, kindIntroduction, introductionOf(s.Version(), i))
}

// Tell sends a notice to each of the nodes.
func (s *Socket) Tell(to []netip.AddrPort, n quarantine.Notice) {
	for _, addr := range to {
		s.send(addr, kindNotice, noticeOf(n))
	}
}

// send sends a message. Any datagram may be lost, so a failure is not told to the sender.
func (s *Socket) send(to netip.AddrPort, kind byte, message any) {
	body, err := cbor.Marshal(message)
	if err != nil || len(body) >= maxSize {
		s.log.Warn("datagram not sent", "to", to.String(), "kind", int(kind), "bytes", len(body), "cause", err)
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(append([]byte{kind}, body...), to); err != nil {
		s.log.Debug("datagram not sent", "to", to.String(), "cause", err.Error())
	}
}
