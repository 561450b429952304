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

// quarantineTopic is the broadcast topic of quarantine notices.
const quarantineTopic = "quarantine"

// quarantineVersion is the version of the notice encoding, its first byte.
const quarantineVersion = 1

var (
	errQuarantineNotice = errors.New("quarantine notice is malformed")
	quarantineUnsent    = metrics.Counter("magnoliawharf_quarantine_notices_unsent_total")
	quarantineInvalid   = metrics.Counter("magnoliawharf_quarantine_notices_invalid_total")
)

// QuarantineBroadcaster delivers broadcasts to all nodes and passes received ones to the handler of their topic.
type QuarantineBroadcaster interface {
	Broadcast(topic, id string, payload []byte) error
	Handle(topic string, handler func(from instance.ID, payload []byte))
}

// QuarantineNotifier exchanges quarantine notices with the other nodes as broadcasts. It implements quarantine.Broadcaster.
type QuarantineNotifier struct {
	broadcaster QuarantineBroadcaster
	incarnation string
	sequence    atomic.Uint64
}

// NewQuarantineNotifier returns a notifier whose broadcast IDs begin with incarnation, which names one run of the
// node. A broadcast ID must not repeat after a restart, since receivers drop an ID that they have seen.
func NewQuarantineNotifier(broadcaster QuarantineBroadcaster, incarnation string) *QuarantineNotifier {
	return &QuarantineNotifier{broadcaster: broadcaster, incarnation: incarnation}
}

// Broadcast implements quarantine.Broadcaster.
func (s *QuarantineNotifier) Broadcast(n quarantine.Notice) {
	id := s.incarnation + "/" + strconv.FormatUint(s.sequence.Add(1), 10)
	if err := s.broadcaster.Broadcast(quarantineTopic, id, encodeQuarantineNotice(n)); err != nil {
		quarantineUnsent.Inc()
	}
}

// Subscribe passes the notices of other nodes to the list. Malformed notices are counted and dropped.
func (s *QuarantineNotifier) Subscribe(list *quarantine.List) {
	s.broadcaster.Handle(quarantineTopic, func(_ instance.ID, payload []byte) {
		n, err := decodeQuarantineNotice(payload)
		if err != nil {
			quarantineInvalid.Inc()
			return
		}
		list.Receive(time.Now(), n)
	})
}

// encodeQuarantineNotice encodes a notice, big-endian: the version, the kind and the number of crashes in one byte each,
// the number of fingerprints in two, then each crash and each fingerprint in 8 bytes.
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
	const headerSize = 5
	if len(raw) < headerSize || raw[0] != quarantineVersion {
		return quarantine.Notice{}, errQuarantineNotice
	}
	n := quarantine.Notice{Kind: quarantine.Kind(raw[1])}
	crashes, fingerprints := int(raw[2]), int(binary.BigEndian.Uint16(raw[3:]))
	if len(raw) != headerSize+8*(crashes+fingerprints) {
		return quarantine.Notice{}, errQuarantineNotice
	}
	for offset := headerSize; offset < len(raw); offset += 8 {
		value := binary.BigEndian.Uint64(raw[offset:])
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
