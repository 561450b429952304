package datagram

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"time"

	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quota"
)

// quotaRequest asks the allocator of a tenant for tokens. Like storeEra, the messages of this file are of kinds of their own: nodes of
// earlier versions drop a kind that they do not know.
type quotaRequest struct {
	_               struct{} `cbor:",toarray"`
	Number          uint32
	Tenant          string
	ContractVersion uint64
	Waiting         uint32
	Wanted          uint32
}

// quotaReply answers a quotaRequest.
type quotaReply struct {
	_            struct{} `cbor:",toarray"`
	Number       uint32
	Tenant       string
	Granted      uint32
	ValidMs      uint32
	RetryAfterMs uint32
	Allocator    bool
	Other        []byte // address of the allocator in the sender's view, addressSize bytes, or none
}

// stop says that the run with the boot stops, of the sender or of the node at the address.
type stop struct {
	_       struct{} `cbor:",toarray"`
	Boot    uint64
	Address []byte // addressSize bytes, none for the sender
}

// maxQuotaMs bounds the durations in a quotaReply, in milliseconds.
const maxQuotaMs = 60_000

// errTenant is returned for a message without the name of a tenant, or with one that is too long.
var errTenant = errors.New("message on a quota has no tenant, or one whose name is too long")

func validTenant(name string) bool { return name != "" && len(name) <= maxTextLength }

func (q quotaRequest) decode() (quota.Request, error) {
	if !validTenant(q.Tenant) {
		return quota.Request{}, errTenant
	}
	if q.Waiting > q.Wanted || q.Wanted > quota.MaxTokens {
		return quota.Request{}, errors.New("request for tokens is out of bounds")
	}
	return quota.Request{Number: q.Number, Tenant: q.Tenant, Version: q.ContractVersion, Waiting: int(q.Waiting), Wanted: int(q.Wanted)}, nil
}

func (q quotaReply) decode() (quota.Reply, error) {
	if !validTenant(q.Tenant) {
		return quota.Reply{}, errTenant
	}
	if q.Granted > quota.MaxTokens || q.ValidMs > maxQuotaMs || q.RetryAfterMs > maxQuotaMs {
		return quota.Reply{}, errors.New("reply to a request for tokens is out of bounds")
	}
	other, err := decodeAddress(q.Other)
	if err != nil {
		return quota.Reply{}, err
	}
	return quota.Reply{
		Number: q.Number, Tenant: q.Tenant, Granted: int(q.Granted), Valid: time.Duration(q.ValidMs) * time.Millisecond,
		RetryAfter: time.Duration(q.RetryAfterMs) * time.Millisecond, Allocator: q.Allocator, Other: other,
	}, nil
}

// decode leaves the address of the run invalid when it is that of the sender.
func (s stop) decode() (peer.StoppedRun, error) {
	if s.Boot == 0 {
		return peer.StoppedRun{}, errors.New("stop names no run")
	}
	addr, err := decodeAddress(s.Address)
	return peer.StoppedRun{Addr: addr, Boot: s.Boot}, err
}

// decodeAddress returns the address, the invalid one when there is none.
func decodeAddress(raw []byte) (netip.AddrPort, error) {
	if len(raw) > addressSize {
		return netip.AddrPort{}, errors.New("several addresses in place of one")
	}
	list, err := decodeAddresses(raw)
	if err != nil || len(list) == 0 {
		return netip.AddrPort{}, err
	}
	return list[0], nil
}

// encodeAddress returns the bytes of an IPv4 address and port, none for any other.
func encodeAddress(addr netip.AddrPort) []byte {
	if !addr.Addr().Is4() {
		return nil
	}
	ip := addr.Addr().As4()
	return binary.BigEndian.AppendUint16(ip[:], addr.Port())
}

func (s *Socket) handleStop(from netip.AddrPort, run peer.StoppedRun) {
	if !run.Addr.IsValid() {
		run.Addr = from
	}
	s.OnStop(run)
}

// SendQuotaRequest implements quota.Sender.
func (s *Socket) SendQuotaRequest(to netip.AddrPort, r quota.Request) {
	s.send(to, kindQuotaRequest, quotaRequest{
		Number: r.Number, Tenant: r.Tenant, ContractVersion: r.Version, Waiting: clampTokens(r.Waiting), Wanted: clampTokens(r.Wanted),
	})
}

// SendQuotaReply implements quota.Sender.
func (s *Socket) SendQuotaReply(to netip.AddrPort, r quota.Reply) {
	s.send(to, kindQuotaReply, quotaReply{
		Number: r.Number, Tenant: r.Tenant, Granted: clampTokens(r.Granted),
		ValidMs: clampMs(r.Valid), RetryAfterMs: clampMs(r.RetryAfter), Allocator: r.Allocator,
		Other: encodeAddress(r.Other),
	})
}

// SendOwnStop tells the nodes at the addresses that the run of this node with the boot stops.
func (s *Socket) SendOwnStop(to []netip.AddrPort, boot uint64) {
	for _, addr := range to {
		s.send(addr, kindStop, stop{Boot: boot})
	}
}

// SendStops tells a node of runs of other nodes that have stopped.
func (s *Socket) SendStops(to netip.AddrPort, runs []peer.StoppedRun) {
	for _, run := range runs {
		if address := encodeAddress(run.Addr); address != nil {
			s.send(to, kindStop, stop{Boot: run.Boot, Address: address})
		}
	}
}

func clampTokens(n int) uint32 { return uint32(min(max(0, n), quota.MaxTokens)) }

// clampMs rounds up, so that a caller does not return before its token.
func clampMs(d time.Duration) uint32 {
	return uint32(min(max(0, (d+time.Millisecond-1).Milliseconds()), maxQuotaMs))
}
