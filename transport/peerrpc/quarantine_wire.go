package peerrpc

import (
	"encoding/binary"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// quarantineTopic is the broadcast topic of notices.
const quarantineTopic = "quarantine"

// quarantineVersion is the first byte of an encoded notice.
const quarantineVersion = 1

var (
	errQuarantineNotice = errors.New("quarantine notice is out of bounds")
	quarantineUnsent    = metrics.Counter("magnoliawharf_quarantine_notices_unsent_total")
	quarantineInvalid   = metrics.Counter("magnoliawharf_quarantine_notices_invalid_total")
)

// QuarantineBroadcaster carries notices to all nodes.
type QuarantineBroadcaster interface {
	Broadcast(topic, id string, payload []byte) error
	Handle(topic string, handler func(from instance.ID, payload []byte))
}

// QuarantineSpread implements quarantine.Broadcaster over broadcasts.
type QuarantineSpread struct {
	out    QuarantineBroadcaster
	node   string
	serial atomic.Uint64
}

// NewQuarantineSpread returns a spreader for the node; node names this life of it.
func NewQuarantineSpread(out QuarantineBroadcaster, node string) *QuarantineSpread {
	return &QuarantineSpread{out: out, node: node}
}

// Broadcast implements quarantine.Broadcaster.
func (s *QuarantineSpread) Broadcast(n quarantine.Notice) {
	id := s.node + "/" + strconv.FormatUint(s.serial.Add(1), 10)
	if err := s.out.Broadcast(quarantineTopic, id, encodeQuarantineNotice(n)); err != nil {
		quarantineUnsent.Inc()
	}
}

// Feed gives the notices of other nodes to the list.
func (s *QuarantineSpread) Feed(list *quarantine.List) {
	s.out.Handle(quarantineTopic, func(_ instance.ID, payload []byte) {
		n, err := decodeQuarantineNotice(payload)
		if err != nil {
			quarantineInvalid.Inc()
			return
		}
		list.Receive(time.Now(), n)
	})
}

// encodeQuarantineNotice writes version, kind, the number of crashes and fingerprints, and each of
// them in 8 bytes.
func encodeQuarantineNotice(n quarantine.Notice) []byte {
	out := []byte{quarantineVersion, byte(n.Kind), byte(len(n.Crashes))}
	out = binary.BigEndian.AppendUint16(out, uint16(len(n.Fingerprints)))
	for _, crash := range n.Crashes {
		out = binary.BigEndian.AppendUint64(out, uint64(crash))
	}
	for _, f := range n.Fingerprints {
		out = binary.BigEndian.AppendUint64(out, uint64(f))
	}
	return out
}

func decodeQuarantineNotice(raw []byte) (quarantine.Notice, error) {
	const head = 5
	if len(raw) < head || raw[0] != quarantineVersion {
		return quarantine.Notice{}, errQuarantineNotice
	}
	n := quarantine.Notice{Kind: quarantine.Kind(raw[1])}
	crashes, fingerprints := int(raw[2]), int(binary.BigEndian.Uint16(raw[3:]))
	if len(raw) != head+8*(crashes+fingerprints) {
		return quarantine.Notice{}, errQuarantineNotice
	}
	for at := head; at < len(raw); at += 8 {
		value := binary.BigEndian.Uint64(raw[at:])
		if len(n.Crashes) < crashes {
			n.Crashes = append(n.Crashes, quarantine.Crash(value))
			continue
		}
		n.Fingerprints = append(n.Fingerprints, quarantine.Fingerprint(value))
	}
	if !n.Valid() {
		return quarantine.Notice{}, errQuarantineNotice
	}
	return n, nil
}
