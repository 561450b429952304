package datagram

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// Kinds of messages.
const (
	kindQuestion     byte = 'q'
	kindLoad         byte = 'l'
	kindIntroduction byte = 'i'
	kindNotice       byte = 'n'
)

const (
	maxText     = 128
	maxCount    = 1 << 20
	addressSize = 6 // IPv4 address and port, in bytes
)

// question asks for the load of a node's upstream.
type question struct {
	_       struct{} `cbor:",toarray"`
	Number  uint32
	Version uint64 // of the contracts in force at the sender
}

// load answers a question.
type load struct {
	_        struct{} `cbor:",toarray"`
	Number   uint32
	Version  uint64
	Boot     uint64
	Revision uint32
	Serving  bool
	Running  uint32
	Waiting  uint32
	Limit    uint32
	Pace     uint32
}

func loadOf(number uint32, version uint64, l peer.Load) load {
	return load{
		Number: number, Version: version, Boot: l.Boot, Revision: l.Revision, Serving: l.Serving,
		Running: count(l.Running), Waiting: count(l.Waiting), Limit: count(l.Limit), Pace: count(l.Pace),
	}
}

func count(n int) uint32 { return uint32(min(max(0, n), maxCount)) }

func (l load) load() peer.Load {
	clip := func(n uint32) int { return int(min(n, maxCount)) }
	return peer.Load{
		Boot: l.Boot, Revision: l.Revision, Serving: l.Serving,
		Running: clip(l.Running), Waiting: clip(l.Waiting), Limit: clip(l.Limit), Pace: clip(l.Pace),
	}
}

// introduction tells the status of a node.
type introduction struct {
	_        struct{} `cbor:",toarray"`
	Version  uint64
	Reply    bool // the receiver is asked for its own
	Node     string
	Boot     uint64
	Revision uint32
	Address  string
	Zone     string
	Service  string
	Upstream string
	Slots    uint32
	Serving  bool
	Follows  bool
	Known    []byte // addresses of other nodes, addressSize bytes each

	FormerUpstream string // of the receiver
	FormerService  string
}

func introductionOf(version uint64, from peer.StatusMessage) introduction {
	s := from.Status
	i := introduction{
		FormerUpstream: from.Previous.Upstream, FormerService: from.Previous.Service,
		Version: version, Reply: from.ReplyRequested, Node: s.Node, Boot: s.Boot, Revision: s.Revision, Address: s.Address, Zone: s.Zone,
		Service: s.Service, Upstream: s.Upstream, Slots: count(s.Slots), Serving: s.Serving, Follows: s.StoreReachable,
	}
	for _, addr := range from.Addresses[:min(len(from.Addresses), peer.MaxAddresses)] {
		if ip := addr.Addr(); ip.Is4() {
			four := ip.As4()
			i.Known = binary.BigEndian.AppendUint16(append(i.Known, four[:]...), addr.Port())
		}
	}
	return i
}

// introduction decodes and checks the message.
func (i introduction) introduction() (peer.StatusMessage, error) {
	status, err := i.status()
	if err != nil {
		return peer.StatusMessage{}, err
	}
	known, err := addresses(i.Known)
	if err != nil {
		return peer.StatusMessage{}, err
	}
	former := peer.PreviousUpstream{Upstream: i.FormerUpstream, Service: i.FormerService}
	return peer.StatusMessage{Status: status, Addresses: known, ReplyRequested: i.Reply, Previous: former}, nil
}

func (i introduction) status() (peer.Status, error) {
	for _, text := range []string{i.Node, i.Address, i.Zone, i.Service, i.Upstream, i.FormerUpstream, i.FormerService} {
		if len(text) > maxText {
			return peer.Status{}, errors.New("text is too long")
		}
	}
	if _, err := netip.ParseAddrPort(i.Address); err != nil || i.Node == "" {
		return peer.Status{}, fmt.Errorf("node %q at address %q cannot be reached", i.Node, i.Address)
	}
	return peer.Status{
		Node: i.Node, Boot: i.Boot, Revision: i.Revision, Address: i.Address, Zone: i.Zone,
		Service: i.Service, Upstream: i.Upstream, Slots: int(min(i.Slots, maxCount)), Serving: i.Serving, StoreReachable: i.Follows,
	}, nil
}

func addresses(raw []byte) ([]netip.AddrPort, error) {
	if len(raw)%addressSize != 0 || len(raw) > peer.MaxAddresses*addressSize {
		return nil, errors.New("list of addresses is malformed or too long")
	}
	var list []netip.AddrPort
	for ; len(raw) > 0; raw = raw[addressSize:] {
		port := binary.BigEndian.Uint16(raw[addressSize-2:])
		list = append(list, netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[:4])), port))
	}
	return list, nil
}

// noticeFingerprints bounds the fingerprints of one notice on the wire, so that it fits into a datagram.
const noticeFingerprints = 100

// notice is a quarantine.Notice.
type notice struct {
	_            struct{} `cbor:",toarray"`
	Kind         uint8
	Fingerprints []uint64
	Crashes      []uint64
}

func noticeOf(n quarantine.Notice) notice {
	out := notice{Kind: uint8(n.Kind)}
	for _, f := range n.Fingerprints[:min(len(n.Fingerprints), noticeFingerprints)] {
		out.Fingerprints = append(out.Fingerprints, uint64(f))
	}
	for _, c := range n.Crashes {
		out.Crashes = append(out.Crashes, uint64(c))
	}
	return out
}

func (n notice) notice() quarantine.Notice {
	out := quarantine.Notice{Kind: quarantine.Kind(n.Kind)}
	for _, f := range n.Fingerprints {
		out.Fingerprints = append(out.Fingerprints, quarantine.Fingerprint(f))
	}
	for _, c := range n.Crashes {
		out.Crashes = append(out.Crashes, quarantine.Crash(c))
	}
	return out
}
